"""Builds requests to upstreams and peers, with their metadata and timeouts."""

from banyanseam.entry.const import CONNECT_TIMEOUT_S
from banyanseam.entry.exchange import Exchange
from banyanseam.entry.models import Headers, SendMetadata
from banyanseam.entry.sending import OutgoingRequest


def make_outgoing(
    exchange: Exchange,
    address: str,
    headers: Headers,
    now_s: float,
    *,
    max_idle_s: float = 0.0,
) -> OutgoingRequest:
    """Return a request to an upstream or a peer.

    `max_idle_s`: how long a connection may have been idle that it reuses.
    """
    return OutgoingRequest(
        address=address,
        method=exchange.head.method,
        target=exchange.head.target,
        headers=headers,
        body=exchange.body,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        first_byte_timeout_s=exchange.left_ms(now_s) / 1000,
        max_idle_s=max_idle_s,
    )


def make_send_metadata(
    exchange: Exchange,
    upstream_id: str | None,
    now_s: float,
    latency_ms: float = 0.0,
) -> SendMetadata:
    """Return the values that are sent in addition to the caller's own headers.

    A resumed stream continues after the last event that the caller got. `latency_ms`,
    the one-way delay to the receiver, is subtracted from the time left.
    """
    organisation = exchange.organisation
    last_event_id = exchange.head.last_event_id
    if exchange.last_event is not None:
        last_event_id = str(exchange.last_event)
    return SendMetadata(
        upstream_id=upstream_id,
        organisation=None if organisation is None else organisation.name,
        left_ms=int(exchange.left_ms(now_s) - latency_ms),
        urgency=exchange.urgency,
        last_event_id=last_event_id,
    )
