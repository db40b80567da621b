"""Pools: the upstreams of a region that serve the same, kept by one seat each.

One keeper for a whole pool lets a request wait for the first upstream with room and be
served in fair order over all entries; a bound on the size of a pool bounds what one
keeper spends. Any two readers of one configuration and one view of the live seats agree
on pools and keepers.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from banyanseam.config.compiled import Config, Upstream
from banyanseam.peers.rendezvous import rank
from banyanseam.upstreams.const import MAX_POOL_UPSTREAMS


@dataclass(frozen=True, slots=True)
class Pool:
    """Upstreams that can stand in for one another."""

    name: str
    region: str
    serves: frozenset[str]
    upstreams: tuple[Upstream, ...]


def list_pools(config: Config, region: str) -> dict[str, Pool]:
    """Return a region's pools by name."""
    alike: dict[str, list[Upstream]] = defaultdict(list)
    for upstream in config.upstreams.values():
        if upstream.region == region:
            kind = "model" if upstream.is_model else "service"
            alike[f"{kind}:{','.join(sorted(upstream.serves))}"].append(upstream)
    pools = {}
    for label, upstreams in sorted(alike.items()):
        for number, members in _divide(label, upstreams).items():
            name = f"{region}/{label}/{number}"
            pools[name] = Pool(name, region, members[0].serves, tuple(members))
    return pools


def _divide(label: str, upstreams: list[Upstream]) -> dict[str, list[Upstream]]:
    """Divide upstreams so that adding one moves few others."""
    count = -(-len(upstreams) // MAX_POOL_UPSTREAMS)
    numbers = [str(number) for number in range(count)]
    members: dict[str, list[Upstream]] = defaultdict(list)
    for upstream in sorted(upstreams, key=lambda each: each.name):
        number = rank(numbers, f"{label}/{upstream.name}")[0]
        members[number].append(upstream)
    return members


def find_keeper(pool: str, live_seats: Iterable[str]) -> str | None:
    """Return the seat that keeps a pool, or None without a live seat."""
    ranked = rank(live_seats, pool)
    return ranked[0] if ranked else None
