"""The filters that a request passes, in order."""

from collections.abc import Callable
from dataclasses import dataclass

from banyanseam.config.compiled import Config
from banyanseam.pipe.authenticate import authenticate
from banyanseam.pipe.cost import set_cost
from banyanseam.pipe.loop_guard import refuse_loops
from banyanseam.pipe.models import Filter, Next, compose
from banyanseam.pipe.record import Recorder, record
from banyanseam.pipe.residency import bind_residency
from banyanseam.pipe.route import route


@dataclass(frozen=True, slots=True)
class Filters:
    """The filters that stand on state, made by the daemon's composition."""

    recorder: Recorder
    quota: Filter
    idempotency: Filter
    retry: Filter
    poison: Filter
    queue: Filter
    attempt: Next


@dataclass(frozen=True, slots=True)
class Pipelines:
    """What a caller's request passes, and what a forwarded one still has to."""

    from_callers: Next
    from_peers: Next


def make_pipelines(get_config: Callable[[], Config], filters: Filters) -> Pipelines:
    """Return both pipelines, each a list read from top to bottom."""
    # Quota comes after idempotency: a replay costs nothing, and a refusal by quota
    # may say not run, since the key's home vouches for earlier sends.
    from_callers: list[Filter] = [
        record(filters.recorder),
        refuse_loops,
        authenticate(get_config),
        route(get_config),
        bind_residency,
        set_cost,
        filters.idempotency,
        filters.quota,
        filters.retry,
        filters.poison,
        filters.queue,
    ]
    # The forwarding daemon has admitted and charged the request; the serving one
    # checks key, route and residency before this, on its own configuration.
    from_peers: list[Filter] = [
        set_cost,
        filters.idempotency,
        filters.retry,
        filters.poison,
        filters.queue,
    ]
    return Pipelines(
        from_callers=compose(from_callers, filters.attempt),
        from_peers=compose(from_peers, filters.attempt),
    )
