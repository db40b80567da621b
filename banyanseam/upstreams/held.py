"""Tokens held on one upstream over the whole region, as its keeper counts them.

An upstream dies when what it holds outgrows its memory, so no grant may rest on hope:
what is free is counted from the larger of two views. One is the leases that entries
hold, each for the most that its request can use. The other is the upstream's own
report, which lags, shows only what is used so far, and includes what this keeper never
granted. Times are in seconds on the keeper's clock, sizes in tokens.
"""

from dataclasses import dataclass

from banyanseam.upstreams.const import (
    DISPUTED_SHARE,
    EXPIRE_PERIOD_S,
    FLIGHT_S,
    LEARNING_SHARE,
    LINGER_S,
    MARGIN_SHARE,
    MAX_GAP_S,
    REPORT_TERM_S,
)
from banyanseam.upstreams.models import LeaseKey, LoadReport
from banyanseam.upstreams.terms import SMALL_REGION, Terms


@dataclass(slots=True)
class Lease:
    """Room that an entry holds; `ends_s` is set when it was given back."""

    tokens: int
    granted_s: float
    # Until when it holds without another renewal.
    renewed_until_s: float
    # A run that was cut off may go on for a while after its lease is released.
    ends_s: float | None = None


@dataclass(frozen=True, slots=True)
class Ended:
    """A lease that a lagging report may still include."""

    tokens: int
    ended_s: float


