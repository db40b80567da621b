"""Schemas of the published documents, validated field by field.

Operators write one base document and a small overlay for each site. Rules that span
several documents are checked in `banyanseam.config.checks`.
"""

from typing import Annotated, Final, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from banyanseam.config.addresses import normalise_address

NAME_PATTERN: Final = r"^[a-z0-9][a-z0-9_.-]{0,62}$"

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Address = Annotated[
    str,
    Field(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$"),
    AfterValidator(normalise_address),
]
PathPrefix = Annotated[str, Field(pattern=r"^/[A-Za-z0-9_./-]*$", max_length=200)]
Sha256Hex = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
Fraction = Annotated[float, Field(ge=0, le=1)]
RequestClass = Literal["quick", "long", "service"]


class Document(BaseModel):
    """Base class of all document models; unknown fields are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class KeyDigest(Document):
    """SHA-256 of an organisation's API key; the key itself is never published."""

    sha256_hex: Sha256Hex
    label: Name


class OrganisationDocument(Document):
    """An organisation with its API keys and its fleet-wide quota."""

    keys: list[KeyDigest] = Field(default_factory=list, max_length=64)
    rate_tokens_per_s: float = Field(gt=0, le=1e9)
    burst_tokens: int = Field(gt=0, le=10**12)
    weight: float = Field(default=1.0, gt=0, le=1000)
    # Fraction of the quota by region; empty divides it evenly over all regions.
    regional_parts: dict[Name, Fraction] = Field(default_factory=dict)
    residency: Name | None = None


class RouteDocument(Document):
    """A path prefix and how requests below it are served."""

    path_prefix: PathPrefix
    kind: Literal["model", "service"]
    request_class: RequestClass
    # Required for a service route: the name that its upstreams list in `serves`.
    service: Name | None = None
    deadline_ms: int = Field(default=30_000, ge=10, le=3_600_000)
    open_to_all: bool = False
    idempotent_methods: list[Literal["GET", "HEAD", "PUT", "DELETE", "POST"]] = Field(
        default_factory=lambda: ["GET", "HEAD"]
    )
    residency: Name | None = None
    cost_tokens: int = Field(default=1, ge=0, le=10**9)


class ResidencyDocument(Document):
    """A residency rule: the regions where requests under it may be served."""

    regions: list[Name] = Field(min_length=1)


class SeatDocument(Document):
    """The fixed addresses of a VM for its successive entry daemon processes."""

    data_centre: Name
    callers_address: Address
    peers_address: Address


class LoadedModelDocument(Document):
    """A model that an engine should have loaded."""

    version: int = Field(ge=1)
    # Bytes that a load fetches from the weight store.
    weight_bytes: int = Field(gt=0, le=10**15)
    adapters: list[Name] = Field(default_factory=list, max_length=64)


class DesiredDocument(Document):
    """The models that an engine should have loaded, and its role."""

    models: dict[Name, LoadedModelDocument] = Field(min_length=1, max_length=16)
    role: Literal["mixed", "prefill", "decode"] = "mixed"


class WeightStoreDocument(Document):
    """The store that engines load weights from."""

    # Limit on the total read rate of all engines of the fleet.
    rate_bytes_per_s: int = Field(gt=0, le=10**15)


class UpstreamDocument(Document):
    """A replica of a model engine or of a plain service."""

    kind: Literal["model", "service"]
    serves: list[Name] = Field(min_length=1)
    address: Address
    data_centre: Name
    decode_tokens_per_s: float = Field(default=1000.0, gt=0, le=1e9)
    prefill_tokens_per_s: float = Field(default=10_000.0, gt=0, le=1e9)
    memory_tokens: int = Field(default=100_000, gt=0, le=10**12)
    max_in_flight: int = Field(default=64, gt=0, le=10**6)
    checks_fencing: bool = False
    leaving: bool = False
    # None if the fleet doesn't manage what the engine loads (sends it no orders).
    desired: DesiredDocument | None = None


class PolicyDocument(Document):
    """A site's parameters of the routing policy; every site runs the same policy."""

    remote_margin_ms: int = Field(default=200, ge=0, le=3_600_000)
    remote_share_cap: Fraction = 0.5
    link_bytes_per_s: int = Field(default=8_000_000, gt=0, le=10**12)
    queue_patience_ms: int = Field(default=20_000, ge=0, le=3_600_000)
    retry_budget_share: Fraction = 0.1
    byte_budget: int = Field(default=64_000_000, gt=0, le=10**12)


class SiteDocument(Document):
    """The fields that a site's overlay may set."""

    seats: dict[Name, SeatDocument] = Field(default_factory=dict)
    upstreams: dict[Name, UpstreamDocument] = Field(default_factory=dict)
    policy: PolicyDocument = Field(default_factory=PolicyDocument)


class BaseDocument(Document):
    """The fleet-wide base document; `site` holds the defaults that overlays patch."""

    organisations: dict[Name, OrganisationDocument] = Field(default_factory=dict)
    routes: dict[Name, RouteDocument] = Field(default_factory=dict)
    residency: dict[Name, ResidencyDocument] = Field(default_factory=dict)
    weight_store: WeightStoreDocument | None = None
    site: SiteDocument = Field(default_factory=SiteDocument)
