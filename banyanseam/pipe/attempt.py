"""The last step: send the exchange to the upstream on which it holds capacity."""

import anyio

from banyanseam.config.compiled import Upstream
from banyanseam.pipe.const import HOP_BY_HOP_HEADERS, READ_TIMEOUT_MARGIN_S
from banyanseam.pipe.errors import DeadlineExceeded
from banyanseam.pipe.models import Exchange, Headers, Next
from banyanseam.pipe.stream import relay_chat, relay_events, relay_plain
from banyanseam.upstreams.client import (
    UpstreamAnswer,
    UpstreamClient,
    UpstreamRequest,
)
from banyanseam.upstreams.lease_client import LeaseClient

_EVENT_STREAM = b"text/event-stream"


def make_request(exchange: Exchange) -> UpstreamRequest:
    """Return the request to send to the upstream; raise DeadlineExceeded."""
    remaining_s = exchange.deadline_s - anyio.current_time()
    if remaining_s <= 0:
        raise DeadlineExceeded
    query = f"?{exchange.query.decode('ascii')}" if exchange.query else ""
    return UpstreamRequest(
        request_id=exchange.request_id,
        method=exchange.method,
        target=exchange.raw_path.decode("ascii") + query,
        headers=exchange.headers,
        body=exchange.body,
        is_idempotent=exchange.is_idempotent,
        read_timeout_s=remaining_s + READ_TIMEOUT_MARGIN_S,
    )


def remove_hop_by_hop_headers(headers: Headers) -> Headers:
    """Return an answer's headers without hop-by-hop ones; Content-Length stays."""
    return [
        header
        for header in headers
        if header[0] not in HOP_BY_HOP_HEADERS or header[0] == b"content-length"
    ]


def attempt(lease_client: LeaseClient, client: UpstreamClient) -> Next:
    """Return the step; see UpstreamClient.open for what it raises."""

    async def step(exchange: Exchange) -> None:
        upstream = lease_client.get_upstream(exchange.grant)
        request = make_request(exchange)

        def mark_started() -> None:
            exchange.upstream_started = True

        async with client.open(upstream, request, mark_started) as answer:
            await _relay(exchange, client, upstream, answer)

    return step


async def _relay(
    exchange: Exchange,
    client: UpstreamClient,
    upstream: Upstream,
    answer: UpstreamAnswer,
) -> None:
    headers = remove_hop_by_hop_headers(answer.headers)
    if not exchange.route.is_model or answer.status != 200:
        await relay_plain(exchange, answer, headers)
        return
    content_type = answer.find_header(b"content-type") or b""
    if content_type.startswith(_EVENT_STREAM):
        await relay_events(exchange, client, upstream, answer, headers)
    else:
        await relay_chat(exchange, answer, headers)
