"""What the operators' port takes and answers, as JSON.

The command line and a daemon may differ in version: a reply may carry fields that
the reader does not know, a request may not.
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
    """The newest published version, when it was refused."""

    version: int
    json_path: str
    detail: str


class ConfigStatus(OperatorReply):
    """Which configuration is in force and how fresh it is."""

    version: int | None = None
    in_force_ms: int | None = None
    # How long ago the service last answered; None when it never did.
    service_answered_ms_ago: int | None = None
    rejected: RejectedVersion | None = None


class PeerStatus(OperatorReply):
    """What this daemon knows of another seat."""

    seat: str
    region: str
    state: Literal["alive", "suspect", "leaving", "gone", "unknown"]
    incarnation: int | None = None
    heard_ms_ago: int | None = None
    is_linked: bool = False


class UpstreamStatus(OperatorReply):
    """What this daemon knows of an upstream of its region."""

    upstream: str
    region: str
    state: Literal["ready", "leaving", "unloaded", "ejected", "unknown"]
    # The seat that keeps its pool and so knows it; None while nobody does.
    keeper: str | None = None
    # Of the whole region, as its keeper counts.
    in_flight: int = 0
    held_tokens: int | None = None
    free_tokens: int | None = None
    memory_tokens: int | None = None
    reported_ms_ago: int | None = None


class LoadStatus(OperatorReply):
    """What this daemon holds at present."""

    in_flight: int = 0
    # Those in flight that wait for room on an upstream.
    queued: int = 0
    held_bytes: int = 0
    byte_budget: int | None = None
    # Requests that were refused or failed since the start, by the error's code.
    failures: dict[str, int] = Field(default_factory=dict)


class StatusReply(OperatorReply):
    """`GET /status`."""

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
    """How far an engine has come towards what the configuration desires."""

    upstream: str
    checks_fencing: bool
    progress: Progress
    # The last order given to it, while it is not as desired.
    kind: str | None = None
    model: str | None = None
    model_version: int | None = None
    # The code of the last failure.
    failure: str | None = None


class OrdersReply(OperatorReply):
    """`GET /orders`: orders to the region's engines; only their giver knows them."""

    region: str
    # The seat whose turn it is, as this daemon sees it; None without any engine.
    giver: str | None
    fencing: int
    engines: list[OrderStatus] = Field(default_factory=list)


class ReleaseStatus(OperatorReply):
    """Which program this is, and what it runs on."""

    version: str
    protocol: int
    python: str
    platform: str


class ValueDigest(OperatorReply):
    """A published value, told by its digest."""

    revision: int
    sha256_hex: str


class ConfigDigest(OperatorReply):
    """All values as of a version; equal digests mean equal configurations."""

    version: int
    sha256_hex: str
    values: dict[str, ValueDigest]


class DiagnosticsReply(OperatorReply):
    """`GET /diagnostics`: what may be handed over; it holds no secret."""

    release: ReleaseStatus
    settings: dict[str, Any]
    status: StatusReply
    in_force: ConfigDigest
    newest: ConfigDigest
    # The last log lines of each event, in the order of their times.
    events: list[dict[str, Any]]


class Entry(OperatorReply):
    """A daemon that callers may use."""

    seat: str
    region: str
    address: str


class EntriesReply(OperatorReply):
    """`GET /entries`: what callers are told, best first."""

    entries: list[Entry]
    validity_ms: int


class HistogramsRequest(OperatorRequest):
    """`POST /histograms`; without an organisation, the totals of the classes.

    The organisation `*` stands for each one that has histograms.
    """

    organisation: str | None = None
    request_class: RequestClass | None = None


class SeriesReply(OperatorReply):
    """The figures of one histogram."""

    organisation: str | None
    request_class: str
    measure: str
    count: int
    mean: float
    percentiles: dict[float, int]


class HistogramsReply(OperatorReply):
    """The histograms asked for and the time that they cover."""

    window_ms: int
    series: list[SeriesReply]


class ExplainRequest(OperatorRequest):
    """`POST /explain`: a request that is only imagined; nothing is sent or charged."""

    path: str = Field(pattern="^/")
    method: Literal["GET", "HEAD", "PUT", "DELETE", "POST", "PATCH"] = "POST"
    # None is a caller without a key.
    organisation: Name | None = None
    model: str | None = None
    prompt_tokens: int = Field(default=1000, ge=0)
    max_output_tokens: int = Field(default=256, ge=0)
    idempotency_key: str | None = Field(default=None, min_length=1)
    # Without a body no poison mark can be matched, and a model's cost goes by the
    # numbers above.
    body: Base64Bytes | None = None


class ExplainStep(OperatorReply):
    """What one filter would do and why; the figures that it went by."""

    filter: str
    verdict: Verdict
    reason: str
    # The stable code of the refusal, if it is one.
    code: str | None = None
    facts: dict[str, Any] = Field(default_factory=dict)


class ExplainReply(OperatorReply):
    """The filters in order, up to the one that refuses."""

    config_version: int
    verdict: Verdict
    steps: list[ExplainStep]


class DrainReply(OperatorReply):
    """`POST /drain`: the daemon leaves the list, finishes its work and ends."""

    state: DaemonState
    # How long callers may still use what they were told before.
    validity_ms: int
    in_flight: int
    queued: int
