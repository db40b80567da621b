"""Finds the home seat of a key; does no I/O.

The home depends on the published configuration only, so that every daemon that a
caller resends to finds the same one, whichever daemons it assumes to be alive. It
lies in a region where the request may be served, and where the service has upstreams
if any such region exists. A key of the form `region:rest` names the region itself, so
that a partitioned region can still accept such keys.
"""

from dataclasses import dataclass

from banyanseam.config.compiled import Config
from banyanseam.idempotency.const import REGION_SEPARATOR
from banyanseam.idempotency.errors import HomeUnreachable, KeyRegionExcluded
from banyanseam.idempotency.models import Scope
from banyanseam.peers.rendezvous import rank

Regions = frozenset[str]


@dataclass(frozen=True, slots=True)
class Mapping:
    """The parts of a configuration that determine the homes of keys."""

    seats: dict[str, tuple[str, ...]]
    regions_by_service: dict[str, Regions]
    service_by_route: dict[str, str | None]
    regions_by_route: dict[str, Regions]
    regions_by_organisation: dict[str, Regions]


def make_mapping(config: Config) -> Mapping:
    """Return a configuration's mapping; equal mappings give each key the same home.

    An upstream that is leaving is included, so that a rolling replacement moves no
    homes.
    """
    services: dict[str, set[str]] = {}
    for upstream in config.upstreams.values():
        for service in upstream.serves:
            services.setdefault(service, set()).add(upstream.region)
    return Mapping(
        seats={
            region: tuple(seat.name for seat in config.seats_of(region))
            for region in sorted(config.regions)
            if config.seats_of(region)
        },
        regions_by_service={name: frozenset(found) for name, found in services.items()},
        service_by_route={
            route.name: route.service for route in config.routes.values()
        },
        regions_by_route={
            route.name: route.regions
            for route in config.routes.values()
            if route.regions is not None
        },
        regions_by_organisation={
            organisation.name: organisation.regions
            for organisation in config.organisations.values()
            if organisation.regions is not None
        },
    )


def find_home(mapping: Mapping, scope: Scope, route: str) -> str:
    """Return the home seat of a key.

    Raise KeyRegionExcluded when the key names a region that may not serve the
    request, HomeUnreachable when no allowed region has a seat.
    """
    allowed = _find_allowed(mapping, scope.organisation, route)
    named = scope.key.partition(REGION_SEPARATOR)[0]
    if REGION_SEPARATOR in scope.key and named in mapping.seats:
        if named not in allowed:
            raise KeyRegionExcluded(named)
        return _pick(mapping.seats[named], scope)
    service = mapping.service_by_route.get(route)
    serving = mapping.regions_by_service.get(service, allowed) & allowed
    if not serving and not allowed:
        raise HomeUnreachable("no region that may serve this request has a daemon")
    region = _pick(tuple(sorted(serving or allowed)), scope)
    return _pick(mapping.seats[region], scope)


def _find_allowed(mapping: Mapping, organisation: str, route: str) -> Regions:
    regions = frozenset(mapping.seats)
    for rule in (
        mapping.regions_by_route.get(route),
        mapping.regions_by_organisation.get(organisation),
    ):
        if rule is not None:
            regions &= rule
    return regions


def _pick(names: tuple[str, ...], scope: Scope) -> str:
    """Return the first name by rendezvous hashing."""
    return rank(names, f"{scope.organisation}\0{scope.key}")[0]
