"""Rendezvous hashing (Thaler and Ravishankar, 1996), alike in every process.

Each pair of key and name weighs alone, so removing a name moves only what preferred it.
"""

from collections.abc import Iterable

import xxhash


def rank(names: Iterable[str], key: str | bytes) -> list[str]:
    """Return the names, the one that should take `key` first."""
    return sorted(names, key=lambda name: (-weigh(name, key), name))


def weigh(name: str, key: str | bytes) -> int:
    """Return the weight of a name for a key."""
    salt = key.encode() if isinstance(key, str) else key
    return xxhash.xxh3_64_intdigest(salt + b"\0" + name.encode())
