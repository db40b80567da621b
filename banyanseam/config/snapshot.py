"""The published values as of one version, and whether they are acceptable.

The service numbers all its changes in one order. The values as of version N are thus
the same wherever they are put together, which is what lets any two processes come
to the same verdict on them.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from banyanseam.config.compile import compile_config
from banyanseam.config.compiled import Config
from banyanseam.config.const import (
    BASE_KEY,
    MAX_NESTING,
    ORGANISATIONS_PREFIX,
    SITES_PREFIX,
)
from banyanseam.config.errors import InconsistentValues, InvalidConfig


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


def compile_snapshot(snapshot: Snapshot) -> Config:
    """Return the configuration that the values make; raise InvalidConfig."""
    documents = {
        value.key: _parse(value)
        for value in snapshot.values.values()
        if value.content != b"null"
    }
    if BASE_KEY not in documents:
        raise InvalidConfig("$", "no base is published")
    base = dict(documents.pop(BASE_KEY))
    organisations = base.get("organisations", {})
    if not isinstance(organisations, dict):
        raise InvalidConfig("$.organisations", "an object is needed")
    merged = dict(organisations)
    source = dict.fromkeys(merged, BASE_KEY)
    overlays = {}
    for key, document in sorted(documents.items()):
        if key.startswith(SITES_PREFIX):
            overlays[key.removeprefix(SITES_PREFIX)] = document
        elif key.startswith(ORGANISATIONS_PREFIX):
            _merge_shard(key, document, merged, source)
        else:
            raise InvalidConfig(key, "no value of this name is known")
    base["organisations"] = merged
    return compile_config(snapshot.version, base, overlays)


def _merge_shard(
    key: str, shard: dict[str, Any], merged: dict[str, Any], source: dict[str, str]
) -> None:
    for name, organisation in shard.items():
        if name in source:
            raise InvalidConfig(
                f"$.organisations.{name}", f"is in both {source[name]} and {key}"
            )
        source[name] = key
        merged[name] = organisation


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
