"""Say what the filters would do with a request that is only imagined."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from banyanseam.config.compiled import Config, Organisation, Route, Upstream
from banyanseam.errors import BanyanseamError
from banyanseam.pipe.errors import KeyMissing, KeyUnknown, ResidencyExcluded
from banyanseam.pipe.models import Cost
from banyanseam.pipe.residency import Regions, find_regions
from banyanseam.pipe.route import find_route
from banyanseam.server.operator_models import (
    ExplainReply,
    ExplainRequest,
    ExplainStep,
    Verdict,
)

# The filters whose answer depends on state, in their order in the pipe.
STATEFUL_FILTERS = ("poison", "quota", "idempotency", "queue", "choose")


@dataclass(frozen=True, slots=True)
class Imagined:
    """An imagined request and what the earlier filters found out about it."""

    request: ExplainRequest
    config: Config
    region: str
    organisation: Organisation | None
    route: Route
    regions: Regions
    cost: Cost
    is_idempotent: bool


# Looks at a filter's state without changing it.
Probe = Callable[[Imagined], ExplainStep]


def explain(
    request: ExplainRequest, config: Config, region: str, probes: dict[str, Probe]
) -> ExplainReply:
    """Return the filters' verdicts in order, up to the first refusal.

    `probes` maps a name of STATEFUL_FILTERS to a function; a filter without one is
    reported as unknown, but for `choose`, which then goes by the configuration.
    """
    steps: list[ExplainStep] = []
    for step in _walk(request, config, region, probes):
        steps.append(step)
        if step.verdict == "refuse":
            break
    verdicts: set[Verdict] = {step.verdict for step in steps}
    worst = next(
        verdict
        for verdict in ("refuse", "unknown", "wait", "pass")
        if verdict in verdicts
    )
    return ExplainReply(config_version=config.version, verdict=worst, steps=steps)


def refuse(name: str, error: BanyanseamError, **facts: object) -> ExplainStep:
    """Return the step of a filter that would raise this error."""
    return ExplainStep(
        filter=name,
        verdict="refuse",
        reason=error.detail,
        code=error.code,
        facts=facts,
    )


def let_pass(name: str, reason: str, **facts: object) -> ExplainStep:
    """Return the step of a filter that would pass the request on."""
    return ExplainStep(filter=name, verdict="pass", reason=reason, facts=facts)


def _walk(
    request: ExplainRequest, config: Config, region: str, probes: dict[str, Probe]
) -> Iterator[ExplainStep]:
    yield let_pass("loop guard", "it would come from a caller, not from a daemon")
    organisation = None
    if request.organisation is None:
        yield let_pass("authenticate", "it would bring no key")
    elif request.organisation not in config.organisations:
        yield refuse(
            "authenticate",
            KeyUnknown(f"no organisation is named {request.organisation}"),
        )
    else:
        organisation = config.organisations[request.organisation]
        keys = len(organisation.key_digests)
        if not keys:
            yield refuse("authenticate", KeyUnknown("the organisation has no key"))
        yield let_pass("authenticate", f"it has {keys} published keys", keys=keys)
    try:
        route = find_route(config, request.path)
    except BanyanseamError as error:
        yield refuse("route", error)
        return
    if organisation is None and not route.open_to_all:
        yield refuse("route", KeyMissing(f"route {route.name} is not open to all"))
    yield let_pass(
        "route",
        f"route {route.name}, class {route.request_class}, "
        f"within {route.deadline_ms} ms",
        route=route.name,
        request_class=route.request_class,
        deadline_ms=route.deadline_ms,
    )
    regions = find_regions(route, organisation)
    yield _explain_residency(regions)
    cost = Cost(route.cost_tokens, 0)
    if route.is_model:
        cost = Cost(request.prompt_tokens, request.max_output_tokens)
    yield let_pass(
        "cost", f"at most {cost.total_tokens} tokens", tokens=cost.total_tokens
    )
    imagined = Imagined(
        request=request,
        config=config,
        region=region,
        organisation=organisation,
        route=route,
        regions=regions,
        cost=cost,
        is_idempotent=route.is_model or request.method in route.idempotent_methods,
    )
    for name in STATEFUL_FILTERS:
        yield _ask(name, imagined, probes)


def _explain_residency(regions: Regions) -> ExplainStep:
    if regions is None:
        return let_pass("residency", "no rule binds it; any region may serve")
    if not regions:
        error = ResidencyExcluded("the rules of route and organisation share no region")
        return refuse("residency", error)
    names = sorted(regions)
    return let_pass("residency", f"only {', '.join(names)} may serve", regions=names)


def _ask(name: str, imagined: Imagined, probes: dict[str, Probe]) -> ExplainStep:
    probe = probes.get(name)
    if probe is not None:
        return probe(imagined)
    if name == "choose":
        return _choose_by_configuration(imagined)
    return ExplainStep(
        filter=name, verdict="unknown", reason="this daemon keeps no such state"
    )


def _choose_by_configuration(imagined: Imagined) -> ExplainStep:
    candidates = [
        upstream
        for upstream in imagined.config.upstreams.values()
        if _fits(upstream, imagined)
    ]
    names = sorted(one.name for one in candidates if not one.leaving)
    leaving = sorted(one.name for one in candidates if one.leaving)
    if not names:
        return ExplainStep(
            filter="choose",
            verdict="refuse",
            reason="no upstream of the allowed regions serves it",
            facts={"leaving": leaving},
        )
    local = [
        one.name
        for one in candidates
        if one.region == imagined.region and not one.leaving
    ]
    where = "here" if local else "in another region"
    return let_pass(
        "choose",
        f"{len(local) or len(names)} upstreams {where}",
        candidates=names,
        leaving=leaving,
    )


def _fits(upstream: Upstream, imagined: Imagined) -> bool:
    route = imagined.route
    wanted = imagined.request.model if route.is_model else route.service
    return (
        upstream.is_model == route.is_model
        and (wanted is None or wanted in upstream.serves)
        and (imagined.regions is None or upstream.region in imagined.regions)
    )
