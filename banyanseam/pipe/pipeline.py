"""The filters that a request passes, in order."""

from collections.abc import Callable
from dataclasses import dataclass

from banyanseam.config.compiled import Config
from banyanseam.pipe.authenticate import authenticate
from banyanseam.pipe.cost import set_cost
from banyanseam.pipe.loop_guard import refuse_loops
from banyanseam.pipe.models import Filter, Next, compose
from banyanseam.pipe.record import Recorder, record
from banyanseam.pipe.residency import apply_residency
from banyanseam.pipe.route import route
from banyanseam.pipe.withdrawal import end_withdrawn_streams


@dataclass(frozen=True, slots=True)
class Filters:
    """The stateful filters, created by the daemon's composition."""

    recorder: Recorder
    stop: Filter
    quota: Filter
    idempotency: Filter
    retry: Filter
    poison: Filter
    queue: Filter
    attempt: Next


@dataclass(frozen=True, slots=True)
class Pipelines:
    """The filter chains for requests from callers and for forwarded requests."""

    from_callers: Next
    from_peers: Next


def make_pipelines(get_config: Callable[[], Config], filters: Filters) -> Pipelines:
    """Return both pipelines; the filters of each list run from top to bottom."""
    # Quota comes after idempotency: a replay costs nothing, and a quota refusal may
    # claim `not_run`, since the key's home confirmed that no earlier send ran.
    from_callers: list[Filter] = [
        record(filters.recorder),
        refuse_loops,
        authenticate(get_config),
        route(get_config),
        filters.stop,
        apply_residency,
        set_cost,
        filters.idempotency,
        filters.quota,
        filters.retry,
        filters.poison,
        end_withdrawn_streams(get_config),
        filters.queue,
    ]
    # The forwarding daemon has admitted and charged the request. The serving one
    # checks key, route and residency against its own configuration before this chain.
    from_peers: list[Filter] = [
        filters.stop,
        set_cost,
        filters.idempotency,
        filters.retry,
        filters.poison,
        end_withdrawn_streams(get_config),
        filters.queue,
    ]
    return Pipelines(
        from_callers=compose(from_callers, filters.attempt),
        from_peers=compose(from_peers, filters.attempt),
    )
