"""Pools: groups of interchangeable upstreams of a region, each with one keeper seat.

One keeper for a whole pool lets a request wait for the first upstream with free memory,
in an order that is fair over all entries; the limit on a pool's size limits the work of
one keeper. Daemons with the same configuration and the same view of the live seats
compute the same pools and keepers.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from banyanseam.config.compiled import Config, Upstream
from banyanseam.peers.rendezvous import rank
from banyanseam.upstreams.const import MAX_POOL_UPSTREAMS


@dataclass(frozen=True, slots=True)
class Pool:
    """Upstreams that serve the same models or services and are interchangeable."""

    name: str
    region: str
    serves: frozenset[str]
    upstreams: tuple[Upstream, ...]


def list_pools(config: Config, region: str) -> dict[str, Pool]:
    """Return a region's pools by name."""
    upstreams_by_label: dict[str, list[Upstream]] = defaultdict(list)
    for upstream in config.upstreams.values():
        if upstream.region == region:
            kind = "model" if upstream.is_model else "service"
            upstreams_by_label[f"{kind}:{','.join(sorted(upstream.serves))}"].append(
                upstream
            )
    pools = {}
    for label, upstreams in sorted(upstreams_by_label.items()):
        for number, members in _split(label, upstreams).items():
            name = f"{region}/{label}/{number}"
            pools[name] = Pool(name, region, members[0].serves, tuple(members))
    return pools


def _split(label: str, upstreams: list[Upstream]) -> dict[str, list[Upstream]]:
    """Split upstreams by rendezvous hashing, so that adding one moves few others."""
    count = -(-len(upstreams) // MAX_POOL_UPSTREAMS)
    numbers = [str(number) for number in range(count)]
    members: dict[str, list[Upstream]] = defaultdict(list)
    for upstream in sorted(upstreams, key=lambda each: each.name):
        number = rank(numbers, f"{label}/{upstream.name}")[0]
        members[number].append(upstream)
    return members


def find_keeper(pool: str, alive_seats: Iterable[str]) -> str | None:
    """Return the seat that is a pool's keeper, or None without a live seat."""
    ranked = rank(alive_seats, pool)
    return ranked[0] if ranked else None
