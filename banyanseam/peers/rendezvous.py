"""Rendezvous hashing (Thaler and Ravishankar, 1996), the same in every process.

The weight of a name for a key depends on no other name, so removing a name moves only
the keys that ranked it first.
"""

from collections.abc import Iterable

import xxhash


def rank(names: Iterable[str], key: str | bytes) -> list[str]:
    """Return the names in order of preference for `key`, highest weight first."""
    return sorted(names, key=lambda name: (-weigh(name, key), name))


def weigh(name: str, key: str | bytes) -> int:
    """Return the weight of a name for a key."""
    salt = key.encode() if isinstance(key, str) else key
    return xxhash.xxh3_64_intdigest(salt + b"\0" + name.encode())
