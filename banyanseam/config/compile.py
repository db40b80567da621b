"""Accept or reject a set of published documents; a pure function of them.

Every process that holds the same documents comes to the same result.
"""

from itertools import combinations
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError

from banyanseam.config.compiled import (
    Config,
    Organisation,
    Policy,
    Route,
    Seat,
    Upstream,
)
from banyanseam.config.errors import InvalidConfig
from banyanseam.config.merge import merge_site
from banyanseam.config.models import BaseDocument, SiteDocument

Model = TypeVar("Model", bound=BaseModel)


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
        raise InvalidConfig(f"{json_path}{path}", first["msg"]) from error


def compile_config(
    version: int, base: dict[str, Any], overlays: dict[str, dict[str, Any]]
) -> Config:
    """Return the compiled configuration; raise InvalidConfig at the first fault."""
    base_document = validate_document(BaseDocument, base, "$")
    sites = _merge_sites(base, overlays)
    regions = frozenset(sites)
    allowed = _compile_residency(base_document, regions)
    organisations = _compile_organisations(base_document, regions, allowed)
    return Config(
        version=version,
        organisations=organisations,
        routes=_compile_routes(base_document, allowed),
        seats=_compile_seats(sites),
        upstreams=_compile_upstreams(sites),
        policies={
            region: Policy(**site.policy.model_dump()) for region, site in sites.items()
        },
        organisation_by_digest=_index_keys(organisations),
    )


def _merge_sites(
    base: dict[str, Any], overlays: dict[str, dict[str, Any]]
) -> dict[str, SiteDocument]:
    defaults = base.get("site", {})
    return {
        region: validate_document(
            SiteDocument, merge_site(defaults, overlay), f"$.sites.{region}"
        )
        for region, overlay in sorted(overlays.items())
    }


def _compile_residency(
    base: BaseDocument, regions: frozenset[str]
) -> dict[str, frozenset[str]]:
    allowed = {}
    for name, rule in base.residency.items():
        unknown = sorted(set(rule.regions) - regions)
        if unknown:
            raise InvalidConfig(
                f"$.residency.{name}.regions", f"no overlay for region {unknown[0]}"
            )
        allowed[name] = frozenset(rule.regions)
    return allowed


def _find_rule(
    rule: str | None, allowed: dict[str, frozenset[str]], json_path: str
) -> frozenset[str] | None:
    if rule is None:
        return None
    if rule not in allowed:
        raise InvalidConfig(json_path, f"there is no residency rule {rule}")
    return allowed[rule]


def _compile_organisations(
    base: BaseDocument, regions: frozenset[str], allowed: dict[str, frozenset[str]]
) -> dict[str, Organisation]:
    organisations = {}
    for name, document in base.organisations.items():
        path = f"$.organisations.{name}"
        parts = dict(document.regional_parts) or {
            region: 1 / len(regions) for region in regions
        }
        if sum(parts.values()) > 1 + 1e-9:
            raise InvalidConfig(f"{path}.regional_parts", "the parts exceed 1")
        unknown = sorted(set(parts) - regions)
        if unknown:
            raise InvalidConfig(
                f"{path}.regional_parts.{unknown[0]}", "no overlay for this region"
            )
        organisations[name] = Organisation(
            name=name,
            key_digests=tuple(bytes.fromhex(key.sha256_hex) for key in document.keys),
            rate_tokens_per_s=document.rate_tokens_per_s,
            burst_tokens=document.burst_tokens,
            weight=document.weight,
            regional_parts=parts,
            regions=_find_rule(document.residency, allowed, f"{path}.residency"),
        )
    return organisations


def _index_keys(organisations: dict[str, Organisation]) -> dict[bytes, str]:
    index: dict[bytes, str] = {}
    for organisation in organisations.values():
        for digest in organisation.key_digests:
            holder = index.setdefault(digest, organisation.name)
            if holder != organisation.name:
                raise InvalidConfig(
                    f"$.organisations.{organisation.name}.keys",
                    f"organisation {holder} has the same key",
                )
    return index


def _compile_routes(
    base: BaseDocument, allowed: dict[str, frozenset[str]]
) -> dict[str, Route]:
    routes = {
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
    for first, second in combinations(routes.values(), 2):
        short, long = sorted((first.path_prefix, second.path_prefix), key=len)
        if long.startswith(short):
            raise InvalidConfig(
                f"$.routes.{second.name}.path_prefix",
                f"overlaps the prefix of route {first.name}",
            )
    return routes


def _compile_seats(sites: dict[str, SiteDocument]) -> dict[str, Seat]:
    seats: dict[str, Seat] = {}
    for region, site in sites.items():
        for name, document in site.seats.items():
            if name in seats:
                raise InvalidConfig(
                    f"$.sites.{region}.seats.{name}", "the name is taken elsewhere"
                )
            seats[name] = Seat(name=name, region=region, **document.model_dump())
    return seats


def _compile_upstreams(sites: dict[str, SiteDocument]) -> dict[str, Upstream]:
    own_addresses = {
        address
        for site in sites.values()
        for seat in site.seats.values()
        for address in (seat.callers_address, seat.peers_address)
    }
    upstreams: dict[str, Upstream] = {}
    for region, site in sites.items():
        for name, document in site.upstreams.items():
            path = f"$.sites.{region}.upstreams.{name}"
            if name in upstreams:
                raise InvalidConfig(path, "the name is taken elsewhere")
            if document.address in own_addresses:
                raise InvalidConfig(f"{path}.address", "this is a daemon's address")
            fields = document.model_dump(exclude={"kind", "serves"})
            upstreams[name] = Upstream(
                name=name,
                region=region,
                is_model=document.kind == "model",
                serves=frozenset(document.serves),
                **fields,
            )
    return upstreams
