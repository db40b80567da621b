"""Enforce each organisation's rate and burst over all VMs, without a shared store.

Every process has its own copy of one token bucket for the whole fleet. It subtracts its
own charges at once and those of other processes when it receives their reports. Tokens
can be spent twice only while a report is in transit; the published slack covers that.
A process that receives reports from only a part of the fleet refills at that part of
the rate, so that partitioned regions together spend no more than the rate.

If all processes of a fleet die at once, nobody knows what was spent before. A process
that starts then assumes that the bursts are used up and that others spend as well,
until a peer reports.
"""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from banyanseam.entry.const import (
    FLEET_TERM_S,
    PEER_TERM_S,
    REGION_GOSSIP_PERIOD_S,
)
from banyanseam.entry.models import Organisation
from banyanseam.entry.overdraft import (
    choose_overdraft,
    compute_limit,
    update_usual_cost,
)
from banyanseam.entry.spending import Charge

# The refill rate is multiplied by the reachable share of the fleet times this factor,
# at most 1. The factor uses a part of the published tolerance; the other part covers
# reports in transit. Source: the operators' bounds, a quarter above the rate.
REACHABLE_TOLERANCE: Final = 1.2
# Each burst is raised by this share of the published slack.
SLACK_SHARE: Final = 0.3
# The lower limit of a bucket, in bursts: what a flood of several times the rate spends
# before all processes have its reports. Source: the operators' figures for hot
# organisations.
MAX_DEBT_BURSTS: Final = 8.0
# A report after a longer silence is late: refill that did not fit into the bucket
# during the silence may cover its charges. Source: two heartbeats between regions,
# which are the slowest.
LATE_REPORT_S: Final = 2 * REGION_GOSSIP_PERIOD_S
# Part of the rate at which a process refills that doesn't know yet what others spend.
UNHEARD_RATE_SHARE: Final = 0.33
# Interval between two records of the refill that did not fit into the buckets.
UNUSED_PERIOD_S: Final = 0.5


@dataclass(slots=True)
class _Bucket:
    organisation: Organisation
    level: float
    updated_s: float
    # Sum of refill at the full rate that was not added, less what late reports used.
    unused: float = 0.0
    # Mean cost of the latest requests that this process got, also of refused ones.
    usual_cost: float = 0.0
    # Whether other processes' charges took the level below zero.
    is_overspent: bool = False
    # Until when the level is an assumption, which a peer's level replaces.
    assumed_until_s: float = -math.inf


