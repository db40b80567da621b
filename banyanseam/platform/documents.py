"""The platform's published values, decoded into the entry daemon's types."""

import hashlib
import re
from collections import defaultdict
from typing import Annotated, Final, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    StrictInt,
    StrictStr,
    ValidationError,
)

from banyanseam.config.addresses import is_connectable, normalise_address
from banyanseam.config.errors import InvalidConfig
from banyanseam.entry.models import (
    CallerLimits,
    Catalogue,
    EngineLimits,
    Organisation,
    PublishedValue,
    Route,
    Service,
    Upstream,
    UpstreamState,
)
from banyanseam.platform.wire import EVACUATION_PREFIX, UPSTREAM_PREFIX

DEFAULT_MAX_PAUSE_MS = 400
_STREAM = "streaming"
_SAFE = "safe"
_DRAINING = "draining"
_TOKENS = "token_stream"

_IPV4_AND_PORT = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$"
# Ids are sent in a header.
_UPSTREAM_ID = re.compile(r"[!-~]+")

# Registrations with larger numbers are invalid: slots, and durations and starts in ms.
MAX_SLOTS: Final = 1_000_000
MAX_DURATION_MS: Final = 7 * 86_400_000
MAX_START_MS: Final = 2**53
# Lists of upstreams are exchanged in one datagram.
MAX_SOFTWARE_CHARACTERS: Final = 100

Number = Annotated[float, Field(ge=0, allow_inf_nan=False)]
Duration = Annotated[float, Field(strict=True, ge=0, le=MAX_DURATION_MS)]


class _Document(BaseModel):
    model_config = ConfigDict(extra="ignore")


class _Split(_Document):
    service: str
    weight: Number


class _Route(_Document):
    name: str = ""
    host: str
    path_prefix: str
    kind: str = "unsafe"
    service: str | None = None
    traffic_split: list[_Split] = Field(default_factory=list)
    timeout_ms: int = Field(gt=0)
    target_latency_ms: int = 1000
    # Declared for streams only.
    gap_aim_ms: Number | None = None
    max_attempts: int = 1
    # 0 is the most urgent.
    priority: int = 5
    public: bool = False
    resumable: bool = False
    home_regions: list[str] = Field(default_factory=list)


class _Engine(_Document):
    slots: int = 1
    kv_tokens: int = 0


class _Service(_Document):
    name: str
    max_connections: int = 0
    warmup_s: Number = 0
    cold_per_s: Number = 0
    health_path: str = "/"
    engine: _Engine | None = None


class _Tenant(_Document):
    name: str
    api_keys: list[str] = Field(default_factory=list)
    priority: int | None = None
    # "token_stream" if rate and burst count tokens; otherwise they count requests.
    unit: str = ""
    plain_tokens: Number = 1
    rate_per_s: Number = 0
    burst: Number = 0
    home_regions: list[str] = Field(default_factory=list)


class _Limits(_Document):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


class ConfigDocument(_Document):
    """A published configuration; other fields are ignored."""

    version: int
    routes: list[_Route] = Field(default_factory=list)
    services: list[_Service] = Field(default_factory=list)
    tenants: list[_Tenant] = Field(default_factory=list)
    limits: _Limits = Field(default_factory=_Limits)


def _check_address(address: str) -> str:
    normalised = normalise_address(address)
    if not is_connectable(normalised):
        raise ValueError("no connection can be made to this address")
    return normalised


class _Server(_Document):
    """An upstream's registration; its writer may omit or mistype any field."""

    service: StrictStr
    address: Annotated[
        StrictStr, Field(pattern=_IPV4_AND_PORT), AfterValidator(_check_address)
    ]
    zone: StrictStr
    state: Literal["ready", "draining"]
    slots: Annotated[StrictInt, Field(gt=0, le=MAX_SLOTS)]
    cold_remaining_ms: Duration = 0
    remaining_ms: Duration | None = None
    # Where no upstream names its software, all have the same.
    version: Annotated[StrictStr, Field(max_length=MAX_SOFTWARE_CHARACTERS)] = ""
    # When the incarnation started, in Unix milliseconds.
    born: Annotated[StrictInt, Field(ge=0, le=MAX_START_MS)] = 0


