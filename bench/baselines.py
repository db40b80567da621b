"""Baseline policies, each of which replaces one decision of the daemon."""

import math
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path

import anyio
from uuid6 import uuid7

from banyanseam.poison.guard import PoisonGuard
from banyanseam.quota.client import Charge, QuotaClient
from banyanseam.quota.const import DEFAULT_TIMING, WHOLE_UNITS
from banyanseam.quota.errors import QuotaExceeded
from banyanseam.quota.share import Quota, Share
from banyanseam.upstreams import pool_scheduler
from banyanseam.upstreams.choose import Candidate
from banyanseam.upstreams.context import Context
from banyanseam.upstreams.fair_queue import FairQueue, QueuedRequest
from banyanseam.upstreams.lease_ledger import LeaseLedger

OWN_POLICY = "ours"
FIFO = "first-in first-out"
ROUND_ROBIN = "round robin"
LIMITS_PER_DAEMON = "limits per daemon"
STATIC_SPLIT = "static split"
NO_GUARD = "no guard"
POLICY_READ_PERIOD_S = 0.1
CHARGE_RETRY_S = 0.05

Pick = Callable[..., Candidate | None]


def iterate_by_arrival(queue: FairQueue, look_ahead: int) -> Iterator[QueuedRequest]:
    """Yield queued requests in order of arrival."""
    waiting = sorted(queue._by_key.values(), key=lambda each: each.arrived_s)
    yield from waiting[:look_ahead]


class FifoQueue(FairQueue):
    """A queue that serves requests in order of arrival."""

    in_order = iterate_by_arrival

    def estimate_wait_s(self, *_: object) -> float:
        """Return zero, so that no request is refused early."""
        return 0.0


def make_round_robin() -> Pick:
    """Return a picker that takes the upstreams in turn."""
    turns = count()

    def pick(candidates: Sequence[Candidate], *_: object) -> Candidate | None:
        ranked = sorted(candidates, key=lambda each: each.name)
        return ranked[next(turns) % len(ranked)] if ranked else None

    return pick


@dataclass(slots=True)
class PolicySwitch:
    """Reads the name of the policy in force from a file that the bench writes."""

    path: Path
    name: str = OWN_POLICY
    last_read_s: float = -math.inf

    def is_on(self, name: str) -> bool:
        """Return whether a baseline is in force."""
        now_s = anyio.current_time()
        if now_s - self.last_read_s >= POLICY_READ_PERIOD_S:
            self.last_read_s = now_s
            self.name = self.path.read_text() if self.path.exists() else OWN_POLICY
        return self.name == name


def install_baselines(switch: PolicySwitch) -> None:
    """Patch this process so that the switch can replace decisions by baselines."""
    _replace_queue(switch)
    _replace_upstream_choice(switch)
    _replace_lease_limits(switch)
    _replace_quota(switch)
    _replace_guard(switch)


def _replace_queue(switch: PolicySwitch) -> None:
    own_in_order, own_estimate_wait_s = FairQueue.in_order, FairQueue.estimate_wait_s

    def in_order(queue: FairQueue, look_ahead: int) -> Iterator[QueuedRequest]:
        if switch.is_on(FIFO):
            return iterate_by_arrival(queue, look_ahead)
        return own_in_order(queue, look_ahead)

    def estimate_wait_s(queue: FairQueue, *args: object) -> float:
        return 0.0 if switch.is_on(FIFO) else own_estimate_wait_s(queue, *args)

    FairQueue.in_order = in_order
    FairQueue.estimate_wait_s = estimate_wait_s


def _replace_upstream_choice(switch: PolicySwitch) -> None:
    own_pick, round_robin = pool_scheduler.pick_upstream, make_round_robin()

    def pick(*args: object) -> Candidate | None:
        return (round_robin if switch.is_on(ROUND_ROBIN) else own_pick)(*args)

    pool_scheduler.pick_upstream = pick


def _replace_lease_limits(switch: PolicySwitch) -> None:
    own_find_keeper, own_is_undisputed = Context.find_keeper, LeaseLedger.is_undisputed
    own_observe = LeaseLedger.observe

    def find_keeper(context: Context, pool: str) -> str | None:
        if switch.is_on(LIMITS_PER_DAEMON):
            return context.me.seat
        return own_find_keeper(context, pool)

    def is_undisputed(ledger: LeaseLedger, *args: object) -> bool:
        return switch.is_on(LIMITS_PER_DAEMON) or own_is_undisputed(ledger, *args)

    def observe(ledger: LeaseLedger, *args: object) -> None:
        own_observe(ledger, *args)
        if switch.is_on(LIMITS_PER_DAEMON):
            # With limits per daemon, a daemon counts only the requests that it sent.
            ledger.report = None

    Context.find_keeper = find_keeper
    LeaseLedger.is_undisputed = is_undisputed
    LeaseLedger.observe = observe


@dataclass(slots=True)
class SplitQuota:
    """Splits each organisation's quota equally over the seats, without loans."""

    buckets: dict[str, Share] = field(default_factory=dict)

    def find_bucket(self, client: QuotaClient, organisation: str) -> Share:
        """Return this seat's bucket, created full on first use."""
        if organisation not in self.buckets:
            config, now_s = client._get_config(), anyio.current_time()
            published = config.organisations[organisation]
            quota = Quota(published.rate_tokens_per_s, published.burst_tokens)
            share = Share(quota, DEFAULT_TIMING, now_s)
            share.open_full(WHOLE_UNITS // len(config.seats), now_s)
            self.buckets[organisation] = share
        return self.buckets[organisation]


def _replace_quota(switch: PolicySwitch) -> None:
    own_charge, own_settle, split = (
        QuotaClient.charge,
        QuotaClient.settle,
        SplitQuota(),
    )

    async def charge(
        client: QuotaClient, organisation: str, cost_tokens: int, deadline_s: float
    ) -> Charge:
        if not switch.is_on(STATIC_SPLIT):
            return await own_charge(client, organisation, cost_tokens, deadline_s)
        share = split.find_bucket(client, organisation)
        charged = Charge(uuid7().hex, organisation, STATIC_SPLIT, cost_tokens)
        while not share.try_charge(
            charged.charge_id, cost_tokens, anyio.current_time()
        ):
            if anyio.current_time() + 2 * CHARGE_RETRY_S >= deadline_s:
                raise QuotaExceeded(retry_after_ms=1000)
            await anyio.sleep(CHARGE_RETRY_S)
        return charged

    async def settle(client: QuotaClient, charged: Charge, used_tokens: int) -> None:
        if charged.home == STATIC_SPLIT:
            share = split.find_bucket(client, charged.organisation)
            share.settle(charged.charge_id, used_tokens, anyio.current_time())
            return
        await own_settle(client, charged, used_tokens)

    QuotaClient.charge = charge
    QuotaClient.settle = settle


def _replace_guard(switch: PolicySwitch) -> None:
    own_admit = PoisonGuard.admit

    async def admit(guard: PoisonGuard, *args: object) -> str | None:
        return None if switch.is_on(NO_GUARD) else await own_admit(guard, *args)

    PoisonGuard.admit = admit
