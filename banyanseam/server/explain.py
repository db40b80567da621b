"""Say what the filters would do with a request that is only imagined."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

from banyanseam.config.compiled import Config, Organisation, Route, Upstream
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

# The filters whose answer depends on state, in their order in the pipe; the filter
# `queue` finds a place, where the keeper of the pool then chooses an upstream.
STATEFUL_FILTERS = ("idempotency", "quota", "poison", "queue", "choose")


@dataclass(frozen=True, slots=True)
class Imagined:
    """An imagined request and what the earlier filters found out about it."""

    request: ExplainRequest
    config: Config
    region: str
    exchange: Exchange


# Looks at a filter's state without changing it.
Probe = Callable[[Imagined], Awaitable[ExplainStep]]


async def explain(
    request: ExplainRequest,
    config: Config,
    region: str,
    probes: dict[str, Probe],
    now_s: float = 0.0,
) -> ExplainReply:
    """Return the filters' verdicts in order, up to the first refusal.

    `probes` maps a name of STATEFUL_FILTERS to a function; a filter without one is
    reported as unknown, but for `choose`, which then goes by the configuration.
    """
    steps: list[ExplainStep] = []
    imagined = Imagined(request, config, region, _make_exchange(request, now_s))
    async for step in _walk(imagined, probes):
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


def let_wait(name: str, reason: str, **facts: object) -> ExplainStep:
    """Return the step of a filter that would hold the request for a while."""
    return ExplainStep(filter=name, verdict="wait", reason=reason, facts=facts)


def leave_open(name: str, reason: str, **facts: object) -> ExplainStep:
    """Return the step of a filter of which this daemon cannot know the answer."""
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


async def _walk(
    imagined: Imagined, probes: dict[str, Probe]
) -> AsyncIterator[ExplainStep]:
    yield let_pass("loop guard", "it would come from a caller, not from a daemon")
    exchange = imagined.exchange
    yield _explain_key(imagined)
    try:
        refuse_dot_segments(exchange.path)
        route = find_route(imagined.config, exchange.path)
        if exchange.organisation is None and not route.open_to_all:
            raise KeyMissing(f"route {route.name} is not open to all")
    except BanyanseamError as error:
        yield refuse("route", error)
        return
    _follow_route(exchange, route)
    yield let_pass(
        "route",
        f"route {route.name}, class {route.request_class}, "
        f"within {route.deadline_ms} ms",
        route=route.name,
        request_class=route.request_class,
        deadline_ms=route.deadline_ms,
    )
    exchange.regions = find_regions(route, exchange.organisation)
    yield _explain_residency(exchange.regions)
    yield _explain_cost(imagined.request, exchange)
    for name in STATEFUL_FILTERS:
        yield await _ask(name, imagined, probes)


def _explain_key(imagined: Imagined) -> ExplainStep:
    name = imagined.request.organisation
    if name is None:
        return let_pass("authenticate", "it would bring no key")
    found: Organisation | None = imagined.config.organisations.get(name)
    if found is None:
        return refuse("authenticate", KeyUnknown(f"no organisation is named {name}"))
    imagined.exchange.organisation = found
    keys = len(found.key_digests)
    if not keys:
        return refuse("authenticate", KeyUnknown("the organisation has no key"))
    return let_pass("authenticate", f"it has {keys} published keys", keys=keys)


def _follow_route(exchange: Exchange, route: Route) -> None:
    exchange.route = route
    exchange.is_idempotent = (
        route.is_model or exchange.method in route.idempotent_methods
    )
    exchange.fingerprint = make_fingerprint(exchange)
    exchange.deadline_s = exchange.received_s + route.deadline_ms / 1000


def _explain_residency(regions: Regions) -> ExplainStep:
    if regions is None:
        return let_pass("residency", "no rule binds it; any region may serve")
    if not regions:
        error = ResidencyExcluded("the rules of route and organisation share no region")
        return refuse("residency", error)
    names = sorted(regions)
    return let_pass("residency", f"only {', '.join(names)} may serve", regions=names)


def _explain_cost(request: ExplainRequest, exchange: Exchange) -> ExplainStep:
    if not exchange.route.is_model:
        exchange.cost = Cost(exchange.route.cost_tokens, 0)
    elif request.body is None:
        exchange.cost = Cost(request.prompt_tokens, request.max_output_tokens)
    else:
        try:
            chat = parse_chat_request(exchange.body)
        except BanyanseamError as error:
            return refuse("cost", error)
        exchange.model = chat.model
        exchange.cost = estimate_cost(chat, len(exchange.body))
    tokens = exchange.cost.total_tokens
    return let_pass("cost", f"at most {tokens} tokens", tokens=tokens)


async def _ask(name: str, imagined: Imagined, probes: dict[str, Probe]) -> ExplainStep:
    probe = probes.get(name)
    if probe is not None:
        return await probe(imagined)
    if name == "choose":
        return choose_by_configuration(imagined)
    return leave_open(name, "this daemon does not serve yet")


def choose_by_configuration(imagined: Imagined) -> ExplainStep:
    """Return which upstreams the configuration alone would allow."""
    candidates = [
        upstream
        for upstream in imagined.config.upstreams.values()
        if _fits(upstream, imagined.exchange)
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


def _fits(upstream: Upstream, exchange: Exchange) -> bool:
    route = exchange.route
    wanted = exchange.model if route.is_model else route.service
    return (
        upstream.is_model == route.is_model
        and (wanted is None or wanted in upstream.serves)
        and (exchange.regions is None or upstream.region in exchange.regions)
    )
