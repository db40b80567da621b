"""Dividing the operators' files into the values that the platform publishes.

A value holds at most a megabyte and a change is read whole, so organisations go into
shards: a changed key then costs each reader one shard and not the fleet's.
"""

from typing import Any, Final

import xxhash

SHARDS: Final = 16


def shard_of(organisation: str) -> str:
    """Return the key of the value that holds an organisation."""
    shard = xxhash.xxh64_intdigest(organisation.encode()) % SHARDS
    return f"organisations/{shard:02d}"


def split_documents(
    base: dict[str, Any], overlays: dict[str, dict[str, Any]]
) -> dict[str, dict[str, Any]]:
    """Return the values to publish, by key: base, shards of organisations, sites."""
    values = {"base": {key: base[key] for key in base if key != "organisations"}}
    for name, organisation in sorted(base.get("organisations", {}).items()):
        values.setdefault(shard_of(name), {})[name] = organisation
    for region, overlay in sorted(overlays.items()):
        values[f"sites/{region}"] = overlay
    return values
