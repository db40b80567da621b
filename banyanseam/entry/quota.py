"""Each organisation's rate and burst over all VMs, without a shared store.

Every process keeps the same bucket for the whole fleet, takes its own charges at once
and those of the others as it hears of them. What can be spent twice is what the others
spend while the word travels; the published slack covers that. A process that hears
only a part of the fleet refills only that part, so that regions that are cut off from
one another together spend no more than the rate.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from banyanseam.entry.const import FLEET_TERM_S, REGION_GOSSIP_PERIOD_S
from banyanseam.entry.models import Organisation
from banyanseam.entry.spending import Charge

# The published tolerance on the rate, of which a part covers what travels.
# Source: the operators' bounds, a quarter over.
HEARD_TOLERANCE: Final = 1.2
# The part of the published slack that every burst is raised by.
SLACK_SHARE: Final = 0.3
# The deepest debt that is remembered: what a flood of several times the rate spends
# before the word of it is everywhere. Source: the operators' hot organisations.
MAX_DEBT_BURSTS: Final = 8.0
# A word after a longer silence tells of spending that refill lost to a full bucket has
# covered. Source: two of the heartbeats between regions, the slowest.
LATE_WORD_S: Final = 2 * REGION_GOSSIP_PERIOD_S
# How often the refill that found no room is noted.
UNUSED_PERIOD_S: Final = 0.5


@dataclass(slots=True)
class _Bucket:
    organisation: Organisation
    level: float
    updated_s: float
    # Refill of the whole rate that was not taken, less what late words have used of it.
    unused: float = 0.0


class FleetQuota:
    """The buckets of all organisations, as one process sees them."""

    def __init__(self, slack_tokens: float = 0.0) -> None:
        """Start without any organisation; the slack is what the bound grants beside.

        A part of it is added to each burst, so that what is within the rate is not
        refused because of what travels; the rest covers what is spent meanwhile.
        """
        self._extra = slack_tokens * SLACK_SHARE
        self._buckets: dict[str, _Bucket] = {}
        # What this process has charged in all, by organisation.
        self.own_spent: dict[str, float] = {}
        self.heard_share = 1.0
        # What was unused by organisation, at moments of the last while.
        self._unused: deque[tuple[float, dict[str, float]]] = deque()

    def charge(self, organisation: Organisation, cost: float, now_s: float) -> float:
        """Take a cost and return 0, or return how long until it could be taken."""
        if organisation.rate_per_s <= 0 and organisation.burst <= 0:
            return 0.0
        bucket = self._refill(organisation, now_s)
        # A cost beyond the whole burst passes when the bucket is full, else never.
        needed = min(cost, self._burst(organisation))
        if bucket.level < needed:
            rate = max(self._rate(organisation), 1e-9)
            return (needed - bucket.level) / rate
        bucket.level -= cost
        name = organisation.name
        self.own_spent[name] = self.own_spent.get(name, 0.0) + cost
        return 0.0

    def read_level(self, organisation: Organisation) -> float:
        """Return what the bucket held when it was last charged."""
        bucket = self._buckets.get(organisation.name)
        return 0.0 if bucket is None else bucket.level

    def give_back(self, organisation: Organisation, cost: float) -> None:
        """Return the charge of a request that surely has not run."""
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            return
        bucket.level = min(bucket.level + cost, self._burst(organisation))
        self.own_spent[organisation.name] -= cost

    def hear(self, charges: Iterable[Charge], now_s: float) -> None:
        """Take over what another process has charged since its last word."""
        for charge in charges:
            bucket = self._buckets.get(charge.organisation)
            if bucket is None or charge.cost == 0:
                continue
            cost = charge.cost
            if now_s - charge.since_s > LATE_WORD_S:
                self._refill(bucket.organisation, now_s)
                cost -= self._use_unused(bucket, cost, charge.since_s)
            # Of a word that is not late, the refill since the bucket was last used
            # comes after it: it was spent meanwhile, and covered by that refill.
            burst = self._burst(bucket.organisation)
            level = max(bucket.level - cost, -MAX_DEBT_BURSTS * burst)
            bucket.level = min(level, burst)

    def remember_unused(self, now_s: float) -> None:
        """Note how much refill has found no room so far; call this often."""
        if self._unused and now_s - self._unused[-1][0] < UNUSED_PERIOD_S:
            return
        unused = {
            name: bucket.unused + self._offer(bucket, now_s)[1]
            for name, bucket in self._buckets.items()
        }
        self._unused.append((now_s, unused))
        while now_s - self._unused[0][0] > FLEET_TERM_S:
            self._unused.popleft()

    def _use_unused(self, bucket: _Bucket, spent: float, since_s: float) -> float:
        """Return how much of a spending was covered by refill that went unused.

        Words that were held up by a cut or a stop name at once what was spent over
        all of it. Meanwhile this bucket may have been full, or refilled by a part of
        the rate only. No refill is used for two words.
        """
        before = next(
            (
                unused
                for noted_s, unused in reversed(self._unused)
                if noted_s <= since_s
            ),
            self._unused[0][1] if self._unused else {},
        )
        if bucket.organisation.name not in before:
            return 0.0
        unused = bucket.unused - before[bucket.organisation.name]
        used = max(0.0, min(spent, unused))
        bucket.unused -= used
        return used

    def adopt_levels(self, levels: dict[str, float], now_s: float) -> None:
        """Start from another process's levels where they are lower.

        A new bucket that is full beside empty ones would spend a burst twice.
        """
        for name, level in levels.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.level = min(bucket.level, level)
                bucket.updated_s = max(bucket.updated_s, now_s)

    def list_levels(self) -> dict[str, float]:
        """Return what each bucket holds now."""
        return {name: round(each.level) for name, each in self._buckets.items()}

    def configure(self, organisations: dict[str, Organisation], now_s: float) -> None:
        """Take over rates and bursts; an organisation first seen starts full."""
        for organisation in organisations.values():
            bucket = self._buckets.get(organisation.name)
            if bucket is None:
                self._buckets[organisation.name] = _Bucket(
                    organisation, self._burst(organisation), now_s
                )
            elif bucket.organisation is not organisation:
                # Up to now the old rate held.
                self._refill(bucket.organisation, now_s)
                bucket.organisation = organisation
                # What was spent under a higher rate is no debt under a lower one.
                burst = self._burst(organisation)
                bucket.level = min(max(bucket.level, -burst), burst)
        for name in set(self._buckets) - set(organisations):
            del self._buckets[name]

    def _burst(self, organisation: Organisation) -> float:
        extra = self._extra if organisation.counts_tokens else 0.0
        return organisation.burst + extra

    def _rate(self, organisation: Organisation) -> float:
        return organisation.rate_per_s * min(1.0, HEARD_TOLERANCE * self.heard_share)

    def _refill(self, organisation: Organisation, now_s: float) -> _Bucket:
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            bucket = _Bucket(organisation, self._burst(organisation), now_s)
            self._buckets[organisation.name] = bucket
        gained, unused = self._offer(bucket, now_s)
        bucket.updated_s = now_s
        bucket.level += gained
        bucket.unused += unused
        return bucket

    def _offer(self, bucket: _Bucket, now_s: float) -> tuple[float, float]:
        """Return what the refill up to now adds, and what of the rate it does not."""
        organisation = bucket.organisation
        elapsed_s = max(0.0, now_s - bucket.updated_s)
        room = self._burst(organisation) - bucket.level
        gained = min(elapsed_s * self._rate(organisation), room)
        return gained, elapsed_s * organisation.rate_per_s - gained
