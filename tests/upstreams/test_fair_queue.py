import unittest

from hypothesis import given
from hypothesis import strategies as st

from banyanseam.upstreams.fair_queue import FairQueue, QueuedRequest, weigh_tokens
from banyanseam.upstreams.models import Demand, LeaseKey

LARGEST_TOKENS = 1_000


class SerialQueue:
    """A fair queue that serves one request at a time and totals the service."""

    def __init__(self) -> None:
        self.queue = FairQueue()
        self.count = 0
        self.served: dict[str, float] = {}

    def add(self, organisation, tokens=100, deadline_s=100.0, weight=1.0) -> LeaseKey:
        self.count += 1
        key = LeaseKey("gulf-1", 1, self.count)
        demand = Demand(organisation, weight, tokens, 0)
        self.queue.add(QueuedRequest(deadline_s, float(self.count), key, demand))
        return key

    def serve(self) -> str | None:
        first = next(self.queue.in_order(1), None)
        if first is None:
            return None
        demand = first.demand
        self.queue.remove(first.key)
        self.queue.charge(demand, demand.prompt_tokens, 0)
        service = weigh_tokens(demand.prompt_tokens, 0) / demand.weight
        self.served[demand.organisation] = (
            self.served.get(demand.organisation, 0.0) + service
        )
        return demand.organisation


class FairQueueTests(unittest.TestCase):
    @given(
        tokens=st.lists(
            st.tuples(
                st.sampled_from(("large", "small")), st.integers(1, LARGEST_TOKENS)
            ),
            min_size=4,
            max_size=80,
        ),
        weight=st.sampled_from((0.5, 1.0, 3.0)),
    )
    def test_service_gap_between_waiting_organisations_is_bounded(self, tokens, weight):
        serial = SerialQueue()
        for organisation, size in tokens:
            serial.add(
                organisation, size, weight=weight if organisation == "large" else 1
            )
        while len(serial.queue._waiting) == 2:
            serial.serve()
            gap = abs(serial.served.get("large", 0) - serial.served.get("small", 0))
            self.assertLessEqual(gap, LARGEST_TOKENS / min(weight, 1.0))

    def test_organisation_back_from_idle_goes_first_on_a_tie(self):
        serial = SerialQueue()
        for _ in range(3):
            serial.add("busy")
        serial.serve()
        serial.add("back")
        self.assertEqual([serial.serve(), serial.serve()], ["back", "busy"])

    def test_organisation_back_from_idle_has_no_credit(self):
        serial = SerialQueue()
        serial.add("early")
        serial.serve()
        for _ in range(50):
            serial.add("busy")
        for _ in range(40):
            serial.serve()
        for _ in range(10):
            serial.add("early")
        order = [serial.serve() for _ in range(10)]
        self.assertLessEqual(order.count("early"), 6)

    def test_flood_does_not_delay_others(self):
        serial = SerialQueue()
        for _ in range(1_000):
            serial.add("flood")
        for _ in range(10):
            serial.serve()
        serial.add("other")
        self.assertIn("other", [serial.serve(), serial.serve()])
        for organisation, least_s, most_s in (("third", 0, 3), ("flood", 900, 9e9)):
            wait_s = serial.queue.estimate_wait_s(
                Demand(organisation, 1.0, 100, 0), 100.0, lambda demand: 1.0
            )
            self.assertTrue(least_s <= wait_s <= most_s, wait_s)

    def test_earliest_deadline_goes_first_within_an_organisation(self):
        serial = SerialQueue()
        serial.add("acme", deadline_s=30.0)
        urgent = serial.add("acme", deadline_s=20.0)
        self.assertEqual(next(serial.queue.in_order(1)).key, urgent)
        self.assertEqual(
            [each.key for each in serial.queue.pop_expired(25.0)], [urgent]
        )

    def test_requests_with_equal_times_are_told_apart(self):
        serial = SerialQueue()
        keys = [LeaseKey("gulf-1", 1, 7), LeaseKey("gulf-1", 1, 8)]
        demand = Demand("acme", 1.0, 10, 0)
        for key in keys:
            serial.queue.add(QueuedRequest(50.0, 2.0, key, demand))
        serial.queue.remove(keys[1])
        self.assertEqual(next(serial.queue.in_order(1)).key, keys[0])

    def test_dropping_idle_counters_changes_no_order(self):
        serial = SerialQueue()
        for name in ("idle", "ahead", "ahead"):
            serial.add(name)
            serial.serve()
        serial.add("behind")
        serial.queue.charge(Demand("ahead", 1.0, 500, 0), 500, 0)
        serial.queue.drop_idle_counters()
        self.assertNotIn("idle", serial.queue._counters)
        serial.add("ahead")
        serial.add("behind")
        self.assertEqual([serial.serve() for _ in range(2)], ["behind", "behind"])


if __name__ == "__main__":
    unittest.main()
