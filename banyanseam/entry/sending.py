"""Sends each request to an upstream over a connection of its own, or to a peer.

Connections to upstreams are not reused: bytes that arrive late, twice or after the
answer's end can then never reach another request, and no request is sent over a
connection that has stopped responding. A new connection costs one round trip within the
data centre. Between regions that is too much, and peers send nothing after an answer.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, replace
from typing import Final

import anyio
import httpcore

from banyanseam.config.addresses import split_address
from banyanseam.entry.const import MAX_HEAD_BYTES
from banyanseam.entry.errors import ConnectionBroken
from banyanseam.entry.models import Headers
from banyanseam.entry.peer_connections import PeerConnections, limit_unacknowledged
from banyanseam.errors import BanyanseamError
from banyanseam.upstreams.connections import Connection, is_answer_status
from banyanseam.upstreams.errors import (
    UpstreamTimedOut,
    UpstreamUnreachable,
)
from banyanseam.upstreams.network import connect

# The rest of an error that has begun to arrive.
SKIP_BODY_S: Final = 0.05

_HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request that is ready to be sent."""

    address: str
    method: str
    target: bytes
    headers: Headers
    body: bytes
    connect_timeout_s: float
    # Timeout for the first bytes of the answer's body.
    first_byte_timeout_s: float
    # How long a connection may have been idle that the request reuses; 0 for none.
    max_idle_s: float = 0.0


@dataclass(frozen=True, slots=True)
class IncomingAnswer:
    """An answer whose body has not been read yet."""

    status: int
    headers: Headers
    body: AsyncIterator[bytes]
    # How long a new connection took; None if one was reused.
    connect_ms: float | None = None

    async def skip_body(self) -> None:
        """Read a short body to its end, so that the connection can be reused."""
        with anyio.move_on_after(SKIP_BODY_S), suppress(ConnectionBroken):
            async for _ in self.body:
                pass


@asynccontextmanager
async def send(
    outgoing: OutgoingRequest,
    before_write: Callable[[], None],
    wait_for_better: Callable[[], Awaitable[BanyanseamError]] | None = None,
    connections: PeerConnections | None = None,
) -> AsyncIterator[IncomingAnswer]:
    """Send a request and yield its answer while the context is open.

    `before_write` is called just before the first byte is written. Raise
    UpstreamUnreachable before that, later ConnectionBroken or UpstreamTimedOut; reading
    the body may raise them too. When `wait_for_better` returns before the answer has
    begun, the request is abandoned and what it returned is raised. One of
    `connections` is reused, and kept once its answer has been read to the end.
    """
    connection, connect_ms = await _take_or_connect(outgoing, connections)
    connection.stream.before_write = before_write
    try:
        pending = _request_answer(connection, outgoing, is_kept=connections is not None)
        if wait_for_better is not None:
            pending = race(pending, wait_for_better)
        yield replace(await pending, connect_ms=connect_ms)
    finally:
        if connections is None:
            await connection.stream.aclose()
        else:
            await connections.put(outgoing.address, connection, anyio.current_time())


def is_refused(error: UpstreamUnreachable) -> bool:
    """Return whether a host refused the connection, as when nothing listens there."""
    cause = error.__cause__
    return isinstance(cause, httpcore.ConnectError) and isinstance(
        cause.__cause__, ConnectionError
    )


async def _take_or_connect(
    outgoing: OutgoingRequest, connections: PeerConnections | None
) -> tuple[Connection, float | None]:
    """Return a connection, and how long it took in ms unless it is reused."""
    began_s = anyio.current_time()
    if connections is not None:
        found = connections.take(outgoing.address, began_s, outgoing.max_idle_s)
        if found is not None:
            return found, None
    host, port = split_address(outgoing.address)
    try:
        stream = await connect(host, port, outgoing.connect_timeout_s)
    except _HTTP_ERRORS as error:
        detail = f"{outgoing.address}: {type(error).__name__}"
        raise UpstreamUnreachable(detail) from error
    origin = httpcore.Origin(b"http", host.encode(), port)
    connection = Connection(httpcore.AsyncHTTP11Connection(origin, stream), stream)
    if connections is not None:
        limit_unacknowledged(connection)
    return connection, (anyio.current_time() - began_s) * 1000


async def race(
    pending: Awaitable[IncomingAnswer],
    wait_for_better: Callable[[], Awaitable[BanyanseamError]],
) -> IncomingAnswer:
    """Await an answer; raise what `wait_for_better` returns if that is sooner."""
    received: list[IncomingAnswer] = []
    reasons: list[BanyanseamError] = []
    with anyio.CancelScope() as scope:

        async def receive_answer() -> None:
            received.append(await pending)

        async def abandon() -> None:
            reasons.append(await wait_for_better())
            scope.cancel()

        await run_with_watch(receive_answer(), abandon)
    if not received:
        raise reasons[0]
    return received[0]


async def run_with_watch(
    main: Awaitable[None], watch: Callable[[], Awaitable[None]]
) -> None:
    """Await `main` while `watch` runs, and raise what `main` raises."""
    # Errors are raised after the task group has ended, since it would wrap them in an
    # exception group.
    failures: list[BanyanseamError] = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch)
        try:
            await main
        except BanyanseamError as error:
            failures.append(error)
        tasks.cancel_scope.cancel()
    if failures:
        raise failures[0]


async def _request_answer(
    connection: Connection, outgoing: OutgoingRequest, *, is_kept: bool
) -> IncomingAnswer:
    """Return the answer once the first bytes of its body have arrived.

    Engines send the headers at once, and the first event after the prefill.
    """
    http, stream = connection.http, connection.stream
    headers = list(outgoing.headers)
    if not is_kept:
        headers.append((b"connection", b"close"))
    if outgoing.body or outgoing.method in ("POST", "PUT", "PATCH"):
        headers.append((b"content-length", str(len(outgoing.body)).encode()))
    host, port = split_address(outgoing.address)
    url = httpcore.URL(
        scheme=b"http", host=host.encode(), port=port, target=outgoing.target
    )
    request = httpcore.Request(
        outgoing.method, url, headers=headers, content=outgoing.body
    )
    try:
        with anyio.fail_after(outgoing.first_byte_timeout_s):
            # Interim answers count too: they may come without end.
            stream.limit_reads(MAX_HEAD_BYTES)
            response = await http.handle_async_request(request)
            stream.limit_reads(None)
            body = _read_body(response, outgoing.address)
            first = await anext(body, b"")
    except TimeoutError as error:
        raise UpstreamTimedOut(f"{outgoing.address}: no answer in time") from error
    except _HTTP_ERRORS as error:
        detail = f"{outgoing.address}: {type(error).__name__}"
        raise ConnectionBroken(detail) from error
    if not is_answer_status(response.status):
        raise ConnectionBroken(f"{outgoing.address}: status {response.status}")
    return IncomingAnswer(response.status, response.headers, _prepend(first, body))


async def _prepend(first: bytes, rest: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    yield first
    async for chunk in rest:
        yield chunk


async def _read_body(response: httpcore.Response, address: str) -> AsyncIterator[bytes]:
    try:
        async for chunk in response.stream:
            yield chunk
        # Without this, the connection can't be reused.
        await response.aclose()
    except _HTTP_ERRORS as error:
        raise ConnectionBroken(f"{address}: {type(error).__name__}") from error
