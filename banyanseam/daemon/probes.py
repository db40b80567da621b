"""Look at the state that an imagined request would meet, without changing any.

Each probe answers for one filter as that filter would at this moment; what another
daemon keeps is asked of it by messages that take, count and claim nothing.
"""

import anyio

from banyanseam.daemon.fleet_view import FleetView
from banyanseam.daemon.idempotency_parts import IdempotencyParts
from banyanseam.daemon.poison_parts import PoisonParts
from banyanseam.daemon.quota_parts import QuotaParts
from banyanseam.daemon.serving import Serving
from banyanseam.daemon.upstream_parts import UpstreamParts
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
from banyanseam.quota.messages import QuotaSeen
from banyanseam.server.explain import (
    Imagined,
    Probe,
    choose_by_configuration,
    leave_open,
    let_pass,
    let_wait,
    refuse,
)
from banyanseam.server.operator_models import ExplainStep
from banyanseam.upstreams.choose import RemoteRegion
from banyanseam.upstreams.errors import NotKeeper
from banyanseam.upstreams.messages import DescribePool, PoolDescription
from banyanseam.upstreams.models import Demand

# What a call to the daemon that keeps the state may end with.
_LOST = (PeerUnreachable, PeerCallLost, PeerCallFailed, NotKeeper)


def make_probes(view: FleetView, serving: Serving) -> dict[str, Probe]:
    """Return the probes by the name of their filter."""
    return {
        "idempotency": make_key_probe(view, serving.idempotency),
        "quota": make_quota_probe(serving.quota),
        "poison": make_poison_probe(serving.poison),
        **make_room_probes(serving.upstreams),
    }


def make_key_probe(view: FleetView, parts: IdempotencyParts) -> Probe:
    """Return the probe of the key's home, or of the issuer of a ticket."""

    async def probe(imagined: Imagined) -> ExplainStep:
        exchange = imagined.exchange
        if exchange.is_idempotent:
            return let_pass("idempotency", "it is idempotent and needs no key")
        try:
            key = read_key(exchange)
            if key is None:
                reason = "without a key it runs each time that it is received"
                return let_pass("idempotency", reason)
            if is_ticket(key):
                return look_at_ticket(exchange, key)
            return await look_at_key(imagined, key)
        except BanyanseamError as error:
            return refuse("idempotency", error)

    def look_at_ticket(exchange: Exchange, key: str) -> ExplainStep:
        ticket = parts.ticket_issuer.read(key, get_organisation_name(exchange))
        seat = ticket.seat
        if parts.homes.covers(ticket):
            reason = "this daemon has the records of the ticket's issuer"
            return let_pass("idempotency", reason, home=seat)
        if seat == view.settings.seat:
            return refuse("idempotency", IssuerGone(), home=seat)
        newest = view.membership.incarnation_of(seat)
        if newest != ticket.incarnation or not view.membership.is_alive(seat):
            reason = "its issuer has ended; a successor or standby may have its records"
            return leave_open("idempotency", reason, home=seat)
        reason = f"it is passed to {seat}, which issued the ticket"
        return let_pass("idempotency", reason, home=seat)

    async def look_at_key(imagined: Imagined, key: str) -> ExplainStep:
        exchange = imagined.exchange
        scope = Scope(get_organisation_name(exchange), key)
        route = exchange.route.name
        seat = parts.client.find_home(scope, route)
        fingerprint = exchange.fingerprint
        if imagined.request.body is None:
            fingerprint = None
        try:
            seen = await parts.client.look(scope, route, fingerprint)
        except (PeerUnreachable, PeerCallLost) as error:
            return refuse_at(seat, HomeUnreachable(error.detail))
        except BanyanseamError as error:
            return refuse_at(seat, error)
        facts = {"home": seat, "state": seen.state}
        if seen.state == "running":
            reason = f"{seat} knows that it runs; its answer is awaited"
            return let_wait("idempotency", reason, **facts)
        if seen.state == "done":
            reason = f"{seat} replays the answer of the first run; nothing runs"
            return let_pass("idempotency", reason, **facts)
        reason = f"{seat} vouches that it has not run"
        return let_pass("idempotency", reason, **facts)

    def refuse_at(seat: str, error: BanyanseamError) -> ExplainStep:
        step = refuse("idempotency", error, home=seat)
        return step.model_copy(update={"reason": f"its home {seat}: {error.detail}"})

    return probe


def make_quota_probe(parts: QuotaParts) -> Probe:
    """Return the probe of the home that would be charged."""

    async def probe(imagined: Imagined) -> ExplainStep:
        exchange = imagined.exchange
        if exchange.organisation is None:
            return let_pass("quota", "a request without a key is charged to nobody")
        name, tokens = exchange.organisation.name, exchange.cost.total_tokens
        try:
            seat, seen = await parts.client.look(name, tokens, exchange.deadline_s)
        except BanyanseamError as error:
            return refuse("quota", error)
        return _describe_quota(seat, seen)

    return probe


