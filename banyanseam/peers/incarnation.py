"""Each process of a seat has a number that is higher than its predecessor's."""

import secrets
import time

_RANDOM_BITS = 10


def make_incarnation() -> int:
    """Return wall-clock milliseconds with random low bits, so that none repeats."""
    return (time.time_ns() // 1_000_000 << _RANDOM_BITS) | secrets.randbits(
        _RANDOM_BITS
    )
