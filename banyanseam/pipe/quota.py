"""Charge the organisation's quota before a request runs and settle it afterwards."""

import anyio

from banyanseam.pipe.models import Exchange, Filter, Next
from banyanseam.quota.client import QuotaClient
from banyanseam.quota.const import SETTLE_TIMEOUT_S


def count_used_tokens(exchange: Exchange) -> int:
    """Return the tokens used, estimated where not reported; 0 if nothing was sent."""
    if not exchange.upstream_started:
        return 0
    cost, usage = exchange.cost, exchange.usage
    prompt, output = usage.prompt_tokens, usage.output_tokens
    return (cost.prompt_tokens if prompt is None else prompt) + (
        cost.max_output_tokens if output is None else output
    )


def charge_quota(client: QuotaClient) -> Filter:
    """Return the filter that rejects requests over an organisation's quota."""

    async def charge_and_settle(exchange: Exchange, next_: Next) -> None:
        if exchange.organisation is None:
            await next_(exchange)
            return
        charge = await client.charge(
            exchange.organisation.name, exchange.cost.total_tokens, exchange.deadline_s
        )
        try:
            await next_(exchange)
        finally:
            with anyio.move_on_after(SETTLE_TIMEOUT_S, shield=True):
                await client.settle(charge, count_used_tokens(exchange))

    return charge_and_settle
