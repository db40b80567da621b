"""Sending to upstreams, with it exact whether the first byte was written.

The answer to "may it have run?" hangs on the moment when httpcore starts to write the
request. A call that may not be repeated gets a connection of its own: a kept-alive one
that the upstream closes at that moment would turn a request that never ran into one
with an unknown outcome.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

import httpcore

from banyanseam.config.compiled import Upstream
from banyanseam.errors import BanyanseamError
from banyanseam.upstreams.connections import Connections
from banyanseam.upstreams.const import (
    CONNECT_TIMEOUT_S,
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

_NOT_PASSED_ON = frozenset(
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
    """What is sent to an upstream; header names are in lower case."""

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    is_idempotent: bool
    read_timeout_s: float = READ_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """An answer whose body is still to be read."""

    status: int
    headers: Headers
    body: AsyncIterator[bytes]

    def find_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, by its name in lower case."""
        return next((value for key, value in self.headers if key == name), None)


class UpstreamClient:
    """Connections to every upstream, bounded for each."""

    def __init__(self) -> None:
        """Open no connection yet."""
        self._pools: dict[tuple[str, bool, int], Connections] = {}

    @asynccontextmanager
    async def open(
        self,
        upstream: Upstream,
        request: UpstreamRequest,
        note_started: Callable[[], None],
    ) -> AsyncIterator[UpstreamResponse]:
        """Send a request and give its answer while the context is open.

        `note_started` is called just before the first byte is written. Raise
        UpstreamUnreachable before that, UpstreamRefused when the upstream proved that
        it did not start, else UpstreamFailed; reading the body may raise it too.
        """
        is_started = False

        def note() -> None:
            nonlocal is_started
            is_started = True
            note_started()

        message = _make_request(upstream, request)
        connections = self._get_pool(upstream, request.is_idempotent)
        async with AsyncExitStack() as stack:
            try:
                connection = await stack.enter_async_context(
                    connections.take(POOL_TIMEOUT_S)
                )
                connection.stream.before_write = note
                response = await connection.http.handle_async_request(message)
                stack.push_async_callback(response.aclose)
            except (httpcore.NetworkError, httpcore.ProtocolError) as error:
                raise _translate(error, upstream, is_started) from error
            except httpcore.TimeoutException as error:
                raise _translate(error, upstream, is_started) from error
            _check_answer(upstream, request, response)
            yield UpstreamResponse(
                status=response.status,
                headers=_lower_names(response.headers),
                body=_read_body(response, upstream),
            )

    async def close_idle(self, upstreams: dict[str, Upstream]) -> None:
        """Close the connections to addresses that are no longer published."""
        addresses = {upstream.address for upstream in upstreams.values()}
        for key in [key for key in self._pools if key[0] not in addresses]:
            if self._pools[key].is_unused:
                await self._pools.pop(key).aclose()

    async def aclose(self) -> None:
        """Close every connection."""
        while self._pools:
            _, pool = self._pools.popitem()
            await pool.aclose()

    def _get_pool(self, upstream: Upstream, is_reusable: bool) -> Connections:
        key = upstream.address, is_reusable, upstream.max_in_flight
        if key not in self._pools:
            self._pools[key] = Connections(
                _make_url(upstream, "/").origin,
                upstream.max_in_flight + SPARE_CONNECTIONS,
                reuses=is_reusable,
            )
        return self._pools[key]


def make_headers(upstream: Upstream, request: UpstreamRequest) -> Headers:
    """Return the headers for the upstream, without any credentials of the caller."""
    named = b",".join(value for key, value in request.headers if key == b"connection")
    hop_by_hop = {name.strip().lower() for name in named.split(b",")}
    headers = [
        (key, value)
        for key, value in request.headers
        if key not in _NOT_PASSED_ON and key not in hop_by_hop
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
    """Raise when the answer is a proven refusal or another request's."""
    headers = dict(_lower_names(response.headers))
    if response.status == 503 and headers.get(b"x-not-started") == b"true":
        raise UpstreamRefused(upstream.name, retry_after_ms=_read_retry(headers))
    answered = headers.get(b"x-request-id")
    if answered is not None and answered != request.request_id.encode():
        raise UpstreamFailed(f"{upstream.name} sent the answer to another request")


def _read_retry(headers: dict[bytes, bytes]) -> int | None:
    value = headers.get(b"retry-after", b"")
    return 1000 * int(value) if value.isdigit() and len(value) < 6 else None


async def _read_body(
    response: httpcore.Response, upstream: Upstream
) -> AsyncIterator[bytes]:
    try:
        async for chunk in response.stream:
            yield chunk
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        raise _translate(error, upstream, is_started=True) from error
    except httpcore.TimeoutException as error:
        raise _translate(error, upstream, is_started=True) from error


def _translate(
    error: Exception, upstream: Upstream, is_started: bool
) -> BanyanseamError:
    detail = f"{upstream.name}: {type(error).__name__}"
    if not is_started:
        return UpstreamUnreachable(detail)
    if isinstance(error, httpcore.TimeoutException):
        return UpstreamTimedOut(detail)
    return UpstreamFailed(detail)
