"""Composes heartbeats and applies the received ones to the local state.

Heartbeats are incremental: full rows only while peers may lack them, only totals that
changed recently, and of other regions only reports that have just arrived.
"""

import math
import random
from collections.abc import Callable
from typing import Any

import anyio

from banyanseam.entry.const import (
    CRASH_REPORT_S,
    GOSSIP_PERIOD_S,
    MAX_RELAYED_PEERS,
    MAX_REPORTED_STARTS,
    MAX_ROWS,
    PEER_TERM_S,
    RECENT_SPENDING_S,
    REGION_RECENT_SPENDING_S,
    REPAIR_ROW_AGE_S,
    START_REPORT_S,
)
from banyanseam.entry.crash_suspects import CrashSuspects, SuspectReport
from banyanseam.entry.members import Member, Members, make_incarnation_tag
from banyanseam.entry.messages import (
    Gossip,
    StartRow,
    SuspectRow,
    UnreachedRow,
    from_candidate_rows,
    from_start_row,
    from_suspect_row,
    make_digest,
    pack_ip,
    to_candidate_rows,
    to_heartbeat_row,
    to_member_row,
    to_software_row,
    to_software_rows,
    to_speed_table,
    to_start_row,
    to_suspect_row,
    to_upstream_row,
    unpack_ip,
)
from banyanseam.entry.models import StorePosition
from banyanseam.entry.placing import Candidate
from banyanseam.entry.quota import FleetQuota
from banyanseam.entry.relay_log import Direction, RelayLog
from banyanseam.entry.spending import (
    SpendingReport,
    SpendingTotals,
    from_table,
    to_table,
)
from banyanseam.entry.unreached.reports import UnreachedReport
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.upstreams import UpstreamLoads
from banyanseam.entry.values import PublishedValues
from banyanseam.observe.events import PERFORMANCE_CHANGED, log

