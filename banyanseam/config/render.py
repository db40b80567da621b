"""Render the merged documents, and list the differences between two sets of them."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from banyanseam.config.merge import merge_site

MISSING: Any = object()


@dataclass(frozen=True, slots=True)
class Change:
    """One value that differs; MISSING marks a side that doesn't have it."""

    json_path: str
    before: Any
    after: Any


def render_documents(
    base: dict[str, Any], overlays: dict[str, dict[str, Any]]
) -> dict[str, Any]:
    """Return one document: the base, and each site merged over the defaults."""
    defaults = base.get("site", {})
    rendered = {name: base[name] for name in base if name != "site"}
    rendered["sites"] = {
        region: merge_site(defaults, overlay)
        for region, overlay in sorted(overlays.items())
    }
    return rendered


def list_changes(before: Any, after: Any, json_path: str = "$") -> Iterator[Change]:
    """Yield the differences, each at its deepest object member, sorted by path.

    Lists are compared as a whole.
    """
    if isinstance(before, dict) and isinstance(after, dict):
        for name in sorted(set(before) | set(after)):
            yield from list_changes(
                before.get(name, MISSING),
                after.get(name, MISSING),
                f"{json_path}.{name}",
            )
    elif before != after:
        yield Change(json_path, before, after)
