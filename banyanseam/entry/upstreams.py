"""Loads of upstreams: from this process, its region's peers and other regions."""

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final

from banyanseam.entry.brittle import (
    MIN_WAITING,
    VIEW_S,
    BrittleServices,
    Demand,
    Senders,
    choose_senders,
    count_relayed,
)
from banyanseam.entry.cached_prefixes import CachedPrefixes
from banyanseam.entry.const import (
    FORWARDED_PREFILL_MS,
    GOSSIP_PERIOD_S,
    PEER_TERM_S,
    PREFIX_CACHE_MEMORY_SHARE,
    REMOTE_PEER_TERM_S,
)
from banyanseam.entry.fingerprints import make_start_tag
from banyanseam.entry.members import Member, Members
from banyanseam.entry.messages import (
    LoadRow,
    LoadTable,
    make_load_tag,
    make_upstream_tag,
)
from banyanseam.entry.models import Upstream
from banyanseam.entry.performance.answer_times import AnswerTimes
from banyanseam.entry.performance.network import NetworkTimes
from banyanseam.entry.performance.observer import PerformanceObserver
from banyanseam.entry.placing import (
    Candidate,
)
from banyanseam.entry.recent_prefixes import RecentPrefixes
from banyanseam.entry.relay_log import SegmentUse
from banyanseam.entry.unreached.const import RELAYED_MS
from banyanseam.entry.upstream_list import UpstreamList

# Requests, prefill time, reserved memory tokens, prefill time of waiting prompts.
Load = tuple[int, float, int, float]

# Limits on the shared prefix segments in a heartbeat.
MAX_SEGMENT_USES: Final = 64
MAX_REGION_SEGMENTS: Final = 64


@dataclass(frozen=True, slots=True)
class _PeerLoads:
    received_s: float
    incarnation: int
    heartbeat_count: int
    table: LoadTable


