"""Find entries of a configuration that can never match or be served.

Pure functions. All findings are warnings: a daemon accepts such a configuration.
"""

from collections.abc import Iterator

from banyanseam.entry.models import Catalogue, Organisation, Route


def list_unservable(
    catalogue: Catalogue, regions: frozenset[str] | None
) -> Iterator[str]:
    """Yield a sentence for each entry that is of no use.

    `regions` are those of the VMs' settings, None if unknown.
    """
    routes = list_routes(catalogue)
    yield from _list_hidden_routes(catalogue)
    for route in routes:
        yield from _check_route(route, catalogue, regions)
    used = {name for route in routes for name, _ in route.services}
    for name in sorted(catalogue.services.keys() - used):
        yield f"service {name} has no route; it gets no requests"
    for organisation in catalogue.organisations.values():
        yield from _check_organisation(organisation, catalogue, regions)


def list_routes(catalogue: Catalogue) -> list[Route]:
    """Return the routes of all hosts."""
    return [route for routes in catalogue.routes.values() for route in routes]


def describe_route(route: Route) -> str:
    """Return how messages name a route."""
    return f"route {route.name or route.host + route.path_prefix}"


def _list_hidden_routes(catalogue: Catalogue) -> Iterator[str]:
    for host, routes in catalogue.routes.items():
        first: dict[str, Route] = {}
        for route in routes:
            other = first.setdefault(route.path_prefix, route)
            if other is not route:
                yield (
                    f"{describe_route(route)} never matches: {describe_route(other)} "
                    f"has the same prefix on {host}"
                )


def _check_route(
    route: Route, catalogue: Catalogue, regions: frozenset[str] | None
) -> Iterator[str]:
    where = describe_route(route)
    if not route.path_prefix.startswith("/"):
        yield f"{where} never matches: its prefix does not begin with a slash"
    if not route.services:
        yield f"{where} has no service; its requests are refused"
    for name, _ in route.services:
        if name not in catalogue.services:
            yield f"{where} names the unknown service {name}"
    # Without organisations, every request is admitted.
    has_no_key = catalogue.organisations and not catalogue.organisations_by_key
    if has_no_key and not route.is_public:
        yield f"{where} admits nobody: no organisation has a key"
    yield from _check_homes(where, route.home_regions, regions)


def _check_organisation(
    organisation: Organisation, catalogue: Catalogue, regions: frozenset[str] | None
) -> Iterator[str]:
    where = f"organisation {organisation.name}"
    yield from _check_homes(where, organisation.home_regions, regions)
    if organisation not in catalogue.organisations_by_key.values():
        yield f"{where} has no key; nobody can use it"
    closed = [
        route
        for route in list_routes(catalogue)
        if not route.is_public and _have_no_common_home(route, organisation)
    ]
    for route in closed:
        yield (
            f"{where} is always refused on {describe_route(route)}: their home "
            "regions have none in common"
        )


def _have_no_common_home(route: Route, organisation: Organisation) -> bool:
    if not route.home_regions or not organisation.home_regions:
        return False
    return not route.home_regions & organisation.home_regions


def _check_homes(
    where: str, homes: frozenset[str], regions: frozenset[str] | None
) -> Iterator[str]:
    if regions is None or not homes:
        return
    unknown = sorted(homes - regions)
    if unknown:
        yield f"{where} names unknown home regions: {', '.join(unknown)}"
