"""The keeper's account of the memory of one upstream that a whole region uses.

An upstream crashes when its requests outgrow its memory, so a grant must fit in the
worst case: free memory is computed from the larger of two figures. One is the sum of
the entries' leases, each for the most that its request can use. The other is the
upstream's own report, which lags, shows only the current use, and includes requests
that this keeper never granted. Times are in seconds on the keeper's clock, sizes in
tokens.
"""

from dataclasses import dataclass

from banyanseam.upstreams.const import (
    DISPUTED_SHARE,
    EXPIRE_PERIOD_S,
    LEARNING_SHARE,
    LINGER_S,
    MARGIN_SHARE,
    MAX_SEND_DELAY_S,
    REPORT_TERM_S,
    REPORT_TIME_TOLERANCE_S,
    SUSPENSION_GAP_S,
)
from banyanseam.upstreams.models import LeaseKey, LoadReport
from banyanseam.upstreams.terms import SMALL_REGION, Terms


@dataclass(slots=True)
class Lease:
    """Memory that an entry may use."""

    tokens: int
    granted_s: float
    # When the lease expires unless it is renewed again.
    renewed_until_s: float
    # When the memory counts as free; set when the entry releases the lease of a run
    # that may continue for a while, such as an aborted one.
    ends_s: float | None = None
    # Whether its run ended with an earlier process of the upstream. The entry may not
    # know that yet and renews the lease, which holds no memory.
    is_lost: bool = False


@dataclass(frozen=True, slots=True)
class EndedLease:
    """An ended lease whose tokens a lagging report may still include."""

    tokens: int
    ended_s: float