def _describe_quota(seat: str, seen: QuotaSeen) -> ExplainStep:
    facts = {
        "home": seat,
        "held_tokens": round(seen.held_tokens),
        "cap_tokens": round(seen.cap_tokens),
        "rate_tokens_per_s": round(seen.rate_tokens_per_s, 3),
        "waiting": seen.waiting,
        "wait_ms": seen.wait_ms,
    }
    held = f"{seat} holds {facts['held_tokens']} of {facts['cap_tokens']} tokens"
    if seen.status == "granted":
        return let_pass("quota", held, **facts)
    if seen.status == "refused":
        reason = f"{held}, and no other home has any to lend"
        return refuse("quota", QuotaExceeded(reason), **facts)
    if seen.status == "waiting":
        reason = (
            f"{held}, {seen.waiting} wait; {seen.wait_ms} ms at the whole rate, "
            "less if other homes lend"
        )
        return let_wait("quota", reason, **facts)
    reason = f"every home withholds its part, {seat} for {seen.wait_ms} ms"
    if seen.status == "not_home":
        reason = f"{seat} is no home by its own configuration, and no other spends"
    return let_wait("quota", reason, **facts)


def make_poison_probe(parts: PoisonParts) -> Probe:
    """Return the probe of the marks that this daemon has seen or heard of."""

    async def probe(imagined: Imagined) -> ExplainStep:
        suspects = parts.guard.suspects
        if not len(suspects):
            return let_pass("poison", "no request is marked", suspects=0)
        facts = {"suspects": len(suspects)}
        if imagined.request.body is None:
            reason = f"{len(suspects)} requests are marked; only a body tells which"
            return leave_open("poison", reason, **facts)
        fingerprint = make_poison_fingerprint(imagined.exchange)
        crashes = suspects.count(fingerprint, anyio.current_time())
        facts["crashes"] = crashes
        if crashes >= CONDEMNED_CRASHES:
            return refuse("poison", PoisonRefused(), **facts)
        if crashes:
            reason = "an upstream crashed under it: it waits until it can run alone"
            return let_wait("poison", reason, **facts)
        return let_pass("poison", "no mark matches it", **facts)

    return probe


def make_room_probes(parts: UpstreamParts) -> dict[str, Probe]:
    """Return the probes of the place to wait at and of the upstreams with room."""
    # What the first probe was told by the keeper, for the second.
    looked: list[PoolDescription] = []

    async def probe_queue(imagined: Imagined) -> ExplainStep:
        exchange = imagined.exchange
        serves = get_served_name(exchange)
        if not serves:
            return leave_open("queue", "say which model it would name")
        demand = make_demand(exchange)
        try:
            place = parts.destinations.preview(serves, demand, exchange.regions)
            if isinstance(place, RemoteRegion):
                reason = f"it is forwarded to {place.region}"
                return let_pass("queue", reason, region=place.region)
            seen = await parts.lease_client.look(
                _make_look(imagined, place.pool, demand)
            )
        except _LOST as error:
            return leave_open("queue", f"its pool's keeper: {error.detail}")
        except BanyanseamError as error:
            return refuse("queue", error)
        looked.append(seen)
        return _describe_queue(place.pool, seen, demand.tokens)

    async def probe_choose(imagined: Imagined) -> ExplainStep:
        if not looked:
            return choose_by_configuration(imagined)
        return _describe_choice(looked[0], imagined.exchange.cost.total_tokens)

    return {"queue": probe_queue, "choose": probe_choose}


def _make_look(imagined: Imagined, pool: str, demand: Demand) -> DescribePool:
    policy = imagined.config.policies[imagined.region]
    deadline_ms = imagined.exchange.route.deadline_ms
    return DescribePool(
        pool=pool,
        organisation=demand.organisation,
        weight=demand.weight,
        prompt_tokens=demand.prompt_tokens,
        max_output_tokens=demand.max_output_tokens,
        patience_ms=min(policy.queue_patience_ms, deadline_ms),
    )


def _describe_queue(pool: str, seen: PoolDescription, tokens: int) -> ExplainStep:
    facts = {"pool": pool, "queued": seen.queued, "wait_ms": seen.wait_ms}
    if seen.refused_code is not None:
        return ExplainStep(
            filter="queue",
            verdict="refuse",
            reason=seen.refused_detail or "",
            code=seen.refused_code,
            facts=facts,
        )
    if seen.queued:
        reason = f"{seen.queued} wait in {pool}, it for about {seen.wait_ms} ms"
        return let_wait("queue", reason, **facts)
    if not _list_with_room(seen, tokens):
        return let_wait("queue", f"no upstream of {pool} has room now", **facts)
    return let_pass("queue", f"nothing waits in {pool}", **facts)


def _describe_choice(seen: PoolDescription, tokens: int) -> ExplainStep:
    with_room = _list_with_room(seen, tokens)
    others = {
        one.name: "full" if one.state == "ready" else one.state
        for one in seen.upstreams
        if one.name not in with_room
    }
    facts = {"candidates": with_room, "others": others}
    if not with_room:
        return let_wait("choose", "none has room; the first to have some", **facts)
    return let_pass("choose", f"one of {', '.join(with_room)}", **facts)


def _list_with_room(seen: PoolDescription, tokens: int) -> list[str]:
    return sorted(
        one.name
        for one in seen.upstreams
        if one.state == "ready" and one.free_tokens >= tokens
    )
