"""Snapshots of the published values as of one version, and their compilation.

The configuration service numbers all its changes in one sequence for each of its eras.
The values as of a version are therefore the same in every process, so that any two
processes agree on whether these values are valid.
"""

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, TypeVar

from banyanseam.config.compile import assemble_config
from banyanseam.config.compiled import Config
from banyanseam.config.const import (
    BASE_KEY,
    MAX_NESTING,
    ORGANISATIONS_PREFIX,
    SITES_PREFIX,
)
from banyanseam.config.errors import InconsistentValues, InvalidConfig
from banyanseam.config.models import BaseDocument
from banyanseam.config.organisations import ResidencyRules, Shard, compile_shard
from banyanseam.config.sites import compile_site
from banyanseam.config.validate import validate_document
from banyanseam.config.versions import era_of

Part = TypeVar("Part")


@dataclass(frozen=True, slots=True)
class Value:
    """One published value; a removed value is published as JSON null."""

    key: str
    # The version that last changed the value.
    revision: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Listing:
    """The changed keys and their revisions, between an older version and `version`."""

    version: int
    changed: dict[str, int]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All values as of one version."""

    version: int
    values: dict[str, Value]

    def list_after(self, version: int) -> Listing:
        """Return the keys that changed since a version."""
        changed = {
            key: value.revision
            for key, value in self.values.items()
            if value.revision > version
        }
        return Listing(self.version, changed)

    def find(self, key: str, revision: int) -> Value | None:
        """Return the value of a key if the snapshot has it at that revision."""
        value = self.values.get(key)
        return value if value is not None and value.revision == revision else None


EMPTY_SNAPSHOT: Snapshot = Snapshot(0, {})


def encode_content(value: Any) -> bytes:
    """Return a value's canonical JSON."""
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def extend_snapshot(
    known: Snapshot, listing: Listing, values: Iterable[Value]
) -> Snapshot:
    """Return `known` updated by a listing of the changes since it.

    A listing of another era replaces `known`, whose values the service may have lost.
    Raise InconsistentValues if a listed revision is not among the values.
    """
    era = era_of(listing.version)
    found = {(value.key, value.revision): value for value in values}
    merged = dict(known.values) if era_of(known.version) == era else {}
    for key, revision in listing.changed.items():
        # Peers of the release before keep lost values of earlier eras.
        if era_of(revision) != era:
            continue
        if (key, revision) not in found:
            raise InconsistentValues(
                f"{key} was listed at revision {revision}, which was not read"
            )
        merged[key] = found[key, revision]
    version = max((value.revision for value in merged.values()), default=0)
    return Snapshot(version, merged)


class CompileCache:
    """Cache of the compiled parts of the last snapshot that compiled.

    It saves compiling the values that didn't change. A part depends only on its value
    and the other inputs given with it, so that a cached part equals one compiled anew.
    """

    def __init__(self) -> None:
        """Start with an empty cache."""
        self._cached: dict[str, tuple[Value, Any, Any]] = {}
        self._used: dict[str, tuple[Value, Any, Any]] = {}

    def get(self, value: Value, inputs: Any, compile_part: Callable[[], Part]) -> Part:
        """Return a value's compiled part; `inputs` is what else the part depends on."""
        cached = self._cached.get(value.key)
        if cached is None or cached[:2] != (value, inputs):
            cached = (value, inputs, compile_part())
        self._used[value.key] = cached
        return cached[2]

    def begin(self) -> None:
        """Start a new snapshot; drop the entries of one that was rejected."""
        self._used = {}

    def commit(self) -> None:
        """Retain only the entries that the current snapshot used."""
        self._cached = self._used


def compile_snapshot(snapshot: Snapshot, cache: CompileCache | None = None) -> Config:
    """Return the configuration compiled from the values; raise InvalidConfig."""
    cache = cache or CompileCache()
    cache.begin()
    values = {
        key: value
        for key, value in sorted(snapshot.values.items())
        if value.content != b"null"
    }
    if BASE_KEY not in values:
        raise InvalidConfig("$", "the base document is not published; publish it")
    base = _parse(values.pop(BASE_KEY))
    base_document = validate_document(BaseDocument, base, "$")
    defaults = base.get("site", {})
    sites = {}
    shards = {}
    for key, value in values.items():
        if key.startswith(SITES_PREFIX):
            region = key.removeprefix(SITES_PREFIX)
            sites[region] = cache.get(
                value,
                defaults,
                lambda region=region, value=value: compile_site(
                    region, defaults, _parse(value)
                ),
            )
        elif key.startswith(ORGANISATIONS_PREFIX):
            shards[key] = value
        else:
            raise InvalidConfig(
                key, "is not a known key; use base, organisations/NAME or sites/REGION"
            )

    def compile_shards(rules: ResidencyRules) -> list[Shard]:
        source = dict.fromkeys(base_document.organisations, BASE_KEY)
        compiled = [compile_shard(base_document.organisations, rules)]
        for key, value in shards.items():
            shard = cache.get(
                value, rules, lambda value=value: _compile_value(value, rules)
            )
            _check_duplicate_names(key, shard, source)
            compiled.append(shard)
        return compiled

    config = assemble_config(snapshot.version, base_document, sites, compile_shards)
    cache.commit()
    return config


def _compile_value(value: Value, rules: ResidencyRules) -> Shard:
    document = {"organisations": _parse(value)}
    organisations = validate_document(BaseDocument, document, "$").organisations
    return compile_shard(organisations, rules)


def _check_duplicate_names(key: str, shard: Shard, source: dict[str, str]) -> None:
    for name in shard.organisations:
        if name in source:
            raise InvalidConfig(
                f"$.organisations.{name}",
                f"is defined in both {source[name]} and {key}; remove one of them",
            )
        source[name] = key


def _parse(value: Value) -> dict[str, Any]:
    try:
        document = json.loads(value.content)
    except (ValueError, RecursionError) as error:
        raise InvalidConfig(value.key, "the value is not valid JSON") from error
    if not isinstance(document, dict):
        raise InvalidConfig(value.key, "the value must be a JSON object")
    # Whether deeper nesting overflows the stack would depend on the stack's depth at
    # the time of the call, so that processes could differ.
    if _is_deeper(document, MAX_NESTING):
        raise InvalidConfig(value.key, f"is nested deeper than {MAX_NESTING} levels")
    return document


def _is_deeper(document: Any, levels: int) -> bool:
    layer = [document]
    for _ in range(levels):
        layer = [
            inner
            for outer in layer
            for inner in (outer.values() if isinstance(outer, dict) else outer)
            if isinstance(inner, dict | list)
        ]
        if not layer:
            return False
    return True
