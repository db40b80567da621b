"""Connections to one upstream, the last one used taken first.

httpcore's own pool looks at all its connections for each request, which grows with the
square of the streams that are open; here a request looks at the one that it takes.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import httpcore

from banyanseam.upstreams.const import (
    CONNECT_TIMEOUT_S,
    IDLE_CONNECTION_S,
    MAX_IDLE_CONNECTIONS,
)
from banyanseam.upstreams.network import UpstreamStream, connect


@dataclass(frozen=True, slots=True)
class Connection:
    """A connection as HTTP and as the stream below."""

    http: httpcore.AsyncHTTP11Connection
    stream: UpstreamStream


class Connections:
    """At most `limit` connections to one origin, of which a few are kept idle."""

    def __init__(self, origin: httpcore.Origin, limit: int, *, reuses: bool) -> None:
        """Open nothing yet; without reuse each request gets a connection of its own."""
        self._origin = origin
        self._slots = anyio.Semaphore(limit, max_value=limit, fast_acquire=True)
        self._reuses = reuses
        self._idle: list[Connection] = []
        self._open = 0

    @property
    def is_unused(self) -> bool:
        """Say whether no request has a connection at present."""
        return self._open == 0

    @asynccontextmanager
    async def take(self, timeout_s: float) -> AsyncIterator[Connection]:
        """Give a connection for one request; raise PoolTimeout when all are taken."""
        await self._take_slot(timeout_s)
        self._open += 1
        connection: Connection | None = None
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
            await self._idle.pop().http.aclose()

    async def _find_idle(self) -> Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if not connection.http.has_expired():
                return connection
            await connection.http.aclose()
        return None

    async def _take_slot(self, timeout_s: float) -> None:
        try:
            self._slots.acquire_nowait()
        except anyio.WouldBlock:
            with anyio.move_on_after(timeout_s) as scope:
                await self._slots.acquire()
            if scope.cancelled_caught:
                raise httpcore.PoolTimeout from None

    async def _connect(self) -> Connection:
        host, port = self._origin.host.decode(), self._origin.port
        stream = await connect(host, port, CONNECT_TIMEOUT_S)
        http = httpcore.AsyncHTTP11Connection(
            self._origin, stream, keepalive_expiry=IDLE_CONNECTION_S
        )
        return Connection(http, stream)

    async def _put_back(self, connection: Connection) -> None:
        is_kept = self._reuses and len(self._idle) < MAX_IDLE_CONNECTIONS
        if is_kept and connection.http.is_idle():
            self._idle.append(connection)
            return
        with anyio.CancelScope(shield=True):
            await connection.http.aclose()