PeerVersionsCallback = Callable[[str, int, StorePosition], None]


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
        self._relay_log = RelayLog()
        # Returns this region's candidates by service, for heartbeats to other regions.
        self.list_candidates: Callable[[], dict[str, list[Candidate]]] = dict
        # Called with the time before each heartbeat is composed.
        self.refreshers: list[Callable[[float], None]] = []
        # Called with a peer's address and its versions of the configuration and of the
        # evacuations, so that newer ones can be fetched.
        self.on_peer_versions: PeerVersionsCallback = lambda *_: None

    def compose_for_own_region(self, direction: Direction = Direction.REGION) -> Gossip:
        """Return a heartbeat for peers of this region, with what it passes on to them.

        What it passes on is not passed on in the same direction again.
        """
        now_s = anyio.current_time()
        self._relay_log.record_own_samples(self._loads.performance.take_samples())
        pending = self._relay_log.take(direction)
        found = [self._members.find(ip) for ip in pending.list_ips()]
        others = [member for member in found if member is not None]
        if direction is Direction.REGION:
            others += self._choose_rows_to_relay(now_s)
        peer_loads = self._loads.list_peer_loads(pending.ips)
        own_uses = self._loads.list_segment_uses(now_s)
        reports = {
            region: self._loads.find_region_report(region, now_s)
            for region in pending.reports
        }
        return self._compose(
            [self._members.me, *others],
            direction=direction,
            loads=self._loads.list_own_loads(now_s),
            peer_loads={pack_ip(ip): table for ip, table in peer_loads.items()},
            part_uses=[*own_uses, *pending.segment_uses],
            relayed={
                region: (to_candidate_rows(candidates), segments)
                for region, (candidates, segments) in reports.items()
            },
            relayed_speeds={
                region: speeds
                for region, (candidates, _) in reports.items()
                if (speeds := to_speed_table(candidates))
            },
            relayed_software={
                region: to_software_rows(candidates)
                for region, (candidates, _) in reports.items()
            },
            samples=pending.samples,
            levels=self._list_levels_for_new_peers(now_s),
        )

    def compose_own_loads(self, direction: Direction) -> Gossip:
        """Return a heartbeat with this process's own state only."""
        now_s = anyio.current_time()
        return self._compose(
            [self._members.me],
            direction=direction,
            loads=self._loads.list_own_loads(now_s),
            part_uses=self._loads.list_segment_uses(now_s),
        )

    def compose_repair(self) -> Gossip:
        """Return a heartbeat with all rows of this region that are up to date.

        Older rows would make silent processes look alive for longer.
        """
        now_s = anyio.current_time()
        return self._compose(
            [self._members.me, *self._list_updated(REPAIR_ROW_AGE_S, now_s)],
            loads=self._loads.list_own_loads(now_s),
        )

    def _list_updated(self, max_age_s: float, now_s: float) -> list[Member]:
        """Return the live peers of this region whose rows are no older than that."""
        region = self._members.me.region
        updated = self._members.list_updated_since(now_s - max_age_s, now_s)
        return [row for row in updated if row.region == region]

    def _list_levels_for_new_peers(self, now_s: float) -> dict[str, float]:
        # Only a process that has just started adopts quota levels from its peers.
        if not self._members.has_recent_changes(now_s):
            return {}
        return self._quota.list_levels()

    def compose_for_other_regions(self) -> Gossip:
        """Return a heartbeat with what other regions need of this one."""
        now_s = anyio.current_time()
        candidates = self.list_candidates()
        return self._compose(
            self._members.list_rows(now_s, self._members.me.region),
            recent_s=RECENT_SPENDING_S,
            region_parts=self._loads.list_region_segments(now_s),
            candidates=to_candidate_rows(candidates),
            speeds=to_speed_table(candidates),
            software=to_software_rows(candidates),
            starts=[],
        )

    def compose_full(self) -> Gossip:
        """Return a heartbeat with the full state.

        It is sent as a hello, which asks a peer for its full state, and as the reply.
        """
        now_s = anyio.current_time()
        candidates = self.list_candidates()
        return self._compose(
            self._members.list_rows(now_s),
            is_full=True,
            recent_s=RECENT_SPENDING_S,
            loads=self._loads.list_own_loads(now_s),
            region_parts=self._loads.list_region_segments(now_s),
            candidates=to_candidate_rows(candidates),
            speeds=to_speed_table(candidates),
            software=to_software_rows(candidates),
            samples=self._loads.performance.list_samples(),
            levels=self._quota.list_levels(),
            suspects=_to_suspect_rows(self._suspects.list_all_reports(now_s)),
            segment_crashes=self._suspects.segments.list_crashes(-math.inf),
            starts=self._list_starts(-math.inf),
        )

    def compose_upstreams(self, *, is_known: bool) -> Gossip:
        """Return the store's list of upstreams, or only its digest if peers have it.

        Each process decides for itself what to retain beside the list: peers may know
        that an upstream has left, while this process assumes that its entry expired.
        """
        gossip = self._compose([self._members.me], is_full=True)
        gossip.upstreams_era, gossip.upstreams_revision = self._upstreams.position
        listing = self._upstreams.listing
        if is_known:
            gossip.upstreams_digest = make_digest(listing)
        else:
            gossip.upstreams = [to_upstream_row(each) for each in listing]
            gossip.upstreams_software = to_software_row(
                each.software for each in listing
            )
            gossip.starts = self._list_starts(-math.inf)
        return gossip

    def compose_upstreams_request(self) -> Gossip:
        """Return a request for the full list of upstreams."""
        return Gossip(sender=self._members.me.ip, wants_upstreams=True)

    def record_own_spending(self) -> None:
        """Record this process's total charges for its next heartbeats."""
        me = self._members.me
        spending = SpendingReport(
            me.ip,
            make_incarnation_tag(me.incarnation),
            me.heartbeat_count,
            self._quota.own_spent,
        )
        self._spendings.merge(spending, anyio.current_time())

    def refresh_performance(self) -> None:
        """Estimate the upstreams' performance anew, and log what has changed."""
        changes = self._loads.refresh_performance(anyio.current_time())
        for service, (before, after) in changes.items():
            log(
                PERFORMANCE_CHANGED,
                service=service,
                work_percent=after,
                work_percent_before=before,
            )

    def apply(self, gossip: Gossip) -> bool:
        """Apply a heartbeat; return False if no full row of its sender was received.

        Raise InvalidPeerMessage if a total refers to a missing name.
        """
        now_s = anyio.current_time()
        spendings = from_table(
            gossip.spent_names, gossip.spent, unpack_ip, self._spendings.is_newer
        )
        rows = [Member(*row) for row in gossip.members]
        self._members.merge(rows, now_s)
        for packed_ip, *fields in gossip.beats:
            row = self._members.merge_short_row(unpack_ip(packed_ip), *fields, now_s)
            if row is not None:
                rows.append(row)
        self._apply_unreached(gossip)
        sender = self._members.find(gossip.sender)
        if sender is None:
            return False
        for spending in spendings:
            self._apply_spending(spending, now_s)
        if now_s - self._started_s < PEER_TERM_S:
            self._quota.adopt_levels(gossip.levels, now_s)
        for row in gossip.suspects:
            self._suspects.apply_report(from_suspect_row(row), now_s)
        for suspect, age_ms in gossip.sound_requests:
            self._suspects.record_answer(suspect, now_s, age_ms / 1000)
        for key, crash in gossip.segment_crashes:
            self._suspects.segments.record_crash([key], crash, now_s)
        self._suspects.segments.record_disproved(gossip.sound_segments, now_s)
        for upstream_id, started_ms in gossip.replaced:
            self._upstreams.record_replaced(upstream_id, started_ms, now_s)
        for service, (number, age_ms) in gossip.brittle.items():
            self._loads.brittle.record_told(service, number, now_s - age_ms / 1000)
        for row in gossip.starts:
            self._upstreams.record_reported_start(from_start_row(row, now_s), now_s)
        self.on_peer_versions(
            sender.ip,
            gossip.config_version,
            self._values.locate(gossip.evacuation_era, gossip.evacuation_revision),
        )
        if sender.region != self._members.me.region:
            self._apply_other_region(gossip, sender.region, rows, now_s)
        elif gossip.upstreams is None and gossip.upstreams_digest is None:
            self._apply_own_region(gossip, rows, now_s)
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
        position = self._values.locate(gossip.upstreams_era, gossip.upstreams_revision)
        own_era = self._upstreams.position.era
        if position.era != own_era:
            # Equal revisions of two eras may belong to different registrations.
            return position.era > own_era
        if gossip.upstreams_digest != make_digest(self._upstreams.listing):
            return True
        self._values.confirm_upstreams(position, now_s)
        return False

    def _apply_own_region(
        self, gossip: Gossip, rows: list[Member], now_s: float
    ) -> None:
        by_ip = {row.ip: row for row in rows}
        tables = {unpack_ip(each): table for each, table in gossip.peer_loads.items()}
        # The row of a report tells whether the report is newer than the stored one.
        for ip, table in ({gossip.sender: gossip.loads} | tables).items():
            if ip in by_ip:
                self._loads.record_peer_loads(by_ip[ip], table, now_s)
        for use in gossip.part_uses:
            self._loads.record_segment(*use, now_s)
        self._loads.performance.record_peer_samples(gossip.samples, now_s)
        own_region = self._members.me.region
        others = [ip for ip, row in by_ip.items() if row.region == own_region]
        self._relay_log.record_heartbeat(
            gossip.sender,
            tables.keys() & by_ip.keys(),
            [ip for ip in others if ip not in tables and ip != gossip.sender],
            gossip.direction,
            gossip.part_uses,
        )
        self._relay_log.record_samples(gossip.samples, gossip.direction)
        for region, (candidate_rows, segments) in gossip.relayed.items():
            speeds = gossip.relayed_speeds.get(region, {})
            software = gossip.relayed_software.get(region, {})
            candidates = from_candidate_rows(candidate_rows, region, speeds, software)
            self._loads.store_region_report(region, candidates, segments, now_s)
            ips = [row.ip for row in rows if row.region == region]
            self._relay_log.record_report(region, ips, gossip.direction)

    def _apply_unreached(self, gossip: Gossip) -> None:
        reports = {unpack_ip(packed): row for packed, row in gossip.unreached.items()}
        if gossip.sender not in reports:
            self._members.unreached.clear(gossip.sender)
        for ip, (heartbeat_count, services, upstreams) in reports.items():
            member = self._members.find(ip)
            if member is not None:
                report = UnreachedReport(
                    heartbeat_count, tuple(services), tuple(upstreams)
                )
                self._members.unreached.record(member, report)

    def _apply_other_region(
        self, gossip: Gossip, region: str, rows: list[Member], now_s: float
    ) -> None:
        # An empty report counts too: the region then has no candidates.
        candidates = from_candidate_rows(
            gossip.candidates, region, gossip.speeds, gossip.software
        )
        self._loads.store_region_report(region, candidates, gossip.region_parts, now_s)
        ips = [row.ip for row in rows if row.region == region]
        self._relay_log.record_report(region, ips, None)

    def _apply_spending(self, spending: SpendingReport, now_s: float) -> None:
        member = self._members.find(spending.ip)
        if member is None or spending.incarnation_tag != make_incarnation_tag(
            member.incarnation
        ):
            # The charges are those of this process, of one whose full row is missing,
            # or of a replaced incarnation.
            return
        charges = self._spendings.merge(spending, now_s)
        if charges:
            self._quota.receive(charges, now_s)

    def _list_starts(self, since_s: float) -> list[StartRow]:
        """Return what checks of upstreams have found since a time, the latest first."""
        now_s = anyio.current_time()
        findings = self._upstreams.starts.list_findings(since_s)
        findings.sort(key=lambda each: -each.at_s)
        return [to_start_row(each, now_s) for each in findings[:MAX_REPORTED_STARTS]]

    def _list_unreached(self, rows: list[Member]) -> dict[int, UnreachedRow]:
        reports = self._members.unreached.list_reports(self._members.me, rows[1:])
        return {
            pack_ip(ip): (
                each.heartbeat_count,
                list(each.services),
                list(each.upstreams),
            )
            for ip, each in reports.items()
        }

    def _choose_rows_to_relay(self, now_s: float) -> list[Member]:
        """Return a few recently updated peers of the region whose rows are relayed.

        Several peers relay each row, so that it also reaches processes that are
        partitioned from its origin.
        """
        updated = self._list_updated(2 * GOSSIP_PERIOD_S, now_s)
        return random.sample(updated, min(len(updated), MAX_RELAYED_PEERS))

    def _compose(
        self,
        rows: list[Member],
        *,
        is_full: bool = False,
        recent_s: float = REGION_RECENT_SPENDING_S,
        **fields: Any,
    ) -> Gossip:
        now_s = anyio.current_time()
        if len(rows) > MAX_ROWS:
            rows = [rows[0], *random.sample(rows[1:], MAX_ROWS - 1)]
        # A relayed row comes with the spending of its process: a peer that received
        # only the row would refill at the full rate without subtracting those charges.
        ips = [row.ip for row in rows]
        spendings = self._spendings.list_recent(ips, now_s, recent_s)
        names, spent = to_table(spendings, pack_ip)
        members, beats = [], []
        for row in rows:
            if is_full or self._members.needs_full_row(row, now_s):
                members.append(to_member_row(row))
            else:
                beats.append(to_heartbeat_row(row))
        fields.setdefault(
            "suspects", _to_suspect_rows(self._suspects.list_reports(now_s))
        )
        fields.setdefault("starts", self._list_starts(now_s - START_REPORT_S))
        crashes_since_s = now_s - CRASH_REPORT_S
        fields.setdefault(
            "segment_crashes", self._suspects.segments.list_crashes(crashes_since_s)
        )
        return Gossip(
            sender=self._members.me.ip,
            members=members,
            beats=beats,
            config_version=self._values.version,
            evacuation_revision=self._values.evacuations.position.revision,
            evacuation_era=self._values.evacuations.era,
            spent_names=names,
            spent=spent,
            sound_requests=[
                (suspect, round(age_s * 1000))
                for suspect, age_s in self._suspects.list_disproved(now_s)
            ],
            sound_segments=self._suspects.segments.list_disproved(crashes_since_s),
            replaced=self._upstreams.list_replaced(now_s),
            unreached=self._list_unreached(rows),
            brittle=self._loads.brittle.list_words(now_s),
            **fields,
        )


def _to_suspect_rows(reports: list[SuspectReport]) -> list[SuspectRow]:
    return [to_suspect_row(each) for each in reports]
