"""A request as it leaves this process: what is told beside it, how long it may take."""

from banyanseam.entry.const import CONNECT_TIMEOUT_S, FIRST_BYTE_WAIT_SHARE
from banyanseam.entry.exchange import Exchange
from banyanseam.entry.models import Headers, SendOrder
from banyanseam.entry.sending import Outgoing


def make_outgoing(
    exchange: Exchange, address: str, headers: Headers, now_s: float
) -> Outgoing:
    """Return the request for an upstream or a peer."""
    return Outgoing(
        address=address,
        method=exchange.head.method,
        target=exchange.head.target,
        headers=headers,
        body=exchange.body,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        patience_s=_choose_patience_s(exchange, now_s),
    )


def make_order(
    exchange: Exchange,
    upstream_id: str | None,
    now_s: float,
    left_cut_ms: float = 0.0,
) -> SendOrder:
    """Return what goes beside the caller's own headers; a resume goes on."""
    organisation = exchange.organisation
    last_event_id = exchange.head.last_event_id
    if exchange.last_event is not None:
        last_event_id = str(exchange.last_event)
    return SendOrder(
        upstream_id=upstream_id,
        organisation=None if organisation is None else organisation.name,
        left_ms=int(exchange.left_ms(now_s) - left_cut_ms),
        urgency=exchange.urgency,
        last_event_id=last_event_id,
    )


def _choose_patience_s(exchange: Exchange, now_s: float) -> float:
    left_s = exchange.left_ms(now_s) / 1000
    is_last = exchange.sends + 1 >= exchange.max_attempts
    if is_last or not exchange.may_go_on:
        return left_s
    return left_s * FIRST_BYTE_WAIT_SHARE
