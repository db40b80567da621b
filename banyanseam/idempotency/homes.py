"""All homes of a process: that of its own seat, and those that it acts for.

A home that stops as planned closes and hands all its records to one standby, which
acts for it until its successor takes the keys back. At any time at most one process
answers for a home: the stopping one closes first, a standby closes when the successor
asks, and a standby's term expires by itself, even if the standby was suspended.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from banyanseam.idempotency.const import (
    MAX_ACTING_HOMES,
    RETURNED_RETENTION_S,
    STANDBY_TERM_S,
    SWEEP_INTERVAL_S,
)
from banyanseam.idempotency.errors import NotHome
from banyanseam.idempotency.handover_messages import KeysPage
from banyanseam.idempotency.home import Home
from banyanseam.idempotency.mapping import Mapping
from banyanseam.idempotency.models import Record
from banyanseam.idempotency.standbys import find_region_seats, list_standbys
from banyanseam.idempotency.tickets import Ticket
from banyanseam.idempotency.transfer import Assembly, KeysSnapshot, make_page
from banyanseam.peers.messages import PeerIdentity


@dataclass(frozen=True, slots=True)
class _Acting:
    home: Home
    incarnation: int
    stopped_wall_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class _Returned:
    """Records returned to a successor, stored in case it repeats its call."""

    incarnation: int
    snapshot: KeysSnapshot
    parts: list[list[Record]]
    until_s: float


class Homes:
    """All homes of one process."""

    def __init__(
        self, me: PeerIdentity, wall_clock: Callable[[], float] = time.time
    ) -> None:
        """Start with the home of this process's own seat, which is not open yet."""
        self.own = Home(me.seat, wall_clock=wall_clock)
        self.own.issuer_offsets_s[me.incarnation] = 0.0
        # False until all standbys of this seat have replied or the wait for them ended.
        self.is_open = False
        # Incremented at each reset, so that a `take_over` that began before it ignores
        # the replies to its calls.
        self.reset_count = 1
        self._wall_clock = wall_clock
        self._acting: dict[str, _Acting] = {}
        self._returned: dict[str, _Returned] = {}
        self._assemblies: dict[str, Assembly] = {}
        self._newest: dict[str, int] = {}

    @property
    def acting_for(self) -> list[str]:
        """Return the seats of the homes that this process acts for."""
        return sorted(self._acting)

    def find(self, seat: str) -> Home:
        """Return the home of a seat; raise NotHome unless this process serves it."""
        if seat == self.own.seat:
            if not self.is_open:
                raise NotHome(f"{seat} has just started and is not open yet")
            return self.own
        acting = self._acting.get(seat)
        if acting is None or self._is_term_over(acting):
            raise NotHome(f"this process does not act for {seat}")
        return acting.home

    def covers(self, ticket: Ticket) -> bool:
        """Return whether this process issued a ticket or has its issuer's records."""
        return (
            ticket.seat == self.own.seat
            and ticket.incarnation in self.own.issuer_offsets_s
        )

    def adopt(self, mapping: Mapping) -> None:
        """Put a mapping in force in all homes here."""
        for seat, acting in list(self._acting.items()):
            previous_seats = find_region_seats(acting.home.mapping, seat)
            # When the region's seats change, daemons may send claims to other standbys,
            # so this process must stop acting.
            if previous_seats != find_region_seats(mapping, seat):
                self._drop(seat)
            else:
                acting.home.adopt(mapping)
        self.own.adopt(mapping)

    def reset_after_suspension(self) -> None:
        """Accept no key made before now as new, and stop acting for other homes.

        Called after a suspension, during which others may have run keys of these homes.
        """
        self.reset_count += 1
        self.own.reset_after_suspension()
        for seat in self.acting_for:
            self._drop(seat)

    def abandon_runs(self, seat: str, incarnation: int) -> None:
        """Mark the runs of an ended process as unknown in all homes here."""
        for home in (self.own, *(acting.home for acting in self._acting.values())):
            home.abandon_runs(seat, incarnation)

    def record_process(self, seat: str, incarnation: int) -> None:
        """Record a seat's newest process; pages of older ones are then refused."""
        self._newest[seat] = max(incarnation, self._newest.get(seat, 0))

    async def run(self) -> None:
        """Drop expired records and homes periodically, until cancelled."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            self.own.sweep()
            for seat, acting in list(self._acting.items()):
                acting.home.sweep()
                if self._is_term_over(acting):
                    self._drop(seat)
            now_s = anyio.current_time()
            for seat, returned in list(self._returned.items()):
                if now_s >= returned.until_s:
                    del self._returned[seat]

    def close(self, incarnation: int) -> list[KeysSnapshot]:
        """Close every home here and return their snapshots, this seat's own first."""
        snapshots = [self.own.close(incarnation)]
        for seat, acting in list(self._acting.items()):
            snapshots.append(
                acting.home.close(acting.incarnation, acting.stopped_wall_s)
            )
            del self._acting[seat]
        return snapshots

    def add_page(self, page: KeysPage) -> bool:
        """Apply a page of a stopped home; act for the home after the last page.

        Return False if the page is refused.
        """
        if not self._may_act(page):
            self._assemblies.pop(page.home, None)
            return False
        if page.home in self._acting:
            # A repeat of the last page: the reply was lost.
            return True
        if page.page == 0:
            self._assemblies[page.home] = Assembly()
        assembly = self._assemblies.get(page.home)
        if assembly is None or page.page > assembly.pages:
            return False
        if page.page == assembly.pages:
            snapshot = assembly.add(page, anyio.current_time())
            if snapshot is not None:
                del self._assemblies[page.home]
                self._act(snapshot)
        return True

    def return_page(self, taker: PeerIdentity, page_number: int) -> KeysPage | None:
        """Return a page for a home's successor, and stop acting for the home.

        Return None if this process does not act for the seat. It will not act later
        either for a process older than the caller.
        """
        self.record_process(taker.seat, taker.incarnation)
        self._assemblies.pop(taker.seat, None)
        now_s = anyio.current_time()
        acting = self._acting.pop(taker.seat, None)
        if acting is not None:
            is_term_over = self._is_term_over(acting)
            snapshot = acting.home.close(acting.incarnation, acting.stopped_wall_s)
            if not is_term_over:
                self._returned[taker.seat] = _Returned(
                    taker.incarnation,
                    snapshot,
                    snapshot.split(),
                    now_s + RETURNED_RETENTION_S,
                )
        returned = self._returned.get(taker.seat)
        if returned is None or returned.incarnation != taker.incarnation:
            return None
        if page_number >= len(returned.parts):
            return None
        return make_page(returned.snapshot, returned.parts, page_number, now_s)

    def _may_act(self, page: KeysPage) -> bool:
        current = self._acting.get(page.home)
        if current is not None:
            return current.incarnation == page.incarnation
        return (
            not self.own.is_closed
            and len(self._acting) < MAX_ACTING_HOMES
            and page.incarnation >= self._newest.get(page.home, 0)
            and self._wall_clock() < page.stopped_wall_s + STANDBY_TERM_S
            and self.own.seat in list_standbys(self.own.mapping, page.home)
        )

    def _act(self, snapshot: KeysSnapshot) -> None:
        home = Home(snapshot.home, wall_clock=self._wall_clock)
        home.adopt(self.own.mapping)
        # If the stopped home could not rule out that another process acts for it,
        # neither can its standby.
        if snapshot.covered_since_s > anyio.current_time():
            home.defer(STANDBY_TERM_S)
        home.restore(snapshot)
        self._acting[snapshot.home] = _Acting(
            home,
            snapshot.incarnation,
            snapshot.stopped_wall_s,
            anyio.current_time() + STANDBY_TERM_S,
        )

    def _drop(self, seat: str) -> None:
        acting = self._acting.pop(seat)
        acting.home.close(acting.incarnation)

    def _is_term_over(self, acting: _Acting) -> bool:
        return (
            anyio.current_time() >= acting.until_s
            or self._wall_clock() >= acting.stopped_wall_s + STANDBY_TERM_S
        )
