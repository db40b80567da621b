"""Rendezvous hashing (Thaler and Ravishankar, 1996), the same in every process.

The weight of a name for a key depends on no other name, so removing a name moves only
the keys that ranked it first.
"""

import heapq
from collections.abc import Iterable

from xxhash import xxh3_64_intdigest


def rank(names: Iterable[str], key: str | bytes) -> list[str]:
    """Return the names in order of preference for `key`, highest weight first."""
    return sorted(names, key=lambda name: (-weigh(name, key), name))


def rank_first(names: Iterable[str], key: str | bytes, count: int) -> list[str]:
    """Return the first names of `rank`, faster if they are a few of many."""
    salt = _make_salt(key)
    weighed = [(-xxh3_64_intdigest(salt + name.encode()), name) for name in names]
    return [name for _, name in heapq.nsmallest(count, weighed)]


def weigh(name: str, key: str | bytes) -> int:
    """Return the weight of a name for a key."""
    return xxh3_64_intdigest(_make_salt(key) + name.encode())


def _make_salt(key: str | bytes) -> bytes:
    return (key.encode() if isinstance(key, str) else key) + b"\0"
