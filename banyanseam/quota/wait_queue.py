"""The queue of charges that wait at a home for refill or a loan (FIFO)."""

from collections.abc import Callable
from dataclasses import dataclass

from banyanseam.quota.const import PLACE_TTL_S


@dataclass(slots=True)
class Place:
    """One charge's place in the queue."""

    charge_id: str
    cost_tokens: int
    # False while the entry daemon has no open call that waits for the charge.
    is_attended: bool
    expires_s: float


class WaitQueue:
    """The queue of one organisation at one home."""

    def __init__(self) -> None:
        """Start empty."""
        self._places: dict[str, Place] = {}
        self.tokens = 0

    def __len__(self) -> int:
        """Return the number of waiting charges."""
        return len(self._places)

    def __contains__(self, charge_id: str) -> bool:
        """Return whether a charge is in the queue."""
        return charge_id in self._places

    @property
    def largest_tokens(self) -> int:
        """Return the largest cost among the waiting charges."""
        return max((place.cost_tokens for place in self._places.values()), default=0)

    def enqueue(self, charge_id: str, cost_tokens: int, until_s: float) -> None:
        """Append a charge, or keep the place that it already has."""
        place = self._places.get(charge_id)
        if place is None:
            place = Place(charge_id, cost_tokens, True, until_s)
            self._places[charge_id] = place
            self.tokens += cost_tokens
        place.is_attended = True
        place.expires_s = until_s + PLACE_TTL_S

    def detach(self, charge_id: str, now_s: float) -> None:
        """Keep the place for a limited time while no call waits for it."""
        place = self._places.get(charge_id)
        if place is not None:
            place.is_attended = False
            place.expires_s = now_s + PLACE_TTL_S

    def remove(self, charge_id: str) -> None:
        """Remove a charge from the queue."""
        place = self._places.pop(charge_id, None)
        if place is not None:
            self.tokens -= place.cost_tokens

    def count_ahead(self, charge_id: str) -> int:
        """Return the total cost of the charges ahead of a charge."""
        ahead = 0
        for place in self._places.values():
            if place.charge_id == charge_id:
                return ahead
            ahead += place.cost_tokens
        return ahead

    def serve(
        self, try_charge: Callable[[str, int], bool], cap_tokens: float, now_s: float
    ) -> list[str]:
        """Serve in order while `try_charge` succeeds; return the ids served.

        A charge above the cap needs a loan first, so later charges may overtake it.
        """
        served = []
        for place in list(self._places.values()):
            if place.expires_s < now_s:
                self.remove(place.charge_id)
                continue
            if not place.is_attended:
                continue
            if try_charge(place.charge_id, place.cost_tokens):
                served.append(place.charge_id)
                self.remove(place.charge_id)
            elif place.cost_tokens <= cap_tokens:
                break
        return served
