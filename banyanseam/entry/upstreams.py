"""Loads of upstreams: from this process, its region's peers and other regions."""

from collections import deque
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Final

from banyanseam.entry.cached_prefixes import CachedPrefixes
from banyanseam.entry.const import (
    COLD_MARGIN,
    COLD_SENDERS,
    FORWARDED_PREFILL_MS,
    GOSSIP_PERIOD_S,
    MEMORY_SHARE,
    PEER_TERM_S,
    PREFIX_CACHE_MEMORY_SHARE,
    REMOTE_PEER_TERM_S,
    SUSPECT_PAUSE_S,
)
from banyanseam.entry.members import Member, Members
from banyanseam.entry.messages import LoadRow, LoadTable, make_upstream_tag
from banyanseam.entry.models import Catalogue, Prompt, Service, Upstream
from banyanseam.entry.performance.models import INITIAL_PERFORMANCE, Performance
from banyanseam.entry.performance.network import NetworkTimes
from banyanseam.entry.performance.observer import PerformanceObserver
from banyanseam.entry.placing import (
    Candidate,
    count_memory_tokens,
)
from banyanseam.entry.recent_prefixes import RecentPrefixes
from banyanseam.entry.relay_log import SegmentUse
from banyanseam.entry.upstream_list import ListedUpstream, UpstreamList
from banyanseam.peers.rendezvous import rank

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
        self, upstream_id: str, segment_id: str, tokens: int, now_s: float
    ) -> None:
        """Record that an upstream prefilled or used a shared prefix segment."""
        listed = self._upstreams.find(upstream_id)
        if listed is not None:
            memory_tokens = PREFIX_CACHE_MEMORY_SHARE * self.engine_memory_tokens
            listed.usage.cached_segments.record_use(segment_id, tokens, memory_tokens)
            self._own_segments.record_uses([segment_id], now_s)

    def record_own_segment(
        self, upstream_id: str, segment_id: str, tokens: int, now_s: float
    ) -> None:
        """Record a segment prefilled for this process, and queue it for heartbeats."""
        self.record_segment(upstream_id, segment_id, tokens, now_s)
        self._segment_uses.append((now_s, (upstream_id, segment_id, tokens)))

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

    def list_region_segments(self) -> list[str]:
        """Return the segments that this region used last, for other regions."""
        return self._own_segments.list_newest(MAX_REGION_SEGMENTS)

    def is_cached(self, segment_id: str, candidate: Candidate) -> bool:
        """Return whether a candidate probably has a segment cached."""
        listed = self._upstreams.find(candidate.upstream_id)
        if candidate.region == self._own_region:
            return listed is not None and segment_id in listed.usage.cached_segments
        # The other region itself chooses the upstream that has the segment.
        if segment_id in self._region_segments.get(candidate.region, ()):
            return True
        return segment_id in self._forwarded_segments.get(candidate.region, ())

    def list_own_loads(self) -> LoadTable:
        """Return this process's own load by tag of the upstream."""
        found = {}
        for upstream in self._upstreams.list_upstreams():
            usage = self._upstreams.find(upstream.upstream_id).usage
            if usage.requests or usage.queued_ms:
                found[make_upstream_tag(upstream.upstream_id)] = (
                    usage.requests,
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
        self, region: str
    ) -> tuple[dict[str, list[Candidate]], list[str]]:
        """Return a region's candidates and its last segments, to pass them on."""
        _, candidates = self._region_reports.get(region, (0.0, {}))
        known = self._region_segments.get(region, RecentPrefixes())
        return candidates, known.list_newest(MAX_REGION_SEGMENTS)

    def sum_region_load(self, upstream_id: str, now_s: float) -> Load:
        """Return the region's total load on an upstream, as far as reported."""
        self._drop_old_loads(now_s)
        usage = self._upstreams.find(upstream_id).usage
        peers = self._peer_sums.get(make_upstream_tag(upstream_id), (0, 0, 0, 0))
        return (
            usage.requests + peers[0],
            usage.prefill_ms + peers[1],
            usage.memory_tokens + peers[2],
            usage.queued_ms + peers[3],
        )

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


@contextmanager
def count_request(
    listed: ListedUpstream, prompt: Prompt | None, prefill_ms: float
) -> Iterator[list[float]]:
    """Count a request and its prefill time at an upstream while it runs there.

    Yield a one-element list with the prefill time that is still counted, which
    `mark_prefilled` sets to 0.
    """
    usage = listed.usage
    memory_tokens = count_memory_tokens(prompt)
    usage.requests += 1
    usage.prefill_ms += prefill_ms
    usage.memory_tokens += memory_tokens
    pending_prefill_ms = [prefill_ms]
    try:
        yield pending_prefill_ms
    finally:
        usage.requests -= 1
        usage.prefill_ms -= pending_prefill_ms[0]
        usage.memory_tokens -= memory_tokens


