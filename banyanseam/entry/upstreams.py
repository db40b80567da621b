"""What is held at upstreams: by this process, by its region's others, elsewhere."""

from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
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
from banyanseam.entry.members import Members
from banyanseam.entry.models import Catalogue, Prompt
from banyanseam.entry.placing import (
    Candidate,
    count_memory_tokens,
    estimate_prefill_ms,
)
from banyanseam.entry.upstream_list import Tracked, UpstreamList
from banyanseam.peers.rendezvous import rank

Load = tuple[int, float, int, float]
# An upstream, a part and the part's tokens.
PartUse = tuple[str, str, int]

# Bounds of what heartbeats carry of shared parts.
MAX_PART_USES: Final = 64
MAX_REGION_PARTS: Final = 64


class Loads:
    """Requests, time to read their prompts and memory held, by upstream."""

    def __init__(self, upstreams: UpstreamList, own_region: str) -> None:
        """Know of no load but this process's own, which the list keeps."""
        self._upstreams = upstreams
        self._own_region = own_region
        # The memory of an engine; the configuration tells it.
        self.engine_memory_tokens = 0
        self._heard: dict[str, tuple[float, dict[str, Load]]] = {}
        self._regions: dict[str, tuple[float, dict[str, list[Candidate]]]] = {}
        self._region_parts: dict[str, set[str]] = {}
        # When this process itself last heard another region.
        self._direct: dict[str, float] = {}
        # Parts that this process had read lately, for the others of its region.
        self._part_uses: deque[tuple[float, PartUse]] = deque(maxlen=MAX_PART_USES)
        # What this process has forwarded and what still runs of it, by region.
        self.forwarded: dict[str, int] = {}
        self._forwarded_parts: dict[str, CachedPrefixes] = {}

    def note_part(self, upstream_id: str, part_id: str, tokens: int) -> None:
        """Count a shared part as read or used at an upstream."""
        tracked = self._upstreams.find(upstream_id)
        if tracked is not None:
            memory_tokens = PREFIX_CACHE_MEMORY_SHARE * self.engine_memory_tokens
            tracked.usage.parts.record_use(part_id, tokens, memory_tokens)

    def note_own_part(
        self, upstream_id: str, part_id: str, tokens: int, now_s: float
    ) -> None:
        """Count a part that this process had read, and pass it on."""
        self.note_part(upstream_id, part_id, tokens)
        self._part_uses.append((now_s, (upstream_id, part_id, tokens)))

    def note_forwarded_part(self, region: str, part_id: str, tokens: int) -> None:
        """Count a part that another region has read for this process."""
        parts = self._forwarded_parts.setdefault(region, CachedPrefixes())
        parts.record_use(
            part_id, tokens, PREFIX_CACHE_MEMORY_SHARE * self.engine_memory_tokens
        )

    def list_part_uses(self, now_s: float) -> list[PartUse]:
        """Return the parts that the region should hear of; each is said twice."""
        return [
            use
            for used_s, use in self._part_uses
            if now_s - used_s <= 2 * GOSSIP_PERIOD_S
        ]

    def list_region_parts(self) -> list[str]:
        """Return the parts that this region's upstreams keep, for other regions."""
        found: dict[str, None] = {}
        for upstream in self._upstreams.list_upstreams():
            parts = self._upstreams.find(upstream.upstream_id).usage.parts
            found.update(dict.fromkeys(parts.list_newest(MAX_REGION_PARTS)))
        return list(found)[:MAX_REGION_PARTS]

    def is_kept(self, part_id: str, candidate: Candidate) -> bool:
        """Say whether a candidate is believed to keep a part."""
        tracked = self._upstreams.find(candidate.upstream_id)
        if candidate.region == self._own_region:
            return tracked is not None and part_id in tracked.usage.parts
        # Which of its upstreams has it, the other region finds out.
        if part_id in self._region_parts.get(candidate.region, ()):
            return True
        return part_id in self._forwarded_parts.get(candidate.region, ())

    def list_own(self) -> dict[str, Load]:
        """Return what this process holds at each upstream."""
        found = {}
        for upstream in self._upstreams.list_upstreams():
            usage = self._upstreams.find(upstream.upstream_id).usage
            if usage.requests or usage.queued_ms:
                found[upstream.upstream_id] = (
                    usage.requests,
                    round(usage.prefill_ms),
                    usage.memory_tokens,
                    round(usage.queued_ms),
                )
        return found

    def receive(self, ip: str, loads: dict[str, Load], now_s: float) -> None:
        """Take what another process of the region holds."""
        self._heard[ip] = (now_s, loads)

    def hear_region(
        self,
        region: str,
        candidates: dict[str, list[Candidate]],
        parts: list[str],
        now_s: float,
        *,
        is_relayed: bool = False,
    ) -> None:
        """Take what another region says of its upstreams and of what they keep."""
        if not is_relayed:
            self._direct[region] = now_s
        self._regions[region] = (now_s, candidates)
        self._region_parts[region] = set(parts)

    def list_just_heard(
        self, now_s: float, window_s: float
    ) -> dict[str, tuple[dict[str, list[Candidate]], set[str]]]:
        """Return what other regions have said to this process within a time."""
        return {
            region: (candidates, self._region_parts.get(region, set()))
            for region, (_, candidates) in self._regions.items()
            if now_s - self._direct.get(region, -1e9) <= window_s
        }

    def sum_region(self, upstream_id: str, now_s: float) -> Load:
        """Return what all of the region are known to hold at an upstream."""
        usage = self._upstreams.find(upstream_id).usage
        sums = [
            usage.requests,
            usage.prefill_ms,
            usage.memory_tokens,
            usage.queued_ms,
        ]
        for heard_s, loads in self._heard.values():
            if now_s - heard_s <= PEER_TERM_S and upstream_id in loads:
                for index, part in enumerate(loads[upstream_id]):
                    sums[index] += part
        return tuple(sums)

    def list_remote(self, region: str, service: str, now_s: float) -> list[Candidate]:
        """Return another region's candidates, unless the word is too old.

        What this process has forwarded there itself is added to what was said.
        """
        heard = self._regions.get(region)
        if heard is None or now_s - heard[0] > REMOTE_PEER_TERM_S:
            return []
        candidates = heard[1].get(service, [])
        share = self.forwarded.get(region, 0) / max(len(candidates), 1)
        return [
            replace(
                each,
                requests=each.requests + round(share),
                prefill_ms=each.prefill_ms + FORWARDED_PREFILL_MS * share,
            )
            for each in candidates
        ]


