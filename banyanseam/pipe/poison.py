"""Prevent a request that crashes upstreams from reaching more than two of them."""

from collections.abc import Callable, Sequence

from banyanseam.pipe.models import Exchange, Filter, Next
from banyanseam.poison.const import MAX_AVOIDED_UPSTREAMS
from banyanseam.poison.fingerprint import make_poison_fingerprint
from banyanseam.poison.guard import PoisonGuard, Run
from banyanseam.upstreams.errors import UpstreamFailed, UpstreamTimedOut

# Lists every upstream that may serve the exchange, the best candidate first.
ListUpstreams = Callable[[Exchange], Sequence[str]]


def contain_poison(guard: PoisonGuard, list_upstreams: ListUpstreams) -> Filter:
    """Return the filter; it runs inside the retry filter, so it sees each attempt.

    A suspect, which may have crashed an upstream before, runs only on the upstream
    assigned to it: all others are avoided, if a reservation can name them all, that is
    up to MAX_AVOIDED_UPSTREAMS candidates.
    """

    async def filter_(exchange: Exchange, next_: Next) -> None:
        # The count tells attempts apart, so that a late report of the first one's
        # end does not end the second.
        holder = f"{exchange.request_id} {len(exchange.avoided_upstreams)}"
        run = Run(make_poison_fingerprint(exchange), holder, exchange.deadline_s)
        upstreams = [
            name
            for name in list_upstreams(exchange)
            if name not in exchange.avoided_upstreams
        ]
        chosen = await guard.admit(run, upstreams)
        avoided = set(exchange.avoided_upstreams)
        if chosen is not None and len(upstreams) <= MAX_AVOIDED_UPSTREAMS:
            exchange.avoided_upstreams.update(set(upstreams) - {chosen})
        guard.begin(run)
        try:
            await next_(exchange)
        except UpstreamTimedOut:
            guard.stop(run)
            raise
        except UpstreamFailed:
            # A forwarded request's crash is counted by the daemon that served it.
            guard.report_crash(run, exchange.upstream or "")
            raise
        except BaseException:
            guard.stop(run)
            raise
        finally:
            exchange.avoided_upstreams = avoided
        guard.complete(run)

    return filter_
