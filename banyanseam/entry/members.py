"""Fleet membership, learned from peers by gossip alone.

Each process counts its heartbeats. Rows are relayed between peers, and a peer whose
count stops growing is considered dead. There is no consensus: two processes may
disagree briefly, and every use of this view is safe while they do.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Final

from banyanseam.entry.const import (
    ALIVE_VIEW_S,
    FLEET_TERM_S,
    FULL_ROW_HEARTBEATS,
    FULL_ROW_S,
    LARGE_REGION_PEER_TERM_S,
    MAX_MESH_PEERS,
    PEER_TERM_S,
    REMOTE_PEER_TERM_S,
)
from banyanseam.entry.unreached.reports import UnreachedReports

_TAG_BITS: Final = 32


def make_incarnation_tag(incarnation: int) -> int:
    """Return the part of an incarnation that tells it apart from others of its VM."""
    return incarnation % 2**_TAG_BITS


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
        # The services that each process has no way to.
        self.unreached = UnreachedReports()
        # Ordered by address.
        self._records: dict[str, _Record] = {}
        # Infinite until the first heartbeat: no peer has this process's row yet.
        self._changed_s = math.inf
        # When any peer last joined or changed.
        self._peers_changed_s = -math.inf
        self._region_counts: Counter[str] = Counter()
        # The live peers and the number of recently live ones by region (None: of all),
        # and when they were listed.
        self._alive: dict[str | None, list[_Record]] = {}
        self._recent_counts: Counter[str | None] = Counter()
        self._listed_s = -math.inf

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
                self._records = dict(sorted(self._records.items()))
                self._region_counts[row.region] += 1
                self._note_change(now_s)
            elif self._is_newer(row, record, now_s):
                if not _differs_only_in_load(record.member, row):
                    record.changed_s = now_s
                    self._note_change(now_s)
                self._update(record, row, now_s)

    def merge_short_row(
        self,
        ip: str,
        incarnation_tag: int,
        heartbeat_count: int,
        running: int,
        now_s: float,
    ) -> Member | None:
        """Merge a short row; return the full row, or None if none was received."""
        record = self._records.get(ip)
        if record is None:
            return None
        old = record.member
        if make_incarnation_tag(old.incarnation) != incarnation_tag:
            return None
        if heartbeat_count <= old.heartbeat_count:
            return old
        row = Member(
            old.ip,
            old.region,
            old.data_centre,
            old.callers_address,
            old.incarnation,
            heartbeat_count,
            old.is_serving,
            old.is_accepting,
            running,
        )
        self._update(record, row, now_s)
        return row

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
        """Return the other processes that are alive, in one region or in all.

        They are ordered by address. A process that has just fallen silent may be
        included for up to ALIVE_VIEW_S.
        """
        self._refresh_lists(now_s)
        return [record.member for record in self._alive.get(region, ())]

    def list_serving(self, now_s: float, region: str) -> list[Member]:
        """Return the region's processes open to new callers, including this one."""
        found = [each for each in self.list_alive(now_s, region) if each.is_serving]
        if self.me.region == region and self.me.is_serving:
            found.append(self.me)
            found.sort(key=lambda member: member.ip)
        return found

    def list_with_way(self, now_s: float, region: str, service: str) -> list[Member]:
        """Return the region's serving processes with a way to a service's upstreams."""
        return [
            member
            for member in self.list_serving(now_s, region)
            if self.has_way(member, service)
        ]

    def has_way(self, member: Member, service: str) -> bool:
        """Return whether a process has a way to a service, as far as it has said."""
        if member.ip == self.me.ip:
            return service not in self.unreached.own
        return self.unreached.has_way(member, service)

    def list_relays(self, now_s: float, service: str) -> list[Member]:
        """Return the serving peers of this region with a way to a service."""
        found = self.list_with_way(now_s, self.me.region, service)
        return [member for member in found if member.ip != self.me.ip]

    def count_services_without_way(self, member: Member) -> int:
        """Return the number of services that a process has no way to."""
        if member.ip == self.me.ip:
            return len(self.unreached.own)
        return self.unreached.count_services(member)

    def count_senders(self, now_s: float, service: str) -> int:
        """Return how many recent processes of this region may send to a service.

        Those without a way to it send nothing. This process counts in any case.
        """
        region = self.me.region
        if self.unreached.is_empty:
            return self.count_recent(now_s, region)
        without_way = sum(
            not self.unreached.has_way(member, service)
            for member in self.list_alive(now_s, region)
        )
        return max(1, self.count_recent(now_s, region) - without_way)

    def list_accepting(self, now_s: float) -> list[Member]:
        """Return all processes that accept requests, including leaving ones."""
        found = [each for each in self.list_alive(now_s) if each.is_accepting]
        if self.me.is_accepting:
            found.append(self.me)
        return sorted(found, key=lambda member: member.ip)

    def list_leaving(self, now_s: float, region: str) -> list[tuple[Member, float]]:
        """Return the region's leaving peers that accept requests, and since when."""
        return [
            (member, self._records[member.ip].changed_s)
            for member in self.list_alive(now_s, region)
            if member.is_accepting and not member.is_serving
        ]

    def rank_in_region(self, now_s: float) -> int:
        """Return this process's rank by address among its region's serving peers."""
        alive = self.list_alive(now_s, self.me.region)
        return sum(1 for each in alive if each.is_serving and each.ip < self.me.ip)

    def count_recent(self, now_s: float, region: str | None = None) -> int:
        """Return how many processes were alive recently, including this one.

        Limits that are divided over the fleet are divided by this number, since an
        unreachable peer may still be using its share.
        """
        self._refresh_lists(now_s)
        mine = 1 if region in (None, self.me.region) else 0
        return mine + self._recent_counts[region]

    def list_recent(
        self, now_s: float, region: str, term_s: float = FLEET_TERM_S
    ) -> list[Member]:
        """Return the other processes of a region that were alive recently."""
        return [
            record.member
            for record in self._records.values()
            if record.member.region == region and now_s - record.updated_s <= term_s
        ]

    def drop_expired(self, now_s: float) -> None:
        """Drop peers that have been silent for three times the fleet term."""
        limit_s = now_s - 3 * FLEET_TERM_S
        for ip in [
            ip for ip, each in self._records.items() if each.updated_s < limit_s
        ]:
            self._region_counts[self._records.pop(ip).member.region] -= 1
            self._listed_s = -math.inf
        self.unreached.prune(self._records)

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
        return now_s - self._peers_changed_s <= FULL_ROW_S

    def _refresh_lists(self, now_s: float) -> None:
        if 0 <= now_s - self._listed_s < ALIVE_VIEW_S:
            return
        self._listed_s = now_s
        own_region = self.me.region
        own_term_s = self._get_term_s(own_region)
        alive: dict[str | None, list[_Record]] = {None: []}
        recent: Counter[str | None] = Counter()
        for record in self._records.values():
            region = record.member.region
            silent_s = now_s - record.updated_s
            if silent_s <= FLEET_TERM_S:
                recent[region] += 1
            if silent_s <= (own_term_s if region == own_region else REMOTE_PEER_TERM_S):
                alive[None].append(record)
                alive.setdefault(region, []).append(record)
        recent[None] = sum(recent.values())
        self._alive, self._recent_counts = alive, recent

    def _note_change(self, now_s: float) -> None:
        self._peers_changed_s = now_s
        self._listed_s = -math.inf

    def _update(self, record: _Record, row: Member, now_s: float) -> None:
        if not self._is_alive(record, now_s):
            self._listed_s = -math.inf
        record.member = row
        record.updated_s = now_s

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
        term_s = self._get_term_s(record.member.region)
        return now_s - record.updated_s <= term_s

    def _get_term_s(self, region: str) -> float:
        """Return how long a process of a region may be silent while it is alive."""
        if region != self.me.region:
            return REMOTE_PEER_TERM_S
        is_large = self._region_counts[region] > MAX_MESH_PEERS
        return LARGE_REGION_PEER_TERM_S if is_large else PEER_TERM_S


def _differs_only_in_load(one: Member, other: Member) -> bool:
    """Return whether two rows differ at most in heartbeat count and load."""
    return (
        one.incarnation == other.incarnation
        and one.is_serving == other.is_serving
        and one.is_accepting == other.is_accepting
        and one.callers_address == other.callers_address
        and one.data_centre == other.data_centre
        and one.region == other.region
    )
