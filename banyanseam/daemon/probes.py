"""Preview how stateful filters would treat a hypothetical request.

Each probe returns the verdict that its filter would reach now. State of other daemons
is queried by read-only messages, which charge, count and claim nothing.
"""

import anyio

from banyanseam.daemon.fleet_view import FleetView
from banyanseam.daemon.idempotency_components import IdempotencyComponents
from banyanseam.daemon.poison_components import PoisonComponents
from banyanseam.daemon.quota_components import QuotaComponents
from banyanseam.daemon.serving import ServingComponents
from banyanseam.daemon.upstream_components import UpstreamComponents
from banyanseam.errors import BanyanseamError
from banyanseam.idempotency.errors import HomeUnreachable, IssuerGone
from banyanseam.idempotency.models import Scope
from banyanseam.idempotency.tickets import is_ticket
from banyanseam.peers.errors import PeerCallFailed, PeerCallLost, PeerUnreachable
from banyanseam.pipe.idempotency import get_organisation_name, read_key
from banyanseam.pipe.models import Exchange
from banyanseam.pipe.queue import get_served_name, make_demand
from banyanseam.poison.const import CONDEMNED_CRASHES
from banyanseam.poison.errors import PoisonRefused
from banyanseam.poison.fingerprint import make_poison_fingerprint
from banyanseam.quota.errors import QuotaExceeded
from banyanseam.quota.messages import QuotaPreview
from banyanseam.server.explain import (
    DryRun,
    Probe,
    choose_by_configuration,
    pass_step,
    refuse_step,
    unknown_step,
    wait_step,
)
from banyanseam.server.operator_models import ExplainStep
from banyanseam.upstreams.choose import RemoteRegion
from banyanseam.upstreams.errors import NotKeeper
from banyanseam.upstreams.messages import DescribePool, PoolDescription
from banyanseam.upstreams.models import Demand

# Failures to ask the keeper of a pool, the daemon that tracks its upstreams.
_CALL_FAILURES = (PeerUnreachable, PeerCallLost, PeerCallFailed, NotKeeper)


def make_probes(view: FleetView, serving: ServingComponents) -> dict[str, Probe]:
    """Return the probes by filter name."""
    return {
        "idempotency": make_key_probe(view, serving.idempotency),
        "quota": make_quota_probe(serving.quota),
        "poison": make_poison_probe(serving.poison),
        **make_upstream_probes(serving.upstreams),
    }


def make_key_probe(view: FleetView, parts: IdempotencyComponents) -> Probe:
    """Return the probe that asks a key's home, or checks a ticket's issuer.

    The home of a key is the daemon that records its runs. A ticket is a key that was
    issued by a daemon, which is its home.
    """

    async def probe(dry_run: DryRun) -> ExplainStep:
        exchange = dry_run.exchange
        if exchange.is_idempotent:
            return pass_step(
                "idempotency", "the request is idempotent and needs no key"
            )
        try:
            key = read_key(exchange)
            if key is None:
                reason = "without a key the request runs each time it is received"
                return pass_step("idempotency", reason)
            if is_ticket(key):
                return preview_ticket(exchange, key)
            return await preview_key(dry_run, key)
        except BanyanseamError as error:
            return refuse_step("idempotency", error)

    def preview_ticket(exchange: Exchange, key: str) -> ExplainStep:
        ticket = parts.ticket_issuer.read(key, get_organisation_name(exchange))
        seat = ticket.seat
        if parts.homes.covers(ticket):
            reason = "this daemon has the records of the ticket's issuer"
            return pass_step("idempotency", reason, home=seat)
        if seat == view.settings.seat:
            return refuse_step("idempotency", IssuerGone(), home=seat)
        newest = view.membership.incarnation_of(seat)
        if newest != ticket.incarnation or not view.membership.is_alive(seat):
            reason = (
                "the ticket's issuer was replaced or does not respond; its successor "
                "or a standby may have the records"
            )
            return unknown_step("idempotency", reason, home=seat)
        reason = f"the request is forwarded to {seat}, which issued the ticket"
        return pass_step("idempotency", reason, home=seat)

    async def preview_key(dry_run: DryRun, key: str) -> ExplainStep:
        exchange = dry_run.exchange
        scope = Scope(get_organisation_name(exchange), key)
        route = exchange.route.name
        seat = parts.client.find_home(scope, route)
        fingerprint = exchange.fingerprint
        if dry_run.request.body is None:
            fingerprint = None
        try:
            preview = await parts.client.preview(scope, route, fingerprint)
        except (PeerUnreachable, PeerCallLost) as error:
            return refuse_at_home(seat, HomeUnreachable(error.detail))
        except BanyanseamError as error:
            return refuse_at_home(seat, error)
        facts = {"home": seat, "state": preview.state}
        if preview.state == "running":
            reason = (
                f"{seat} reports a running request with this key; this one would wait "
                "for its answer"
            )
            return wait_step("idempotency", reason, **facts)
        if preview.state == "done":
            reason = (
                f"{seat} would replay the answer of the first run and not run the "
                "request again"
            )
            return pass_step("idempotency", reason, **facts)
        reason = f"{seat} confirms that the request has not run"
        return pass_step("idempotency", reason, **facts)

    def refuse_at_home(seat: str, error: BanyanseamError) -> ExplainStep:
        step = refuse_step("idempotency", error, home=seat)
        return step.model_copy(
            update={"reason": f"the key's home {seat}: {error.detail}"}
        )

    return probe


