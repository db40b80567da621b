"""Accept or reject a set of published documents; a pure function of them.

Every process that holds the same documents comes to the same result.
"""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, TypeVar

from pydantic import BaseModel, TypeAdapter, ValidationError

from banyanseam.config.checks import (
    check_addresses,
    check_desired,
    check_kinds,
    check_reach,
    check_routes,
    check_sites,
    check_upstream_kinds,
    check_upstreams_of_routes,
)
from banyanseam.config.compiled import (
    Config,
    Desired,
    DesiredModel,
    Organisation,
    Policy,
    Route,
    Seat,
    Upstream,
)
from banyanseam.config.errors import InvalidConfig
from banyanseam.config.merge import merge_site
from banyanseam.config.models import (
    BaseDocument,
    DesiredDocument,
    Name,
    OrganisationDocument,
    SiteDocument,
)

Model = TypeVar("Model", bound=BaseModel)

# Parts written with a few decimals may sum to slightly more than a whole.
PARTS_TOLERANCE: Final = 1e-9
EMPTY_KEY_DIGEST: Final = hashlib.sha256(b"").hexdigest()
_NAME: Final = TypeAdapter(Name)


def validate_document(model: type[Model], value: Any, json_path: str) -> Model:
    """Return the validated model; raise InvalidConfig with the JSON path."""
    try:
        return model.model_validate(value)
    except ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        path = "".join(
            f"[{part}]" if isinstance(part, int) else f".{part}"
            for part in first["loc"]
        )
        detail = first["msg"].removeprefix("Value error, ")
        if first["type"] == "extra_forbidden":
            detail = "there is no such field; remove it or correct its name"
        raise InvalidConfig(f"{json_path}{path}", detail) from error


@dataclass(frozen=True, slots=True)
class Rules:
    """What else the compiled form of an organisation depends on."""

    regions: frozenset[str]
    allowed: dict[str, frozenset[str]]


@dataclass(frozen=True, slots=True)
class Shard:
    """Some organisations and the index of their keys."""

    organisations: dict[str, Organisation]
    organisation_by_digest: dict[bytes, str]


@dataclass(frozen=True, slots=True)
class Site:
    """One region's part."""

    document: SiteDocument
    seats: dict[str, Seat]
    upstreams: dict[str, Upstream]


def compile_config(
    version: int, base: dict[str, Any], overlays: dict[str, dict[str, Any]]
) -> Config:
    """Return the compiled configuration; raise InvalidConfig at the first fault."""
    base_document = validate_document(BaseDocument, base, "$")
    defaults = base.get("site", {})
    sites = {
        region: compile_site(region, defaults, overlay)
        for region, overlay in sorted(overlays.items())
    }
    return join_parts(
        version,
        base_document,
        sites,
        lambda rules: [compile_shard(base_document.organisations, rules)],
    )


def join_parts(
    version: int,
    base: BaseDocument,
    sites: dict[str, Site],
    compile_shards: Callable[[Rules], list[Shard]],
) -> Config:
    """Return the configuration that the parts make; raise InvalidConfig.

    `compile_shards` is called once the sites and the base are known to be sound.
    """
    documents = {region: site.document for region, site in sites.items()}
    check_sites(documents)
    check_addresses(documents)
    check_kinds(base)
    check_upstream_kinds(base, documents)
    check_desired(base, documents)
    rules = Rules(frozenset(sites), _compile_residency(base, frozenset(sites)))
    routes = _compile_routes(base, rules.allowed)
    check_routes(routes)
    check_upstreams_of_routes(routes, documents)
    shard = _join_shards(compile_shards(rules))
    organisations = shard.organisations
    check_reach(
        {name: one.regions for name, one in organisations.items()}, routes, documents
    )
    return Config(
        version=version,
        organisations=organisations,
        routes=routes,
        seats=_join_seats(sites),
        upstreams=_join_upstreams(sites),
        policies={
            region: Policy(**document.policy.model_dump())
            for region, document in documents.items()
        },
        organisation_by_digest=shard.organisation_by_digest,
        weight_bytes_per_s=_divide_weight_rate(base, documents),
    )


def compile_site(
    region: str, defaults: dict[str, Any], overlay: dict[str, Any]
) -> Site:
    """Return one region's part; raise InvalidConfig."""
    path = f"$.sites.{region}"
    try:
        _NAME.validate_python(region)
    except ValidationError as error:
        raise InvalidConfig(
            path, "name the region in lower case letters, digits and _.-"
        ) from error
    merged = merge_site(defaults, overlay)
    document = validate_document(SiteDocument, merged, path)
    seats = {
        name: Seat(name=name, region=region, **seat.model_dump())
        for name, seat in document.seats.items()
    }
    return Site(document, seats, _compile_upstreams(region, document))


def compile_shard(documents: dict[str, OrganisationDocument], rules: Rules) -> Shard:
    """Return some organisations and their keys; raise InvalidConfig."""
    return Shard(
        _compile_organisations(documents, rules.regions, rules.allowed),
        _index_keys(documents),
    )


def _join_shards(shards: list[Shard]) -> Shard:
    organisations: dict[str, Organisation] = {}
    index: dict[bytes, str] = {}
    for shard in shards:
        for digest in index.keys() & shard.organisation_by_digest.keys():
            name = shard.organisation_by_digest[digest]
            number = shard.organisations[name].key_digests.index(digest)
            raise _key_is_taken(name, number, index[digest])
        organisations |= shard.organisations
        index |= shard.organisation_by_digest
    return Shard(organisations, index)


