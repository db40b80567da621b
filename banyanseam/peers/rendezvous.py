"""Rendezvous hashing (Thaler and Ravishankar, 1996), alike in every process."""

from collections.abc import Iterable

import xxhash


def rank(names: Iterable[str], key: str) -> list[str]:
    """Return the names, the one that should take `key` first."""
    return sorted(names, key=lambda name: (-weigh(name, key), name))


def weigh(name: str, key: str) -> int:
    """Return the weight of a name for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
