"""The homes that a process is: its own seat's, and those that it acts for.

A home that stops as planned closes and hands all it knows to one standby, which acts
for it until its successor takes the keys back. At any time at most one process
answers for a home: the stopping one closes first, a standby closes when the successor
asks, and its term ends by itself, also for a standby that stood still.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from banyanseam.idempotency.const import (
    GIVEN_KEPT_S,
    MAX_ACTING,
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
from banyanseam.idempotency.transfer import Assembly, Snapshot, make_page
from banyanseam.peers.messages import PeerIdentity


@dataclass(frozen=True, slots=True)
class _Acting:
    home: Home
    incarnation: int
    stopped_wall_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class _Given:
    """What a successor took, for a repeat of its call."""

    incarnation: int
    snapshot: Snapshot
    parts: list[list[Record]]
    until_s: float


class Homes:
    """All homes of one process."""

    def __init__(
        self, me: PeerIdentity, wall_clock: Callable[[], float] = time.time
    ) -> None:
        """Begin with the home of this process's own seat, which is not open yet."""
        self.own = Home(me.seat, wall_clock=wall_clock)
        self.own.issuer_offsets_s[me.incarnation] = 0.0
        # False until this process may be sure which standbys act for its seat.
        self.is_open = False
        # How often this process began to know; a freeze begins anew.
        self.starts = 1
        self._wall_clock = wall_clock
        self._acting: dict[str, _Acting] = {}
        self._given: dict[str, _Given] = {}
        self._offered: dict[str, Assembly] = {}
        self._newest: dict[str, int] = {}

    @property
    def acting_for(self) -> list[str]:
        """Return the seats of the homes that this process acts for."""
        return sorted(self._acting)

    def find(self, seat: str) -> Home:
        """Return the home of a seat; raise NotHome unless it is here."""
        if seat == self.own.seat:
            if not self.is_open:
                raise NotHome(f"{seat} has just started")
            return self.own
        acting = self._acting.get(seat)
        if acting is None or self._is_over(acting):
            raise NotHome(f"this process does not act for {seat}")
        return acting.home

    def covers(self, ticket: Ticket) -> bool:
        """Say whether this process issued a ticket or holds its issuer's records."""
        return (
            ticket.seat == self.own.seat
            and ticket.incarnation in self.own.issuer_offsets_s
        )

    def adopt(self, mapping: Mapping) -> None:
        """Put a mapping in force everywhere here."""
        for seat, acting in list(self._acting.items()):
            before = find_region_seats(acting.home.mapping, seat)
            # With other seats, other standbys are asked: this one must not act on.
            if before != find_region_seats(mapping, seat):
                self._drop(seat)
            else:
                acting.home.adopt(mapping)
        self.own.adopt(mapping)

    def begin_anew(self) -> None:
        """Trust nothing from before now, as after a freeze."""
        self.starts += 1
        self.own.begin_anew()
        for seat in self.acting_for:
            self._drop(seat)

    def lose_process(self, seat: str, incarnation: int) -> None:
        """Stop waiting for runs of a process that is known to be gone."""
        for home in (self.own, *(acting.home for acting in self._acting.values())):
            home.lose_process(seat, incarnation)

    def hear_of_process(self, seat: str, incarnation: int) -> None:
        """Note a seat's newest process: keys of older ones are not taken any more."""
        self._newest[seat] = max(incarnation, self._newest.get(seat, 0))

    async def run(self) -> None:
        """Forget what has passed its time, for ever."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            self.own.sweep()
            for seat, acting in list(self._acting.items()):
                acting.home.sweep()
                if self._is_over(acting):
                    self._drop(seat)
            now_s = anyio.current_time()
            for seat, given in list(self._given.items()):
                if now_s >= given.until_s:
                    del self._given[seat]

    def close(self, incarnation: int) -> list[Snapshot]:
        """Close every home here and return what each knew, the own one first."""
        snapshots = [self.own.close(incarnation)]
        for seat, acting in list(self._acting.items()):
            snapshots.append(
                acting.home.close(acting.incarnation, acting.stopped_wall_s)
            )
            del self._acting[seat]
        return snapshots

    def take_page(self, page: KeysPage) -> bool:
        """Take a page of a home that stopped; act for it after the last one.

        Return False where this process will not act for the home.
        """
        if not self._may_act(page):
            self._offered.pop(page.home, None)
            return False
        if page.home in self._acting:
            # The last page again: its answer was lost.
            return True
        if page.page == 0:
            self._offered[page.home] = Assembly()
        assembly = self._offered.get(page.home)
        if assembly is None or page.page > assembly.pages:
            return False
        if page.page == assembly.pages:
            snapshot = assembly.add(page, anyio.current_time())
            if snapshot is not None:
                del self._offered[page.home]
                self._act(snapshot)
        return True

    def give_page(self, taker: PeerIdentity, number: int) -> KeysPage | None:
        """Return a page for a home's successor, and act for it no more.

        Return None where this process does not act for the seat; it won't later for
        any process older than the one that asks.
        """
        self.hear_of_process(taker.seat, taker.incarnation)
        self._offered.pop(taker.seat, None)
        now_s = anyio.current_time()
        acting = self._acting.pop(taker.seat, None)
        if acting is not None:
            is_over = self._is_over(acting)
            snapshot = acting.home.close(acting.incarnation, acting.stopped_wall_s)
            if not is_over:
                self._given[taker.seat] = _Given(
                    taker.incarnation, snapshot, snapshot.split(), now_s + GIVEN_KEPT_S
                )
        given = self._given.get(taker.seat)
        if given is None or given.incarnation != taker.incarnation:
            return None
        if number >= len(given.parts):
            return None
        return make_page(given.snapshot, given.parts, number, now_s)

    def _may_act(self, page: KeysPage) -> bool:
        known = self._acting.get(page.home)
        if known is not None:
            return known.incarnation == page.incarnation
        return (
            not self.own.is_closed
            and len(self._acting) < MAX_ACTING
            and page.incarnation >= self._newest.get(page.home, 0)
            and self._wall_clock() < page.stopped_wall_s + STANDBY_TERM_S
            and self.own.seat in list_standbys(self.own.mapping, page.home)
        )

    def _act(self, snapshot: Snapshot) -> None:
        home = Home(snapshot.home, wall_clock=self._wall_clock)
        home.adopt(self.own.mapping)
        # Where the stopped home itself did not know who acted for it, neither
        # does its standby.
        if snapshot.known_since_s > anyio.current_time():
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

    def _is_over(self, acting: _Acting) -> bool:
        return (
            anyio.current_time() >= acting.until_s
            or self._wall_clock() >= acting.stopped_wall_s + STANDBY_TERM_S
        )