def digest_key(key: bytes) -> bytes:
    """Return the digest that is stored instead of a caller's key."""
    return hashlib.sha256(key).digest()


def decode_config(value: bytes) -> Catalogue:
    """Return a published configuration; raise InvalidConfig."""
    try:
        document = ConfigDocument.model_validate_json(value)
    except ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        where = ".".join(str(part) for part in first["loc"]) or "$"
        raise InvalidConfig(where, first["msg"]) from error
    routes: dict[str, list[Route]] = defaultdict(list)
    for route in document.routes:
        routes[route.host.lower()].append(_to_route(route))
    organisations = {
        tenant.name: _to_organisation(tenant) for tenant in document.tenants
    }
    return Catalogue(
        version=document.version,
        routes={
            host: tuple(sorted(found, key=lambda route: -len(route.path_prefix)))
            for host, found in routes.items()
        },
        services={service.name: _to_service(service) for service in document.services},
        organisations=organisations,
        organisations_by_key={
            digest_key(key.encode()): organisations[tenant.name]
            for tenant in document.tenants
            for key in tenant.api_keys
        },
        limits=CallerLimits(**document.limits.model_dump()),
    )


def decode_upstream(item: PublishedValue) -> Upstream | None:
    """Return the upstream that a value registers, or None if the value is invalid."""
    upstream_id = item.key.removeprefix(UPSTREAM_PREFIX)
    if _UPSTREAM_ID.fullmatch(upstream_id) is None:
        return None
    try:
        server = _Server.model_validate_json(item.value)
    except ValidationError:
        return None
    is_leaving = server.state == _DRAINING
    remaining_ms = server.remaining_ms
    return Upstream(
        upstream_id=upstream_id,
        service=server.service,
        address=server.address,
        data_centre=server.zone,
        state=UpstreamState.LEAVING if is_leaving else UpstreamState.READY,
        slots=server.slots,
        cold_ms=int(server.cold_remaining_ms),
        remaining_ms=None if remaining_ms is None else int(remaining_ms),
        started_ms=server.born,
        revision=item.revision,
        software=server.version,
    )


def decode_evacuated(key: str) -> str | None:
    """Return the data centre that an evacuation key names, None for other keys."""
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return key.removeprefix(EVACUATION_PREFIX)


def _to_route(route: _Route) -> Route:
    splits = [(split.service, split.weight) for split in route.traffic_split]
    if not splits and route.service is not None:
        splits = [(route.service, 1.0)]
    return Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        services=tuple(split for split in splits if split[1] > 0),
        is_stream=route.kind == _STREAM,
        # A stream may run again only if a new run can continue where the old one ended.
        is_idempotent=route.kind == _SAFE
        or (route.kind == _STREAM and route.resumable),
        is_resumable=route.kind == _STREAM and route.resumable,
        is_public=route.public,
        timeout_ms=route.timeout_ms,
        target_ms=route.target_latency_ms,
        max_pause_ms=route.gap_aim_ms or DEFAULT_MAX_PAUSE_MS,
        max_attempts=max(1, route.max_attempts),
        urgency=route.priority,
        home_regions=frozenset(route.home_regions),
    )


def _to_service(service: _Service) -> Service:
    engine = service.engine
    return Service(
        name=service.name,
        max_connections=service.max_connections,
        warmup_s=service.warmup_s,
        cold_requests_per_s=service.cold_per_s,
        engine=None if engine is None else EngineLimits(engine.slots, engine.kv_tokens),
        health_path=service.health_path,
    )


def _to_organisation(tenant: _Tenant) -> Organisation:
    counts_tokens = tenant.unit == _TOKENS
    return Organisation(
        name=tenant.name,
        urgency=tenant.priority,
        counts_tokens=counts_tokens,
        default_cost=tenant.plain_tokens if counts_tokens else 1,
        rate_per_s=tenant.rate_per_s,
        burst=tenant.burst,
        home_regions=frozenset(tenant.home_regions),
    )
