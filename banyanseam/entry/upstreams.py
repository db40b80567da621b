"""What is held at upstreams: by this process, by its region's others, elsewhere."""

from collections.abc import Iterator
from contextlib import contextmanager

from banyanseam.entry.const import (
    COLD_PAUSE_S,
    COLD_SENDERS,
    MEMORY_SHARE,
    PEER_TERM_S,
    REMOTE_PEER_TERM_S,
)
from banyanseam.entry.members import Members
from banyanseam.entry.models import Catalogue, Prompt
from banyanseam.entry.placing import (
    Candidate,
    count_memory_tokens,
    count_prefill_tokens,
)
from banyanseam.entry.upstream_list import Tracked, UpstreamList
from banyanseam.peers.rendezvous import rank

Load = tuple[int, int, int]


class Loads:
    """Requests, prompt tokens to be read and memory held, by upstream."""

    def __init__(self, upstreams: UpstreamList) -> None:
        """Know of no load but this process's own, which the list keeps."""
        self._upstreams = upstreams
        self._heard: dict[str, tuple[float, dict[str, Load]]] = {}
        self._regions: dict[str, tuple[float, dict[str, list[Candidate]]]] = {}
        # Requests that this process has forwarded and that still run, by region.
        self.forwarded: dict[str, int] = {}

    def list_own(self) -> dict[str, Load]:
        """Return what this process holds at each upstream."""
        found = {}
        for upstream in self._upstreams.list_upstreams():
            usage = self._upstreams.find(upstream.upstream_id).usage
            if usage.requests:
                found[upstream.upstream_id] = (
                    usage.requests,
                    usage.prefill_tokens,
                    usage.memory_tokens,
                )
        return found

    def hear(self, ip: str, loads: dict[str, Load], now_s: float) -> None:
        """Take what another process of the region holds."""
        self._heard[ip] = (now_s, loads)

    def hear_region(
        self, region: str, candidates: dict[str, list[Candidate]], now_s: float
    ) -> None:
        """Take what another region says of its upstreams."""
        self._regions[region] = (now_s, candidates)

    def sum_region(self, upstream_id: str, now_s: float) -> Load:
        """Return what all of the region are known to hold at an upstream."""
        usage = self._upstreams.find(upstream_id).usage
        sums = [usage.requests, usage.prefill_tokens, usage.memory_tokens]
        for heard_s, loads in self._heard.values():
            if now_s - heard_s <= PEER_TERM_S and upstream_id in loads:
                for index, part in enumerate(loads[upstream_id]):
                    sums[index] += part
        return tuple(sums)

    def list_remote(self, region: str, service: str, now_s: float) -> list[Candidate]:
        """Return another region's candidates, unless the word is too old."""
        heard = self._regions.get(region)
        if heard is None or now_s - heard[0] > REMOTE_PEER_TERM_S:
            return []
        return heard[1].get(service, [])


@contextmanager
def hold(tracked: Tracked, prompt: Prompt | None, *, is_kept: bool) -> Iterator[None]:
    """Count a request at an upstream while it runs there."""
    usage = tracked.usage
    prefill_tokens = count_prefill_tokens(prompt, is_kept=is_kept)
    memory_tokens = count_memory_tokens(prompt)
    usage.requests += 1
    usage.prefill_tokens += prefill_tokens
    usage.memory_tokens += memory_tokens
    reading = [prefill_tokens]
    try:
        yield reading
    finally:
        usage.requests -= 1
        usage.prefill_tokens -= reading[0]
        usage.memory_tokens -= memory_tokens


def note_read(tracked: Tracked, reading: list[int]) -> None:
    """Count a prompt as read, once its first token has come."""
    tracked.usage.prefill_tokens -= reading[0]
    reading[0] = 0


def may_send_cold(tracked: Tracked, members: Members, now_s: float) -> bool:
    """Say whether this process may send one request to a cold upstream now.

    Only a few processes of a region send to it at all, each at its own pace, so that
    all together keep to the upstream's limit without a word between them.
    """
    me = members.me
    serving = [member.ip for member in members.list_serving(now_s, me.region)]
    if me.ip not in serving:
        serving.append(me.ip)
    senders = rank(serving, tracked.upstream.upstream_id)[:COLD_SENDERS]
    return me.ip in senders and now_s - tracked.usage.cold_sent_s >= COLD_PAUSE_S


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
    found = []
    for tracked in upstreams.list_usable(service_name, now_s):
        upstream = tracked.upstream
        if members.me.region != _find_region(upstream.data_centre, members):
            continue
        is_cold = upstreams.is_cold(tracked, now_s)
        is_limited = service.cold_requests_per_s > 0 or (
            now_s < tracked.usage.doubted_until_s
        )
        if is_cold and is_limited and not may_send_cold(tracked, members, now_s):
            continue
        if cap is not None and tracked.usage.requests >= cap:
            continue
        requests, prefill_tokens, held_tokens = loads.sum_region(
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
                prefill_tokens=prefill_tokens,
                held_tokens=held_tokens,
                is_reserve=is_cold,
            )
        )
    return found


def _find_region(data_centre: str, members: Members) -> str:
    return members.regions.get(data_centre, "")
