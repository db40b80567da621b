"""List this region's candidates for a service, and pace requests to cold upstreams."""

from banyanseam.entry.const import (
    COLD_MARGIN,
    COLD_SENDERS,
    MEMORY_SHARE,
    ROUND_TRIP_MS,
    SUSPECT_PAUSE_S,
)
from banyanseam.entry.listed_upstream import ListedUpstream
from banyanseam.entry.members import Members
from banyanseam.entry.messages import make_upstream_tag
from banyanseam.entry.models import Catalogue, Service, Upstream
from banyanseam.entry.performance.models import INITIAL_PERFORMANCE, Performance
from banyanseam.entry.placing import Candidate
from banyanseam.entry.unreached.const import RELAYED_MS
from banyanseam.entry.unreached.records import UnreachedUpstreams
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.upstreams import UpstreamLoads
from banyanseam.peers.rendezvous import rank


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
    if members.me.ip not in list_cold_senders(listed, members, now_s):
        return False
    return now_s - listed.usage.cold_sent_s >= pause_s


def list_cold_senders(
    listed: ListedUpstream, members: Members, now_s: float
) -> list[str]:
    """Return the processes of this region that may send to a cold upstream."""
    me = members.me
    service = listed.upstream.service
    serving = members.list_serving(now_s, me.region)
    # While it leaves, this process still serves callers with old lists. Before it
    # begins to serve, it doesn't know who else sends, and so doesn't count itself.
    if me.is_accepting and all(member.ip != me.ip for member in serving):
        serving.append(me)
    # If all have lost their way to the service, the upstream itself is in question.
    with_way = [each for each in serving if members.has_way(each, service)] or serving
    senders = [member.ip for member in with_way]
    return rank(senders, listed.upstream.upstream_id)[:COLD_SENDERS]


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
    unreached: UnreachedUpstreams | None = None,
) -> list[Candidate]:
    """Return this region's candidates for a service.

    Upstreams in `unreached` are candidates only as relayed ones.
    """
    service = catalogue.services.get(service_name)
    if service is None:
        return []
    has_cold_rate = service.cold_requests_per_s > 0
    if has_cold_rate and upstreams.is_list_outdated(now_s):
        return []
    # This process's share of the connections that the service allows an upstream.
    max_requests = None
    if service.max_connections > 0:
        senders = members.count_senders(now_s, service_name)
        max_requests = max(1, int(service.max_connections * MEMORY_SHARE / senders))
    pause_s = choose_cold_pause_s(service.cold_requests_per_s)
    relays, unreached_by_all = [], frozenset()
    if unreached is not None and unreached.count_unreached(service_name):
        relays = members.list_relays(now_s, service_name)
        unreached_by_all = members.unreached.list_unreached_by_all(relays)
    found = []
    for listed in upstreams.list_usable(service_name, now_s):
        upstream = listed.upstream
        if members.me.region != _find_region(upstream.data_centre, members):
            continue
        if unreached is not None and unreached.is_unreached(upstream):
            tag = make_upstream_tag(upstream.upstream_id)
            is_down = upstreams.starts.is_known_down(upstream)
            if relays and not is_down and tag not in unreached_by_all:
                is_cold = now_s < listed.cold_until_s
                found.append(
                    _make_candidate(
                        listed,
                        service,
                        loads,
                        members,
                        now_s,
                        is_reserve=is_cold,
                        is_relayed=True,
                    )
                )
            continue
        if upstreams.starts.is_held(upstream):
            continue
        is_cold = upstreams.is_cold(listed, now_s)
        has_limit = has_cold_rate or now_s < listed.usage.suspected_until_s
        is_paced = is_cold and has_limit
        if is_paced and not may_send_cold(listed, members, pause_s, now_s):
            continue
        if max_requests is not None and listed.usage.requests >= max_requests:
            continue
        if listed.usage.pace.wait_s(now_s) > 0:
            continue
        found.append(
            _make_candidate(listed, service, loads, members, now_s, is_reserve=is_cold)
        )
    return found


def _make_candidate(
    listed: ListedUpstream,
    service: Service,
    loads: UpstreamLoads,
    members: Members,
    now_s: float,
    *,
    is_reserve: bool,
    is_relayed: bool = False,
) -> Candidate:
    upstream, engine = listed.upstream, service.engine
    requests, prefill_ms, held_tokens, queued_ms = loads.sum_region_load(
        upstream.upstream_id, now_s
    )
    return Candidate(
        upstream_id=upstream.upstream_id,
        region=members.me.region,
        slots=engine.slots if engine is not None else upstream.slots,
        memory_tokens=engine.memory_tokens if engine is not None else 0,
        requests=requests,
        prefill_ms=prefill_ms,
        held_tokens=held_tokens,
        queued_ms=queued_ms,
        is_reserve=is_reserve,
        performance=_find_performance(loads, service, upstream),
        software=upstream.software,
        network_ms=RELAYED_MS if is_relayed else ROUND_TRIP_MS,
        is_relayed=is_relayed,
    )


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
