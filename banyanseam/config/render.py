"""The documents as they are in force, and what differs between two sets."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from banyanseam.config.merge import merge_site

MISSING: Any = object()


@dataclass(frozen=True, slots=True)
class Change:
    """One value that differs; MISSING stands for a side that has none."""

    json_path: str
    before: Any
    after: Any


def render_documents(
    base: dict[str, Any], overlays: dict[str, dict[str, Any]]
) -> dict[str, Any]:
    """Return one document: the base with each site merged over the defaults."""
    defaults = base.get("site", {})
    rendered = {name: base[name] for name in base if name != "site"}
    rendered["sites"] = {
        region: merge_site(defaults, overlay)
        for region, overlay in sorted(overlays.items())
    }
    return rendered


def list_changes(before: Any, after: Any, json_path: str = "$") -> Iterator[Change]:
    """Yield what differs, at the deepest object that holds it, in order of path."""
    if isinstance(before, dict) and isinstance(after, dict):
        for name in sorted(set(before) | set(after)):
            yield from list_changes(
                before.get(name, MISSING),
                after.get(name, MISSING),
                f"{json_path}.{name}",
            )
    elif before != after:
        yield Change(json_path, before, after)
