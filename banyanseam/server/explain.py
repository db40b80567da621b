"""Dry run: describe what the filters would do with a hypothetical request."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

from banyanseam.config.compiled import Config, Organisation, Route, Upstream
from banyanseam.config.versions import era_of, revision_of
from banyanseam.errors import BanyanseamError
from banyanseam.idempotency.const import KEY_HEADER
from banyanseam.pipe.cost import estimate_cost, parse_chat_request
from banyanseam.pipe.errors import KeyMissing, KeyUnknown, ResidencyExcluded
from banyanseam.pipe.models import Cost, Exchange
from banyanseam.pipe.residency import Regions, find_regions
from banyanseam.pipe.route import find_route, make_fingerprint, refuse_dot_segments
from banyanseam.server.operator_models import (
    ExplainReply,
    ExplainRequest,
    ExplainStep,
    Verdict,
)

# Filters whose verdict depends on state, in pipeline order. `queue` chooses the pool or
# region; in a pool, its keeper then chooses an upstream.
STATEFUL_FILTERS = ("idempotency", "quota", "poison", "queue", "choose")


@dataclass(frozen=True, slots=True)
class DryRun:
    """A hypothetical request; `exchange` holds the results of the filters so far."""

    request: ExplainRequest
    config: Config
    region: str
    exchange: Exchange


# Previews a filter's verdict without changing its state.
Probe = Callable[[DryRun], Awaitable[ExplainStep]]


async def explain(
    request: ExplainRequest,
    config: Config,
    region: str,
    probes: dict[str, Probe],
    now_s: float = 0.0,
) -> ExplainReply:
    """Return the filters' verdicts in order, up to the first refusal.

    `probes` maps a name of STATEFUL_FILTERS to a function; a filter without one is
    reported as unknown, except for `choose`, which then uses the configuration.
    """
    steps: list[ExplainStep] = []
    dry_run = DryRun(request, config, region, _make_exchange(request, now_s))
    async for step in _explain_filters(dry_run, probes):
        steps.append(step)
        if step.verdict == "refuse":
            break
    verdicts: set[Verdict] = {step.verdict for step in steps}
    worst = next(
        verdict
        for verdict in ("refuse", "unknown", "wait", "pass")
        if verdict in verdicts
    )
    return ExplainReply(
        config_version=revision_of(config.version),
        config_era=era_of(config.version),
        verdict=worst,
        steps=steps,
    )


def refuse_step(name: str, error: BanyanseamError, **facts: object) -> ExplainStep:
    """Return the step of a filter that would raise this error."""
    return ExplainStep(
        filter=name,
        verdict="refuse",
        reason=error.detail,
        code=error.code,
        facts=facts,
    )


def pass_step(name: str, reason: str, **facts: object) -> ExplainStep:
    """Return the step of a filter that would pass the request to the next one."""
    return ExplainStep(filter=name, verdict="pass", reason=reason, facts=facts)


def wait_step(name: str, reason: str, **facts: object) -> ExplainStep:
    """Return the step of a filter that would delay the request."""
    return ExplainStep(filter=name, verdict="wait", reason=reason, facts=facts)


def unknown_step(name: str, reason: str, **facts: object) -> ExplainStep:
    """Return the step of a filter whose verdict this daemon cannot determine."""
    return ExplainStep(filter=name, verdict="unknown", reason=reason, facts=facts)


def _make_exchange(request: ExplainRequest, now_s: float) -> Exchange:
    path, _, query = request.path.partition("?")
    headers = []
    if request.idempotency_key is not None:
        headers.append((KEY_HEADER, request.idempotency_key.encode()))
    return Exchange(
        request_id="-",
        method=request.method,
        path=path,
        query=query.encode(),
        headers=headers,
        body=request.body or b"",
        received_s=now_s,
        reply=None,
        model=request.model,
    )


async def _explain_filters(
    dry_run: DryRun, probes: dict[str, Probe]
) -> AsyncIterator[ExplainStep]:
    yield pass_step(
        "loop guard", "the request would come from a caller, not from a daemon"
    )
    exchange = dry_run.exchange
    yield _explain_key(dry_run)
    try:
        refuse_dot_segments(exchange.path)
        route = find_route(dry_run.config, exchange.path)
        if exchange.organisation is None and not route.open_to_all:
            raise KeyMissing(f"route {route.name} is not open to all")
    except BanyanseamError as error:
        yield refuse_step("route", error)
        return
    _apply_route(exchange, route)
    yield pass_step(
        "route",
        f"route {route.name}, class {route.request_class}, "
        f"deadline {route.deadline_ms} ms",
        route=route.name,
        request_class=route.request_class,
        deadline_ms=route.deadline_ms,
    )
    exchange.regions = find_regions(route, exchange.organisation)
    yield _explain_residency(exchange.regions)
    yield _explain_cost(dry_run.request, exchange)
    for name in STATEFUL_FILTERS:
        yield await _explain_stateful(name, dry_run, probes)


def _explain_key(dry_run: DryRun) -> ExplainStep:
    name = dry_run.request.organisation
    if name is None:
        return pass_step("authenticate", "the request would have no key")
    found: Organisation | None = dry_run.config.organisations.get(name)
    if found is None:
        return refuse_step(
            "authenticate", KeyUnknown(f"no organisation is named {name}")
        )
    dry_run.exchange.organisation = found
    keys = len(found.key_digests)
    if not keys:
        return refuse_step("authenticate", KeyUnknown("the organisation has no key"))
    return pass_step(
        "authenticate", f"the organisation has {keys} published keys", keys=keys
    )


def _apply_route(exchange: Exchange, route: Route) -> None:
    exchange.route = route
    exchange.is_idempotent = (
        route.is_model or exchange.method in route.idempotent_methods
    )
    exchange.fingerprint = make_fingerprint(exchange)
    exchange.deadline_s = exchange.received_s + route.deadline_ms / 1000


def _explain_residency(regions: Regions) -> ExplainStep:
    if regions is None:
        return pass_step("residency", "no residency rule applies; any region may serve")
    if not regions:
        error = ResidencyExcluded(
            "no region satisfies the rules of both route and organisation"
        )
        return refuse_step("residency", error)
    names = sorted(regions)
    return pass_step("residency", f"only {', '.join(names)} may serve", regions=names)


def _explain_cost(request: ExplainRequest, exchange: Exchange) -> ExplainStep:
    if not exchange.route.is_model:
        exchange.cost = Cost(exchange.route.cost_tokens, 0)
    elif request.body is None:
        exchange.cost = Cost(request.prompt_tokens, request.max_output_tokens)
    else:
        try:
            chat = parse_chat_request(exchange.body)
        except BanyanseamError as error:
            return refuse_step("cost", error)
        exchange.model = chat.model
        exchange.cost = estimate_cost(chat, len(exchange.body))
    tokens = exchange.cost.total_tokens
    return pass_step("cost", f"at most {tokens} tokens", tokens=tokens)


async def _explain_stateful(
    name: str, dry_run: DryRun, probes: dict[str, Probe]
) -> ExplainStep:
    probe = probes.get(name)
    if probe is not None:
        return await probe(dry_run)
    if name == "choose":
        return choose_by_configuration(dry_run)
    return unknown_step(name, "this daemon is not serving yet")


def choose_by_configuration(dry_run: DryRun) -> ExplainStep:
    """Return the step of `choose` by configuration, whatever the state of upstreams."""
    candidates = [
        upstream
        for upstream in dry_run.config.upstreams.values()
        if _is_candidate(upstream, dry_run.exchange)
    ]
    names = sorted(one.name for one in candidates if not one.leaving)
    leaving = sorted(one.name for one in candidates if one.leaving)
    if not names:
        return ExplainStep(
            filter="choose",
            verdict="refuse",
            reason="no upstream in the allowed regions serves this request",
            facts={"leaving": leaving},
        )
    local = [
        one.name
        for one in candidates
        if one.region == dry_run.region and not one.leaving
    ]
    location = "in this region" if local else "in another region"
    return pass_step(
        "choose",
        f"{len(local) or len(names)} upstreams {location}",
        candidates=names,
        leaving=leaving,
    )


def _is_candidate(upstream: Upstream, exchange: Exchange) -> bool:
    route = exchange.route
    wanted = exchange.model if route.is_model else route.service
    return (
        upstream.is_model == route.is_model
        and (wanted is None or wanted in upstream.serves)
        and (exchange.regions is None or upstream.region in exchange.regions)
    )
