"""Find limits of a configuration that contradict one another.

Pure functions. All findings are warnings: a daemon accepts such a configuration.
"""

from collections.abc import Iterator

from banyanseam.entry.catalogue_check.matching import describe_route, list_routes
from banyanseam.entry.models import Catalogue, Organisation, Route, Service


def list_contradictions(catalogue: Catalogue) -> Iterator[str]:
    """Yield a sentence for each limit that another one makes useless."""
    for route in list_routes(catalogue):
        yield from _check_route(route)
    for service in catalogue.services.values():
        yield from _check_service(service)
    for organisation in catalogue.organisations.values():
        yield from _check_organisation(organisation)
    yield from _check_urgencies(catalogue)


def _check_route(route: Route) -> Iterator[str]:
    where = describe_route(route)
    if route.timeout_ms < route.target_ms:
        yield (
            f"{where} ends requests after {route.timeout_ms} ms, before their target "
            f"of {route.target_ms} ms"
        )
    if route.is_stream and route.max_pause_ms > route.timeout_ms:
        yield (
            f"{where} allows pauses of {route.max_pause_ms:.0f} ms, more than its "
            f"timeout of {route.timeout_ms} ms"
        )


def _check_service(service: Service) -> Iterator[str]:
    engine = service.engine
    if engine is None:
        return
    if 0 < service.max_connections < engine.slots:
        yield (
            f"service {service.name} allows {service.max_connections} connections to "
            f"an engine of {engine.slots} slots"
        )
    if engine.memory_tokens <= 0:
        yield f"service {service.name} names an engine without memory"


def _check_organisation(organisation: Organisation) -> Iterator[str]:
    where = f"organisation {organisation.name}"
    if organisation.burst > 0 and organisation.rate_per_s <= 0:
        yield f"{where} has a burst that is never refilled"
    if 0 < organisation.burst < organisation.default_cost:
        yield (
            f"{where} has a burst of {organisation.burst:.0f}, and a plain request "
            f"costs {organisation.default_cost:.0f}: it passes a full bucket only"
        )


def _check_urgencies(catalogue: Catalogue) -> Iterator[str]:
    by_service: dict[str, list[Route]] = {}
    for route in list_routes(catalogue):
        for name, _ in route.services:
            by_service.setdefault(name, []).append(route)
    for name, routes in sorted(by_service.items()):
        service = catalogue.services.get(name)
        if service is None or service.engine is None:
            continue
        targets_ms = {route.target_ms for route in routes}
        if len(targets_ms) > 1 and len({route.urgency for route in routes}) == 1:
            yield (
                f"service {name} has routes with targets from {min(targets_ms)} to "
                f"{max(targets_ms)} ms and one priority: nobody goes first when its "
                "engines are short of room"
            )
