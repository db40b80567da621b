"""Compile organisations, with their API keys and allowed regions.

Organisations are published in shards, so that a change recompiles only one shard.
"""

import hashlib
from dataclasses import dataclass
from typing import Final

from banyanseam.config.compiled import Organisation
from banyanseam.config.errors import InvalidConfig
from banyanseam.config.models import BaseDocument, OrganisationDocument

# Fractions written with a few decimals may sum to slightly more than 1.
FRACTION_SUM_TOLERANCE: Final = 1e-9
EMPTY_KEY_DIGEST: Final = hashlib.sha256(b"").hexdigest()


@dataclass(frozen=True, slots=True)
class ResidencyRules:
    """All regions that have an overlay, and those that each residency rule allows.

    A compiled organisation depends only on these and on its own document.
    """

    regions: frozenset[str]
    allowed: dict[str, frozenset[str]]


@dataclass(frozen=True, slots=True)
class Shard:
    """A shard's organisations, and the index of their API keys."""

    organisations: dict[str, Organisation]
    organisation_by_digest: dict[bytes, str]


def compile_shard(
    documents: dict[str, OrganisationDocument], rules: ResidencyRules
) -> Shard:
    """Return the compiled organisations and their keys; raise InvalidConfig."""
    return Shard(
        _compile_organisations(documents, rules.regions, rules.allowed),
        _index_keys(documents),
    )


def merge_shards(shards: list[Shard]) -> Shard:
    """Merge all shards; raise InvalidConfig for a key that two organisations have."""
    organisations: dict[str, Organisation] = {}
    index: dict[bytes, str] = {}
    for shard in shards:
        for digest in sorted(index.keys() & shard.organisation_by_digest.keys()):
            name = shard.organisation_by_digest[digest]
            number = shard.organisations[name].key_digests.index(digest)
            raise _make_duplicate_key_error(name, number, index[digest])
        organisations |= shard.organisations
        index |= shard.organisation_by_digest
    return Shard(organisations, index)


def compile_residency(
    base: BaseDocument, regions: frozenset[str]
) -> dict[str, frozenset[str]]:
    """Return the regions that each residency rule allows; raise InvalidConfig."""
    allowed = {}
    for name, rule in base.residency.items():
        unknown = sorted(set(rule.regions) - regions)
        if unknown:
            raise InvalidConfig(
                f"$.residency.{name}.regions",
                f"region {unknown[0]} has no overlay; publish one first",
            )
        allowed[name] = frozenset(rule.regions)
    return allowed


def find_allowed_regions(
    rule: str | None, allowed: dict[str, frozenset[str]], json_path: str
) -> frozenset[str] | None:
    """Return the regions that a residency rule allows, or None if there is no rule."""
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
            regional_parts=_compile_fractions(
                document, regions, f"{path}.regional_parts"
            ),
            regions=find_allowed_regions(
                document.residency, allowed, f"{path}.residency"
            ),
        )
    return organisations


def _compile_fractions(
    document: OrganisationDocument, regions: frozenset[str], path: str
) -> dict[str, float]:
    fractions = document.regional_parts
    if not fractions:
        return {region: 1 / len(regions) for region in sorted(regions)}
    unknown = sorted(set(fractions) - regions)
    if unknown:
        raise InvalidConfig(
            f"{path}.{unknown[0]}", "this region has no overlay; publish one first"
        )
    total = sum(fractions.values())
    if total > 1 + FRACTION_SUM_TOLERANCE:
        raise InvalidConfig(
            path, f"the fractions sum to {total:g}; lower them to 1 or less"
        )
    if total <= 0:
        raise InvalidConfig(path, "every fraction is 0; raise at least one")
    return dict(fractions)


def _index_keys(documents: dict[str, OrganisationDocument]) -> dict[bytes, str]:
    index: dict[bytes, str] = {}
    for name, organisation in documents.items():
        labels: set[str] = set()
        for number, key in enumerate(organisation.keys):
            path = f"$.organisations.{name}.keys[{number}]"
            if key.label in labels:
                raise InvalidConfig(
                    f"{path}.label",
                    f"the label {key.label} is already used; choose another",
                )
            labels.add(key.label)
            if key.sha256_hex == EMPTY_KEY_DIGEST:
                raise InvalidConfig(
                    f"{path}.sha256_hex",
                    "is the digest of an empty key; make one with `banyanseam key new`",
                )
            digest = bytes.fromhex(key.sha256_hex)
            if digest in index:
                raise _make_duplicate_key_error(name, number, index[digest])
            index[digest] = name
    return index


def _make_duplicate_key_error(name: str, number: int, other_name: str) -> InvalidConfig:
    return InvalidConfig(
        f"$.organisations.{name}.keys[{number}].sha256_hex",
        f"organisation {other_name} already has this key; remove one of them",
    )
