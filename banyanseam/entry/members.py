"""Who is in the fleet, learned from peers alone.

Each process counts up a number; rows travel from peer to peer, and a peer whose number
no longer grows is taken for dead. Nothing is voted on: two processes may disagree for
a moment, and every use of this view is safe while they do.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from banyanseam.entry.const import (
    FLEET_TERM_S,
    FULL_ROW_BEATS,
    FULL_ROW_S,
    PEER_TERM_S,
    REMOTE_PEER_TERM_S,
)


@dataclass(frozen=True, slots=True)
class Member:
    """A process of the fleet as its own word, carried by anybody, describes it."""

    ip: str
    region: str
    data_centre: str
    callers_address: str
    incarnation: int
    beat: int
    # Whether callers should come, and whether those who come are still served.
    is_serving: bool
    is_accepting: bool
    # Requests that it holds, as a measure of its load.
    running: int


@dataclass(slots=True)
class _Known:
    member: Member
    heard_s: float
    # When anything but its beat and its load changed last.
    changed_s: float


class Members:
    """What one process knows of the others."""

    def __init__(self, me: Member, regions: Mapping[str, str]) -> None:
        """Know nobody else yet; `regions` maps data centres to theirs."""
        self.me = me
        self.regions = regions
        self._known: dict[str, _Known] = {}
        # Nobody knows this process yet.
        self._changed_s = math.inf

    def beat(
        self, *, is_serving: bool, is_accepting: bool, running: int, now_s: float
    ) -> None:
        """Count up, so that the others hear that this process lives."""
        before = self.me
        self.me = replace(
            before,
            beat=before.beat + 1,
            is_serving=is_serving,
            is_accepting=is_accepting,
            running=running,
        )
        if self._changed_s == math.inf or not _is_alike(before, self.me):
            self._changed_s = now_s

    def merge(self, rows: Iterable[Member], now_s: float) -> None:
        """Take over rows that are newer than what is known."""
        for row in rows:
            if row.ip == self.me.ip:
                continue
            known = self._known.get(row.ip)
            if known is None:
                self._known[row.ip] = _Known(row, now_s, now_s)
                continue
            if self._is_newer(row, known, now_s):
                if not _is_alike(known.member, row):
                    known.changed_s = now_s
                known.member = row
                known.heard_s = now_s

    def read_beat(
        self, ip: str, incarnation: int, beat: int, running: int
    ) -> Member | None:
        """Return the row that a short one stands for, or None if it is not known."""
        known = self._known.get(ip)
        if known is None or known.member.incarnation != incarnation:
            return None
        return replace(known.member, beat=beat, running=running)

    def needs_full_row(self, member: Member, now_s: float) -> bool:
        """Say whether others may not know more of a member than its beat."""
        if member.ip == self.me.ip:
            changed_s = self._changed_s
        else:
            known = self._known.get(member.ip)
            changed_s = math.inf if known is None else known.changed_s
        is_new = now_s - changed_s <= FULL_ROW_S
        return is_new or member.beat % FULL_ROW_BEATS == 0

    def find(self, ip: str) -> Member | None:
        """Return what is known of a process, alive or not."""
        known = self._known.get(ip)
        return None if known is None else known.member

    def list_alive(self, now_s: float, region: str | None = None) -> list[Member]:
        """Return the others that live, of one region or of all."""
        return [
            known.member
            for known in self._known.values()
            if region in (None, known.member.region) and self._is_alive(known, now_s)
        ]

    def list_serving(self, now_s: float, region: str) -> list[Member]:
        """Return all of a region that take callers, this process included."""
        found = [each for each in self.list_alive(now_s, region) if each.is_serving]
        if self.me.region == region and self.me.is_serving:
            found.append(self.me)
        return sorted(found, key=lambda member: member.ip)

    def list_accepting(self, now_s: float) -> list[Member]:
        """Return all that serve who comes, those that are leaving included."""
        found = [each for each in self.list_alive(now_s) if each.is_accepting]
        if self.me.is_accepting:
            found.append(self.me)
        return sorted(found, key=lambda member: member.ip)

    def rank_in_region(self, now_s: float) -> int:
        """Return this process's place among those of its region that serve."""
        alive = self.list_alive(now_s, self.me.region)
        return sum(1 for each in alive if each.is_serving and each.ip < self.me.ip)

    def count_recent(self, now_s: float, region: str | None = None) -> int:
        """Return how many have lived lately, this process included.

        Limits that are divided over the fleet divide by this: a peer that cannot be
        heard may still spend its part.
        """
        mine = 1 if region in (None, self.me.region) else 0
        return mine + sum(
            1
            for known in self._known.values()
            if region in (None, known.member.region)
            and now_s - known.heard_s <= FLEET_TERM_S
        )

    def forget(self, now_s: float) -> None:
        """Drop those that have been silent for several terms."""
        limit_s = now_s - 3 * FLEET_TERM_S
        for ip in [ip for ip, each in self._known.items() if each.heard_s < limit_s]:
            del self._known[ip]

    def list_rows(self, now_s: float, region: str | None = None) -> list[Member]:
        """Return this process and those that live, of one region or of all."""
        return [self.me, *self.list_alive(now_s, region)]

    def list_heard_since(self, since_s: float, now_s: float) -> list[Member]:
        """Return those of whom something new was heard since."""
        return [
            known.member
            for known in self._known.values()
            if known.heard_s >= since_s and self._is_alive(known, now_s)
        ]

    def has_new(self, now_s: float) -> bool:
        """Say whether anybody has come or changed lately."""
        return any(
            now_s - known.changed_s <= FULL_ROW_S for known in self._known.values()
        )

    def _is_newer(self, row: Member, known: _Known, now_s: float) -> bool:
        old = known.member
        if (row.incarnation, row.beat) > (old.incarnation, old.beat):
            return True
        # Incarnations come from the clock of the VM: after it was set back, a process
        # that has just started has a lower one than the process that died there.
        return row.incarnation != old.incarnation and not self._is_alive(known, now_s)

    def _is_alive(self, known: _Known, now_s: float) -> bool:
        is_near = known.member.region == self.me.region
        term_s = PEER_TERM_S if is_near else REMOTE_PEER_TERM_S
        return now_s - known.heard_s <= term_s


def _is_alike(one: Member, other: Member) -> bool:
    """Say whether two rows of a process differ in its beat and its load alone."""
    return one == replace(other, beat=one.beat, running=one.running)
