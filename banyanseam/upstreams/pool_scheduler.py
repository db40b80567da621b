"""Scheduling of one pool at its keeper: queue, leases and choice of upstream."""

from dataclasses import dataclass

from banyanseam.errors import BanyanseamError
from banyanseam.upstreams.choose import Candidate, pick_upstream
from banyanseam.upstreams.const import (
    KEEPER_PERIOD_S,
    LOOK_AHEAD,
    MAX_BYPASSES,
    MAX_PREFILL_AHEAD_S,
    MAX_RETRY_AFTER_MS,
    MIN_RETRY_AFTER_MS,
    ROW_CACHE_TERM_S,
    USED_SHARE_STEP,
)
from banyanseam.upstreams.errors import NoneUsable, NoUpstreamAvailable, RequestTooLarge
from banyanseam.upstreams.fair_queue import FairQueue, QueuedRequest
from banyanseam.upstreams.models import (
    Demand,
    LeaseKey,
    LoadReport,
    Outcome,
    PoolRow,
    UpstreamState,
)
from banyanseam.upstreams.pools import Pool
from banyanseam.upstreams.prefix import PrefixTable, pick_by_rendezvous
from banyanseam.upstreams.terms import Terms, choose_terms
from banyanseam.upstreams.tracked_upstream import TrackedUpstream


@dataclass(frozen=True, slots=True)
class Placement:
    """A queued request that was granted a lease on an upstream."""

    key: LeaseKey
    upstream: str
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class ReservationRefusal:
    """A queued request that is rejected because its deadline passed."""

    key: LeaseKey
    error: BanyanseamError


@dataclass(slots=True)
class RunningRequest:
    """A granted request and the demand that its organisation was charged for."""

    upstream: str
    demand: Demand


