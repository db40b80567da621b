"""What the entry daemon decides on, free of any wire format."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class Bounds:
    """What the operators promise their callers, from the settings."""

    stop_grace_s: float
    max_list_age_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    quota_slack_tokens: float


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Where a process sits, what it listens on and whom it may ask."""

    vm: str
    ip: str
    data_centre: str
    region: str
    regions: Mapping[str, str]
    callers_address: str
    readiness_address: str
    directory_address: str
    operators_address: str
    peers_port: int
    gossip_port: int
    first_peers: tuple[str, ...]
    platform_address: str
    memory_mb: int
    bounds: Bounds


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """What one engine of a service can hold at once."""

    slots: int
    memory_tokens: int


@dataclass(frozen=True, slots=True)
class Service:
    """A service and how its upstreams want to be treated."""

    name: str
    max_connections: int
    warmup_s: float
    cold_requests_per_s: float
    engine: EngineLimits | None


@dataclass(frozen=True, slots=True)
class Route:
    """How requests below a path prefix of a host are served."""

    name: str
    host: str
    path_prefix: str
    services: tuple[tuple[str, float], ...]
    is_stream: bool
    is_idempotent: bool
    is_resumable: bool
    is_public: bool
    timeout_ms: int
    target_ms: int
    max_attempts: int
    urgency: int
    home_regions: frozenset[str]


@dataclass(frozen=True, slots=True)
class Organisation:
    """A customer, its quota and where its requests may be served."""

    name: str
    urgency: int | None
    counts_tokens: bool
    default_cost: float
    rate_per_s: float
    burst: float
    home_regions: frozenset[str]


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may stay idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


@dataclass(frozen=True, slots=True)
class Catalogue:
    """One published version: routes, services and organisations by key digest."""

    version: int
    # By host, the longest prefix first.
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    organisations: Mapping[str, Organisation]
    organisations_by_key: Mapping[bytes, Organisation]
    limits: CallerLimits

    def list_homes(self) -> list[frozenset[str]]:
        """Return the home regions of each route that has any."""
        return [
            route.home_regions
            for routes in self.routes.values()
            for route in routes
            if route.home_regions
        ]

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path on that host."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


class UpstreamState(StrEnum):
    """Whether an upstream takes new requests."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Upstream:
    """An upstream as it was last registered."""

    upstream_id: str
    service: str
    address: str
    data_centre: str
    state: UpstreamState
    slots: int
    # How long after the registration the upstream stays cold.
    cold_ms: int
    # How long after the registration a leaving upstream goes, if it said so.
    remaining_ms: int | None
    # The start of this incarnation, by the upstream's own clock.
    started_ms: int
    revision: int


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """What is known of a prompt without reading the body."""

    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]


@dataclass(frozen=True, slots=True)
class RequestHead:
    """A caller's request without its body."""

    request_id: str
    method: str
    host: str
    path: str
    target: bytes
    key_digest: bytes | None
    deadline_ms: int | None
    prompt: Prompt | None
    last_event_id: str | None
    # Headers to pass on, without credentials and without what only we may set.
    headers: Headers = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class SendOrder:
    """What goes to an upstream beside the caller's own headers."""

    upstream_id: str | None
    organisation: str | None
    left_ms: int
    urgency: int
    last_event_id: str | None


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """An answer's status and what its headers say, decoded."""

    status: int
    request_id: str | None
    is_signed: bool
    is_encoded: bool
    is_surely_not_run: bool
    length_bytes: int | None
    # Headers that the caller gets, without those of one connection.
    headers: Headers


@dataclass(frozen=True, slots=True)
class Forwarding:
    """What one entry tells another about a request that it hands over."""

    organisation: str | None
    sender_ip: str
    left_ms: int
    max_attempts: int


@dataclass(frozen=True, slots=True)
class Listing:
    """Everything below a prefix of the published values."""

    values: Mapping[str, "Published"]
    # The revision that the listing is at least as new as.
    revision: int


@dataclass(frozen=True, slots=True)
class Published:
    """One published value."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """What changed below a prefix after a revision; no value means deleted."""

    values: tuple[tuple[str, Published | None], ...]
    revision: int