class UpstreamLoads:
    """Requests, prefill time, reserved memory and cached prefixes by upstream."""

    def __init__(self, upstreams: UpstreamList, own_region: str) -> None:
        """Start with this process's own load, which `upstreams` holds."""
        self._upstreams = upstreams
        self._own_region = own_region
        # Memory of the smallest engine of any service, set from the configuration.
        self.engine_memory_tokens = 0
        self.performance = PerformanceObserver()
        self.network = NetworkTimes()
        self.answer_times = AnswerTimes()
        self.brittle = BrittleServices()
        # Who sends to brittle services, and when that was found, by service and region.
        self._senders: dict[tuple[str, str], tuple[float, Senders | None]] = {}
        # Loads that peers reported, the oldest report first, and by tag of the upstream
        # their sums and the number of reports in these.
        self._peer_loads: dict[str, _PeerLoads] = {}
        self._peer_sums: dict[int, tuple[int, int, int, int, int]] = {}
        self._region_reports: dict[str, tuple[float, dict[str, list[Candidate]]]] = {}
        # Prefix segments used in this region, and in others according to their reports.
        self._own_segments = RecentPrefixes()
        self._region_segments: dict[str, RecentPrefixes] = {}
        # Segments recently prefilled for this process, for heartbeats to its region.
        self._segment_uses: deque[tuple[float, SegmentUse]] = deque(
            maxlen=MAX_SEGMENT_USES
        )
        # Running forwarded requests, and segments of forwarded prompts, by region.
        self.forwarded: dict[str, int] = {}
        self._forwarded_segments: dict[str, CachedPrefixes] = {}

    @property
    def has_engines(self) -> bool:
        """Return whether the configuration names engines, whose speed is observed."""
        return self.engine_memory_tokens > 0

    def refresh_performance(self, now_s: float) -> dict[str, tuple[int, int]]:
        """Estimate the upstreams' performance anew; return what has changed."""
        services = {
            make_upstream_tag(each.upstream_id): each.service
            for each in self._upstreams.list_upstreams()
        }
        return self.performance.refresh(services, now_s)

    def record_segment(
        self, start_tag: str, segment_id: str, tokens: int, now_s: float
    ) -> None:
        """Record that an incarnation prefilled or used a shared prefix segment."""
        listed = self._upstreams.find_incarnation(start_tag)
        if listed is not None:
            memory_tokens = PREFIX_CACHE_MEMORY_SHARE * self.engine_memory_tokens
            listed.usage.cached_segments.record_use(segment_id, tokens, memory_tokens)
            self._own_segments.record_uses([segment_id], now_s)

    def record_own_segment(
        self, upstream: Upstream, segment_id: str, tokens: int, now_s: float
    ) -> None:
        """Record a segment prefilled for this process, and queue it for heartbeats."""
        start_tag = make_start_tag(upstream)
        self.record_segment(start_tag, segment_id, tokens, now_s)
        self._segment_uses.append((now_s, (start_tag, segment_id, tokens)))

    def record_forwarded_segment(
        self, region: str, segment_id: str, tokens: int
    ) -> None:
        """Record a segment that another region has prefilled for this process."""
        segments = self._forwarded_segments.setdefault(region, CachedPrefixes())
        segments.record_use(
            segment_id, tokens, PREFIX_CACHE_MEMORY_SHARE * self.engine_memory_tokens
        )

    def list_segment_uses(self, now_s: float) -> list[SegmentUse]:
        """Return the segments to announce; each is sent in two heartbeats."""
        return [
            use
            for used_s, use in self._segment_uses
            if now_s - used_s <= 2 * GOSSIP_PERIOD_S
        ]

    def list_region_segments(self, now_s: float) -> list[str]:
        """Return the segments that this region used last, for other regions."""
        return self._own_segments.list_newest(MAX_REGION_SEGMENTS, now_s)

    def is_cached(self, segment_id: str, candidate: Candidate) -> bool:
        """Return whether a candidate probably has a segment cached."""
        listed = self._upstreams.find(candidate.upstream_id)
        if candidate.region == self._own_region:
            return listed is not None and segment_id in listed.usage.cached_segments
        # The other region itself chooses the upstream that has the segment.
        if segment_id in self._region_segments.get(candidate.region, ()):
            return True
        return segment_id in self._forwarded_segments.get(candidate.region, ())

    def list_own_loads(self, now_s: float) -> LoadTable:
        """Return this process's own load by tag of the upstream's incarnation."""
        found = {}
        for upstream in self._upstreams.list_upstreams():
            usage = self._upstreams.find(upstream.upstream_id).usage
            requests = usage.brittle.count_held(usage.requests, now_s)
            if requests or usage.queued_ms:
                found[make_load_tag(upstream)] = (
                    requests,
                    round(usage.prefill_ms),
                    usage.memory_tokens,
                    round(usage.queued_ms),
                )
        return found

    def record_peer_loads(self, peer: Member, table: LoadTable, now_s: float) -> None:
        """Store the loads that a process of the region reported with its row.

        A report that is not newer than the stored one is ignored: reports are passed
        on, so an older one may arrive later.
        """
        self._drop_old_loads(now_s)
        previous = self._peer_loads.get(peer.ip)
        if previous is not None:
            is_same = previous.incarnation == peer.incarnation
            if is_same and peer.heartbeat_count <= previous.heartbeat_count:
                return
            self._remove_loads(peer.ip)
        self._peer_loads[peer.ip] = _PeerLoads(
            now_s, peer.incarnation, peer.heartbeat_count, table
        )
        for tag, row in table.items():
            self._add_to_sums(tag, row, 1)

    def _add_to_sums(self, tag: int, row: LoadRow, count: int) -> None:
        """Add a report's loads on an upstream to the sums, or subtract them (-1)."""
        requests, prefill_ms, memory_tokens, queued_ms = row
        sums = self._peer_sums.get(tag, (0, 0, 0, 0, 0))
        reports = sums[4] + count
        if reports == 0:
            del self._peer_sums[tag]
            return
        self._peer_sums[tag] = (
            sums[0] + count * requests,
            sums[1] + count * prefill_ms,
            sums[2] + count * memory_tokens,
            sums[3] + count * queued_ms,
            reports,
        )

    def list_peer_loads(self, ips: Iterable[str]) -> dict[str, LoadTable]:
        """Return the stored loads of processes of the region, also empty ones."""
        return {ip: self._peer_loads[ip].table for ip in ips if ip in self._peer_loads}

    def store_region_report(
        self,
        region: str,
        candidates: dict[str, list[Candidate]],
        segments: list[str],
        now_s: float,
    ) -> None:
        """Store another region's report of its candidates and cached segments."""
        network_ms = self.network.find_ms(region, now_s)
        self._region_reports[region] = (
            now_s,
            {
                service: [replace(each, network_ms=network_ms) for each in found]
                for service, found in candidates.items()
            },
        )
        known = self._region_segments.setdefault(region, RecentPrefixes())
        known.record_uses(segments, now_s)

    def find_region_report(
        self, region: str, now_s: float
    ) -> tuple[dict[str, list[Candidate]], list[str]]:
        """Return a region's candidates and its last segments, to pass them on."""
        _, candidates = self._region_reports.get(region, (0.0, {}))
        known = self._region_segments.get(region, RecentPrefixes())
        return candidates, known.list_newest(MAX_REGION_SEGMENTS, now_s)

    def sum_region_load(self, upstream_id: str, now_s: float) -> Load:
        """Return the region's total load on an upstream, as far as reported."""
        self._drop_old_loads(now_s)
        listed = self._upstreams.find(upstream_id)
        usage = listed.usage
        peers = self._peer_sums.get(make_load_tag(listed.upstream), (0, 0, 0, 0))
        return (
            usage.requests + peers[0],
            usage.prefill_ms + peers[1],
            usage.memory_tokens + peers[2],
            usage.queued_ms + peers[3],
        )

    def filter_room(
        self, candidates: list[Candidate], service: str, members: Members, now_s: float
    ) -> list[Candidate]:
        """Return the candidates that are not brittle, or have a place for a request."""
        found = [
            each for each in candidates if self.has_room(each, service, members, now_s)
        ]
        local = any(each.region == self._own_region for each in candidates)
        if local and not any(each.region == self._own_region for each in found):
            self.brittle.record_full(service, now_s)
        return found

    def has_long_queue(self, service: str, now_s: float) -> bool:
        """Return whether as many requests wait for brittle upstreams as run there."""
        if not self.brittle.is_full(service, now_s):
            return False
        waiting = self.brittle.waiting[service]
        return waiting >= MIN_WAITING and waiting >= self.brittle.relayed[
            service
        ] + sum(
            listed.usage.requests
            for listed in self._upstreams.list_usable(service, now_s)
        )

    def find_senders(
        self, service: str, members: Members, region: str, now_s: float
    ) -> Senders | None:
        """Return the VMs of a region that send to a service, None if all do.

        Only those of a service that is brittle are limited.
        """
        if self.brittle.find(service, None, now_s) is None:
            return None
        found_s, senders = self._senders.get((service, region), (-VIEW_S, None))
        if 0 <= now_s - found_s < VIEW_S:
            return senders
        slots = sum(
            max(listed.upstream.slots, 1)
            for listed in self._upstreams.list_usable(service, now_s)
            if members.regions.get(listed.upstream.data_centre) == region
        )
        serving = members.list_with_way(now_s, region, service)
        senders = choose_senders([each.ip for each in serving], service, slots)
        self._senders[service, region] = now_s, senders
        return senders

    def relay_to_senders(
        self, candidates: list[Candidate], service: str, members: Members, now_s: float
    ) -> list[Candidate]:
        """Return this region's candidates as relayed ones if others send to them.

        Cold ones are left to those that pace the requests to them.
        """
        senders = self.find_senders(service, members, self._own_region, now_s)
        if senders is None or members.me.ip in senders.ips:
            return candidates
        return [
            each
            if each.is_reserve
            else replace(each, is_relayed=True, network_ms=RELAYED_MS)
            for each in candidates
        ]

    def count_rivals(self, service: str, members: Members, now_s: float) -> int:
        """Return how many VMs may take places at a brittle service, with this one."""
        vms = members.count_recent(now_s, self._own_region)
        senders = self.find_senders(service, members, self._own_region, now_s)
        if senders is None or members.me.ip not in senders.ips:
            return vms
        # Those that have fallen silent may still send.
        silent_vms = vms - 1 - len(members.list_alive(now_s, self._own_region))
        return len(senders.ips) + max(silent_vms, 0)

    def has_room(
        self, candidate: Candidate, service: str, members: Members, now_s: float
    ) -> bool:
        """Return whether a candidate is not brittle, or has a place for a request."""
        listed = None
        if candidate.region == self._own_region:
            listed = self._upstreams.find(candidate.upstream_id)
        places = None if listed is None else listed.usage.brittle
        number = self.brittle.find(service, places, now_s)
        if number is None:
            return True
        if places is None:
            return candidate.requests < candidate.slots
        senders = self.find_senders(service, members, self._own_region, now_s)
        if candidate.is_relayed:
            if candidate.requests < candidate.slots:
                return True
            if senders is None:
                return False
            everyone = self.brittle.compare(members, now_s)
            limit = count_relayed(senders.slots, everyone)
            return self.brittle.relayed[service] < limit
        own = listed.usage.requests
        peers = candidate.requests - own
        demand = Demand(max(candidate.slots, 1), own, peers, number)
        if senders is not None and members.me.ip not in senders.ips:
            # It can't be relayed, so this VM takes its part among all.
            senders = None
        contention = self.brittle.compare(members, now_s, service, senders)
        return places.may_send(demand, contention, now_s, random.random)

    def _drop_old_loads(self, now_s: float) -> None:
        while self._peer_loads:
            ip, reported = next(iter(self._peer_loads.items()))
            if now_s - reported.received_s <= PEER_TERM_S:
                return
            self._remove_loads(ip)

    def _remove_loads(self, ip: str) -> None:
        for tag, row in self._peer_loads.pop(ip).table.items():
            self._add_to_sums(tag, row, -1)

    def list_remote_candidates(
        self, region: str, service: str, now_s: float
    ) -> list[Candidate]:
        """Return another region's candidates, unless its report is too old.

        Requests that this process has forwarded there are added to the reported loads.
        """
        report = self._region_reports.get(region)
        if report is None or now_s - report[0] > REMOTE_PEER_TERM_S:
            return []
        candidates = report[1].get(service, [])
        forwarded = self.forwarded.get(region, 0)
        if not forwarded:
            return candidates
        forwarded_per_candidate = forwarded / max(len(candidates), 1)
        return [
            replace(
                each,
                requests=each.requests + round(forwarded_per_candidate),
                prefill_ms=each.prefill_ms
                + FORWARDED_PREFILL_MS
                * each.performance.slowness
                * forwarded_per_candidate,
            )
            for each in candidates
        ]