@contextmanager
def count_waiting_prompt(listed: ListedUpstream, queued_ms: float) -> Iterator[None]:
    """Count a long prompt's prefill time as waiting while the context is open."""
    listed.usage.queued_ms += queued_ms
    try:
        yield
    finally:
        listed.usage.queued_ms -= queued_ms


def mark_prefilled(listed: ListedUpstream, pending_prefill_ms: list[float]) -> None:
    """Stop counting a prompt's prefill time, once its first token has arrived."""
    listed.usage.prefill_ms -= pending_prefill_ms[0]
    pending_prefill_ms[0] = 0.0


def choose_cold_pause_s(requests_per_s: float) -> float:
    """Return the pause between two requests of one process to a cold upstream.

    Without a configured rate, only suspected upstreams are paced.
    """
    if requests_per_s <= 0:
        return SUSPECT_PAUSE_S
    return COLD_MARGIN * COLD_SENDERS / requests_per_s


def may_send_cold(
    listed: ListedUpstream, members: Members, pause_s: float, now_s: float
) -> bool:
    """Return whether this process may send one request to a cold upstream now.

    Only a few processes of a region send to it, each at its own pace, so that together
    they stay within the upstream's limit without coordination.
    """
    me = members.me
    serving = [member.ip for member in members.list_serving(now_s, me.region)]
    if me.ip not in serving:
        serving.append(me.ip)
    senders = rank(serving, listed.upstream.upstream_id)[:COLD_SENDERS]
    return me.ip in senders and now_s - listed.usage.cold_sent_s >= pause_s


def find_next_send_s(
    service_name: str, upstreams: UpstreamList, members: Members, now_s: float
) -> float | None:
    """Return how long all upstreams of this region take no request from this process.

    Return None if there are none, or if one does not pace its requests.
    """
    waits_s = [
        listed.usage.pace.wait_s(now_s)
        for listed in upstreams.list_usable(service_name, now_s)
        if _find_region(listed.upstream.data_centre, members) == members.me.region
    ]
    if not waits_s or min(waits_s) == 0:
        return None
    return min(waits_s)


def list_local_candidates(
    catalogue: Catalogue,
    service_name: str,
    upstreams: UpstreamList,
    loads: UpstreamLoads,
    members: Members,
    now_s: float,
) -> list[Candidate]:
    """Return this region's candidates for a service."""
    service = catalogue.services.get(service_name)
    if service is None:
        return []
    vm_count = max(1, members.count_recent(now_s, members.me.region))
    # This process's share of the connections that the service allows an upstream.
    max_requests = None
    if service.max_connections > 0:
        share = int(service.max_connections * MEMORY_SHARE / vm_count)
        max_requests = max(1, share)
    pause_s = choose_cold_pause_s(service.cold_requests_per_s)
    found = []
    for listed in upstreams.list_usable(service_name, now_s):
        upstream = listed.upstream
        if members.me.region != _find_region(upstream.data_centre, members):
            continue
        is_cold = upstreams.is_cold(listed, now_s)
        has_limit = service.cold_requests_per_s > 0 or (
            now_s < listed.usage.suspected_until_s
        )
        is_paced = is_cold and has_limit
        if is_paced and not may_send_cold(listed, members, pause_s, now_s):
            continue
        if max_requests is not None and listed.usage.requests >= max_requests:
            continue
        if listed.usage.pace.wait_s(now_s) > 0:
            continue
        requests, prefill_ms, held_tokens, queued_ms = loads.sum_region_load(
            upstream.upstream_id, now_s
        )
        engine = service.engine
        found.append(
            Candidate(
                upstream_id=upstream.upstream_id,
                region=members.me.region,
                slots=engine.slots if engine is not None else upstream.slots,
                memory_tokens=engine.memory_tokens if engine is not None else 0,
                requests=requests,
                prefill_ms=prefill_ms,
                held_tokens=held_tokens,
                queued_ms=queued_ms,
                is_reserve=is_cold,
                performance=_find_performance(loads, service, upstream),
            )
        )
    return found


def _find_performance(
    loads: UpstreamLoads, service: Service, upstream: Upstream
) -> Performance:
    """Return what waits are estimated with: of engines, what was observed."""
    if service.engine is None:
        # Its calls are observed for operators only: under load they wait at upstreams
        # for others that no report includes, which looks like slow calls.
        return INITIAL_PERFORMANCE
    return loads.performance.find(make_upstream_tag(upstream.upstream_id))


def _find_region(data_centre: str, members: Members) -> str:
    return members.regions.get(data_centre, "")
