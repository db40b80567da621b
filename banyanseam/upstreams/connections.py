"""Connection pool for one upstream that reuses the most recently used one first.

httpcore's own pool scans all its connections for each request, so its cost grows with
the square of the open streams; here a request inspects only the one that it takes.
"""

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
    """An HTTP/1.1 connection and the network stream below it."""

    http: httpcore.AsyncHTTP11Connection
    stream: UpstreamStream


def is_answer_status(status: int) -> bool:
    """Return whether a status may end a request; the parser takes any three digits."""
    return 200 <= status <= 599


class ConnectionPool:
    """At most `limit` connections to one origin, of which a few stay open when idle."""

    def __init__(self, origin: httpcore.Origin, limit: int, *, reuses: bool) -> None:
        """Start empty; without `reuses`, each request gets a new connection."""
        self._origin = origin
        self._slots = anyio.Semaphore(limit, max_value=limit, fast_acquire=True)
        self._reuses = reuses
        self._idle: list[Connection] = []
        self._in_use = 0

    @property
    def is_unused(self) -> bool:
        """Return whether no request holds a connection."""
        return self._in_use == 0

    async def acquire(self, timeout_s: float) -> Connection:
        """Return a connection for one request; the caller must give it back.

        Raise PoolTimeout if none is free in time, or the error of connecting.
        """
        await self._acquire_slot(timeout_s)
        self._in_use += 1
        try:
            return await self._pop_idle() or await self._connect()
        except BaseException:
            self._release_slot()
            raise

    async def release(self, connection: Connection) -> None:
        """Return a connection to the idle ones, or close it."""
        self._release_slot()
        await self._store_or_close(connection)

    async def aclose(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().http.aclose()

    async def _pop_idle(self) -> Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if not connection.http.has_expired():
                return connection
            await connection.http.aclose()
        return None

    async def _acquire_slot(self, timeout_s: float) -> None:
        try:
            self._slots.acquire_nowait()
        except anyio.WouldBlock:
            with anyio.move_on_after(timeout_s) as scope:
                await self._slots.acquire()
            if scope.cancelled_caught:
                raise httpcore.PoolTimeout from None

    def _release_slot(self) -> None:
        self._in_use -= 1
        self._slots.release()

    async def _connect(self) -> Connection:
        host, port = self._origin.host.decode(), self._origin.port
        stream = await connect(host, port, CONNECT_TIMEOUT_S)
        http = httpcore.AsyncHTTP11Connection(
            self._origin, stream, keepalive_expiry=IDLE_CONNECTION_S
        )
        return Connection(http, stream)

    async def _store_or_close(self, connection: Connection) -> None:
        # Connections are reused last in, first out, so the first has been idle longest.
        if self._idle and self._idle[0].http.has_expired():
            await self._close(self._idle.pop(0))
        may_store = self._reuses and len(self._idle) < MAX_IDLE_CONNECTIONS
        if may_store and connection.http.is_idle():
            self._idle.append(connection)
            return
        await self._close(connection)

    async def _close(self, connection: Connection) -> None:
        with anyio.CancelScope(shield=True):
            await connection.http.aclose()
