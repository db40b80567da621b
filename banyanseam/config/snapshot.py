"""The published values as of one version, and whether they are acceptable.

The service numbers all its changes in one order. The values as of version N are thus
the same wherever they are put together, which is what lets any two processes come
to the same verdict on them.
"""

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, TypeVar

from banyanseam.config.compile import (
    Rules,
    Shard,
    compile_shard,
    compile_site,
    join_parts,
    validate_document,
)
from banyanseam.config.compiled import Config
from banyanseam.config.const import (
    BASE_KEY,
    MAX_NESTING,
    ORGANISATIONS_PREFIX,
    SITES_PREFIX,
)
from banyanseam.config.errors import InconsistentValues, InvalidConfig
from banyanseam.config.models import BaseDocument

Part = TypeVar("Part")


@dataclass(frozen=True, slots=True)
class Value:
    """One published value; a removed one is published as null."""

    key: str
    revision: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Listing:
    """What changed up to `version` since the version that was asked about."""

    version: int
    changed: dict[str, int]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All values as of one version."""

    version: int
    values: dict[str, Value]

    def list_after(self, version: int) -> Listing:
        """Return what changed since a version."""
        changed = {
            key: value.revision
            for key, value in self.values.items()
            if value.revision > version
        }
        return Listing(self.version, changed)

    def find(self, key: str, revision: int) -> Value | None:
        """Return the value of a key if this snapshot holds that revision."""
        value = self.values.get(key)
        return value if value is not None and value.revision == revision else None


EMPTY: Snapshot = Snapshot(0, {})


def encode_content(value: Any) -> bytes:
    """Return a value's canonical JSON."""
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def extend_snapshot(
    known: Snapshot, listing: Listing, values: Iterable[Value]
) -> Snapshot:
    """Return the snapshot that a listing since `known` describes.

    Raise InconsistentValues when a listed revision is not among the values.
    """
    found = {(value.key, value.revision): value for value in values}
    merged = dict(known.values)
    for key, revision in listing.changed.items():
        if (key, revision) not in found:
            raise InconsistentValues(f"{key} at revision {revision} was not read")
        merged[key] = found[key, revision]
    version = max((value.revision for value in merged.values()), default=0)
    return Snapshot(version, merged)


class Memo:
    """What the last compiled snapshot's values made, so that few are compiled again.

    A part follows from its value and what else it was compiled by, so one that was
    kept equals one compiled anew.
    """

    def __init__(self) -> None:
        """Start with nothing kept."""
        self._kept: dict[str, tuple[Value, Any, Any]] = {}
        self._used: dict[str, tuple[Value, Any, Any]] = {}

    def get(self, value: Value, given: Any, make: Callable[[], Part]) -> Part:
        """Return the part that a value makes; `given` is what else it follows from."""
        kept = self._kept.get(value.key)
        if kept is None or kept[:2] != (value, given):
            kept = (value, given, make())
        self._used[value.key] = kept
        return kept[2]

    def begin(self) -> None:
        """Forget what a refused snapshot used."""
        self._used = {}

    def keep(self) -> None:
        """Keep just what the present snapshot used."""
        self._kept = self._used


def compile_snapshot(snapshot: Snapshot, memo: Memo | None = None) -> Config:
    """Return the configuration that the values make; raise InvalidConfig."""
    memo = memo or Memo()
    memo.begin()
    values = {
        key: value
        for key, value in sorted(snapshot.values.items())
        if value.content != b"null"
    }
    if BASE_KEY not in values:
        raise InvalidConfig("$", "no base is published")
    base = _parse(values.pop(BASE_KEY))
    base_document = validate_document(BaseDocument, base, "$")
    defaults = base.get("site", {})
    sites = {}
    shards = {}
    for key, value in values.items():
        if key.startswith(SITES_PREFIX):
            region = key.removeprefix(SITES_PREFIX)
            sites[region] = memo.get(
                value,
                defaults,
                lambda region=region, value=value: compile_site(
                    region, defaults, _parse(value)
                ),
            )
        elif key.startswith(ORGANISATIONS_PREFIX):
            shards[key] = value
        else:
            raise InvalidConfig(key, "no value of this name is known")

    def compile_shards(rules: Rules) -> list[Shard]:
        source = dict.fromkeys(base_document.organisations, BASE_KEY)
        made = [compile_shard(base_document.organisations, rules)]
        for key, value in shards.items():
            shard = memo.get(
                value, rules, lambda value=value: _compile_value(value, rules)
            )
            _claim_names(key, shard, source)
            made.append(shard)
        return made

    config = join_parts(snapshot.version, base_document, sites, compile_shards)
    memo.keep()
    return config


def _compile_value(value: Value, rules: Rules) -> Shard:
    document = {"organisations": _parse(value)}
    organisations = validate_document(BaseDocument, document, "$").organisations
    return compile_shard(organisations, rules)


def _claim_names(key: str, shard: Shard, source: dict[str, str]) -> None:
    for name in shard.organisations:
        if name in source:
            raise InvalidConfig(
                f"$.organisations.{name}", f"is in both {source[name]} and {key}"
            )
        source[name] = key


def _parse(value: Value) -> dict[str, Any]:
    try:
        document = json.loads(value.content)
    except (ValueError, RecursionError) as error:
        raise InvalidConfig(value.key, "the value is not JSON") from error
    if not isinstance(document, dict):
        raise InvalidConfig(value.key, "an object is needed")
    # Whether a deeper one can be handled would depend on the stack at that moment.
    if _is_deeper(document, MAX_NESTING):
        raise InvalidConfig(value.key, f"nested deeper than {MAX_NESTING} levels")
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
