"""Connections to one upstream, the last one used taken first.

httpcore's own pool looks at all its connections for each request, which grows with the
square of the streams that are open; here a request looks at the one that it takes.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import httpcore

from banyanseam.upstreams.const import (
    CONNECT_TIMEOUT_S,
    IDLE_CONNECTION_S,
    MAX_IDLE_CONNECTIONS,
)
from banyanseam.upstreams.network import connect


class Connections:
    """At most `limit` connections to one origin, of which a few are kept idle."""

    def __init__(self, origin: httpcore.Origin, limit: int, *, reuses: bool) -> None:
        """Open nothing yet; without reuse each request gets a connection of its own."""
        self._origin = origin
        self._slots = anyio.Semaphore(limit, max_value=limit, fast_acquire=True)
        self._reuses = reuses
        self._idle: list[httpcore.AsyncHTTP11Connection] = []
        self._open = 0

    @property
    def is_unused(self) -> bool:
        """Say whether no request has a connection at present."""
        return self._open == 0

    @asynccontextmanager
    async def take(
        self, timeout_s: float
    ) -> AsyncIterator[httpcore.AsyncHTTP11Connection]:
        """Give a connection for one request; raise PoolTimeout when all are taken."""
        await self._take_slot(timeout_s)
        self._open += 1
        connection: httpcore.AsyncHTTP11Connection | None = None
        try:
            connection = await self._find_idle() or await self._connect()
            yield connection
        finally:
            self._open -= 1
            self._slots.release()
            if connection is not None:
                await self._put_back(connection)

    async def aclose(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().aclose()

    async def _find_idle(self) -> httpcore.AsyncHTTP11Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if not connection.has_expired():
                return connection
            await connection.aclose()
        return None

    async def _take_slot(self, timeout_s: float) -> None:
        try:
            self._slots.acquire_nowait()
        except anyio.WouldBlock:
            with anyio.move_on_after(timeout_s) as scope:
                await self._slots.acquire()
            if scope.cancelled_caught:
                raise httpcore.PoolTimeout from None

    async def _connect(self) -> httpcore.AsyncHTTP11Connection:
        host, port = self._origin.host.decode(), self._origin.port
        stream = await connect(host, port, CONNECT_TIMEOUT_S)
        return httpcore.AsyncHTTP11Connection(
            self._origin, stream, keepalive_expiry=IDLE_CONNECTION_S
        )

    async def _put_back(self, connection: httpcore.AsyncHTTP11Connection) -> None:
        is_kept = self._reuses and len(self._idle) < MAX_IDLE_CONNECTIONS
        if is_kept and connection.is_idle():
            self._idle.append(connection)
            return
        with anyio.CancelScope(shield=True):
            await connection.aclose()
