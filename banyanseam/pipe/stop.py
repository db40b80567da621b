"""Refuse requests that this process could not answer to their end."""

from collections.abc import Callable

from banyanseam.pipe.errors import MayOutlastStop
from banyanseam.pipe.models import Exchange, Filter, Next


def refuse_outlasting(may_outlast: Callable[[float], bool]) -> Filter:
    """Return the filter that compares a request's deadline with a planned stop.

    `may_outlast` returns whether a request with that deadline could be cut off. How
    long the request will take is not estimated.
    """

    async def filter_(exchange: Exchange, next_: Next) -> None:
        if may_outlast(exchange.deadline_s):
            raise MayOutlastStop(retry_after_ms=0)
        await next_(exchange)

    return filter_
