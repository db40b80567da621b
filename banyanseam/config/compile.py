"""Accept or reject a set of published documents; a pure function of them.

Every process that holds the same documents comes to the same result.
"""

import hashlib
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


def compile_config(
    version: int, base: dict[str, Any], overlays: dict[str, dict[str, Any]]
) -> Config:
    """Return the compiled configuration; raise InvalidConfig at the first fault."""
    base_document = validate_document(BaseDocument, base, "$")
    sites = _merge_sites(base, overlays)
    check_sites(sites)
    check_addresses(sites)
    check_kinds(base_document)
    check_upstream_kinds(base_document, sites)
    check_desired(base_document, sites)
    regions = frozenset(sites)
    allowed = _compile_residency(base_document, regions)
    routes = _compile_routes(base_document, allowed)
    check_routes(routes)
    check_upstreams_of_routes(routes, sites)
    organisations = _compile_organisations(base_document, regions, allowed)
    check_reach(
        {name: one.regions for name, one in organisations.items()}, routes, sites
    )
    return Config(
        version=version,
        organisations=organisations,
        routes=routes,
        seats=_compile_seats(sites),
        upstreams=_compile_upstreams(sites),
        policies={
            region: Policy(**site.policy.model_dump()) for region, site in sites.items()
        },
        organisation_by_digest=_index_keys(base_document),
        weight_bytes_per_s=_divide_weight_rate(base_document, sites),
    )


def _merge_sites(
    base: dict[str, Any], overlays: dict[str, dict[str, Any]]
) -> dict[str, SiteDocument]:
    defaults = base.get("site", {})
    sites = {}
    for region, overlay in sorted(overlays.items()):
        path = f"$.sites.{region}"
        try:
            _NAME.validate_python(region)
        except ValidationError as error:
            raise InvalidConfig(
                path, "name the region in lower case letters, digits and _.-"
            ) from error
        merged = merge_site(defaults, overlay)
        sites[region] = validate_document(SiteDocument, merged, path)
    return sites


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
    base: BaseDocument, regions: frozenset[str], allowed: dict[str, frozenset[str]]
) -> dict[str, Organisation]:
    organisations = {}
    for name, document in base.organisations.items():
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


def _index_keys(base: BaseDocument) -> dict[bytes, str]:
    index: dict[bytes, str] = {}
    for name, organisation in base.organisations.items():
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
                raise InvalidConfig(
                    f"{path}.sha256_hex",
                    f"organisation {index[digest]} has this key already; remove one",
                )
            index[digest] = name
    return index


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


def _compile_seats(sites: dict[str, SiteDocument]) -> dict[str, Seat]:
    seats: dict[str, Seat] = {}
    for region, site in sites.items():
        for name, document in site.seats.items():
            if name in seats:
                raise InvalidConfig(
                    f"$.sites.{region}.seats.{name}",
                    f"region {seats[name].region} has a seat of this name; rename one",
                )
            seats[name] = Seat(name=name, region=region, **document.model_dump())
    return seats


def _compile_upstreams(sites: dict[str, SiteDocument]) -> dict[str, Upstream]:
    upstreams: dict[str, Upstream] = {}
    for region, site in sites.items():
        for name, document in site.upstreams.items():
            if name in upstreams:
                raise InvalidConfig(
                    f"$.sites.{region}.upstreams.{name}",
                    f"region {upstreams[name].region} has an upstream of this name; "
                    "rename one",
                )
            fields = document.model_dump(exclude={"kind", "serves", "desired"})
            upstreams[name] = Upstream(
                name=name,
                region=region,
                is_model=document.kind == "model",
                serves=frozenset(document.serves),
                desired=_compile_desired(document.desired),
                **fields,
            )
    return upstreams


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