def make_quota_probe(parts: QuotaComponents) -> Probe:
    """Return the probe that asks the quota home, the daemon that would be charged."""

    async def probe(dry_run: DryRun) -> ExplainStep:
        exchange = dry_run.exchange
        if exchange.organisation is None:
            return pass_step(
                "quota", "a request without a key is not charged to any quota"
            )
        name, tokens = exchange.organisation.name, exchange.cost.total_tokens
        try:
            seat, preview = await parts.client.preview(
                name, tokens, exchange.deadline_s
            )
        except BanyanseamError as error:
            return refuse_step("quota", error)
        return _describe_quota(seat, preview)

    return probe


def _describe_quota(seat: str, preview: QuotaPreview) -> ExplainStep:
    facts = {
        "home": seat,
        "held_tokens": round(preview.held_tokens),
        "cap_tokens": round(preview.cap_tokens),
        "rate_tokens_per_s": round(preview.rate_tokens_per_s, 3),
        "waiting": preview.waiting,
        "wait_ms": preview.wait_ms,
    }
    held = f"{seat} holds {facts['held_tokens']} of {facts['cap_tokens']} tokens"
    if preview.status == "granted":
        return pass_step("quota", held, **facts)
    if preview.status == "refused":
        reason = f"{held}, and no other home has tokens to lend"
        return refuse_step("quota", QuotaExceeded(reason), **facts)
    if preview.status == "waiting":
        reason = (
            f"{held}, {preview.waiting} requests wait; this one would wait "
            f"{preview.wait_ms} ms at the full rate, less if other homes lend tokens"
        )
        return wait_step("quota", reason, **facts)
    reason = (
        f"no home that answered grants quota; {seat} withholds its part for "
        f"{preview.wait_ms} ms"
    )
    if preview.status == "not_home":
        reason = (
            f"{seat} is not a quota home in its own configuration; no other home that "
            "answered grants quota"
        )
    return wait_step("quota", reason, **facts)


def make_poison_probe(parts: PoisonComponents) -> Probe:
    """Return the probe of the poison marks that this daemon has set or received."""

    async def probe(dry_run: DryRun) -> ExplainStep:
        suspects = parts.guard.suspects
        if not len(suspects):
            return pass_step("poison", "no request is marked", suspects=0)
        facts = {"suspects": len(suspects)}
        if dry_run.request.body is None:
            reason = f"{len(suspects)} requests are marked; give the body with --body"
            return unknown_step("poison", reason, **facts)
        fingerprint = make_poison_fingerprint(dry_run.exchange)
        crashes = suspects.count(fingerprint, anyio.current_time())
        facts["crashes"] = crashes
        if crashes >= CONDEMNED_CRASHES:
            return refuse_step("poison", PoisonRefused(), **facts)
        if crashes:
            reason = (
                "an upstream crashed while running this request, which waits until it "
                "can run alone"
            )
            return wait_step("poison", reason, **facts)
        return pass_step("poison", "no mark matches the request", **facts)

    return probe


