import unittest

from hypothesis import given
from hypothesis import strategies as st

from banyanseam.entry.overdraft import choose_overdraft, update_usual_cost

COSTS = st.floats(1, 1e6)


class OverdraftTests(unittest.TestCase):
    def test_only_requests_below_the_usual_cost_may_overdraw(self):
        for cost, is_allowed in (
            (200, True),
            (950, True),
            (1900, False),
            (17e3, False),
        ):
            with self.subTest(cost=cost):
                overdraft = choose_overdraft(cost, 1900, 1e6, 1.0)
                self.assertEqual(overdraft > 0, is_allowed)

    def test_parts_of_a_partitioned_fleet_do_not_overdraw(self):
        self.assertEqual(choose_overdraft(200, 1900, 1e6, 0.66), 0.0)

    @given(COSTS, st.integers(1, 100))
    def test_equal_requests_never_overdraw(self, cost, count):
        usual_cost = 0.0
        for _ in range(count):
            usual_cost = update_usual_cost(usual_cost, cost)
        self.assertEqual(choose_overdraft(cost, usual_cost, 1e6, 1.0), 0.0)

    @given(st.lists(COSTS, min_size=1))
    def test_the_usual_cost_stays_between_the_least_and_the_most(self, costs):
        usual_cost = 0.0
        for cost in costs:
            usual_cost = update_usual_cost(usual_cost, cost)
        self.assertGreaterEqual(usual_cost, min(costs) * (1 - 1e-9))
        self.assertLessEqual(usual_cost, max(costs) * (1 + 1e-9))


if __name__ == "__main__":
    unittest.main()
