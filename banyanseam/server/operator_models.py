"""JSON requests and replies of the operators' port.

The command line and a daemon may differ in version: unknown fields are ignored in
replies and refused in requests.
"""

from typing import Any, Literal

from pydantic import Base64Bytes, BaseModel, ConfigDict, Field

from banyanseam.config.models import Name, RequestClass
from banyanseam.orders.models import Progress

DaemonState = Literal["starting", "serving", "draining"]
Verdict = Literal["pass", "wait", "refuse", "unknown"]


class OperatorRequest(BaseModel):
    """A request of an operator; unknown fields are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class OperatorReply(BaseModel):
    """An answer to an operator; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class RejectedVersion(OperatorReply):
    """The newest published version, if it was rejected as invalid."""

    version: int
    era: int = 0
    json_path: str
    detail: str


class ConfigStatus(OperatorReply):
    """Which configuration is in force and how fresh it is.

    Versions of the service are compared by their era first.
    """

    version: int | None = None
    era: int = 0
    in_force_ms: int | None = None
    # Time since the configuration service last answered; None if it never has.
    service_answered_ms_ago: int | None = None
    rejected: RejectedVersion | None = None


class PeerStatus(OperatorReply):
    """Another seat, as this daemon sees it."""

    seat: str
    region: str
    state: Literal["alive", "suspect", "leaving", "gone", "unknown"]
    incarnation: int | None = None
    heard_ms_ago: int | None = None
    is_linked: bool = False


class UpstreamStatus(OperatorReply):
    """An upstream of this daemon's region, as its keeper describes it."""

    upstream: str
    region: str
    state: Literal["ready", "leaving", "unloaded", "ejected", "unknown"]
    # The keeper of its pool, which tracks its state; None while there is none.
    keeper: str | None = None
    # Requests that the whole region runs on this upstream, as counted by the keeper.
    in_flight: int = 0
    held_tokens: int | None = None
    free_tokens: int | None = None
    memory_tokens: int | None = None
    reported_ms_ago: int | None = None


class LoadStatus(OperatorReply):
    """The current load of this daemon."""

    in_flight: int = 0
    # Those of the requests in flight that wait for capacity on an upstream.
    queued: int = 0
    held_bytes: int = 0
    byte_budget: int | None = None
    # Requests refused or failed since the daemon started, by error code.
    failures: dict[str, int] = Field(default_factory=dict)


class StatusReply(OperatorReply):
    """`GET /status`: the state of the daemon and its view of peers and upstreams."""

    seat: str
    region: str
    data_centre: str
    incarnation: int
    state: DaemonState
    up_ms: int
    config: ConfigStatus = Field(default_factory=ConfigStatus)
    load: LoadStatus = Field(default_factory=LoadStatus)
    peers: list[PeerStatus] = Field(default_factory=list)
    upstreams: list[UpstreamStatus] = Field(default_factory=list)


class OrderStatus(OperatorReply):
    """Progress of an engine towards its configured state."""

    upstream: str
    checks_fencing: bool
    progress: Progress
    # The last order sent, while the engine is not in its configured state.
    kind: str | None = None
    model: str | None = None
    model_version: int | None = None
    # The code of the last failure.
    failure: str | None = None


class OrdersReply(OperatorReply):
    """`GET /orders`: orders to the region's engines, which only `giver` tracks."""

    region: str
    # The seat that now gives orders, as this daemon sees it; None if it knows none.
    giver: str | None
    fencing: int
    engines: list[OrderStatus] = Field(default_factory=list)


class ReleaseStatus(OperatorReply):
    """Version of the program and of its platform."""

    version: str
    protocol: int
    python: str
    platform: str


class ValueDigest(OperatorReply):
    """Digest of a published value."""

    revision: int
    sha256_hex: str


class ConfigDigest(OperatorReply):
    """Digests of all values of a version; equal digests mean equal configurations."""

    version: int
    era: int = 0
    sha256_hex: str
    values: dict[str, ValueDigest]


class DiagnosticsReply(OperatorReply):
    """`GET /diagnostics`: a bundle for support; it contains no secrets."""

    release: ReleaseStatus
    settings: dict[str, Any]
    status: StatusReply
    in_force: ConfigDigest
    newest: ConfigDigest
    # The latest log lines of each event, sorted by time.
    events: list[dict[str, Any]]


class Entry(OperatorReply):
    """A daemon that callers may use."""

    seat: str
    region: str
    address: str


class EntriesReply(OperatorReply):
    """`GET /entries`: the entry daemons offered to callers, best first."""

    entries: list[Entry]
    validity_ms: int


class HistogramsRequest(OperatorRequest):
    """`POST /histograms`; without an organisation, the totals of each request class.

    The organisation `*` selects every organisation that has histograms.
    """

    organisation: str | None = None
    request_class: RequestClass | None = None


class SeriesReply(OperatorReply):
    """Statistics of one histogram."""

    organisation: str | None
    request_class: str
    measure: str
    count: int
    mean: float
    percentiles: dict[float, int]


class HistogramsReply(OperatorReply):
    """The requested histograms and the time that they cover."""

    window_ms: int
    series: list[SeriesReply]


class ExplainRequest(OperatorRequest):
    """`POST /explain`: a hypothetical request; nothing is sent or charged."""

    path: str = Field(pattern="^/")
    method: Literal["GET", "HEAD", "PUT", "DELETE", "POST", "PATCH"] = "POST"
    # None for a caller without a key.
    organisation: Name | None = None
    model: str | None = None
    prompt_tokens: int = Field(default=1000, ge=0)
    max_output_tokens: int = Field(default=256, ge=0)
    idempotency_key: str | None = Field(default=None, min_length=1)
    # Without a body, it cannot be checked whether the request is suspected of crashing
    # upstreams, and a model request's cost is taken from the token counts above.
    body: Base64Bytes | None = None


class ExplainStep(OperatorReply):
    """Verdict of one filter, with its reason and the figures it is based on."""

    filter: str
    verdict: Verdict
    reason: str
    # The error code, if the verdict is a refusal.
    code: str | None = None
    facts: dict[str, Any] = Field(default_factory=dict)


class ExplainReply(OperatorReply):
    """The filters' verdicts in order, up to the first refusal."""

    config_version: int
    config_era: int = 0
    verdict: Verdict
    steps: list[ExplainStep]


class DrainReply(OperatorReply):
    """`POST /drain`: leave the entry list, finish all requests and stop."""

    state: DaemonState
    # How long callers may still use an entry list that they have received.
    validity_ms: int
    in_flight: int
    queued: int
