"""To whom a seat sends heartbeats, and how much later news may come from afar.

Each large region is a ring in order of hash with chords at distances that grow
geometrically, so that news crosses 57 seats in five steps while each sends to five.
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
class Pace:
    """How often rows are passed on and how long silence is borne."""

    # A row is passed on when its counter has risen by this much since the last time.
    own_region_step: int
    other_region_step: int
    own_region_suspect_s: float
    other_region_suspect_s: float
    # A seat sends to its peer in another region at every so many beats.
    other_region_beats: int
    # Within which every seat hears that one is leaving, with some messages lost.
    leave_spread_s: float

    def suspect_s(self, *, is_own_region: bool) -> float:
        """Return after which silence a seat is suspect."""
        if is_own_region:
            return self.own_region_suspect_s
        return self.other_region_suspect_s


def choose_pace(region_seats: int, fleet_seats: int) -> Pace:
    """Return the pace that keeps the traffic of a seat within its bound."""
    is_mesh = region_seats <= FULL_MESH_SEATS
    is_small = fleet_seats <= SMALL_FLEET_SEATS
    return Pace(
        own_region_step=1 if is_mesh else 2,
        other_region_step=2 if is_small else 10,
        own_region_suspect_s=3.0 if is_mesh else 8.0,
        other_region_suspect_s=8.0 if is_small else 30.0,
        other_region_beats=1 if is_small else 5,
        leave_spread_s=4.0 if is_small else 10.0,
    )


def choose_in_region(seat: str, present: Sequence[str]) -> list[str]:
    """Return whom a seat sends to among those present in its region."""
    others = [name for name in present if name != seat]
    if len(others) < FULL_MESH_SEATS:
        return sorted(others)
    ring = _order([*others, seat])
    place = ring.index(seat)
    offsets = [round(len(ring) ** (step / RING_FANOUT)) for step in range(RING_FANOUT)]
    return [ring[(place + offset) % len(ring)] for offset in offsets]


def choose_across(
    seat: str, present: Sequence[str], region: str, other_present: Sequence[str]
) -> str | None:
    """Return whom a seat sends to in another region.

    The seats of one region are laid evenly over those of the other.
    """
    if not other_present:
        return None
    here = _order([*(name for name in present if name != seat), seat])
    there = _order(other_present)
    shift = weigh(region, "across") % len(there)
    return there[(here.index(seat) * len(there) // len(here) + shift) % len(there)]


def elect(present: Sequence[str], task: str, count: int) -> list[str]:
    """Return which of the seats present take a task."""
    return rank(present, task)[:count]


def _order(seats: Sequence[str]) -> list[str]:
    return sorted(seats, key=_place_in_ring)


@lru_cache(maxsize=4096)
def _place_in_ring(seat: str) -> tuple[int, str]:
    return -weigh(seat, "ring"), seat
