"""Builders shared by the tests of the entry daemon."""

from typing import Any

from banyanseam.entry.exchange import Exchange
from banyanseam.entry.members import Member, Members
from banyanseam.entry.models import (
    Bounds,
    CallerLimits,
    Catalogue,
    EngineLimits,
    EntrySettings,
    Organisation,
    PrefixSegment,
    Prompt,
    RequestHead,
    Route,
    Service,
    Upstream,
    UpstreamState,
)
from banyanseam.entry.placing import Candidate

REGIONS = {"gulf-a": "gulf", "piedmont-a": "piedmont", "delta-a": "delta"}
QUERY = Prompt(383, 180, ())
BOUNDS = Bounds(
    stop_grace_s=8,
    max_list_age_s=5,
    retry_ratio=0.2,
    retry_window_s=10,
    retry_extra=58,
    quota_slack_tokens=190_000,
)


def make_settings(ip: str = "10.1.0.1", region: str = "gulf") -> EntrySettings:
    """Return the settings of a VM."""
    return EntrySettings(
        vm=ip,
        ip=ip,
        data_centre=f"{region}-a",
        region=region,
        regions=REGIONS,
        callers_address=f"{ip}:1",
        readiness_address=f"{ip}:2",
        directory_address=f"{ip}:3",
        operators_address=f"{ip}:4",
        peers_port=5,
        gossip_port=5,
        first_peers=(),
        platform_address="10.9.0.1:6",
        memory_mb=300,
        bounds=BOUNDS,
    )


def make_member(ip: str = "10.1.0.1", region: str = "gulf", **fields: Any) -> Member:
    """Return a member that is serving."""
    defaults = {
        "data_centre": f"{region}-a",
        "callers_address": f"{ip}:8000",
        "incarnation": 1,
        "heartbeat_count": 1,
        "is_serving": True,
        "is_accepting": True,
        "running": 0,
    }
    return Member(ip=ip, region=region, **(defaults | fields))


def make_members(ip: str = "10.1.0.1", region: str = "gulf") -> Members:
    """Return the membership view of a process without peers."""
    return Members(make_member(ip, region), REGIONS)


def make_organisation(name: str = "acme", **fields: Any) -> Organisation:
    """Return an organisation whose quota counts tokens."""
    defaults = {
        "urgency": None,
        "counts_tokens": True,
        "default_cost": 200,
        "rate_per_s": 1000.0,
        "burst": 1000.0,
        "home_regions": frozenset(),
    }
    return Organisation(name=name, **(defaults | fields))


def make_route(**fields: Any) -> Route:
    """Return a route for resumable streams."""
    defaults = {
        "name": "query",
        "host": "a.example",
        "path_prefix": "/query/",
        "services": (("pool", 1.0),),
        "is_stream": True,
        "is_idempotent": True,
        "is_resumable": True,
        "is_public": False,
        "timeout_ms": 4000,
        "target_ms": 800,
        "max_pause_ms": 400,
        "max_attempts": 2,
        "urgency": 0,
        "home_regions": frozenset(),
    }
    return Route(**(defaults | fields))


def make_catalogue(*routes: Route, version: int = 1, **fields: Any) -> Catalogue:
    """Return a catalogue with a pool of engines and a plain service."""
    organisation = make_organisation()
    defaults = {
        "services": {
            "pool": Service("pool", 370, 3.0, 4.5, EngineLimits(64, 294_902)),
            "desk": Service("desk", 110, 0.0, 0.0, None),
        },
        "organisations": {"acme": organisation},
        "organisations_by_key": {},
        "limits": CallerLimits(16_384, 4_194_304, 3000, 15_000),
    }
    by_host: dict[str, tuple[Route, ...]] = {}
    for route in routes or (make_route(),):
        by_host[route.host] = (*by_host.get(route.host, ()), route)
    return Catalogue(version=version, routes=by_host, **(defaults | fields))


def make_upstream(upstream_id: str = "e1", **fields: Any) -> Upstream:
    """Return a ready upstream."""
    defaults = {
        "service": "pool",
        "address": "10.9.0.1:80",
        "data_centre": "gulf-a",
        "state": UpstreamState.READY,
        "slots": 64,
        "cold_ms": 0,
        "remaining_ms": None,
        "started_ms": 1,
        "revision": 1,
        "software": "v1",
    }
    return Upstream(upstream_id=upstream_id, **(defaults | fields))


def make_candidate(
    upstream_id: str = "e1", region: str = "gulf", **fields: Any
) -> Candidate:
    """Return an idle engine as a candidate."""
    defaults = {
        "slots": 64,
        "memory_tokens": 294_902,
        "requests": 0,
        "prefill_ms": 0.0,
        "held_tokens": 0,
    }
    return Candidate(upstream_id=upstream_id, region=region, **(defaults | fields))


def make_exchange(now_s: float, **fields: Any) -> Exchange:
    """Return a short request for a resumable stream."""
    catalogue = make_catalogue()
    defaults = {
        "head": RequestHead(
            "r1", "POST", "a.example", "/query/x", b"/query/x", None, 4000, QUERY, None
        ),
        "body": b"{}",
        "received_s": now_s,
        "deadline_s": now_s + 4.0,
        "catalogue": catalogue,
        "route": catalogue.find_route("a.example", "/query/x"),
        "organisation": make_organisation(),
        "service": "pool",
        "reply": None,
    }
    return Exchange(**(defaults | fields))


def make_prompt(history: str = "h1", shared: int = 13_300, own: int = 3_720) -> Prompt:
    """Return a prompt with a shared history prefix."""
    segments = (PrefixSegment(history, shared), PrefixSegment("own", own))
    return Prompt(shared + own, 120, segments)
