"""Whose turn it is to give orders in a region; state without any message.

The seat that wins by rendezvous hashing among the live ones gives them. Two seats may
both believe it their turn: engines that check the fencing number, the version of the
configuration, keep the newer order. For engines that ignore it, the giver must see
more than half of the region's published seats, which two parts of a split cannot
both, and waits until a seat that gave orders before must have noticed that it does not.
"""

from collections.abc import Callable
from dataclasses import dataclass

from banyanseam.peers.rendezvous import rank


@dataclass(frozen=True, slots=True)
class TurnView:
    """What a turn is decided by at one moment."""

    region: str
    own_seat: str
    published_seats: int
    live_seats: list[str]
    # By when a seat that is cut off counts the others as lost.
    term_s: float


class Turn:
    """This seat's turn, and since when it has it."""

    def __init__(self, look: Callable[[], TurnView]) -> None:
        """Begin without a turn."""
        self._look = look
        self._majority_since_s: float | None = None
        self.giver: str | None = None

    def advance(self, now_s: float) -> None:
        """Look whose turn it is."""
        view = self._look()
        ranked = rank(view.live_seats, f"orders/{view.region}")
        self.giver = ranked[0] if ranked else None
        has_majority = 2 * len(view.live_seats) > view.published_seats
        if self.giver != view.own_seat or not has_majority:
            self._majority_since_s = None
        elif self._majority_since_s is None:
            self._majority_since_s = now_s

    def begin_anew(self) -> None:
        """Forget the turn, as after a freeze: another seat may have had it."""
        self._majority_since_s = None
        self.giver = None

    def may_order(self, now_s: float, *, checks_fencing: bool) -> bool:
        """Say whether this seat may give an order to such an engine now."""
        view = self._look()
        if self.giver != view.own_seat:
            return False
        if checks_fencing:
            return True
        since_s = self._majority_since_s
        return since_s is not None and now_s >= since_s + view.term_s
