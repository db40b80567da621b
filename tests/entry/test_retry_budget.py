import unittest

from hypothesis import given
from hypothesis import strategies as st

from banyanseam.entry.retry_budget import RetryBudget
from tests.entry.common import BOUNDS


class RetryBudgetTests(unittest.TestCase):
    @given(st.integers(1, 9), st.lists(st.floats(0, 0.5), min_size=1, max_size=200))
    def test_all_vms_together_stay_within_every_window(self, vms, pauses_s):
        budgets = [RetryBudget(BOUNDS) for _ in range(vms)]
        now_s, requests, retries = 0.0, [], []
        for index, pause_s in enumerate(pauses_s):
            now_s += pause_s
            budget = budgets[index % vms]
            budget.record_request("pool", vms, now_s)
            requests.append(now_s)
            while budget.try_spend("pool", vms, now_s):
                retries.append(now_s)
        for begin_s in retries:
            end_s = begin_s + BOUNDS.retry_window_s
            made = sum(begin_s <= at_s < end_s for at_s in retries)
            requested = sum(begin_s <= at_s < end_s for at_s in requests)
            allowed = BOUNDS.retry_ratio * requested + BOUNDS.retry_extra
            self.assertLessEqual(made, allowed)

    # A VM that began alone kept the whole fleet's retries once it knew its peers.
    def test_vms_that_learn_of_one_another_give_up_the_others_shares(self):
        vms = 9
        budgets = [RetryBudget(BOUNDS) for _ in range(vms)]
        retries = 0
        for budget in budgets:
            budget.has_retry("pool", 1, 0.0)
            while budget.try_spend("pool", vms, 0.1):
                retries += 1
        self.assertLessEqual(retries, BOUNDS.retry_extra)

    def test_each_service_has_its_own_budget(self):
        budget = RetryBudget(BOUNDS)
        while budget.try_spend("pool", 9, 0.0):
            pass
        self.assertFalse(budget.has_retry("pool", 9, 0.0))
        self.assertTrue(budget.try_spend("desk", 9, 0.0))

    def test_requests_earn_retries(self):
        budget = RetryBudget(BOUNDS)
        while budget.try_spend("pool", 9, 0.0):
            pass
        for _ in range(20):
            budget.record_request("pool", 9, 0.1)
        self.assertTrue(budget.try_spend("pool", 9, 0.1))


if __name__ == "__main__":
    unittest.main()