class LeaseLedger:
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
        """Start as a new keeper, which has received no leases yet.

        Without reports (a plain service) only the number of leases is bounded.
        """
        self.terms = terms
        self.memory_tokens = memory_tokens
        self.is_reported = is_reported
        self.max_in_flight = max_in_flight
        self.leases: dict[LeaseKey, Lease] = {}
        self.report: LoadReport | None = None
        # Until this time only LEARNING_SHARE is granted, as entries may hold leases of
        # an earlier keeper that they have not announced here yet.
        self.learning_until_s = now_s + self.terms.learning_s
        self.learning_granted_tokens = 0
        # Since when there has been no sign that another keeper grants memory.
        self.no_conflict_since_s = now_s
        # Tokens in the last report that this keeper's leases do not account for.
        self.unaccounted_tokens = 0
        self._leased_tokens = 0
        self._lost_leases = 0
        self._granted_since_report_tokens = 0
        self._by_holder: dict[tuple[str, int], dict[int, Lease]] = {}
        # Until when each seat has promised to reserve at no other keeper.
        self._exclusive_until_s: dict[str, float] = {}
        self._was_fully_announced = False
        # Until when all of these seats have promised to reserve only at this keeper.
        self._announcing_seats: frozenset[str] | None = None
        self._fully_announced_until_s = now_s
        self._expire_called_s = now_s
        self._expire_ran_s = now_s
        self._ended: list[EndedLease] = []
        self._granted_since_report: dict[LeaseKey, Lease] = {}

    @property
    def capacity_tokens(self) -> int:
        """Return the largest reservation that an idle upstream can take."""
        if not self.is_reported:
            return self.memory_tokens
        return int(self.memory_tokens * (1 - MARGIN_SHARE))

    @property
    def in_flight(self) -> int:
        """Return the number of leases that hold memory."""
        return len(self.leases) - self._lost_leases

    @property
    def is_idle(self) -> bool:
        """Say whether no lease and, in the last report, no running request exists."""
        report = self.report
        return not self.leases and report is not None and report.running == 0

    def restart(self, now_s: float) -> None:
        """Act as a new keeper again, as after a suspension; keep the known leases."""
        self.learning_until_s = now_s + self.terms.learning_s
        self.learning_granted_tokens = 0
        self.no_conflict_since_s = now_s
        self._exclusive_until_s.clear()
        self._was_fully_announced = False
        self._fully_announced_until_s = now_s

    def reserve(
        self, key: LeaseKey, tokens: int, seats: frozenset[str], now_s: float
    ) -> bool:
        """Grant a lease if memory is free; `seats` are the region's published seats."""
        self.expire(seats, now_s)
        if tokens > self.count_free_tokens(seats, now_s):
            return False
        if now_s < self.learning_until_s:
            self.learning_granted_tokens += tokens
        lease = Lease(tokens, now_s, now_s + self.terms.lease_term_s)
        self._add(key, lease)
        self._granted_since_report[key] = lease
        self._granted_since_report_tokens += tokens
        return True

    def announce(
        self,
        seat: str,
        incarnation: int,
        leases: dict[int, int],
        now_s: float,
        terms: Terms = SMALL_REGION,
    ) -> None:
        """Add and renew leases from the full list of an entry's leases.

        A lease that the list omits is not renewed: it was released, or is so new that
        the list was sent before its grant arrived. An unknown one was granted by an
        earlier keeper. `terms` are those that the entry uses.
        """
        self._exclusive_until_s[seat] = now_s + terms.announce_term_s
        until_s = now_s + terms.lease_term_s
        for number, tokens in leases.items():
            key = LeaseKey(seat, incarnation, number)
            lease = self.leases.get(key)
            if lease is None:
                self._add(key, Lease(tokens, now_s, until_s))
            elif lease.ends_s is None:
                lease.renewed_until_s = until_s

    def list_numbers(self, seat: str, incarnation: int) -> list[int]:
        """Return the numbers of the known leases that an entry's process holds."""
        leases = self._by_holder.get((seat, incarnation), {})
        return [number for number, lease in leases.items() if lease.ends_s is None]

    def renew(self, seat: str, incarnation: int, now_s: float, terms: Terms) -> None:
        """Renew all known leases of an entry, which has confirmed the same set."""
        self._exclusive_until_s[seat] = now_s + terms.announce_term_s
        for lease in self._by_holder.get((seat, incarnation), {}).values():
            if lease.ends_s is None:
                lease.renewed_until_s = now_s + terms.lease_term_s

    def take_over(self, leases: dict[LeaseKey, int], now_s: float) -> None:
        """Import the leases of the previous keeper, which has stopped granting.

        This ends the learning period. Whether a third keeper may exist is checked as
        usual.
        """
        for key, tokens in leases.items():
            if key not in self.leases:
                until_s = now_s + self.terms.lease_term_s
                self._add(key, Lease(tokens, now_s, until_s))
        self.learning_until_s = min(self.learning_until_s, now_s)

    def release(self, key: LeaseKey, now_s: float, *, lingers: bool) -> bool:
        """End a lease, after `LINGER_S` if its request may still be running.

        Return whether its run was lost in a restart of the upstream.
        """
        lease = self.leases.get(key)
        if lease is None:
            return False
        if lease.is_lost or not lingers:
            self._end(key, now_s)
        elif lease.ends_s is None:
            lease.ends_s = now_s + LINGER_S
        return lease.is_lost

    def expire(self, seats: frozenset[str], now_s: float) -> None:
        """End the leases that were not renewed and check that all seats still announce.

        Called often; a long gap means that this process was suspended, and that
        another daemon may have become keeper meanwhile.
        """
        if now_s - self._expire_called_s > SUSPENSION_GAP_S:
            self.restart(now_s)
        self._expire_called_s = now_s
        if now_s - self._expire_ran_s < EXPIRE_PERIOD_S:
            return
        self._expire_ran_s = now_s
        for key, lease in list(self.leases.items()):
            ends_s = lease.ends_s or lease.renewed_until_s
            if now_s >= ends_s:
                self._end(key, now_s)
        oldest_s = now_s - REPORT_TERM_S - self.terms.lease_term_s
        self._ended = [ended for ended in self._ended if ended.ended_s > oldest_s]
        is_fully_announced = self._is_fully_announced(seats, now_s)
        if self._was_fully_announced and not is_fully_announced:
            self.no_conflict_since_s = now_s
        self._was_fully_announced = is_fully_announced

    def observe(self, report: LoadReport, now_s: float) -> bool:
        """Apply a load report; one older than the last is ignored.

        Return whether the report is the first of a new process of the upstream.
        """
        previous = self.report
        if previous is not None and report.as_of_s < previous.as_of_s:
            return False
        is_restarted = (
            previous is not None and previous.incarnation != report.incarnation
        )
        if is_restarted:
            self._mark_lost(previous.as_of_s)
            # The runs of another keeper would have been lost too.
            self.no_conflict_since_s = now_s
        self.report = report
        self._granted_since_report = {
            key: lease
            for key, lease in self._granted_since_report.items()
            if lease.granted_s > report.as_of_s - REPORT_TIME_TOLERANCE_S
        }
        self._granted_since_report_tokens = sum(
            lease.tokens for lease in self._granted_since_report.values()
        )
        self.unaccounted_tokens = self._count_unaccounted_tokens(report)
        if self.unaccounted_tokens > 0:
            self.no_conflict_since_s = now_s
        return is_restarted

    def count_held_tokens(self) -> int:
        """Return the most tokens that the upstream may hold with all current grants."""
        if self.report is None:
            return self._leased_tokens
        return max(
            self._leased_tokens + self.unaccounted_tokens,
            self.report.held_tokens + self._granted_since_report_tokens,
        )

    def is_undisputed(self, seats: frozenset[str], now_s: float) -> bool:
        """Say whether no other daemon can be granting leases on this upstream.

        True while every published seat announces to this one, or after a long time
        without a sign of another keeper.
        """
        if self._is_fully_announced(seats, now_s):
            return True
        return now_s - self.no_conflict_since_s >= self.terms.no_conflict_term_s

    def count_free_tokens(self, seats: frozenset[str], now_s: float) -> int:
        """Return the largest request that may be granted now."""
        if self.in_flight >= self.max_in_flight:
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
        # Two keepers may each grant this share before a report shows either of them the
        # other's grants.
        recent_tokens = self._granted_since_report_tokens
        return max(0, int((free + recent_tokens) * DISPUTED_SHARE) - recent_tokens)

    def _count_unaccounted_tokens(self, report: LoadReport) -> int:
        at_s = report.as_of_s
        known = [
            lease.tokens
            for lease in self.leases.values()
            if not lease.is_lost and lease.granted_s <= at_s + REPORT_TIME_TOLERANCE_S
        ]
        known += [
            ended.tokens
            for ended in self._ended
            if ended.ended_s >= at_s - REPORT_TIME_TOLERANCE_S
        ]
        if report.running <= len(known):
            return max(0, report.held_tokens - sum(known))
        # The report does not identify runs, so the unaccounted ones may be the largest.
        return report.held_tokens

    def _is_fully_announced(self, seats: frozenset[str], now_s: float) -> bool:
        if now_s < self._fully_announced_until_s and seats is self._announcing_seats:
            return True
        until_s = [self._exclusive_until_s.get(seat) for seat in seats]
        if None in until_s:
            return False
        self._announcing_seats = seats
        self._fully_announced_until_s = min(
            until_s, default=now_s + self.terms.announce_term_s
        )
        return now_s < self._fully_announced_until_s

    def _mark_lost(self, old_process_until_s: float) -> None:
        """Stop counting the leases whose requests reached the upstream's old process.

        It still ran at the given time; later grants may have reached the new one.
        """
        for lease in self.leases.values():
            is_older = lease.granted_s + MAX_SEND_DELAY_S <= old_process_until_s
            if is_older and not lease.is_lost:
                lease.is_lost = True
                self._lost_leases += 1
                self._leased_tokens -= lease.tokens

    def _add(self, key: LeaseKey, lease: Lease) -> None:
        self.leases[key] = lease
        leases = self._by_holder.setdefault((key.seat, key.incarnation), {})
        leases[key.number] = lease
        self._leased_tokens += lease.tokens

    def _end(self, key: LeaseKey, now_s: float) -> None:
        lease = self.leases.pop(key)
        holder = (key.seat, key.incarnation)
        del self._by_holder[holder][key.number]
        if not self._by_holder[holder]:
            del self._by_holder[holder]
        if lease.is_lost:
            self._lost_leases -= 1
            return
        self._leased_tokens -= lease.tokens
        if self._granted_since_report.pop(key, None) is not None:
            self._granted_since_report_tokens -= lease.tokens
        self._ended.append(EndedLease(lease.tokens, now_s))
