"""How long an entry's word holds at a keeper, by the size of the region.

A keeper grants the whole memory while every published seat has lately said that it
asks nobody else, so such a word must lapse before the membership can put another seat
in a silent keeper's place. A large region bears a longer silence, for news crosses it
in several steps; there words may hold longer and be given less often.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import xxhash

from banyanseam.peers.const import FULL_MESH_SEATS
from banyanseam.upstreams.const import (
    ANNOUNCE_TERM_S,
    LARGE_REGION_RENEW_PERIOD_S,
    LEARNING_S,
    LEASE_TERM_S,
    NUMBER_BYTES,
    QUIET_S,
    RENEW_PERIOD_S,
    ROW_TERM_S,
)


@dataclass(frozen=True, slots=True)
class Terms:
    """The period of renewals and the terms that follow from it."""

    renew_period_s: float
    # For how long an entry's word counts that it asks no other keeper.
    announce_term_s: float
    lease_term_s: float
    # A new keeper learns for longer than any word to the one before it holds.
    learning_s: float
    quiet_s: float
    # A pool's row older than this says nothing.
    row_term_s: float


def make_terms(renew_period_s: float) -> Terms:
    """Return the terms for a period of renewals."""
    longer_s = renew_period_s - RENEW_PERIOD_S
    return Terms(
        renew_period_s=renew_period_s,
        announce_term_s=ANNOUNCE_TERM_S + longer_s,
        lease_term_s=LEASE_TERM_S + longer_s,
        learning_s=LEARNING_S + longer_s,
        quiet_s=QUIET_S + longer_s,
        row_term_s=ROW_TERM_S + longer_s,
    )


SMALL_REGION: Final = make_terms(RENEW_PERIOD_S)
LARGE_REGION: Final = make_terms(LARGE_REGION_RENEW_PERIOD_S)


def choose_terms(region_seats: int) -> Terms:
    """Return the terms of a region of so many published seats."""
    return SMALL_REGION if region_seats <= FULL_MESH_SEATS else LARGE_REGION


def digest_view(pools: Iterable[str], numbers: Iterable[int]) -> int:
    """Return a digest of the pools asked of a keeper and the leases held there.

    The order of either does not matter.
    """
    digest = 0
    for pool in pools:
        digest ^= xxhash.xxh3_64_intdigest(pool.encode())
    for number in numbers:
        digest ^= xxhash.xxh3_64_intdigest(number.to_bytes(NUMBER_BYTES))
    return digest
