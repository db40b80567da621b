"""Fleet membership, learned from peers by gossip alone.

Each process counts its heartbeats. Rows are relayed between peers, and a peer whose
count stops growing is considered dead. There is no consensus: two processes may
disagree briefly, and every use of this view is safe while they do.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from banyanseam.entry.const import (
    FLEET_TERM_S,
    FULL_ROW_HEARTBEATS,
    FULL_ROW_S,
    PEER_TERM_S,
    REMOTE_PEER_TERM_S,
)


@dataclass(frozen=True, slots=True)
class Member:
    """A process of the fleet as described by its own, possibly relayed, report."""

    ip: str
    region: str
    data_centre: str
    callers_address: str
    incarnation: int
    heartbeat_count: int
    # Whether callers should be sent here, and whether requests are still accepted.
    is_serving: bool
    is_accepting: bool
    # Requests in progress, as a measure of load.
    running: int


@dataclass(slots=True)
class _Record:
    member: Member
    updated_s: float
    # When a field other than the heartbeat count and the load last changed.
    changed_s: float


class Members:
    """One process's view of the fleet's members."""

    def __init__(self, me: Member, regions: Mapping[str, str]) -> None:
        """Start without peers; `regions` maps data centres to their regions."""
        self.me = me
        self.regions = regions
        self._records: dict[str, _Record] = {}
        # Infinite until the first heartbeat: no peer has this process's row yet.
        self._changed_s = math.inf

    def increment_heartbeat_count(
        self, *, is_serving: bool, is_accepting: bool, running: int, now_s: float
    ) -> None:
        """Increment the heartbeat count, which shows that this process is alive."""
        before = self.me
        self.me = replace(
            before,
            heartbeat_count=before.heartbeat_count + 1,
            is_serving=is_serving,
            is_accepting=is_accepting,
            running=running,
        )
        if self._changed_s == math.inf or not _differs_only_in_load(before, self.me):
            self._changed_s = now_s

    def merge(self, rows: Iterable[Member], now_s: float) -> None:
        """Adopt rows that are newer than the recorded ones."""
        for row in rows:
            if row.ip == self.me.ip:
                continue
            record = self._records.get(row.ip)
            if record is None:
                self._records[row.ip] = _Record(row, now_s, now_s)
                continue
            if self._is_newer(row, record, now_s):
                if not _differs_only_in_load(record.member, row):
                    record.changed_s = now_s
                record.member = row
                record.updated_s = now_s

    def expand_short_row(
        self, ip: str, incarnation: int, heartbeat_count: int, running: int
    ) -> Member | None:
        """Return the full row for a short one, or None if no full row was received."""
        record = self._records.get(ip)
        if record is None or record.member.incarnation != incarnation:
            return None
        return replace(record.member, heartbeat_count=heartbeat_count, running=running)

    def needs_full_row(self, member: Member, now_s: float) -> bool:
        """Return whether peers may still lack the full row of a member."""
        if member.ip == self.me.ip:
            changed_s = self._changed_s
        else:
            record = self._records.get(member.ip)
            changed_s = math.inf if record is None else record.changed_s
        is_new = now_s - changed_s <= FULL_ROW_S
        return is_new or member.heartbeat_count % FULL_ROW_HEARTBEATS == 0

    def find(self, ip: str) -> Member | None:
        """Return the last row of a process, alive or not."""
        record = self._records.get(ip)
        return None if record is None else record.member

    def list_alive(self, now_s: float, region: str | None = None) -> list[Member]:
        """Return the other processes that are alive, in one region or in all."""
        return [
            record.member
            for record in self._records.values()
            if region in (None, record.member.region) and self._is_alive(record, now_s)
        ]

    def list_serving(self, now_s: float, region: str) -> list[Member]:
        """Return the region's processes open to new callers, including this one."""
        found = [each for each in self.list_alive(now_s, region) if each.is_serving]
        if self.me.region == region and self.me.is_serving:
            found.append(self.me)
        return sorted(found, key=lambda member: member.ip)

    def list_accepting(self, now_s: float) -> list[Member]:
        """Return all processes that accept requests, including leaving ones."""
        found = [each for each in self.list_alive(now_s) if each.is_accepting]
        if self.me.is_accepting:
            found.append(self.me)
        return sorted(found, key=lambda member: member.ip)

    def rank_in_region(self, now_s: float) -> int:
        """Return this process's rank by address among its region's serving peers."""
        alive = self.list_alive(now_s, self.me.region)
        return sum(1 for each in alive if each.is_serving and each.ip < self.me.ip)

    def count_recent(self, now_s: float, region: str | None = None) -> int:
        """Return how many processes were alive recently, including this one.

        Limits that are divided over the fleet are divided by this number, since an
        unreachable peer may still be using its share.
        """
        mine = 1 if region in (None, self.me.region) else 0
        return mine + sum(
            1
            for record in self._records.values()
            if region in (None, record.member.region)
            and now_s - record.updated_s <= FLEET_TERM_S
        )

    def drop_expired(self, now_s: float) -> None:
        """Drop peers that have been silent for three times the fleet term."""
        limit_s = now_s - 3 * FLEET_TERM_S
        for ip in [
            ip for ip, each in self._records.items() if each.updated_s < limit_s
        ]:
            del self._records[ip]

    def list_rows(self, now_s: float, region: str | None = None) -> list[Member]:
        """Return this process and the live ones, in one region or in all."""
        return [self.me, *self.list_alive(now_s, region)]

    def list_updated_since(self, since_s: float, now_s: float) -> list[Member]:
        """Return the live peers whose rows have been updated since a time."""
        return [
            record.member
            for record in self._records.values()
            if record.updated_s >= since_s and self._is_alive(record, now_s)
        ]

    def has_recent_changes(self, now_s: float) -> bool:
        """Return whether any peer has joined or changed recently."""
        return any(
            now_s - record.changed_s <= FULL_ROW_S for record in self._records.values()
        )

    def _is_newer(self, row: Member, record: _Record, now_s: float) -> bool:
        old = record.member
        if (row.incarnation, row.heartbeat_count) > (
            old.incarnation,
            old.heartbeat_count,
        ):
            return True
        # Incarnations come from the VM's clock. If that was set back, a restarted
        # process has a lower incarnation than its dead predecessor.
        return row.incarnation != old.incarnation and not self._is_alive(record, now_s)

    def _is_alive(self, record: _Record, now_s: float) -> bool:
        is_same_region = record.member.region == self.me.region
        term_s = PEER_TERM_S if is_same_region else REMOTE_PEER_TERM_S
        return now_s - record.updated_s <= term_s


def _differs_only_in_load(one: Member, other: Member) -> bool:
    """Return whether two rows differ at most in heartbeat count and load."""
    return one == replace(
        other, heartbeat_count=one.heartbeat_count, running=one.running
    )