class HeldTokens:
    """The leases on one upstream, its last report, and what may be granted."""

    def __init__(
        self,
        memory_tokens: int,
        max_in_flight: int,
        now_s: float,
        *,
        is_reported: bool = True,
        terms: Terms = SMALL_REGION,
    ) -> None:
        """Start as a new keeper, which knows of no lease yet.

        Without reports (a plain service) only the number of leases is bounded.
        """
        self.terms = terms
        self.memory_tokens = memory_tokens
        self.is_reported = is_reported
        self.max_in_flight = max_in_flight
        self.leases: dict[LeaseKey, Lease] = {}
        self.report: LoadReport | None = None
        self.learning_until_s = now_s + self.terms.learning_s
        self.learning_granted_tokens = 0
        # Since when nothing hints at another keeper.
        self.quiet_since_s = now_s
        # What the last report shows beyond this keeper's leases.
        self.foreign_tokens = 0
        self._own_tokens = 0
        self._since_report_tokens = 0
        self._by_holder: dict[tuple[str, int], dict[int, Lease]] = {}
        # Until when each seat's word counts that it asks no other keeper.
        self._promised_until_s: dict[str, float] = {}
        self._was_complete = False
        # Until when every one of these seats is known to announce to this keeper.
        self._complete_seats: frozenset[str] | None = None
        self._complete_until_s = now_s
        self._looked_s = now_s
        self._expired_s = now_s
        self._ended: list[Ended] = []
        self._granted_since_report: dict[LeaseKey, Lease] = {}

    @property
    def capacity_tokens(self) -> int:
        """Return the largest reservation that an idle upstream can take."""
        if not self.is_reported:
            return self.memory_tokens
        return int(self.memory_tokens * (1 - MARGIN_SHARE))

    @property
    def is_idle(self) -> bool:
        """Say whether nothing is held here by leases or by the last report."""
        report = self.report
        return not self.leases and report is not None and report.running == 0

    def restart(self, now_s: float) -> None:
        """Become a new keeper again, as after a freeze; known leases stay counted."""
        self.learning_until_s = now_s + self.terms.learning_s
        self.learning_granted_tokens = 0
        self.quiet_since_s = now_s
        self._promised_until_s.clear()
        self._was_complete = False
        self._complete_until_s = now_s

    def reserve(
        self, key: LeaseKey, tokens: int, seats: frozenset[str], now_s: float
    ) -> bool:
        """Grant room if it is free; `seats` are the region's published seats."""
        self.expire(seats, now_s)
        if tokens > self.count_free_tokens(seats, now_s):
            return False
        if now_s < self.learning_until_s:
            self.learning_granted_tokens += tokens
        lease = Lease(tokens, now_s, now_s + self.terms.lease_term_s)
        self._add(key, lease)
        self._granted_since_report[key] = lease
        self._since_report_tokens += tokens
        return True

    def announce(
        self,
        seat: str,
        incarnation: int,
        leases: dict[int, int],
        now_s: float,
        terms: Terms = SMALL_REGION,
    ) -> None:
        """Take the full list of an entry's leases, which renews them.

        A lease that the list omits is not renewed: it was given back, or is so new that
        the list crossed its grant. An unknown one was granted by an earlier keeper.
        `terms` are those that the entry goes by.
        """
        self._promised_until_s[seat] = now_s + terms.announce_term_s
        until_s = now_s + terms.lease_term_s
        for number, tokens in leases.items():
            key = LeaseKey(seat, incarnation, number)
            lease = self.leases.get(key)
            if lease is None:
                self._add(key, Lease(tokens, now_s, until_s))
            elif lease.ends_s is None:
                lease.renewed_until_s = until_s

    def list_numbers(self, seat: str, incarnation: int) -> list[int]:
        """Return which leases an entry's process holds, as far as is known here."""
        held = self._by_holder.get((seat, incarnation), {})
        return [number for number, lease in held.items() if lease.ends_s is None]

    def renew(self, seat: str, incarnation: int, now_s: float, terms: Terms) -> None:
        """Renew all that is known of an entry, which holds just that."""
        self._promised_until_s[seat] = now_s + terms.announce_term_s
        for lease in self._by_holder.get((seat, incarnation), {}).values():
            if lease.ends_s is None:
                lease.renewed_until_s = now_s + terms.lease_term_s

    def take_over(self, leases: dict[LeaseKey, int], now_s: float) -> None:
        """Take the leases of the keeper before, which grants nothing any more.

        Nothing is left to learn then; whether a third keeper is possible is judged
        as ever.
        """
        for key, tokens in leases.items():
            if key not in self.leases:
                until_s = now_s + self.terms.lease_term_s
                self._add(key, Lease(tokens, now_s, until_s))
        self.learning_until_s = min(self.learning_until_s, now_s)

    def release(self, key: LeaseKey, now_s: float, *, lingers: bool) -> None:
        """Give a lease back, after a while when its run may still go on."""
        lease = self.leases.get(key)
        if lease is None:
            return
        if not lingers:
            self._end(key, now_s)
        elif lease.ends_s is None:
            lease.ends_s = now_s + LINGER_S

    def expire(self, seats: frozenset[str], now_s: float) -> None:
        """Free the leases of silent entries and note who no longer announces.

        Called often; a long gap means that this process slept, and that another
        daemon may have become keeper meanwhile.
        """
        if now_s - self._looked_s > MAX_GAP_S:
            self.restart(now_s)
        self._looked_s = now_s
        if now_s - self._expired_s < EXPIRE_PERIOD_S:
            return
        self._expired_s = now_s
        for key, lease in list(self.leases.items()):
            ends_s = lease.ends_s or lease.renewed_until_s
            if now_s >= ends_s:
                self._end(key, now_s)
        oldest_s = now_s - REPORT_TERM_S - self.terms.lease_term_s
        self._ended = [ended for ended in self._ended if ended.ended_s > oldest_s]
        is_complete = self._is_complete(seats, now_s)
        if self._was_complete and not is_complete:
            self.quiet_since_s = now_s
        self._was_complete = is_complete

    def observe(self, report: LoadReport, now_s: float) -> None:
        """Take a load report; one older than the last is ignored."""
        if self.report is not None and report.as_of_s < self.report.as_of_s:
            return
        self.report = report
        self._granted_since_report = {
            key: lease
            for key, lease in self._granted_since_report.items()
            if lease.granted_s > report.as_of_s - FLIGHT_S
        }
        self._since_report_tokens = sum(
            lease.tokens for lease in self._granted_since_report.values()
        )
        self.foreign_tokens = self._count_foreign_tokens(report)
        if self.foreign_tokens > 0:
            self.quiet_since_s = now_s

    def count_held_tokens(self) -> int:
        """Return the most that the upstream may come to hold by what is granted."""
        if self.report is None:
            return self._own_tokens
        return max(
            self._own_tokens + self.foreign_tokens,
            self.report.held_tokens + self._since_report_tokens,
        )

    def is_undisputed(self, seats: frozenset[str], now_s: float) -> bool:
        """Say whether no other daemon can be granting room on this upstream.

        True while every published seat announces to this one, or after a long time
        without a hint of another keeper.
        """
        if self._is_complete(seats, now_s):
            return True
        return now_s - self.quiet_since_s >= self.terms.quiet_s

    def count_free_tokens(self, seats: frozenset[str], now_s: float) -> int:
        """Return the largest request that may be granted now."""
        if len(self.leases) >= self.max_in_flight:
            return 0
        if not self.is_reported:
            return self.memory_tokens
        is_fresh = (
            self.report is not None and now_s - self.report.as_of_s <= REPORT_TERM_S
        )
        free = self.capacity_tokens - self.count_held_tokens()
        if now_s < self.learning_until_s:
            allowance = int(self.memory_tokens * LEARNING_SHARE)
            left = allowance - self.learning_granted_tokens
            return max(0, min(free, left)) if is_fresh else 0
        if self.is_undisputed(seats, now_s):
            return max(0, free)
        if not is_fresh:
            return 0
        # Another keeper may grant as much before either sees the other's in a report.
        since = self._since_report_tokens
        return max(0, int((free + since) * DISPUTED_SHARE) - since)

    def _count_foreign_tokens(self, report: LoadReport) -> int:
        at_s = report.as_of_s
        known = [
            lease.tokens
            for lease in self.leases.values()
            if lease.granted_s <= at_s + FLIGHT_S
        ]
        known += [
            ended.tokens for ended in self._ended if ended.ended_s >= at_s - FLIGHT_S
        ]
        if report.running <= len(known):
            return max(0, report.held_tokens - sum(known))
        # The report tells no run from another, so the foreign ones may be the largest.
        return report.held_tokens

    def _is_complete(self, seats: frozenset[str], now_s: float) -> bool:
        if now_s < self._complete_until_s and seats is self._complete_seats:
            return True
        until_s = [self._promised_until_s.get(seat) for seat in seats]
        if None in until_s:
            return False
        self._complete_seats = seats
        self._complete_until_s = min(
            until_s, default=now_s + self.terms.announce_term_s
        )
        return now_s < self._complete_until_s

    def _add(self, key: LeaseKey, lease: Lease) -> None:
        self.leases[key] = lease
        held = self._by_holder.setdefault((key.seat, key.incarnation), {})
        held[key.number] = lease
        self._own_tokens += lease.tokens

    def _end(self, key: LeaseKey, now_s: float) -> None:
        lease = self.leases.pop(key)
        holder = (key.seat, key.incarnation)
        del self._by_holder[holder][key.number]
        if not self._by_holder[holder]:
            del self._by_holder[holder]
        self._own_tokens -= lease.tokens
        if self._granted_since_report.pop(key, None) is not None:
            self._since_report_tokens -= lease.tokens
        self._ended.append(Ended(lease.tokens, now_s))