class PoolScheduler:
    """Schedules the requests of one pool; times are on the keeper's clock."""

    def __init__(self, pool: Pool, seats: frozenset[str], now_s: float) -> None:
        """Start as a new keeper, with an empty queue and no known leases."""
        self.queue = FairQueue()
        self.prefixes = PrefixTable()
        self.tracked: dict[str, TrackedUpstream] = {}
        self._running: dict[LeaseKey, RunningRequest] = {}
        self._leaving: frozenset[str] = frozenset()
        # Moving average of the share of `max_output_tokens` that requests use.
        self._output_used_share = 1.0
        self._last_expiry_s = now_s
        self._row: PoolRow | None = None
        self._row_valid_until_s = now_s
        self.update(pool, seats, frozenset(), now_s)

    def update(
        self,
        pool: Pool,
        seats: frozenset[str],
        leaving: frozenset[str],
        now_s: float,
    ) -> None:
        """Apply the region's published pool and seats, and the leaving upstreams."""
        self.pool = pool
        self.seats = seats
        self.upstreams = {upstream.name: upstream for upstream in pool.upstreams}
        self._leaving = leaving
        terms = choose_terms(len(seats))
        for name, upstream in self.upstreams.items():
            if name not in self.tracked:
                self.tracked[name] = TrackedUpstream(upstream, terms, now_s)
            if self.tracked[name].update(upstream, terms):
                self.prefixes.forget(name)
        for name in self.tracked.keys() - self.upstreams.keys():
            del self.tracked[name]
            self.prefixes.forget(name)

    def enqueue(
        self, key: LeaseKey, demand: Demand, deadline_s: float, now_s: float
    ) -> None:
        """Queue a request until capacity is free.

        Raise RequestTooLarge if it can never fit, NoUpstreamAvailable if no upstream
        is usable or the estimated wait ends after its deadline.
        """
        self.check_admission(demand, deadline_s, now_s)
        self.queue.add(QueuedRequest(deadline_s, now_s, key, demand))

    def check_admission(self, demand: Demand, deadline_s: float, now_s: float) -> float:
        """Return the estimated wait of a new request in seconds, without queueing it.

        Raise the same errors as `enqueue`.
        """
        usable = self._list_usable(demand, now_s)
        if not usable and demand.avoid and self._list_usable(None, now_s):
            raise NoUpstreamAvailable(retry_after_ms=1000)
        if not usable:
            raise NoneUsable(retry_after_ms=1000)
        if all(
            demand.tokens > self.tracked[name].ledger.capacity_tokens for name in usable
        ):
            raise RequestTooLarge(f"{demand.tokens} tokens")
        wait_s = 0.0
        if len(self.queue):
            wait_s = self.queue.estimate_wait_s(
                demand, deadline_s, self._estimate_work_s
            )
        if now_s + wait_s > deadline_s:
            retry_ms = _clamp_retry_ms(1000 * (now_s + wait_s - deadline_s))
            raise NoUpstreamAvailable(
                "the estimated wait exceeds the deadline", retry_after_ms=retry_ms
            )
        return wait_s

    def dispatch(
        self, now_s: float
    ) -> tuple[list[Placement], list[ReservationRefusal]]:
        """Drop expired requests and grant free capacity to the others in fair order."""
        self._drop_expired(now_s)
        refused = [
            ReservationRefusal(
                waiting.key,
                NoUpstreamAvailable(
                    "no capacity before the deadline",
                    retry_after_ms=MIN_RETRY_AFTER_MS * 10,
                ),
            )
            for waiting in self.queue.pop_expired(now_s)
        ]
        placed = []
        free = self._count_free(now_s) if len(self.queue) else {}
        while (placement := self._place_next(free, now_s)) is not None:
            placed.append(placement)
            name = placement.upstream
            free[name] = self.tracked[name].ledger.count_free_tokens(self.seats, now_s)
        return placed, refused

    def cancel(self, key: LeaseKey, now_s: float) -> None:
        """Cancel a request that was not sent, whether it is queued or was granted."""
        running = self._running.get(key)
        if self.queue.remove(key) is None and running is not None:
            self.release(key, running.upstream, Outcome.UNUSED, 0, now_s)

    def release(
        self,
        key: LeaseKey,
        upstream: str,
        outcome: Outcome,
        output_tokens: int,
        now_s: float,
    ) -> None:
        """End a lease, also an earlier keeper's; update health, charges, prefixes."""
        tracked = self.tracked.get(upstream)
        if tracked is None:
            return
        lingers = outcome in (Outcome.STOPPED, Outcome.FAILED)
        is_lost = tracked.ledger.release(key, now_s, lingers=lingers)
        self._settle_charge(key, outcome, output_tokens)
        if is_lost:
            # The outcome says nothing about the upstream's new process.
            return
        if outcome is Outcome.UNUSED:
            tracked.health.record_unused()
        elif outcome is Outcome.COMPLETED:
            tracked.health.record_success()
        elif outcome is not Outcome.STOPPED and tracked.health.record_failure(now_s):
            self.prefixes.forget(upstream)

    def announce(
        self,
        seat: str,
        incarnation: int,
        leases: dict[str, dict[int, int]],
        now_s: float,
        terms: Terms,
    ) -> None:
        """Apply the full lists of an entry's leases on this pool's upstreams."""
        for name, tracked in self.tracked.items():
            held = leases.get(name, {})
            tracked.ledger.announce(seat, incarnation, held, now_s, terms)

    def list_numbers(self, seat: str, incarnation: int) -> list[int]:
        """Return the numbers of an entry process's leases on this pool's upstreams."""
        return [
            number
            for tracked in self.tracked.values()
            for number in tracked.ledger.list_numbers(seat, incarnation)
        ]

    def renew(self, seat: str, incarnation: int, now_s: float, terms: Terms) -> None:
        """Renew every recorded lease of an entry, which has confirmed the same set."""
        for tracked in self.tracked.values():
            tracked.ledger.renew(seat, incarnation, now_s, terms)

    def list_leases(self) -> dict[str, dict[LeaseKey, int]]:
        """Return the leases on each upstream with their tokens, for the next keeper."""
        return {
            name: {key: lease.tokens for key, lease in tracked.ledger.leases.items()}
            for name, tracked in self.tracked.items()
        }

    def take_over(self, leases: dict[str, dict[LeaseKey, int]], now_s: float) -> None:
        """Take over the previous keeper's leases; it no longer grants any."""
        for name in leases.keys() & self.tracked.keys():
            self.tracked[name].ledger.take_over(leases[name], now_s)

    def observe(self, upstream: str, report: LoadReport | None, now_s: float) -> bool:
        """Apply a polled load report, or None if the poll failed.

        Return whether the upstream has restarted since its last report.
        """
        is_restarted = self.tracked[upstream].observe(report, now_s)
        if is_restarted:
            self.prefixes.forget(upstream)
        return is_restarted

    def record_unreachable(self, upstream: str) -> None:
        """Assume a restart if the upstream's reports would not show one."""
        report = self.tracked[upstream].ledger.report
        if report is None or report.incarnation is None:
            self.prefixes.forget(upstream)

    def restart(self, now_s: float) -> None:
        """Act as a new keeper again, as after a suspension of the process."""
        for tracked in self.tracked.values():
            tracked.ledger.restart(now_s)

    def list_states(self, now_s: float) -> list[UpstreamState]:
        """Return the state of each upstream."""
        return [
            tracked.describe_state(
                self.seats, now_s, is_vm_leaving=tracked.upstream.name in self._leaving
            )
            for tracked in self.tracked.values()
        ]

    def summarise(self, now_s: float) -> PoolRow:
        """Return the summary for entries and other regions.

        It is cached for ROW_CACHE_TERM_S.
        """
        if self._row is None or now_s >= self._row_valid_until_s:
            self._row = self._summarise(now_s)
            self._row_valid_until_s = now_s + ROW_CACHE_TERM_S
        return self._row

    def _summarise(self, now_s: float) -> PoolRow:
        usable = self._list_usable(None, now_s)
        free = [
            self.tracked[name].ledger.count_free_tokens(self.seats, now_s)
            for name in usable
        ]
        wait_s = sum(map(self._estimate_work_s, self.queue.list_demands()))
        members = [self.upstreams[name] for name in usable]
        return PoolRow(
            pool=self.pool.name,
            free_tokens=sum(free),
            largest_free_tokens=max(free, default=0),
            wait_ms=int(1000 * wait_s),
            queued=len(self.queue),
            usable=len(usable),
            decode_tokens_per_s=sum(each.decode_tokens_per_s for each in members),
            prefill_tokens_per_s=max(
                (each.prefill_tokens_per_s for each in members), default=0.0
            ),
        )

    def _estimate_work_s(self, demand: Demand) -> float:
        """Return the time the whole pool needs for a request at its published rates."""
        members = self.upstreams.values()
        decode = sum(each.decode_tokens_per_s for each in members)
        prefill = sum(each.prefill_tokens_per_s for each in members)
        output_tokens = demand.max_output_tokens * self._output_used_share
        return demand.prompt_tokens / prefill + output_tokens / decode

    def _settle_charge(
        self, key: LeaseKey, outcome: Outcome, output_tokens: int
    ) -> None:
        """Refund the tokens that a request was charged for and did not use."""
        running = self._running.pop(key, None)
        if running is None:
            return
        demand = running.demand
        if outcome in (Outcome.UNUSED, Outcome.UNREACHABLE):
            self.queue.charge(demand, -demand.prompt_tokens, -demand.max_output_tokens)
            return
        unused = max(0, demand.max_output_tokens - output_tokens)
        self.queue.charge(demand, 0, -unused)
        if outcome is Outcome.COMPLETED and demand.max_output_tokens:
            used_share = 1 - unused / demand.max_output_tokens
            self._output_used_share += (
                used_share - self._output_used_share
            ) * USED_SHARE_STEP

    def _drop_expired(self, now_s: float) -> None:
        """Drop the leases of entries that stopped renewing them."""
        if now_s - self._last_expiry_s < KEEPER_PERIOD_S:
            return
        self._last_expiry_s = now_s
        for tracked in self.tracked.values():
            tracked.expire(self.seats, now_s)
        for key, running in list(self._running.items()):
            tracked = self.tracked.get(running.upstream)
            if tracked is None or key not in tracked.ledger.leases:
                del self._running[key]

    def _place_next(self, free: dict[str, int], now_s: float) -> Placement | None:
        skipped: list[QueuedRequest] = []
        unclaimed = dict(free)
        for waiting in self.queue.in_order(LOOK_AHEAD):
            chosen = self._choose_upstream(waiting.demand, unclaimed, now_s)
            if chosen is not None:
                for earlier in skipped:
                    earlier.bypasses += 1
                return self._grant(waiting, chosen, now_s)
            skipped.append(waiting)
            if waiting.bypasses >= MAX_BYPASSES:
                # Else smaller requests would take all memory that becomes free.
                self._withhold_upstream(waiting.demand, unclaimed)
        return None

    def _withhold_upstream(self, demand: Demand, free: dict[str, int]) -> None:
        """Withhold one upstream for a large request that was bypassed too often."""
        large_enough = [
            name
            for name in free
            if name not in demand.avoid
            and self.tracked[name].ledger.capacity_tokens >= demand.tokens
        ]
        if large_enough:
            del free[max(large_enough, key=lambda name: (free[name], name))]

    def _choose_upstream(
        self, demand: Demand, free: dict[str, int], now_s: float
    ) -> Candidate | None:
        names = [
            name
            for name, tokens in free.items()
            if demand.tokens <= tokens and name not in demand.avoid
        ]
        usable = [name for name in names if self.tracked[name].health.may_send(now_s)]
        if not usable:
            return None
        load = sum(
            tracked.ledger.count_held_tokens() for tracked in self.tracked.values()
        )
        decode = sum(each.decode_tokens_per_s for each in self.upstreams.values())
        described = [self._describe(name, demand, now_s) for name in usable]
        candidates = [
            each
            for each in described
            if each.queued_tokens <= MAX_PREFILL_AHEAD_S * each.prefill_tokens_per_s
        ]
        preferred = pick_by_rendezvous(demand.prefix, self.upstreams)
        return pick_upstream(candidates, demand, load, decode, preferred)

    def _describe(self, name: str, demand: Demand, now_s: float) -> Candidate:
        cached = self.prefixes.count_cached_tokens(demand.prefix, name)
        return self.tracked[name].describe(demand, cached, now_s)

    def _grant(
        self, waiting: QueuedRequest, chosen: Candidate, now_s: float
    ) -> Placement | None:
        demand = waiting.demand
        tracked = self.tracked[chosen.name]
        if not tracked.ledger.reserve(waiting.key, demand.tokens, self.seats, now_s):
            return None
        tracked.record_sent(demand.prompt_tokens - chosen.cached_tokens, now_s)
        self.queue.remove(waiting.key)
        self.queue.charge(demand, demand.prompt_tokens, demand.max_output_tokens)
        self.prefixes.record_sent(demand.prefix, chosen.name)
        self._running[waiting.key] = RunningRequest(chosen.name, demand)
        return Placement(waiting.key, chosen.name, chosen.cached_tokens)

    def _count_free(self, now_s: float) -> dict[str, int]:
        return {
            name: self.tracked[name].ledger.count_free_tokens(self.seats, now_s)
            for name in self._list_usable(None, now_s)
        }

    def _list_usable(self, demand: Demand | None, now_s: float) -> list[str]:
        avoid = demand.avoid if demand else frozenset()
        return [
            name
            for name, tracked in self.tracked.items()
            if name not in avoid
            and name not in self._leaving
            and tracked.is_usable(now_s)
        ]


def _clamp_retry_ms(retry_ms: float) -> int:
    return int(max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, retry_ms)))
