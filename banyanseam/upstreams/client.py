"""HTTP client for upstreams that reports exactly whether a first byte was written.

Whether a request may have run depends on whether httpcore started to write it. A
request that is not idempotent gets a new connection: if the upstream closed a
kept-alive one during the write, a request that never ran would have an unknown outcome.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import httpcore

from banyanseam.config.compiled import Upstream
from banyanseam.errors import BanyanseamError
from banyanseam.upstreams.connections import (
    Connection,
    ConnectionPool,
    is_answer_status,
)
from banyanseam.upstreams.const import (
    CONNECT_TIMEOUT_S,
    MAX_ANSWER_HEAD_BYTES,
    POOL_TIMEOUT_S,
    READ_TIMEOUT_S,
    SPARE_CONNECTIONS,
    VIA,
    WRITE_TIMEOUT_S,
)
from banyanseam.upstreams.errors import (
    UpstreamFailed,
    UpstreamRefused,
    UpstreamTimedOut,
    UpstreamUnreachable,
)

Headers = list[tuple[bytes, bytes]]

_HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
_NOT_FORWARDED = frozenset(
    {
        b"authorization",
        b"connection",
        b"content-length",
        b"cookie",
        b"expect",
        b"forwarded",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"via",
        b"x-api-key",
        b"x-request-id",
    }
)


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request to an upstream; header names are in lower case."""

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    is_idempotent: bool
    read_timeout_s: float = READ_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """An answer whose body is still to be read."""

    status: int
    headers: Headers
    body: AsyncIterator[bytes]

    def find_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, by its name in lower case."""
        return next((value for key, value in self.headers if key == name), None)


class UpstreamClient:
    """HTTP client with a bounded connection pool for each upstream."""

    def __init__(self) -> None:
        """Start without connections."""
        self._pools: dict[tuple[str, bool, int], ConnectionPool] = {}

    @asynccontextmanager
    async def open(
        self,
        upstream: Upstream,
        request: UpstreamRequest,
        record_started: Callable[[], None],
    ) -> AsyncIterator[UpstreamAnswer]:
        """Send a request and yield its answer, valid while the context is open.

        `record_started` is called just before the first byte is written. Raise
        UpstreamUnreachable before that, UpstreamRefused if the upstream proved that
        it did not start, else UpstreamFailed or UpstreamTimedOut; reading the body may
        raise the last two as well.
        """
        is_started = False

        def mark_started() -> None:
            nonlocal is_started
            is_started = True
            record_started()

        message = _make_request(upstream, request)
        connections = self._get_connections(upstream, request.is_idempotent)
        connection: Connection | None = None
        response: httpcore.Response | None = None
        try:
            try:
                connection = await connections.acquire(POOL_TIMEOUT_S)
                connection.stream.before_write = mark_started
                # Interim answers count too: they may come without end.
                connection.stream.limit_reads(MAX_ANSWER_HEAD_BYTES)
                response = await connection.http.handle_async_request(message)
                connection.stream.limit_reads(None)
            except _HTTP_ERRORS as error:
                if not isinstance(error, httpcore.TimeoutException):
                    # The process may be gone, and the idle connections with it.
                    await connections.aclose()
                raise _make_upstream_error(error, upstream, is_started) from error
            _check_answer(upstream, request, response)
            yield UpstreamAnswer(
                status=response.status,
                headers=_lower_names(response.headers),
                body=_read_body(response, upstream),
            )
        finally:
            if connection is not None:
                await _close_response(connections, connection, response)

    async def close_unpublished(self, upstreams: dict[str, Upstream]) -> None:
        """Close unused connection pools whose address is no longer published."""
        addresses = {upstream.address for upstream in upstreams.values()}
        for key in [key for key in self._pools if key[0] not in addresses]:
            if self._pools[key].is_unused:
                await self._pools.pop(key).aclose()

    async def aclose(self) -> None:
        """Close every connection."""
        while self._pools:
            _, pool = self._pools.popitem()
            await pool.aclose()

    def _get_connections(self, upstream: Upstream, is_reusable: bool) -> ConnectionPool:
        key = upstream.address, is_reusable, upstream.max_in_flight
        if key not in self._pools:
            self._pools[key] = ConnectionPool(
                _make_url(upstream, "/").origin,
                upstream.max_in_flight + SPARE_CONNECTIONS,
                reuses=is_reusable,
            )
        return self._pools[key]


def make_headers(upstream: Upstream, request: UpstreamRequest) -> Headers:
    """Return the headers to send, without hop-by-hop headers or caller credentials."""
    connection_options = b",".join(
        value for key, value in request.headers if key == b"connection"
    )
    hop_by_hop = {name.strip().lower() for name in connection_options.split(b",")}
    headers = [
        (key, value)
        for key, value in request.headers
        if key not in _NOT_FORWARDED and key not in hop_by_hop
    ]
    headers.append((b"host", upstream.address.encode()))
    headers.append((b"via", VIA))
    headers.append((b"x-request-id", request.request_id.encode()))
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        headers.append((b"content-length", str(len(request.body)).encode()))
    if not request.is_idempotent:
        headers.append((b"connection", b"close"))
    return headers


def _make_request(upstream: Upstream, request: UpstreamRequest) -> httpcore.Request:
    return httpcore.Request(
        method=request.method,
        url=_make_url(upstream, request.target),
        headers=make_headers(upstream, request),
        content=request.body,
        extensions={
            "timeout": {
                "connect": CONNECT_TIMEOUT_S,
                "pool": POOL_TIMEOUT_S,
                "read": request.read_timeout_s,
                "write": WRITE_TIMEOUT_S,
            },
        },
    )


def _make_url(upstream: Upstream, target: str) -> httpcore.URL:
    host, _, port = upstream.address.rpartition(":")
    return httpcore.URL(
        scheme=b"http",
        host=host.strip("[]").encode(),
        port=int(port),
        target=target.encode("ascii"),
    )


def _lower_names(headers: Headers) -> Headers:
    return [(key.lower(), value) for key, value in headers]


def _check_answer(
    upstream: Upstream, request: UpstreamRequest, response: httpcore.Response
) -> None:
    """Raise if it is no answer, belongs to another request or proves a refusal."""
    if not is_answer_status(response.status):
        raise UpstreamFailed(f"{upstream.name} sent status {response.status}")
    headers = dict(_lower_names(response.headers))
    answer_id = headers.get(b"x-request-id")
    if answer_id is not None and answer_id != request.request_id.encode():
        raise UpstreamFailed(f"{upstream.name} sent the answer to another request")
    if response.status == 503 and headers.get(b"x-not-started") == b"true":
        raise UpstreamRefused(upstream.name, retry_after_ms=_parse_retry_ms(headers))


def _parse_retry_ms(headers: dict[bytes, bytes]) -> int | None:
    value = headers.get(b"retry-after", b"")
    return 1000 * int(value) if value.isdigit() and len(value) < 6 else None


async def _read_body(
    response: httpcore.Response, upstream: Upstream
) -> AsyncIterator[bytes]:
    try:
        async for chunk in response.stream:
            yield chunk
    except _HTTP_ERRORS as error:
        raise _make_upstream_error(error, upstream, is_started=True) from error


async def _close_response(
    connections: ConnectionPool,
    connection: Connection,
    response: httpcore.Response | None,
) -> None:
    try:
        if response is not None:
            await response.aclose()
    finally:
        await connections.release(connection)


def _make_upstream_error(
    error: Exception, upstream: Upstream, is_started: bool
) -> BanyanseamError:
    detail = f"{upstream.name}: {type(error).__name__}"
    if not is_started:
        return UpstreamUnreachable(detail)
    if isinstance(error, httpcore.TimeoutException):
        return UpstreamTimedOut(detail)
    return UpstreamFailed(detail)
