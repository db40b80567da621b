"""Compile organisations, their keys and where they may be served.

Organisations come in shards, so that a change of one compiles its shard only.
"""

import hashlib
from dataclasses import dataclass
from typing import Final

from banyanseam.config.compiled import Organisation
from banyanseam.config.errors import InvalidConfig
from banyanseam.config.models import BaseDocument, OrganisationDocument

# Parts written with a few decimals may sum to slightly more than a whole.
PARTS_TOLERANCE: Final = 1e-9
EMPTY_KEY_DIGEST: Final = hashlib.sha256(b"").hexdigest()


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


def compile_shard(documents: dict[str, OrganisationDocument], rules: Rules) -> Shard:
    """Return some organisations and their keys; raise InvalidConfig."""
    return Shard(
        _compile_organisations(documents, rules.regions, rules.allowed),
        _index_keys(documents),
    )


def join_shards(shards: list[Shard]) -> Shard:
    """Return all shards as one; raise InvalidConfig for a key that two hold."""
    organisations: dict[str, Organisation] = {}
    index: dict[bytes, str] = {}
    for shard in shards:
        for digest in sorted(index.keys() & shard.organisation_by_digest.keys()):
            name = shard.organisation_by_digest[digest]
            number = shard.organisations[name].key_digests.index(digest)
            raise _key_is_taken(name, number, index[digest])
        organisations |= shard.organisations
        index |= shard.organisation_by_digest
    return Shard(organisations, index)


def compile_residency(
    base: BaseDocument, regions: frozenset[str]
) -> dict[str, frozenset[str]]:
    """Return the regions of each residency rule; raise InvalidConfig."""
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


def find_rule(
    rule: str | None, allowed: dict[str, frozenset[str]], json_path: str
) -> frozenset[str] | None:
    """Return the regions that a rule allows, None without a rule."""
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
            regions=find_rule(document.residency, allowed, f"{path}.residency"),
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
