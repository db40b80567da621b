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
class Pipelines:
    """What a caller's request passes, and what a forwarded one still has to."""

    from_callers: Next
    from_peers: Next


def make_pipelines(
    get_config: Callable[[], Config], recorder: Recorder, last: Next
) -> Pipelines:
    """Return both pipelines; `last` hands the exchange to an upstream."""
    admission: list[Filter] = [
        record(recorder),
        refuse_loops,
        authenticate(get_config),
        route(get_config),
        bind_residency,
        set_cost,
    ]
    service: list[Filter] = []
    from_peers: list[Filter] = [set_cost, *service]
    return Pipelines(
        from_callers=compose([*admission, *service], last),
        from_peers=compose(from_peers, last),
    )
