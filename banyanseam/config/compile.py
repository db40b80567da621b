"""Compile a set of published documents, or reject it.

The result depends on the documents alone, so that every process that holds the same
documents reaches the same result.
"""

from collections.abc import Callable
from typing import Any

from banyanseam.config.checks import (
    check_addresses,
    check_desired,
    check_kinds,
    check_reachable_regions,
    check_routes,
    check_sites,
    check_upstream_kinds,
    check_upstreams_of_routes,
)
from banyanseam.config.compiled import Config, Policy, Route
from banyanseam.config.models import BaseDocument
from banyanseam.config.organisations import (
    ResidencyRules,
    Shard,
    compile_residency,
    compile_shard,
    find_allowed_regions,
    merge_shards,
)
from banyanseam.config.sites import (
    CompiledSite,
    compile_site,
    divide_weight_rate,
    merge_seats,
    merge_upstreams,
)
from banyanseam.config.validate import validate_document


def compile_config(
    version: int, base: dict[str, Any], overlays: dict[str, dict[str, Any]]
) -> Config:
    """Return the compiled configuration; raise InvalidConfig at the first violation."""
    base_document = validate_document(BaseDocument, base, "$")
    defaults = base.get("site", {})
    sites = {
        region: compile_site(region, defaults, overlay)
        for region, overlay in sorted(overlays.items())
    }
    return assemble_config(
        version,
        base_document,
        sites,
        lambda rules: [compile_shard(base_document.organisations, rules)],
    )


def assemble_config(
    version: int,
    base: BaseDocument,
    sites: dict[str, CompiledSite],
    compile_shards: Callable[[ResidencyRules], list[Shard]],
) -> Config:
    """Return the configuration assembled from its compiled parts; raise InvalidConfig.

    `compile_shards` is called only after the sites and the base have passed their
    checks.
    """
    documents = {region: site.document for region, site in sites.items()}
    check_sites(documents)
    check_addresses(documents)
    check_kinds(base)
    check_upstream_kinds(base, documents)
    check_desired(base, documents)
    rules = ResidencyRules(frozenset(sites), compile_residency(base, frozenset(sites)))
    routes = _compile_routes(base, rules.allowed)
    check_routes(routes)
    check_upstreams_of_routes(routes, documents)
    shard = merge_shards(compile_shards(rules))
    organisations = shard.organisations
    check_reachable_regions(
        {name: one.regions for name, one in organisations.items()}, routes, documents
    )
    return Config(
        version=version,
        organisations=organisations,
        routes=routes,
        seats=merge_seats(sites),
        upstreams=merge_upstreams(sites),
        policies={
            region: Policy(**document.policy.model_dump())
            for region, document in documents.items()
        },
        organisation_by_digest=shard.organisation_by_digest,
        weight_bytes_per_s=divide_weight_rate(base, documents),
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
            regions=find_allowed_regions(
                document.residency, allowed, f"$.routes.{name}.residency"
            ),
            cost_tokens=document.cost_tokens,
        )
        for name, document in base.routes.items()
    }