def _compile_residency(
    base: BaseDocument, regions: frozenset[str]
) -> dict[str, frozenset[str]]:
    allowed = {}
    for name, rule in base.residency.items():
        unknown = sorted(set(rule.regions) - regions)
        if unknown:
            raise InvalidConfig(
                f"$.residency.{name}.regions",
                f"no overlay for region {unknown[0]}; publish it first",
            )
        allowed[name] = frozenset(rule.regions)
    return allowed


def _find_rule(
    rule: str | None, allowed: dict[str, frozenset[str]], json_path: str
) -> frozenset[str] | None:
    if rule is None:
        return None
    if rule not in allowed:
        raise InvalidConfig(
            json_path, f"there is no residency rule {rule}; add it under residency"
        )
    return allowed[rule]


def _compile_organisations(
    documents: dict[str, OrganisationDocument],
    regions: frozenset[str],
    allowed: dict[str, frozenset[str]],
) -> dict[str, Organisation]:
    organisations = {}
    for name, document in documents.items():
        path = f"$.organisations.{name}"
        organisations[name] = Organisation(
            name=name,
            key_digests=tuple(bytes.fromhex(key.sha256_hex) for key in document.keys),
            rate_tokens_per_s=document.rate_tokens_per_s,
            burst_tokens=document.burst_tokens,
            weight=document.weight,
            regional_parts=_compile_parts(document, regions, f"{path}.regional_parts"),
            regions=_find_rule(document.residency, allowed, f"{path}.residency"),
        )
    return organisations


def _compile_parts(
    document: OrganisationDocument, regions: frozenset[str], path: str
) -> dict[str, float]:
    parts = document.regional_parts
    if not parts:
        return {region: 1 / len(regions) for region in sorted(regions)}
    unknown = sorted(set(parts) - regions)
    if unknown:
        raise InvalidConfig(
            f"{path}.{unknown[0]}", "no overlay for this region; publish it first"
        )
    total = sum(parts.values())
    if total > 1 + PARTS_TOLERANCE:
        raise InvalidConfig(path, f"the parts sum to {total:g}; lower them to 1")
    if total <= 0:
        raise InvalidConfig(path, "every part is 0; give one region a part")
    return dict(parts)


def _index_keys(documents: dict[str, OrganisationDocument]) -> dict[bytes, str]:
    index: dict[bytes, str] = {}
    for name, organisation in documents.items():
        labels: set[str] = set()
        for number, key in enumerate(organisation.keys):
            path = f"$.organisations.{name}.keys[{number}]"
            if key.label in labels:
                raise InvalidConfig(
                    f"{path}.label", f"the label {key.label} is taken; choose another"
                )
            labels.add(key.label)
            if key.sha256_hex == EMPTY_KEY_DIGEST:
                raise InvalidConfig(
                    f"{path}.sha256_hex",
                    "is the digest of an empty key; make one by `banyanseam key new`",
                )
            digest = bytes.fromhex(key.sha256_hex)
            if digest in index:
                raise _key_is_taken(name, number, index[digest])
            index[digest] = name
    return index


def _key_is_taken(name: str, number: int, holder: str) -> InvalidConfig:
    return InvalidConfig(
        f"$.organisations.{name}.keys[{number}].sha256_hex",
        f"organisation {holder} has this key already; remove one",
    )


def _compile_routes(
    base: BaseDocument, allowed: dict[str, frozenset[str]]
) -> dict[str, Route]:
    return {
        name: Route(
            name=name,
            path_prefix=document.path_prefix,
            is_model=document.kind == "model",
            request_class=document.request_class,
            service=document.service,
            deadline_ms=document.deadline_ms,
            open_to_all=document.open_to_all,
            idempotent_methods=frozenset(document.idempotent_methods),
            regions=_find_rule(
                document.residency, allowed, f"$.routes.{name}.residency"
            ),
            cost_tokens=document.cost_tokens,
        )
        for name, document in base.routes.items()
    }


def _join_seats(sites: dict[str, Site]) -> dict[str, Seat]:
    seats: dict[str, Seat] = {}
    for region, site in sites.items():
        for name in site.seats:
            if name in seats:
                raise InvalidConfig(
                    f"$.sites.{region}.seats.{name}",
                    f"region {seats[name].region} has a seat of this name; rename one",
                )
        seats |= site.seats
    return seats


def _join_upstreams(sites: dict[str, Site]) -> dict[str, Upstream]:
    upstreams: dict[str, Upstream] = {}
    for region, site in sites.items():
        for name in site.upstreams:
            if name in upstreams:
                raise InvalidConfig(
                    f"$.sites.{region}.upstreams.{name}",
                    f"region {upstreams[name].region} has an upstream of this name; "
                    "rename one",
                )
        upstreams |= site.upstreams
    return upstreams


def _compile_upstreams(region: str, site: SiteDocument) -> dict[str, Upstream]:
    return {
        name: Upstream(
            name=name,
            region=region,
            is_model=document.kind == "model",
            serves=frozenset(document.serves),
            desired=_compile_desired(document.desired),
            **document.model_dump(exclude={"kind", "serves", "desired"}),
        )
        for name, document in site.upstreams.items()
    }


def _compile_desired(document: DesiredDocument | None) -> Desired | None:
    if document is None:
        return None
    models = {
        name: DesiredModel(
            name, model.version, model.weight_bytes, frozenset(model.adapters)
        )
        for name, model in document.models.items()
    }
    return Desired(models, document.role)


def _divide_weight_rate(
    base: BaseDocument, sites: dict[str, SiteDocument]
) -> dict[str, float]:
    """Give each region its part of the rate, by the engines that it orders."""
    counts = {
        region: sum(one.desired is not None for one in site.upstreams.values())
        for region, site in sites.items()
    }
    total = sum(counts.values())
    if base.weight_store is None or not total:
        return {}
    rate = base.weight_store.rate_bytes_per_s
    return {region: rate * count / total for region, count in counts.items() if count}
