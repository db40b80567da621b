"""Charges that wait at a home for refill or a loan, first come first served."""

from collections.abc import Callable
from dataclasses import dataclass

from banyanseam.quota.const import PLACE_KEPT_S


@dataclass(slots=True)
class Place:
    """One charge's place in the queue."""

    charge_id: str
    cost_tokens: int
    # False while its entry is between two asks.
    is_present: bool
    kept_until_s: float


class Waiting:
    """The queue of one organisation at one home."""

    def __init__(self) -> None:
        """Start empty."""
        self._places: dict[str, Place] = {}
        self.tokens = 0

    def __len__(self) -> int:
        """Return how many charges wait."""
        return len(self._places)

    def __contains__(self, charge_id: str) -> bool:
        """Say whether a charge waits."""
        return charge_id in self._places

    @property
    def largest_tokens(self) -> int:
        """Return the largest cost that waits."""
        return max((place.cost_tokens for place in self._places.values()), default=0)

    def enter(self, charge_id: str, cost_tokens: int, until_s: float) -> None:
        """Take a place at the end, or come back to the one that was kept."""
        place = self._places.get(charge_id)
        if place is None:
            place = Place(charge_id, cost_tokens, True, until_s)
            self._places[charge_id] = place
            self.tokens += cost_tokens
        place.is_present = True
        place.kept_until_s = until_s + PLACE_KEPT_S

    def step_out(self, charge_id: str, now_s: float) -> None:
        """Keep the place for a while although nobody waits in it."""
        place = self._places.get(charge_id)
        if place is not None:
            place.is_present = False
            place.kept_until_s = now_s + PLACE_KEPT_S

    def leave(self, charge_id: str) -> None:
        """Give the place up."""
        place = self._places.pop(charge_id, None)
        if place is not None:
            self.tokens -= place.cost_tokens

    def count_ahead(self, charge_id: str) -> int:
        """Return the tokens that must be served before a charge."""
        ahead = 0
        for place in self._places.values():
            if place.charge_id == charge_id:
                return ahead
            ahead += place.cost_tokens
        return ahead

    def serve(
        self, take: Callable[[str, int], bool], cap_tokens: float, now_s: float
    ) -> list[str]:
        """Serve in order as far as `take` gives tokens; return the ids served.

        A charge above the cap needs a loan first and lets later ones pass.
        """
        served = []
        for place in list(self._places.values()):
            if place.kept_until_s < now_s:
                self.leave(place.charge_id)
                continue
            if not place.is_present:
                continue
            if take(place.charge_id, place.cost_tokens):
                served.append(place.charge_id)
                self.leave(place.charge_id)
            elif place.cost_tokens <= cap_tokens:
                break
        return served
