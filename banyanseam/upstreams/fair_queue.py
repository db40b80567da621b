"""Queue the requests of many organisations, serving the least served one first.

The counters follow the virtual token counter of Sheng et al., "Fairness in Serving
Large Language Models" (OSDI 2024): each organisation's counter grows by the tokens that
it was served over its weight, the least counter goes first, and an organisation that
returns from idle is raised to the least active counter, so that it cannot accumulate
credit. Within one organisation the earliest deadline goes first. A grant charges the
whole reservation, and the unused part is refunded when the request ends.
"""

from bisect import insort
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from banyanseam.upstreams.const import OUTPUT_WEIGHT
from banyanseam.upstreams.models import Demand, LeaseKey

# Returns the seconds that a pool, as a whole, needs to serve a request.
WorkEstimate = Callable[[Demand], float]


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A queued request and its deadline."""

    deadline_s: float
    arrived_s: float
    key: LeaseKey
    demand: Demand
    # How many later requests were served while this one did not fit.
    bypasses: int = 0


def weigh_tokens(prompt_tokens: int, output_tokens: int) -> float:
    """Return the cost of a request; an output token costs more than a prompt token."""
    return prompt_tokens + OUTPUT_WEIGHT * output_tokens


def _sort_key(waiting: QueuedRequest) -> tuple[float, float]:
    return waiting.deadline_s, waiting.arrived_s


class FairQueue:
    """The queued requests of one pool, in fair order."""

    def __init__(self) -> None:
        """Start empty, with every counter at zero."""
        self._counters: dict[str, float] = {}
        self._waiting: dict[str, list[QueuedRequest]] = {}
        self._by_key: dict[LeaseKey, QueuedRequest] = {}
        self._last_served_counter = 0.0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._by_key)

    def add(self, waiting: QueuedRequest) -> None:
        """Add a request to the queue."""
        organisation = waiting.demand.organisation
        if organisation not in self._waiting:
            self._raise_to_minimum(organisation)
            self._waiting[organisation] = []
        insort(self._waiting[organisation], waiting, key=_sort_key)
        self._by_key[waiting.key] = waiting

    def remove(self, key: LeaseKey) -> QueuedRequest | None:
        """Remove and return a request, or return None if it is not queued."""
        waiting = self._by_key.pop(key, None)
        if waiting is None:
            return None
        organisation = waiting.demand.organisation
        requests = self._waiting[organisation]
        requests.remove(waiting)
        if not requests:
            del self._waiting[organisation]
            self._last_served_counter = self._counters[organisation]
        return waiting

    def in_order(self, look_ahead: int) -> Iterator[QueuedRequest]:
        """Yield the first `look_ahead` requests of each organisation, in fair order."""
        for organisation in sorted(self._waiting, key=self._rank):
            yield from self._waiting[organisation][:look_ahead]

    def pop_expired(self, now_s: float) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired = [
            waiting
            for requests in self._waiting.values()
            for waiting in requests
            if waiting.deadline_s <= now_s
        ]
        for waiting in expired:
            self.remove(waiting.key)
        return expired

    def charge(self, demand: Demand, prompt_tokens: int, output_tokens: int) -> None:
        """Charge an organisation for service; negative numbers are refunds."""
        service = weigh_tokens(prompt_tokens, output_tokens) / demand.weight
        counter = self._counters.get(demand.organisation, self._last_served_counter)
        self._counters[demand.organisation] = counter + service

    def estimate_wait_s(
        self, demand: Demand, deadline_s: float, estimate_work_s: WorkEstimate
    ) -> float:
        """Return the estimated wait of a new request until it is served.

        While this organisation has queued requests, the others get no more than their
        shares, so the wait is the work of this request and its own earlier ones
        over its share.
        """
        own_s = sum(
            estimate_work_s(waiting.demand)
            for waiting in self._waiting.get(demand.organisation, [])
            if waiting.deadline_s <= deadline_s
        )
        weights = demand.weight + sum(
            others[0].demand.weight
            for organisation, others in self._waiting.items()
            if organisation != demand.organisation
        )
        return (own_s + estimate_work_s(demand)) * weights / demand.weight

    def list_demands(self) -> list[Demand]:
        """Return the demands of all queued requests."""
        return [waiting.demand for waiting in self._by_key.values()]

    def drop_idle_counters(self) -> None:
        """Drop the counters of idle organisations that do not exceed the minimum.

        Each would be raised to the minimum on its next use, so the order does not
        change.
        """
        least = min(
            (self._counters[name] for name in self._waiting),
            default=self._last_served_counter,
        )
        self._counters = {
            name: counter
            for name, counter in self._counters.items()
            if name in self._waiting or counter > least
        }

    def _rank(self, organisation: str) -> tuple[float, int, float]:
        requests = self._waiting[organisation]
        # An organisation back from idle is raised to a tie with one still queued; the
        # shorter queue breaks the tie.
        return self._counters[organisation], len(requests), requests[0].arrived_s

    def _raise_to_minimum(self, organisation: str) -> None:
        least = min(
            (self._counters[name] for name in self._waiting),
            default=self._last_served_counter,
        )
        counter = self._counters.get(organisation, least)
        self._counters[organisation] = max(counter, least)
