"""Determine the regions that may serve a request."""

from banyanseam.config.compiled import Organisation, Route
from banyanseam.pipe.errors import ResidencyExcluded
from banyanseam.pipe.models import Exchange, Next

Regions = frozenset[str] | None


def intersect(first: Regions, second: Regions) -> Regions:
    """Return the regions that both rules allow; None allows every region."""
    if first is None:
        return second
    if second is None:
        return first
    return first & second


def find_regions(route: Route, organisation: Organisation | None) -> Regions:
    """Return the regions that may serve this organisation's requests on this route."""
    own = organisation.regions if organisation else None
    return intersect(route.regions, own)


def narrow_regions(exchange: Exchange) -> None:
    """Narrow the exchange's regions by the rules of its route and organisation."""
    allowed = find_regions(exchange.route, exchange.organisation)
    exchange.regions = intersect(exchange.regions, allowed)


async def apply_residency(exchange: Exchange, next_: Next) -> None:
    """Narrow the exchange's regions by the rules; refuse when none is left."""
    narrow_regions(exchange)
    if exchange.regions is not None and not exchange.regions:
        raise ResidencyExcluded
    await next_(exchange)
