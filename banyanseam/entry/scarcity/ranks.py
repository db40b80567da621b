"""Rank requests by the urgencies of their organisation and of their route.

It answers a shortage of room while all organisations have the same urgency: the
organisation's precedes the route's, but the route's still decides among its requests.
"""

from collections.abc import Collection, Mapping
from typing import Final

# Engines know this many ranks; 0 is served first.
RANKS: Final = 10


def rank_urgencies(
    organisations: Collection[int | None], routes: Collection[int]
) -> Mapping[tuple[int | None, int], int]:
    """Return the rank for each urgency of an organisation and of a route.

    An organisation without an urgency, or no organisation, is None: then the route's
    urgency stands for both. If no organisation has one, ranks are the routes' own.
    """
    if all(each is None for each in organisations):
        return {(None, route): route for route in routes}
    pairs = {
        (organisation, route): (route if organisation is None else organisation, route)
        for organisation in {*organisations, None}
        for route in routes
    }
    order = sorted(set(pairs.values()))
    steps = max(RANKS - 1, len(order) - 1)
    return {
        pair: order.index(key) * (RANKS - 1) // steps for pair, key in pairs.items()
    }
