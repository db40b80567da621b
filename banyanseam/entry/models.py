"""Data models of the entry daemon, independent of any wire format."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final, NamedTuple

from banyanseam.entry.scarcity.ranks import rank_urgencies

Headers = list[tuple[bytes, bytes]]

# Few prompts are much longer.
LONG_PROMPT_TOKENS: Final = 8192


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits from the settings that the operators guarantee to their callers."""

    stop_grace_s: float
    max_list_age_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    quota_slack_tokens: float
    # In any such period, spending may exceed a quota by this share of it.
    quota_period_s: float = 0.0
    quota_excess_share: float = 0.0


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Location, addresses, peers and limits of one entry process."""

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
    # Sockets that the process may have open; None if only the system limits them.
    max_sockets: int | None = None
    # Whether no process of the fleet has ever run before.
    is_first_start: bool = True


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """Request slots and memory of one engine of a service."""

    slots: int
    memory_tokens: int

    @property
    def holds_full_batch(self) -> bool:
        """Return whether its memory has room for long prompts in all slots."""
        return self.memory_tokens >= LONG_PROMPT_TOKENS * self.slots


@dataclass(frozen=True, slots=True)
class Service:
    """A service with the connection and cold start limits of its upstreams."""

    name: str
    max_connections: int
    warmup_s: float
    cold_requests_per_s: float
    engine: EngineLimits | None
    # Answers whether an upstream is healthy, without running a request.
    health_path: str = "/"


@dataclass(frozen=True, slots=True)
class Route:
    """Rules for requests whose path starts with a prefix on a host."""

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
    # The longest pause between two events of a stream that still counts as in time.
    max_pause_ms: float
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
    """Size and time limits of callers' requests, and the idle timeout."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


@dataclass(frozen=True, slots=True)
class Catalogue:
    """One version of the published configuration; organisations also by key digest."""

    version: int
    # By host, the longest prefix first.
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    organisations: Mapping[str, Organisation]
    organisations_by_key: Mapping[bytes, Organisation]
    limits: CallerLimits
    # Ranks by the urgencies of an organisation and of a route.
    _ranks: Mapping[tuple[int | None, int], int] = field(init=False, repr=False)
    # The shortest target of a service's routes of each urgency.
    _targets_ms: Mapping[str, Mapping[int, int]] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        """Derive what each request would have to look up in all routes."""
        routes = [route for each in self.routes.values() for route in each]
        organisations = {each.urgency for each in self.organisations.values()}
        ranks = rank_urgencies(organisations, {route.urgency for route in routes})
        object.__setattr__(self, "_ranks", ranks)
        targets_ms: dict[str, dict[int, int]] = {}
        for route in routes:
            for service, _ in route.services:
                found = targets_ms.setdefault(service, {})
                target_ms = found.get(route.urgency, route.target_ms)
                found[route.urgency] = min(target_ms, route.target_ms)
        object.__setattr__(self, "_targets_ms", targets_ms)

    def find_rank(
        self, organisation: Organisation | None, route: Route, service: str
    ) -> int:
        """Return the rank that engines of a service give a request; 0 is served first.

        Engines that run out of memory stop running prompts of the lowest rank and read
        them again later, so there the organisation's urgency alone decides.
        """
        urgency = None if organisation is None else organisation.urgency
        if self._goes_by_route(service):
            return self._ranks[urgency, route.urgency]
        return route.urgency if urgency is None else urgency

    def _goes_by_route(self, service: str) -> bool:
        found = self.services.get(service)
        return (
            found is not None
            and found.engine is not None
            and found.engine.holds_full_batch
        )

    def find_urgent_target_ms(self, service: str, route: Route) -> float | None:
        """Return the shortest target of the service's more urgent routes, if any.

        None also for engines whose memory limits what they get before their slots do.
        """
        if not self._goes_by_route(service):
            return None
        found = self._targets_ms.get(service, {})
        return min(
            (
                target_ms
                for urgency, target_ms in found.items()
                if urgency < route.urgency
            ),
            default=None,
        )

    def list_home_regions(self) -> list[frozenset[str]]:
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
    """Whether an upstream accepts new requests."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The incarnation of an upstream that brought the first event of a stream.

    `upstream_id` is empty if only the software is known, and `software` is None if it
    is not.
    """

    service: str
    software: str | None
    upstream_id: str = ""
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class Upstream:
    """The last registration of an upstream."""

    upstream_id: str
    service: str
    address: str
    data_centre: str
    state: UpstreamState
    slots: int
    # Time from the registration until the upstream is no longer cold.
    cold_ms: int
    # Time from the registration until a leaving upstream stops, if it announced one.
    remaining_ms: int | None
    # Start time of this incarnation, by the upstream's own clock.
    started_ms: int
    revision: int
    # Version of its software; None if it isn't known.
    software: str | None = None

    @property
    def origin(self) -> StreamOrigin:
        """Return the origin of the streams that this incarnation begins."""
        return StreamOrigin(
            self.service, self.software, self.upstream_id, self.started_ms
        )


@dataclass(frozen=True, slots=True)
class PrefixSegment:
    """A prefix segment of a prompt that other requests may share."""

    segment_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """Prompt size and segments from the headers, without parsing the body."""

    prompt_tokens: int
    max_output_tokens: int
    segments: tuple[PrefixSegment, ...]


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
    # The id of the request that brought the first event, if a stream is to go on.
    begun_as: str | None = None
    # Headers to forward, without credentials and headers that only gateways may set.
    headers: Headers = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class SendMetadata:
    """Values sent to an upstream in addition to the caller's own headers."""

    upstream_id: str | None
    organisation: str | None
    left_ms: int
    urgency: int
    last_event_id: str | None


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and decoded headers of an answer."""

    status: int
    request_id: str | None
    is_signed: bool
    is_encoded: bool
    is_surely_not_run: bool
    # Whether the upstream is leaving, and how long it wants no requests from this VM.
    is_leaving: bool
    pause_s: float
    # Requests a second that the upstream takes from all VMs together, if it says so.
    limit_per_s: float | None
    # Refusals a second for want of room that it just survives, if it says so.
    brittle_per_s: int | None
    length_bytes: int | None
    # False if the answer ends with its connection.
    is_framed: bool
    # Headers for the caller, without hop-by-hop headers.
    headers: Headers


@dataclass(frozen=True, slots=True)
class Forwarding:
    """Values that an entry daemon sends to a peer with a forwarded request."""

    organisation: str | None
    sender_ip: str
    left_ms: int
    max_attempts: int
    # Version by which the sender has admitted the request.
    config_version: int
    # Digest of the caller's key; None without a key or from an older release.
    key_digest: bytes | None
    # Whether the sender tries a request that may crash upstreams.
    is_trial: bool = False
    # Where the stream began that is to go on.
    origin: StreamOrigin | None = None


class StorePosition(NamedTuple):
    """A revision of the store, and the era in which the store gave it out.

    A store that was restored from a copy gives out revisions again, in a later era.
    """

    era: int
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """All published values below a key prefix."""

    values: Mapping[str, "PublishedValue"]
    # The listing includes all changes up to this revision.
    revision: int
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Return the revision within its era."""
        return StorePosition(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class PublishedValue:
    """A published value with its key and the revision of its last change."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class ValueChanges:
    """Changes below a key prefix after a revision; None marks a deleted value."""

    values: tuple[tuple[str, PublishedValue | None], ...]
    revision: int
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Return the revision within its era."""
        return StorePosition(self.era, self.revision)
