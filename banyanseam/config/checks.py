"""Validation rules that span several parts of the published documents."""

from collections.abc import Iterator
from itertools import combinations
from typing import Final

from banyanseam.config.addresses import is_connectable
from banyanseam.config.compiled import Route
from banyanseam.config.errors import InvalidConfig
from banyanseam.config.models import BaseDocument, SiteDocument, UpstreamDocument

# Paths that the daemons serve themselves; no route may overlap them.
RESERVED_PATHS: Final = ("/v1/entries", "/v1/tickets", "/health/", "/.well-known/")

Sites = dict[str, SiteDocument]


def check_sites(sites: Sites) -> None:
    """Reject a fleet without sites and a region without seats."""
    if not sites:
        raise InvalidConfig("$.sites", "there is no site; publish at least one overlay")
    for region, site in sites.items():
        if not site.seats:
            raise InvalidConfig(
                f"$.sites.{region}.seats",
                "the region has no seat; add one or leave the region out",
            )


def check_addresses(sites: Sites) -> None:
    """Reject addresses that can't be connected to or that are used twice.

    An upstream with a daemon's address would make requests loop.
    """
    paths_by_address: dict[str, str] = {}
    for path, address in _list_seat_addresses(sites):
        _claim_address(paths_by_address, path, address)
    daemons = dict(paths_by_address)
    for path, upstream in _list_upstreams(sites):
        if upstream.address in daemons:
            raise InvalidConfig(
                f"{path}.address",
                f"is the daemon's address at {daemons[upstream.address]}, so requests "
                "would loop; set the replica's own address",
            )
        _claim_address(paths_by_address, f"{path}.address", upstream.address)


def check_desired(base: BaseDocument, sites: Sites) -> None:
    """Reject `desired` on a service, without a weight store or without a served name.

    Each name in `serves` must be a desired model or one of its adapters.
    """
    for path, upstream in _list_upstreams(sites):
        if upstream.desired is None:
            continue
        if upstream.kind != "model":
            raise InvalidConfig(
                f"{path}.desired",
                "applies to model upstreams only; remove it from a plain service",
            )
        if base.weight_store is None:
            raise InvalidConfig(
                "$.weight_store",
                "required when an upstream has `desired`; set rate_bytes_per_s",
            )
        loaded = set(upstream.desired.models)
        for model in upstream.desired.models.values():
            loaded.update(model.adapters)
        missing = sorted(set(upstream.serves) - loaded)
        if missing:
            raise InvalidConfig(
                f"{path}.desired.models",
                f"the upstream serves {missing[0]}; add it to the desired models",
            )


def check_routes(routes: dict[str, Route]) -> None:
    """Reject prefixes with . or .. segments, and those that overlap other paths.

    These are the prefixes of other routes and the paths that daemons serve themselves.
    """
    for route in routes.values():
        path = f"$.routes.{route.name}.path_prefix"
        if {".", ".."} & set(route.path_prefix.split("/")):
            raise InvalidConfig(
                path, "must not contain . or .. as a path segment; remove them"
            )
        for reserved in RESERVED_PATHS:
            if _overlap(route.path_prefix, reserved):
                raise InvalidConfig(
                    path, f"overlaps the reserved path {reserved}; choose another"
                )
    for first, second in combinations(routes.values(), 2):
        if _overlap(first.path_prefix, second.path_prefix):
            raise InvalidConfig(
                f"$.routes.{second.name}.path_prefix",
                f"overlaps the prefix of route {first.name}; neither may start "
                "with the other; change one",
            )


def check_kinds(base: BaseDocument) -> None:
    """Reject routes whose service or request class doesn't match their kind."""
    for name, route in base.routes.items():
        path = f"$.routes.{name}"
        if route.kind == "service" and route.service is None:
            raise InvalidConfig(
                f"{path}.service", "required for a service route; name the service"
            )
        if route.kind == "model" and route.service is not None:
            raise InvalidConfig(
                f"{path}.service", "not allowed for a model route; remove it"
            )
        if (route.kind == "service") != (route.request_class == "service"):
            raise InvalidConfig(
                f"{path}.request_class",
                "must be service for a route of kind service, and quick or long for "
                "a model route",
            )


def check_upstream_kinds(base: BaseDocument, sites: Sites) -> None:
    """Reject a model upstream that lists a routed service in `serves`."""
    services = {route.service for route in base.routes.values()} - {None}
    for path, upstream in _list_upstreams(sites):
        claimed = sorted(services & set(upstream.serves))
        if upstream.kind == "model" and claimed:
            raise InvalidConfig(
                f"{path}.kind",
                f"the upstream serves {claimed[0]}, a service; set the kind to service",
            )


def check_upstreams_of_routes(routes: dict[str, Route], sites: Sites) -> None:
    """Reject a route that no upstream in its regions serves.

    A leaving upstream counts. Otherwise, marking a route's last upstream as leaving
    would get the whole version rejected, and the daemons would go on sending it work.
    A model route is accepted when no region has a model upstream.
    """
    for route in routes.values():
        capable_regions = {
            region
            for region, site in sites.items()
            if any(_serves(one, route) for one in site.upstreams.values())
        }
        wanted = f"service {route.service}" if route.service else "a model"
        if not capable_regions and route.service:
            raise InvalidConfig(
                f"$.routes.{route.name}.service",
                f"no upstream serves {wanted}; add one to a site first",
            )
        if (
            capable_regions
            and route.regions is not None
            and not capable_regions & route.regions
        ):
            raise InvalidConfig(
                f"$.routes.{route.name}.residency",
                f"no region of the residency rule has an upstream for {wanted}; "
                "add one or extend the rule",
            )


def check_reachable_regions(
    organisations: dict[str, frozenset[str] | None],
    routes: dict[str, Route],
    sites: Sites,
) -> None:
    """Reject residency rules that exclude an organisation or a region's upstreams.

    An organisation must share a region with some route, and in a region with upstreams
    some route must be allowed for some organisation or be open to all.
    """
    reachable: set[str] = set()
    everywhere = frozenset(sites)
    for route in routes.values():
        if route.open_to_all:
            reachable |= route.regions or everywhere
    for name, own_regions in organisations.items():
        allowed: set[str] = set()
        for route in routes.values():
            allowed |= (own_regions or everywhere) & (route.regions or everywhere)
        if routes and not allowed:
            raise InvalidConfig(
                f"$.organisations.{name}.residency",
                "the residency rule shares no region with the rule of any route; "
                "extend one of them",
            )
        reachable |= allowed
    if not organisations or not routes:
        return
    for region, site in sites.items():
        if site.upstreams and region not in reachable:
            raise InvalidConfig(
                f"$.sites.{region}.upstreams",
                "the residency rules let no request be served in this region; extend "
                "one or remove the region's upstreams",
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


def _claim_address(paths_by_address: dict[str, str], path: str, address: str) -> None:
    if not is_connectable(address):
        raise InvalidConfig(
            path, "must be the IP address of a single host and a port above 0"
        )
    other_path = paths_by_address.setdefault(address, path)
    if other_path != path:
        raise InvalidConfig(
            path, f"is already used at {other_path}; change one of them"
        )