@contextmanager
def hold(
    tracked: Tracked, prompt: Prompt | None, *, is_kept: bool
) -> Iterator[list[float]]:
    """Count a request at an upstream while it runs there."""
    usage = tracked.usage
    prefill_ms = estimate_prefill_ms(prompt, is_kept=is_kept)
    memory_tokens = count_memory_tokens(prompt)
    usage.requests += 1
    usage.prefill_ms += prefill_ms
    usage.memory_tokens += memory_tokens
    reading = [prefill_ms]
    try:
        yield reading
    finally:
        usage.requests -= 1
        usage.prefill_ms -= reading[0]
        usage.memory_tokens -= memory_tokens


@contextmanager
def queue(tracked: Tracked, prompt: Prompt | None, *, is_kept: bool) -> Iterator[None]:
    """Count a long prompt as held back for an upstream while the context is open."""
    queued_ms = estimate_prefill_ms(prompt, is_kept=is_kept)
    tracked.usage.queued_ms += queued_ms
    try:
        yield
    finally:
        tracked.usage.queued_ms -= queued_ms


def note_read(tracked: Tracked, reading: list[float]) -> None:
    """Count a prompt as read, once its first token has come."""
    tracked.usage.prefill_ms -= reading[0]
    reading[0] = 0.0


def choose_cold_pause_s(requests_per_s: float) -> float:
    """Return the pause between two requests of one process to a cold upstream.

    The upstreams of a service without a rate of its own are only in doubt.
    """
    if requests_per_s <= 0:
        return SUSPECT_PAUSE_S
    return COLD_MARGIN * COLD_SENDERS / requests_per_s


def may_send_cold(
    tracked: Tracked, members: Members, pause_s: float, now_s: float
) -> bool:
    """Say whether this process may send one request to a cold upstream now.

    Only a few processes of a region send to it at all, each at its own pace, so that
    all together keep to the upstream's limit without a word between them.
    """
    me = members.me
    serving = [member.ip for member in members.list_serving(now_s, me.region)]
    if me.ip not in serving:
        serving.append(me.ip)
    senders = rank(serving, tracked.upstream.upstream_id)[:COLD_SENDERS]
    return me.ip in senders and now_s - tracked.usage.cold_sent_s >= pause_s


def list_local(
    catalogue: Catalogue,
    service_name: str,
    upstreams: UpstreamList,
    loads: Loads,
    members: Members,
    now_s: float,
) -> list[Candidate]:
    """Return this region's candidates for a service."""
    service = catalogue.services.get(service_name)
    if service is None:
        return []
    vms = max(1, members.count_recent(now_s, members.me.region))
    cap = int(service.max_connections * MEMORY_SHARE / vms) or None
    pause_s = choose_cold_pause_s(service.cold_requests_per_s)
    found = []
    for tracked in upstreams.list_usable(service_name, now_s):
        upstream = tracked.upstream
        if members.me.region != _find_region(upstream.data_centre, members):
            continue
        is_cold = upstreams.is_cold(tracked, now_s)
        is_limited = service.cold_requests_per_s > 0 or (
            now_s < tracked.usage.doubted_until_s
        )
        is_paced = is_cold and is_limited
        if is_paced and not may_send_cold(tracked, members, pause_s, now_s):
            continue
        if cap is not None and tracked.usage.requests >= cap:
            continue
        requests, prefill_ms, held_tokens, queued_ms = loads.sum_region(
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
            )
        )
    return found


def _find_region(data_centre: str, members: Members) -> str:
    return members.regions.get(data_centre, "")
