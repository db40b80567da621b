"""Gossip topology and timing: where a seat sends heartbeats, and how often.

A large region is a ring ordered by hash, with chords whose lengths grow
geometrically: in a region of 57 seats, an update reaches all of them in five hops
while each seat sends to five.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache

from banyanseam.peers.const import (
    FULL_MESH_SEATS,
    RING_FANOUT,
    SMALL_FLEET_SEATS,
)
from banyanseam.peers.rendezvous import rank, weigh


@dataclass(frozen=True, slots=True)
class GossipTiming:
    """How often rows are relayed, and the timeouts of the failure detector."""

    # A row is relayed when its counter has risen by this much since it was last sent.
    own_region_counter_step: int
    other_region_counter_step: int
    own_region_suspect_s: float
    other_region_suspect_s: float
    # A seat sends to its peers in other regions once in this many heartbeat periods.
    other_region_interval: int
    # Bound on the time until every seat has received a leaving flag, allowing for some
    # lost messages.
    leave_propagation_s: float

    def suspect_s(self, *, is_own_region: bool) -> float:
        """Return how long a seat may be silent before it is suspect."""
        if is_own_region:
            return self.own_region_suspect_s
        return self.other_region_suspect_s


def choose_gossip_timing(region_seats: int, fleet_seats: int) -> GossipTiming:
    """Return the timing that bounds the traffic of each seat for the fleet's size."""
    is_mesh = region_seats <= FULL_MESH_SEATS
    is_small = fleet_seats <= SMALL_FLEET_SEATS
    return GossipTiming(
        own_region_counter_step=1 if is_mesh else 2,
        other_region_counter_step=2 if is_small else 10,
        own_region_suspect_s=3.0 if is_mesh else 8.0,
        other_region_suspect_s=8.0 if is_small else 30.0,
        other_region_interval=1 if is_small else 5,
        leave_propagation_s=4.0 if is_small else 10.0,
    )


def choose_in_region(seat: str, present: Sequence[str]) -> list[str]:
    """Return the seats of its own region that a seat sends heartbeats to."""
    others = [name for name in present if name != seat]
    if len(others) < FULL_MESH_SEATS:
        return sorted(others)
    ring = _sort_by_ring([*others, seat])
    position = ring.index(seat)
    offsets = [round(len(ring) ** (step / RING_FANOUT)) for step in range(RING_FANOUT)]
    return [ring[(position + offset) % len(ring)] for offset in offsets]


def choose_in_other_region(
    seat: str, present: Sequence[str], region: str, other_present: Sequence[str]
) -> str | None:
    """Return the seat of another region that a seat sends heartbeats to, if any.

    The seats of one region are spread evenly over those of the other.
    """
    if not other_present:
        return None
    own_ring = _sort_by_ring([*(name for name in present if name != seat), seat])
    other_ring = _sort_by_ring(other_present)
    shift = weigh(region, "across") % len(other_ring)
    return other_ring[
        (own_ring.index(seat) * len(other_ring) // len(own_ring) + shift)
        % len(other_ring)
    ]


def elect(present: Sequence[str], task: str, count: int) -> list[str]:
    """Return the `count` seats that take a task, by rendezvous hashing."""
    return rank(present, task)[:count]


def _sort_by_ring(seats: Sequence[str]) -> list[str]:
    return sorted(seats, key=_ring_sort_key)


@lru_cache(maxsize=4096)
def _ring_sort_key(seat: str) -> tuple[int, str]:
    return -weigh(seat, "ring"), seat
