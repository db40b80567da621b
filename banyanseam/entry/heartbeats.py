"""Composes heartbeats and applies the received ones to the local state.

Heartbeats are incremental: full rows only while peers may lack them, only totals that
changed recently, and of other regions only reports that have just arrived.
"""

import random
from collections.abc import Callable
from typing import Any

import anyio

from banyanseam.entry.const import (
    CRASH_REPORT_S,
    GOSSIP_PERIOD_S,
    MAX_GOSSIP_PEERS,
    MAX_RELAYED_PEERS,
    MAX_ROWS,
    PEER_TERM_S,
)
from banyanseam.entry.crash_suspects import CrashSuspects
from banyanseam.entry.members import Member, Members
from banyanseam.entry.messages import (
    CandidateRow,
    Gossip,
    from_candidate_row,
    make_digest,
    to_candidate_row,
    to_heartbeat_row,
    to_member_row,
    to_upstream_row,
)
from banyanseam.entry.placing import Candidate
from banyanseam.entry.quota import FleetQuota
from banyanseam.entry.spending import (
    SpendingReport,
    SpendingTotals,
    from_table,
    to_table,
)
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.upstreams import UpstreamLoads
from banyanseam.entry.values import PublishedValues


class Heartbeats:
    """Composes heartbeats and applies received ones."""

    def __init__(
        self,
        members: Members,
        values: PublishedValues,
        upstreams: UpstreamList,
        loads: UpstreamLoads,
        quota: FleetQuota,
        suspects: CrashSuspects,
    ) -> None:
        """Store the components that heartbeats are read from and applied to."""
        self._members = members
        self._values = values
        self._upstreams = upstreams
        self._loads = loads
        self._quota = quota
        self._suspects = suspects
        self._started_s = anyio.current_time()
        self._spendings = SpendingTotals()
        # When each process of another region was last reported by that region itself.
        self._reported_s: dict[str, float] = {}
        # Returns this region's candidates by service, for heartbeats to other regions.
        self.list_candidates: Callable[[], dict[str, list[Candidate]]] = dict
        # Called with a peer's address and its versions of the configuration and of the
        # evacuations, so that newer ones can be fetched.
        self.on_peer_versions: Callable[[str, int, int], None] = lambda *_: None

    def compose_for_own_region(self) -> Gossip:
        """Return a heartbeat for this region: own state and recent reports of peers."""
        now_s = anyio.current_time()
        window_s = self._relay_window_s(now_s)
        others = [
            *self._choose_rows_to_relay(now_s),
            *self._list_recently_reported(now_s, window_s),
        ]
        # Only a process that has just started adopts quota levels from its peers.
        levels = (
            self._quota.list_levels() if self._members.has_recent_changes(now_s) else {}
        )
        return self._compose(
            [self._members.me, *others],
            loads=self._loads.list_own_loads(),
            part_uses=self._loads.list_segment_uses(now_s),
            relayed={
                region: (_to_rows(candidates), sorted(segments))
                for region, (candidates, segments) in self._loads.list_direct_reports(
                    now_s, window_s
                ).items()
            },
            levels=levels,
        )

    def compose_for_other_regions(self) -> Gossip:
        """Return a heartbeat with what other regions need of this one."""
        now_s = anyio.current_time()
        return self._compose(
            self._members.list_rows(now_s, self._members.me.region),
            region_parts=self._loads.list_region_segments(),
            candidates=_to_rows(self.list_candidates()),
        )

    def compose_full(self) -> Gossip:
        """Return a heartbeat with the full state.

        It is sent as a hello, which asks a peer for its full state, and as the reply.
        """
        now_s = anyio.current_time()
        return self._compose(
            self._members.list_rows(now_s),
            is_full=True,
            region_parts=self._loads.list_region_segments(),
            candidates=_to_rows(self.list_candidates()),
            levels=self._quota.list_levels(),
        )

    def compose_upstreams(self, *, is_known: bool) -> Gossip:
        """Return the list of upstreams, or only its digest if peers have the list."""
        gossip = self._compose([self._members.me], is_full=True)
        gossip.upstreams_revision = self._upstreams.revision
        upstreams = self._upstreams.list_upstreams()
        if is_known:
            gossip.upstreams_digest = make_digest(upstreams)
        else:
            gossip.upstreams = [to_upstream_row(each) for each in upstreams]
        return gossip

    def compose_upstreams_request(self) -> Gossip:
        """Return a request for the full list of upstreams."""
        return Gossip(sender=self._members.me.ip, wants_upstreams=True)

    def record_own_spending(self) -> None:
        """Record this process's total charges for its next heartbeats."""
        me = self._members.me
        spending = SpendingReport(
            me.ip, me.incarnation, me.heartbeat_count, self._quota.own_spent
        )
        self._spendings.merge(spending, anyio.current_time())

    def apply(self, gossip: Gossip) -> bool:
        """Apply a heartbeat; return False if no full row of its sender was received.

        Raise InvalidPeerMessage if a total refers to a missing name.
        """
        now_s = anyio.current_time()
        spendings = from_table(gossip.spent_names, gossip.spent)
        rows = [Member(*row) for row in gossip.members]
        self._members.merge(rows, now_s)
        short = [self._members.expand_short_row(*row) for row in gossip.beats]
        rows += [row for row in short if row is not None]
        self._members.merge(rows, now_s)
        sender = self._members.find(gossip.sender)
        if sender is None:
            return False
        for spending in spendings:
            self._apply_spending(spending, now_s)
        if now_s - self._started_s < PEER_TERM_S:
            self._quota.adopt_levels(gossip.levels, now_s)
        for suspect, upstream_id in gossip.crashes:
            self._suspects.record_crash(suspect, upstream_id, now_s)
        self.on_peer_versions(
            sender.ip, gossip.config_version, gossip.evacuation_revision
        )
        if sender.region != self._members.me.region:
            self._apply_other_region(gossip, sender.region, rows, now_s)
        elif gossip.upstreams is None and gossip.upstreams_digest is None:
            self._apply_own_region(gossip, now_s)
        return True

    def apply_upstreams(self, gossip: Gossip) -> bool:
        """Apply a list of upstreams or its digest; return whether to request it."""
        now_s = anyio.current_time()
        sender = self._members.find(gossip.sender)
        if sender is None or sender.region != self._members.me.region:
            return False
        if gossip.upstreams is not None:
            self._values.apply_gossip(gossip, now_s)
            return False
        if gossip.upstreams_digest is None:
            return False
        if gossip.upstreams_digest != make_digest(self._upstreams.list_upstreams()):
            return True
        self._upstreams.confirm(gossip.upstreams_revision, now_s)
        return False

    def _apply_own_region(self, gossip: Gossip, now_s: float) -> None:
        self._loads.record_peer_loads(gossip.sender, gossip.loads, now_s)
        for use in gossip.part_uses:
            self._loads.record_segment(*use)
        for region, (rows, segments) in gossip.relayed.items():
            self._loads.store_region_report(
                region, _from_rows(rows, region), segments, now_s, is_relayed=True
            )

    def _apply_other_region(
        self, gossip: Gossip, region: str, rows: list[Member], now_s: float
    ) -> None:
        self._reported_s |= {row.ip: now_s for row in rows if row.region == region}
        # An empty report counts too: the region then has no candidates.
        candidates = _from_rows(gossip.candidates, region)
        self._loads.store_region_report(region, candidates, gossip.region_parts, now_s)

    def _apply_spending(self, spending: SpendingReport, now_s: float) -> None:
        member = self._members.find(spending.ip)
        if member is None or member.incarnation != spending.incarnation:
            # The charges are those of this process, of one whose full row is missing,
            # or of a replaced incarnation.
            return
        charges = self._spendings.merge(spending, now_s)
        if charges:
            self._quota.receive(charges, now_s)

    def _choose_rows_to_relay(self, now_s: float) -> list[Member]:
        """Return a few recently updated peers of the region whose rows are relayed.

        Several peers relay each row, so that it also reaches processes that are
        partitioned from its origin.
        """
        region = self._members.me.region
        updated = [
            row
            for row in self._members.list_updated_since(
                now_s - 2 * GOSSIP_PERIOD_S, now_s
            )
            if row.region == region
        ]
        return random.sample(updated, min(len(updated), MAX_RELAYED_PEERS))

    def _list_recently_reported(self, now_s: float, window_s: float) -> list[Member]:
        """Return processes of other regions, as just reported by those regions."""
        self._reported_s = {
            ip: reported_s
            for ip, reported_s in self._reported_s.items()
            if now_s - reported_s <= window_s
        }
        found = [self._members.find(ip) for ip in self._reported_s]
        return [member for member in found if member is not None]

    def _relay_window_s(self, now_s: float) -> float:
        """Return how long a round of heartbeats to every peer of the region takes."""
        count = len(self._members.list_alive(now_s, self._members.me.region))
        return GOSSIP_PERIOD_S * max(1, -(-count // MAX_GOSSIP_PEERS))

    def _compose(
        self, rows: list[Member], *, is_full: bool = False, **fields: Any
    ) -> Gossip:
        now_s = anyio.current_time()
        if len(rows) > MAX_ROWS:
            rows = [rows[0], *random.sample(rows[1:], MAX_ROWS - 1)]
        # A relayed row comes with the spending of its process: a peer that received
        # only the row would refill at the full rate without subtracting those charges.
        spendings = self._spendings.list_recent((row.ip for row in rows), now_s)
        names, spent = to_table(spendings)
        full = [
            row for row in rows if is_full or self._members.needs_full_row(row, now_s)
        ]
        short = [row for row in rows if row not in full]
        return Gossip(
            sender=self._members.me.ip,
            members=[to_member_row(row) for row in full],
            beats=[to_heartbeat_row(row) for row in short],
            config_version=self._values.version,
            evacuation_revision=self._values.evacuation_revision,
            spent_names=names,
            spent=spent,
            crashes=self._suspects.list_recent(now_s - CRASH_REPORT_S),
            **fields,
        )


def _to_rows(candidates: dict[str, list[Candidate]]) -> dict[str, list[CandidateRow]]:
    return {
        service: [to_candidate_row(each) for each in found]
        for service, found in candidates.items()
    }


def _from_rows(
    rows: dict[str, list[CandidateRow]], region: str
) -> dict[str, list[Candidate]]:
    return {
        service: [from_candidate_row(row, region) for row in found]
        for service, found in rows.items()
    }
