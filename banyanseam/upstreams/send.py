"""Send an exchange to an upstream and stream the answer back."""

from typing import Any

import httpcore

from banyanseam.config.compiled import Upstream
from banyanseam.pipe.const import HOP_HEADERS, REQUEST_ID_HEADER, VIA_NAME
from banyanseam.pipe.models import Exchange
from banyanseam.upstreams.errors import (
    UpstreamCrossed,
    UpstreamFailed,
    UpstreamUnreachable,
)

_TIMEOUTS_S = {"connect": 2.0, "write": 30.0, "read": 60.0, "pool": 5.0}


class Sender:
    """The connections of this process to upstreams."""

    def __init__(self) -> None:
        """Start without connections."""
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=2000, max_keepalive_connections=200, keepalive_expiry=15
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def send(self, exchange: Exchange, upstream: Upstream) -> None:
        """Stream the upstream's whole answer into the reply.

        Raise UpstreamUnreachable when no byte was sent, else UpstreamFailed.
        """
        exchange.upstream = upstream.name

        async def trace(name: str, _: dict[str, Any]) -> None:
            if name == "http11.send_request_headers.started":
                exchange.upstream_started = True

        url = httpcore.URL(
            scheme=b"http",
            host=upstream.address.rpartition(":")[0].strip("[]").encode(),
            port=int(upstream.address.rpartition(":")[2]),
            target=exchange.path.encode()
            + (b"?" + exchange.query if exchange.query else b""),
        )
        try:
            async with self._pool.stream(
                exchange.method,
                url,
                headers=_make_headers(exchange, upstream),
                content=exchange.body,
                extensions={"timeout": _TIMEOUTS_S, "trace": trace},
            ) as response:
                await self._relay(exchange, response)
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            raise self._explain(exchange, error) from error
        except httpcore.ProtocolError as error:
            raise self._explain(exchange, error) from error

    def _explain(
        self, exchange: Exchange, error: Exception
    ) -> UpstreamFailed | UpstreamUnreachable:
        kind = UpstreamFailed if exchange.upstream_started else UpstreamUnreachable
        return kind(f"{exchange.upstream}: {type(error).__name__}")

    async def _relay(self, exchange: Exchange, response: httpcore.Response) -> None:
        headers = [
            (name.lower(), value)
            for name, value in response.headers
            if name.lower() not in HOP_HEADERS or name.lower() == b"content-length"
        ]
        answered = dict(headers).get(REQUEST_ID_HEADER, exchange.request_id.encode())
        if answered != exchange.request_id.encode():
            raise UpstreamCrossed(exchange.upstream)
        await exchange.reply.start(response.status, headers)
        async for chunk in response.aiter_stream():
            await exchange.reply.send(chunk)


def _make_headers(exchange: Exchange, upstream: Upstream) -> list[tuple[bytes, bytes]]:
    passed = [
        header
        for header in exchange.headers
        if header[0] not in HOP_HEADERS and header[0] != REQUEST_ID_HEADER
    ]
    return [
        (b"host", upstream.address.encode()),
        (b"content-length", str(len(exchange.body)).encode()),
        (b"via", f"1.1 {VIA_NAME}".encode()),
        (REQUEST_ID_HEADER, exchange.request_id.encode()),
        *passed,
    ]
