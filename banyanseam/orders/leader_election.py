"""Elects the seat that gives orders to the engines of a region; sends no messages.

The leader is the first live seat by rendezvous hashing. Two seats may both assume that
they lead: engines that check the fencing number, which is the version of the
configuration, then keep the newer order. For engines that ignore it, the leader must
see more than half of the region's published seats live, which cannot hold on both sides
of a partition. It also waits until an earlier leader must have noticed that it has lost
this majority.
"""

from collections.abc import Callable
from dataclasses import dataclass

from banyanseam.peers.rendezvous import rank


@dataclass(frozen=True, slots=True)
class ElectionView:
    """Inputs of the election at one moment."""

    region: str
    own_seat: str
    published_seats: int
    alive_seats: list[str]
    # Time after which a partitioned seat considers the others lost.
    term_s: float


class LeaderElection:
    """Tracks the leader, and since when this seat leads with a majority."""

    def __init__(self, get_view: Callable[[], ElectionView]) -> None:
        """Start without a leader."""
        self._get_view = get_view
        self._majority_since_s: float | None = None
        self.leader: str | None = None

    def advance(self, now_s: float) -> None:
        """Elect the leader anew."""
        view = self._get_view()
        ranked = rank(view.alive_seats, f"orders/{view.region}")
        self.leader = ranked[0] if ranked else None
        has_majority = 2 * len(view.alive_seats) > view.published_seats
        if self.leader != view.own_seat or not has_majority:
            self._majority_since_s = None
        elif self._majority_since_s is None:
            self._majority_since_s = now_s

    def reset_after_suspension(self) -> None:
        """Reset after a suspension: another seat may have led in between."""
        self._majority_since_s = None
        self.leader = None

    def may_order(self, now_s: float, *, checks_fencing: bool) -> bool:
        """Return whether this seat may now give an order to an engine.

        For an engine that does not check fencing numbers, the majority must have lasted
        for `term_s`.
        """
        view = self._get_view()
        if self.leader != view.own_seat:
            return False
        if checks_fencing:
            return True
        since_s = self._majority_since_s
        return since_s is not None and now_s >= since_s + view.term_s
