"""Find the route of a request and apply its settings."""

import hashlib
from collections.abc import Callable

import anyio

from banyanseam.config.compiled import Config, Route
from banyanseam.pipe.errors import (
    DeadlineExceeded,
    KeyMissing,
    RequestMalformed,
    RouteUnknown,
)
from banyanseam.pipe.models import Exchange, Filter, Next


def find_route(config: Config, path: str) -> Route:
    """Return the only route whose prefix matches; raise RouteUnknown."""
    for route in config.routes.values():
        if path.startswith(route.path_prefix):
            return route
    raise RouteUnknown(path)


def set_route(exchange: Exchange, route: Route) -> None:
    """Set the route of an exchange and whether the request is idempotent on it."""
    exchange.route = route
    exchange.is_idempotent = (
        route.is_model or exchange.method in route.idempotent_methods
    )


def refuse_dot_segments(path: str) -> None:
    """Raise RequestMalformed for a path that an upstream could resolve differently."""
    if any(part in (".", "..") for part in path.replace("\\", "/").split("/")):
        raise RequestMalformed("the path has dot segments")


def make_fingerprint(exchange: Exchange) -> str:
    """Return a digest of the method, path, query and body, without the headers."""
    parts = (exchange.method.encode(), exchange.path.encode(), exchange.query)
    digest = hashlib.sha256(b"\0".join(parts) + b"\0" + exchange.body)
    return digest.hexdigest()


def route(get_config: Callable[[], Config]) -> Filter:
    """Return the filter that sets an exchange's route and enforces its deadline."""

    async def filter_(exchange: Exchange, next_: Next) -> None:
        refuse_dot_segments(exchange.path)
        config = get_config()
        found = find_route(config, exchange.path)
        exchange.config_version = config.version
        if exchange.organisation is None and not found.open_to_all:
            raise KeyMissing
        set_route(exchange, found)
        if exchange.is_idempotent:
            exchange.may_have_run = False
        exchange.fingerprint = make_fingerprint(exchange)
        exchange.deadline_s = exchange.received_s + found.deadline_ms / 1000
        with anyio.CancelScope(deadline=exchange.deadline_s) as scope:
            await next_(exchange)
        if scope.cancelled_caught:
            raise DeadlineExceeded

    return filter_
