"""How long an entry daemon's announcements and leases are valid, by region size.

A keeper grants the whole memory while every published seat has recently announced that
it reserves at no other keeper. Such an announcement must expire before the membership
can replace a keeper that has stopped responding. A large region tolerates a longer
silence, because updates cross it in several hops; its announcements may be valid for
longer and be sent less often.
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
    NO_CONFLICT_TERM_S,
    NUMBER_BYTES,
    RENEW_PERIOD_S,
    ROW_TERM_S,
)


@dataclass(frozen=True, slots=True)
class Terms:
    """The renewal period and the validity periods that are derived from it."""

    renew_period_s: float
    # How long an entry's announcement that it reserves at no other keeper is valid.
    announce_term_s: float
    lease_term_s: float
    # How long a new keeper collects existing leases before it grants more than
    # LEARNING_SHARE. Longer than announce_term_s, so that by then the announcements to
    # the previous keeper have expired.
    learning_s: float
    no_conflict_term_s: float
    # A pool summary older than this is ignored.
    row_term_s: float


def make_terms(renew_period_s: float) -> Terms:
    """Return the terms for a renewal period."""
    extra_s = renew_period_s - RENEW_PERIOD_S
    return Terms(
        renew_period_s=renew_period_s,
        announce_term_s=ANNOUNCE_TERM_S + extra_s,
        lease_term_s=LEASE_TERM_S + extra_s,
        learning_s=LEARNING_S + extra_s,
        no_conflict_term_s=NO_CONFLICT_TERM_S + extra_s,
        row_term_s=ROW_TERM_S + extra_s,
    )


SMALL_REGION: Final = make_terms(RENEW_PERIOD_S)
LARGE_REGION: Final = make_terms(LARGE_REGION_RENEW_PERIOD_S)


def choose_terms(region_seats: int) -> Terms:
    """Return the terms of a region with this number of published seats."""
    return SMALL_REGION if region_seats <= FULL_MESH_SEATS else LARGE_REGION


def digest_leases(pools: Iterable[str], numbers: Iterable[int]) -> int:
    """Return a digest of the pools and leases that an entry has at a keeper.

    The order of the pools and of the leases does not matter.
    """
    digest = 0
    for pool in pools:
        digest ^= xxhash.xxh3_64_intdigest(pool.encode())
    for number in numbers:
        digest ^= xxhash.xxh3_64_intdigest(number.to_bytes(NUMBER_BYTES))
    return digest
