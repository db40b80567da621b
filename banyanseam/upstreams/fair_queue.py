"""Waiting requests of many organisations, served by least tokens so far.

The counters follow the virtual token counter of Sheng et al., "Fairness in Serving
Large Language Models" (OSDI 2024): each organisation's counter grows by the tokens that
it was served over its weight, the least counter goes first, and an organisation that
returns from idle is lifted to the least active counter, so that it cannot save up
service. Within one organisation the earliest time to give up goes first. A grant
charges the whole reservation, and the unused part is given back when the request ends.
"""

from bisect import insort
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from banyanseam.upstreams.const import OUTPUT_WEIGHT
from banyanseam.upstreams.models import Demand, LeaseKey

# Return the seconds that a whole pool needs for a request.
WorkEstimate = Callable[[Demand], float]


@dataclass(slots=True, eq=False)
class Waiting:
    """A request that waits for room until it gives up."""

    give_up_s: float
    arrived_s: float
    key: LeaseKey
    demand: Demand
    # How many requests behind this one were served while it did not fit.
    bypasses: int = 0


def weigh_tokens(prompt_tokens: int, output_tokens: int) -> float:
    """Return the service that a request gets; output costs more than its prompt."""
    return prompt_tokens + OUTPUT_WEIGHT * output_tokens


def _order(waiting: Waiting) -> tuple[float, float]:
    return waiting.give_up_s, waiting.arrived_s


class FairQueue:
    """Requests waiting in one place, in fair order."""

    def __init__(self) -> None:
        """Start empty, with every counter at zero."""
        self._counters: dict[str, float] = {}
        self._waiting: dict[str, list[Waiting]] = {}
        self._by_key: dict[LeaseKey, Waiting] = {}
        self._last_served = 0.0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._by_key)

    def add(self, waiting: Waiting) -> None:
        """Let a request wait."""
        organisation = waiting.demand.organisation
        if organisation not in self._waiting:
            self._lift(organisation)
            self._waiting[organisation] = []
        insort(self._waiting[organisation], waiting, key=_order)
        self._by_key[waiting.key] = waiting

    def remove(self, key: LeaseKey) -> Waiting | None:
        """Take a request out; return None when it does not wait."""
        waiting = self._by_key.pop(key, None)
        if waiting is None:
            return None
        organisation = waiting.demand.organisation
        requests = self._waiting[organisation]
        requests.remove(waiting)
        if not requests:
            del self._waiting[organisation]
            self._last_served = self._counters[organisation]
        return waiting

    def in_order(self, look_ahead: int) -> Iterator[Waiting]:
        """Yield the requests that may be next, the first `look_ahead` of each."""
        for organisation in sorted(self._waiting, key=self._rank):
            yield from self._waiting[organisation][:look_ahead]

    def pop_expired(self, now_s: float) -> list[Waiting]:
        """Take out the requests whose time to give up has come."""
        expired = [
            waiting
            for requests in self._waiting.values()
            for waiting in requests
            if waiting.give_up_s <= now_s
        ]
        for waiting in expired:
            self.remove(waiting.key)
        return expired

    def charge(self, demand: Demand, prompt_tokens: int, output_tokens: int) -> None:
        """Count service to an organisation; negative numbers give some back."""
        service = weigh_tokens(prompt_tokens, output_tokens) / demand.weight
        counter = self._counters.get(demand.organisation, self._last_served)
        self._counters[demand.organisation] = counter + service

    def estimate_wait_s(
        self, demand: Demand, give_up_s: float, estimate_work_s: WorkEstimate
    ) -> float:
        """Return how long a new request would wait until it is served.

        Others get no more than their shares while this organisation has requests
        waiting, so what is ahead is its own earlier requests over its share.
        """
        own_s = sum(
            estimate_work_s(waiting.demand)
            for waiting in self._waiting.get(demand.organisation, [])
            if waiting.give_up_s <= give_up_s
        )
        weights = demand.weight + sum(
            others[0].demand.weight
            for organisation, others in self._waiting.items()
            if organisation != demand.organisation
        )
        return (own_s + estimate_work_s(demand)) * weights / demand.weight

    def list_demands(self) -> list[Demand]:
        """Return what all waiting requests ask for."""
        return [waiting.demand for waiting in self._by_key.values()]

    def forget_idle(self) -> None:
        """Drop the counters that the next lift would overwrite anyway."""
        least = min(
            (self._counters[name] for name in self._waiting), default=self._last_served
        )
        self._counters = {
            name: counter
            for name, counter in self._counters.items()
            if name in self._waiting or counter > least
        }

    def _rank(self, organisation: str) -> tuple[float, int, float]:
        requests = self._waiting[organisation]
        # One that returns from idle is lifted to a tie with one that keeps waiting.
        return self._counters[organisation], len(requests), requests[0].arrived_s

    def _lift(self, organisation: str) -> None:
        least = min(
            (self._counters[name] for name in self._waiting), default=self._last_served
        )
        counter = self._counters.get(organisation, least)
        self._counters[organisation] = max(counter, least)
