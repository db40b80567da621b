"""The accepted configuration as immutable data classes, for use by all other code."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation, its fleet-wide quota and where it may be served."""

    name: str
    key_digests: tuple[bytes, ...]
    rate_tokens_per_s: float
    burst_tokens: int
    weight: float
    # Fraction of the quota by region; the fractions sum to at most 1.
    regional_parts: dict[str, float]
    # Regions that may serve it; None allows all.
    regions: frozenset[str] | None


@dataclass(frozen=True, slots=True)
class Route:
    """A path prefix and how requests below it are served."""

    name: str
    path_prefix: str
    is_model: bool
    request_class: str
    service: str | None
    deadline_ms: int
    open_to_all: bool
    idempotent_methods: frozenset[str]
    regions: frozenset[str] | None
    cost_tokens: int


@dataclass(frozen=True, slots=True)
class Seat:
    """The fixed addresses and location of a VM that runs an entry daemon."""

    name: str
    region: str
    data_centre: str
    callers_address: str
    peers_address: str


@dataclass(frozen=True, slots=True)
class DesiredModel:
    """A model that an engine should have loaded."""

    name: str
    version: int
    weight_bytes: int
    adapters: frozenset[str]


@dataclass(frozen=True, slots=True)
class Desired:
    """The models, by name, that an engine should have loaded, and its role."""

    models: dict[str, DesiredModel]
    role: str


@dataclass(frozen=True, slots=True)
class Upstream:
    """A model or service replica that requests are sent to."""

    name: str
    region: str
    data_centre: str
    is_model: bool
    serves: frozenset[str]
    address: str
    decode_tokens_per_s: float
    prefill_tokens_per_s: float
    memory_tokens: int
    max_in_flight: int
    checks_fencing: bool
    leaving: bool
    # None if the fleet doesn't manage what the engine loads (sends it no orders).
    desired: Desired | None = None


@dataclass(frozen=True, slots=True)
class Policy:
    """A site's parameters of the routing policy; every site runs the same policy."""

    remote_margin_ms: int
    remote_share_cap: float
    link_bytes_per_s: int
    queue_patience_ms: int
    retry_budget_share: float
    byte_budget: int


@dataclass(frozen=True, slots=True)
class Config:
    """One accepted configuration; each that a process adopts has a higher `version`.

    The version is a number that contains its era, see `banyanseam.config.versions`.
    """

    version: int
    organisations: dict[str, Organisation]
    routes: dict[str, Route]
    seats: dict[str, Seat]
    upstreams: dict[str, Upstream]
    policies: dict[str, Policy]
    organisation_by_digest: dict[bytes, str] = field(repr=False)
    # By region, the total rate at which its engines may read from the weight store.
    weight_bytes_per_s: dict[str, float] = field(default_factory=dict)

    @property
    def regions(self) -> frozenset[str]:
        """Return the regions that have an overlay."""
        return frozenset(self.policies)

    def seats_of(self, region: str) -> list[Seat]:
        """Return a region's seats, sorted by name."""
        seats = (seat for seat in self.seats.values() if seat.region == region)
        return sorted(seats, key=lambda seat: seat.name)
