"""Rules that span several parts of the published documents."""

from collections.abc import Iterator
from itertools import combinations
from typing import Final

from banyanseam.config.addresses import can_be_dialled
from banyanseam.config.compiled import Route
from banyanseam.config.errors import InvalidConfig
from banyanseam.config.models import BaseDocument, SiteDocument, UpstreamDocument

# Paths that the daemons answer themselves.
RESERVED_PATHS: Final = ("/v1/entries", "/v1/tickets", "/health/", "/.well-known/")

Sites = dict[str, SiteDocument]


def check_sites(sites: Sites) -> None:
    """Refuse a fleet without sites and a region without seats."""
    if not sites:
        raise InvalidConfig("$.sites", "there is no site; publish at least one overlay")
    for region, site in sites.items():
        if not site.seats:
            raise InvalidConfig(
                f"$.sites.{region}.seats",
                "the region has no seat; add one or leave the region out",
            )


def check_addresses(sites: Sites) -> None:
    """Refuse addresses that cannot be dialled or that two things share."""
    holders: dict[str, str] = {}
    for path, address in _list_seat_addresses(sites):
        _claim(holders, path, address)
    daemons = dict(holders)
    for path, upstream in _list_upstreams(sites):
        if upstream.address in daemons:
            raise InvalidConfig(
                f"{path}.address",
                f"this is the daemon's address at {daemons[upstream.address]}; "
                "name the replica's own, since a request must never loop",
            )
        _claim(holders, f"{path}.address", upstream.address)


def check_desired(base: BaseDocument, sites: Sites) -> None:
    """Refuse desired models without a weight store or that leave a served one out."""
    for path, upstream in _list_upstreams(sites):
        if upstream.desired is None:
            continue
        if upstream.kind != "model":
            raise InvalidConfig(
                f"{path}.desired", "a plain service takes no orders; leave it out"
            )
        if base.weight_store is None:
            raise InvalidConfig(
                "$.weight_store", "engines are told what to load; name the store's rate"
            )
        loaded = set(upstream.desired.models)
        for model in upstream.desired.models.values():
            loaded.update(model.adapters)
        missing = sorted(set(upstream.serves) - loaded)
        if missing:
            raise InvalidConfig(
                f"{path}.desired.models",
                f"the upstream serves {missing[0]}; add it to what it loads",
            )


def check_routes(routes: dict[str, Route]) -> None:
    """Refuse prefixes that overlap one another or the daemons' own paths."""
    for route in routes.values():
        path = f"$.routes.{route.name}.path_prefix"
        if {".", ".."} & set(route.path_prefix.split("/")):
            raise InvalidConfig(path, "leave . and .. out of the prefix")
        for reserved in RESERVED_PATHS:
            if _overlap(route.path_prefix, reserved):
                raise InvalidConfig(
                    path, f"overlaps the daemons' own {reserved}; choose another"
                )
    for first, second in combinations(routes.values(), 2):
        if _overlap(first.path_prefix, second.path_prefix):
            raise InvalidConfig(
                f"$.routes.{second.name}.path_prefix",
                f"overlaps the prefix of route {first.name}; make neither begin "
                "with the other",
            )


def check_kinds(base: BaseDocument) -> None:
    """Refuse routes whose service or class does not fit their kind."""
    for name, route in base.routes.items():
        path = f"$.routes.{name}"
        if route.kind == "service" and route.service is None:
            raise InvalidConfig(
                f"{path}.service", "name the service that the route leads to"
            )
        if route.kind == "model" and route.service is not None:
            raise InvalidConfig(
                f"{path}.service", "a model route leads to no service; leave it out"
            )
        if (route.kind == "service") != (route.request_class == "service"):
            raise InvalidConfig(
                f"{path}.request_class",
                "the class service goes with the kind service; use quick or long "
                "for models",
            )


def check_upstream_kinds(base: BaseDocument, sites: Sites) -> None:
    """Refuse a model upstream that claims to serve a routed service."""
    services = {route.service for route in base.routes.values()} - {None}
    for path, upstream in _list_upstreams(sites):
        claimed = sorted(services & set(upstream.serves))
        if upstream.kind == "model" and claimed:
            raise InvalidConfig(
                f"{path}.kind", f"{claimed[0]} is a service; make the kind service"
            )


def check_upstreams_of_routes(routes: dict[str, Route], sites: Sites) -> None:
    """Refuse a route that no upstream in its regions serves.

    A leaving upstream counts: if its mark had the whole version refused, the daemons
    would go on sending it work.
    """
    for route in routes.values():
        able = {
            region
            for region, site in sites.items()
            if any(_serves(one, route) for one in site.upstreams.values())
        }
        wanted = f"service {route.service}" if route.service else "a model"
        if not able and route.service:
            raise InvalidConfig(
                f"$.routes.{route.name}.service",
                f"no upstream serves {wanted}; add one to a site first",
            )
        if able and route.regions is not None and not able & route.regions:
            raise InvalidConfig(
                f"$.routes.{route.name}.residency",
                f"no region of the rule has an upstream for {wanted}; add one there "
                "or widen the rule",
            )


def check_reach(
    organisations: dict[str, frozenset[str] | None],
    routes: dict[str, Route],
    sites: Sites,
) -> None:
    """Refuse rules that shut an organisation or a region's upstreams out."""
    reached: set[str] = set()
    everywhere = frozenset(sites)
    for route in routes.values():
        if route.open_to_all:
            reached |= route.regions or everywhere
    for name, own in organisations.items():
        allowed: set[str] = set()
        for route in routes.values():
            allowed |= (own or everywhere) & (route.regions or everywhere)
        if routes and not allowed:
            raise InvalidConfig(
                f"$.organisations.{name}.residency",
                "its rule shares no region with the rule of any route; widen one",
            )
        reached |= allowed
    if not organisations or not routes:
        return
    for region, site in sites.items():
        if site.upstreams and region not in reached:
            raise InvalidConfig(
                f"$.sites.{region}.upstreams",
                "no rule allows this region; name it in one or remove its upstreams",
            )


def _overlap(first: str, second: str) -> bool:
    return first.startswith(second) or second.startswith(first)


def _serves(upstream: UpstreamDocument, route: Route) -> bool:
    if route.is_model:
        return upstream.kind == "model"
    return upstream.kind == "service" and route.service in upstream.serves


def _list_seat_addresses(sites: Sites) -> Iterator[tuple[str, str]]:
    for region, site in sites.items():
        for name, seat in site.seats.items():
            path = f"$.sites.{region}.seats.{name}"
            yield f"{path}.callers_address", seat.callers_address
            yield f"{path}.peers_address", seat.peers_address


def _list_upstreams(sites: Sites) -> Iterator[tuple[str, UpstreamDocument]]:
    for region, site in sites.items():
        for name, upstream in site.upstreams.items():
            yield f"$.sites.{region}.upstreams.{name}", upstream


def _claim(holders: dict[str, str], path: str, address: str) -> None:
    if not can_be_dialled(address):
        raise InvalidConfig(path, "name one host's IP address and a port above 0")
    holder = holders.setdefault(address, path)
    if holder != path:
        raise InvalidConfig(path, f"is also the address at {holder}; change one")