class FleetQuota:
    """One process's copy of the buckets of all organisations."""

    def __init__(
        self,
        slack_tokens: float = 0.0,
        period_s: float = 0.0,
        excess_share: float = 0.0,
        *,
        is_first_start: bool = True,
    ) -> None:
        """Start without organisations; the published slack is allowed on top of rates.

        So is `excess_share` of what a quota allows in any `period_s`; a part of that is
        for small requests.

        A share of the slack is added to each burst, so that demand within the rate is
        not refused because of delayed reports; the other part of the slack covers what
        is spent while reports are in transit.

        Unless it is the fleet's first start, the first buckets start empty.
        """
        self._starts_full = is_first_start
        self._extra_burst = slack_tokens * SLACK_SHARE
        self._period_s = period_s
        self._excess_share = excess_share
        self._buckets: dict[str, _Bucket] = {}
        # Levels that a peer reported before the organisations were known.
        self._early_levels: dict[str, float] = {}
        # Total charges of this process, by organisation.
        self.own_spent: dict[str, float] = {}
        # Share of the recently live processes whose heartbeats still arrive.
        self.heard_share = 1.0
        # Unused refill by organisation, recorded at times within the last FLEET_TERM_S.
        self._unused_history: deque[tuple[float, dict[str, float]]] = deque()

    def charge(self, organisation: Organisation, cost: float, now_s: float) -> float:
        """Charge a cost and return 0, or return the time until it could be charged."""
        if organisation.rate_per_s <= 0 and organisation.burst <= 0:
            return 0.0
        bucket = self._refill(organisation, now_s)
        # A full bucket accepts a cost above the burst, which could not pass otherwise.
        needed = min(cost, self._burst(organisation))
        bucket.usual_cost = update_usual_cost(bucket.usual_cost, cost)
        if bucket.is_overspent:
            needed -= self._choose_overdraft(bucket, cost)
        if bucket.level < needed:
            rate = max(self._rate(organisation), 1e-9)
            return (needed - bucket.level) / rate
        bucket.level -= cost
        name = organisation.name
        self.own_spent[name] = self.own_spent.get(name, 0.0) + cost
        return 0.0

    def read_level(self, organisation: Organisation) -> float:
        """Return the level of the bucket at its last update."""
        bucket = self._buckets.get(organisation.name)
        return 0.0 if bucket is None else bucket.level

    def refund(self, organisation: Organisation, cost: float) -> None:
        """Refund the charge of a request that certainly has not run."""
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            return
        bucket.level = min(bucket.level + cost, self._burst(organisation))
        self.own_spent[organisation.name] -= cost

    def receive(self, charges: Iterable[Charge], now_s: float) -> None:
        """Subtract what another process has charged since its last report."""
        for charge in charges:
            bucket = self._buckets.get(charge.organisation)
            if bucket is None or charge.cost == 0:
                continue
            bucket.assumed_until_s = -math.inf
            cost = charge.cost
            if now_s - charge.since_s > LATE_REPORT_S:
                self._refill(bucket.organisation, now_s)
                cost -= self._use_unused_refill(bucket, cost, charge.since_s)
            # If the report is not late, the refill since the bucket's last update is
            # added only after the subtraction: it covers costs of the same period.
            burst = self._burst(bucket.organisation)
            level = max(bucket.level - cost, -MAX_DEBT_BURSTS * burst)
            bucket.level = min(level, burst)
            bucket.is_overspent |= bucket.level < 0

    def record_unused_refill(self, now_s: float) -> None:
        """Record how much refill did not fit into the buckets; call this often."""
        if (
            self._unused_history
            and now_s - self._unused_history[-1][0] < UNUSED_PERIOD_S
        ):
            return
        unused = {
            name: bucket.unused + self._compute_refill(bucket, now_s)[1]
            for name, bucket in self._buckets.items()
        }
        self._unused_history.append((now_s, unused))
        while now_s - self._unused_history[0][0] > FLEET_TERM_S:
            self._unused_history.popleft()

    def _use_unused_refill(self, bucket: _Bucket, cost: float, since_s: float) -> float:
        """Return how much of a cost unused refill covers, and mark that much as used.

        A report that was delayed by a partition or a suspended process contains all
        the spending during the delay. In that period this bucket may have been full, or
        refilled at a part of the rate only. No refill is used for two reports.
        """
        before = next(
            (
                unused
                for recorded_s, unused in reversed(self._unused_history)
                if recorded_s <= since_s
            ),
            self._unused_history[0][1] if self._unused_history else {},
        )
        if bucket.organisation.name not in before:
            return 0.0
        unused = bucket.unused - before[bucket.organisation.name]
        used = max(0.0, min(cost, unused))
        bucket.unused -= used
        return used

    def adopt_levels(self, levels: dict[str, float], now_s: float) -> None:
        """Set the buckets to a peer's levels, just after this process has started.

        A new full bucket, while those of its peers are empty, would allow a second
        burst.
        """
        for name, level in levels.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                self._early_levels[name] = level
            else:
                is_assumed = now_s < bucket.assumed_until_s
                bucket.level = level if is_assumed else min(bucket.level, level)
                bucket.updated_s = max(bucket.updated_s, now_s)
                bucket.assumed_until_s = -math.inf

    def list_levels(self) -> dict[str, float]:
        """Return the level of each bucket at its last update."""
        return {name: round(each.level) for name, each in self._buckets.items()}

    def configure(self, organisations: dict[str, Organisation], now_s: float) -> None:
        """Apply rates and bursts; the bucket of a new organisation starts full.

        Those that exist when this process starts may have been used before.
        """
        starts_full, self._starts_full = self._starts_full, True
        for organisation in organisations.values():
            bucket = self._buckets.get(organisation.name)
            if bucket is None:
                bucket = _Bucket(organisation, self._burst(organisation), now_s)
                level = self._early_levels.pop(organisation.name, None)
                if level is not None:
                    bucket.level = min(bucket.level, level)
                elif not starts_full:
                    bucket.level = 0.0
                    bucket.assumed_until_s = now_s + PEER_TERM_S
                self._buckets[organisation.name] = bucket
            elif bucket.organisation is not organisation:
                # The old rate applies up to now.
                self._refill(bucket.organisation, now_s)
                bucket.organisation = organisation
                # Debt from spending under a higher rate is limited to one burst of the
                # new limits.
                burst = self._burst(organisation)
                bucket.level = min(max(bucket.level, -burst), burst)
        for name in set(self._buckets) - set(organisations):
            del self._buckets[name]

    def _burst(self, organisation: Organisation) -> float:
        extra_burst = self._extra_burst if organisation.counts_tokens else 0.0
        return organisation.burst + extra_burst

    def _rate(self, organisation: Organisation) -> float:
        return organisation.rate_per_s * min(
            1.0, REACHABLE_TOLERANCE * self.heard_share
        )

    def _choose_overdraft(self, bucket: _Bucket, cost: float) -> float:
        organisation = bucket.organisation
        limit = compute_limit(
            organisation.rate_per_s,
            organisation.burst,
            self._period_s,
            self._excess_share,
        )
        return choose_overdraft(cost, bucket.usual_cost, limit, self.heard_share)

    def _refill(self, organisation: Organisation, now_s: float) -> _Bucket:
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            bucket = _Bucket(organisation, self._burst(organisation), now_s)
            self._buckets[organisation.name] = bucket
        added, unused = self._compute_refill(bucket, now_s)
        bucket.updated_s = now_s
        bucket.level += added
        bucket.is_overspent &= bucket.level < 0
        bucket.unused += unused
        return bucket

    def _compute_refill(self, bucket: _Bucket, now_s: float) -> tuple[float, float]:
        """Return the refill up to now, and the part of the full rate that is unused."""
        organisation = bucket.organisation
        elapsed_s = max(0.0, now_s - bucket.updated_s)
        free_capacity = self._burst(organisation) - bucket.level
        rate = self._rate(organisation)
        if bucket.updated_s < bucket.assumed_until_s:
            rate *= UNHEARD_RATE_SHARE
        added = min(elapsed_s * rate, free_capacity)
        return added, elapsed_s * organisation.rate_per_s - added