def make_upstream_probes(parts: UpstreamComponents) -> dict[str, Probe]:
    """Return the probes of the destination's queue and of the upstream choice."""
    # The keeper's reply to the first probe, reused by the second.
    replies: list[PoolDescription] = []

    async def probe_queue(dry_run: DryRun) -> ExplainStep:
        exchange = dry_run.exchange
        serves = get_served_name(exchange)
        if not serves:
            return unknown_step(
                "queue", "the request names no model; give one with --model"
            )
        demand = make_demand(exchange)
        try:
            destination = parts.destinations.preview(serves, demand, exchange.regions)
            if isinstance(destination, RemoteRegion):
                reason = f"the request is forwarded to region {destination.region}"
                return pass_step("queue", reason, region=destination.region)
            description = await parts.lease_client.describe_pool(
                _make_description_request(dry_run, destination.pool, demand)
            )
        except _CALL_FAILURES as error:
            return unknown_step("queue", f"the keeper of the pool: {error.detail}")
        except BanyanseamError as error:
            return refuse_step("queue", error)
        replies.append(description)
        return _describe_queue(destination.pool, description, demand.tokens)

    async def probe_choose(dry_run: DryRun) -> ExplainStep:
        if not replies:
            return choose_by_configuration(dry_run)
        return _describe_choice(replies[0], dry_run.exchange.cost.total_tokens)

    return {"queue": probe_queue, "choose": probe_choose}


def _make_description_request(
    dry_run: DryRun, pool: str, demand: Demand
) -> DescribePool:
    policy = dry_run.config.policies[dry_run.region]
    deadline_ms = dry_run.exchange.route.deadline_ms
    return DescribePool(
        pool=pool,
        organisation=demand.organisation,
        weight=demand.weight,
        prompt_tokens=demand.prompt_tokens,
        max_output_tokens=demand.max_output_tokens,
        patience_ms=min(policy.queue_patience_ms, deadline_ms),
    )


def _describe_queue(
    pool: str, description: PoolDescription, tokens: int
) -> ExplainStep:
    facts = {"pool": pool, "queued": description.queued, "wait_ms": description.wait_ms}
    if description.refused_code is not None:
        return ExplainStep(
            filter="queue",
            verdict="refuse",
            reason=description.refused_detail or "",
            code=description.refused_code,
            facts=facts,
        )
    if description.queued:
        reason = (
            f"{description.queued} requests wait in {pool}; this one would wait about "
            f"{description.wait_ms} ms"
        )
        return wait_step("queue", reason, **facts)
    if not _list_with_capacity(description, tokens):
        return wait_step("queue", f"no upstream of {pool} has free capacity", **facts)
    return pass_step("queue", f"no request waits in {pool}", **facts)


def _describe_choice(description: PoolDescription, tokens: int) -> ExplainStep:
    with_capacity = _list_with_capacity(description, tokens)
    others = {
        one.name: "full" if one.state == "ready" else one.state
        for one in description.upstreams
        if one.name not in with_capacity
    }
    facts = {"candidates": with_capacity, "others": others}
    if not with_capacity:
        return wait_step(
            "choose",
            "no upstream has free capacity; the first to have some is used",
            **facts,
        )
    return pass_step(
        "choose", f"the keeper chooses one of {', '.join(with_capacity)}", **facts
    )


def _list_with_capacity(description: PoolDescription, tokens: int) -> list[str]:
    return sorted(
        one.name
        for one in description.upstreams
        if one.state == "ready" and one.free_tokens >= tokens
    )
