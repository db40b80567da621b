"""Describe what a configuration changes for callers, against the one in force.

Pure functions. Keys are named by a short digest only.
"""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import fields
from typing import Any, Final

from banyanseam.entry.catalogue_check.matching import describe_route, list_routes
from banyanseam.entry.models import Catalogue, Route

KEY_DIGEST_BYTES: Final = 4


def list_changes(before: Catalogue, after: Catalogue) -> Iterator[str]:
    """Yield a sentence for each difference; none if only the version differs."""
    if after.version <= before.version:
        yield (
            f"version {after.version} is not newer than {before.version}, which is in "
            "force: daemons ignore it"
        )
    yield from _compare(
        _key_routes(before),
        _key_routes(after),
        "its requests are answered with 404",
    )
    yield from _compare(
        {f"service {name}": each for name, each in before.services.items()},
        {f"service {name}": each for name, each in after.services.items()},
        "its upstreams get no more requests",
    )
    yield from _compare(
        {f"organisation {name}": each for name, each in before.organisations.items()},
        {f"organisation {name}": each for name, each in after.organisations.items()},
        "its keys are answered with 401",
    )
    yield from _compare_keys(before, after)
    for name, old, new in _list_differences(before.limits, after.limits):
        yield f"limit {name}: {old} becomes {new}"


def _key_routes(catalogue: Catalogue) -> dict[str, Route]:
    """Return the routes by how messages name them; names need not be unique."""
    routes = list_routes(catalogue)
    names = Counter(describe_route(each) for each in routes)
    found: dict[str, Route] = {}
    for route in routes:
        where = describe_route(route)
        if names[where] > 1:
            where += f" ({route.host}{route.path_prefix})"
        found[where] = route
    return found


def _compare(
    before: Mapping[str, Any], after: Mapping[str, Any], effect: str
) -> Iterator[str]:
    for where in sorted(before.keys() - after.keys()):
        yield f"{where} is removed: {effect}"
    for where in sorted(after.keys() - before.keys()):
        yield f"{where} is added"
    for where in sorted(before.keys() & after.keys()):
        for name, old, new in _list_differences(before[where], after[where]):
            yield f"{where}: {name} {_format(old)} becomes {_format(new)}"


def _compare_keys(before: Catalogue, after: Catalogue) -> Iterator[str]:
    old = {key: each.name for key, each in before.organisations_by_key.items()}
    new = {key: each.name for key, each in after.organisations_by_key.items()}
    for key in sorted(old.keys() - new.keys()):
        yield (
            f"organisation {old[key]}: key {_shorten(key)} is withdrawn; requests "
            "with it are answered with 401"
        )
    for key in sorted(new.keys() - old.keys()):
        yield f"organisation {new[key]}: key {_shorten(key)} is issued"
    for key in sorted(old.keys() & new.keys()):
        if old[key] != new[key]:
            yield f"key {_shorten(key)} moves from {old[key]} to {new[key]}"


def _list_differences(before: Any, after: Any) -> Iterator[tuple[str, Any, Any]]:
    for field in fields(before):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old != new:
            yield field.name, old, new


def _format(value: Any) -> str:
    if isinstance(value, frozenset):
        return ", ".join(sorted(value)) or "none"
    return str(value)


def _shorten(key_digest: bytes) -> str:
    return key_digest[:KEY_DIGEST_BYTES].hex()
