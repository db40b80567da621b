"""Split the operators' files into the values that the platform publishes.

A value holds at most a megabyte, and a changed value is read whole. Organisations are
therefore sharded: after a key changes, each reader reads one shard and not all
organisations of the fleet.
"""

from typing import Any, Final

import xxhash

SHARD_COUNT: Final = 16


def shard_key_of(organisation: str) -> str:
    """Return the key of the value that an organisation is published in."""
    shard = xxhash.xxh64_intdigest(organisation.encode()) % SHARD_COUNT
    return f"organisations/{shard:02d}"


def split_documents(
    base: dict[str, Any], overlays: dict[str, dict[str, Any]]
) -> dict[str, dict[str, Any]]:
    """Return the values to publish, by key: base, organisation shards, overlays."""
    values = {"base": {key: base[key] for key in base if key != "organisations"}}
    for name, organisation in sorted(base.get("organisations", {}).items()):
        values.setdefault(shard_key_of(name), {})[name] = organisation
    for region, overlay in sorted(overlays.items()):
        values[f"sites/{region}"] = overlay
    return values
