import copy
import unittest

from hypothesis import given
from hypothesis import strategies as st

from banyanseam.quota.account import Account
from banyanseam.quota.const import DEFAULT_TIMING, WHOLE_UNITS
from banyanseam.quota.share import Quota, Share

COSTS = st.integers(0, 150)
STEPS = st.tuples(st.sampled_from(("charge", "settle", "restart", "drain")), COSTS)


def describe(account, now_s):
    share = account.share
    return (
        (share.tokens, share.outstanding, share.free_capacity_tokens, share.own_units),
        (account.granted, len(account.waiting), account.waiting.tokens),
        account.demand.measure(now_s),
    )


class PreviewTests(unittest.TestCase):
    @given(st.lists(STEPS, max_size=12), COSTS, st.floats(0, 20))
    def test_preview_matches_the_charge_and_changes_nothing(
        self, steps, cost, patience
    ):
        account = Account("acme", Share(Quota(10, 100), DEFAULT_TIMING, 0.0))
        account.share.open_full(WHOLE_UNITS, 0.0)
        for at_s, (step, tokens) in enumerate(steps):
            if step == "charge":
                account.charge(str(at_s), tokens, patience, at_s)
            elif step == "settle":
                account.settle(str(at_s // 2), tokens, at_s)
            elif step == "restart":
                account.share.restart(at_s)
            else:
                account.lenders_empty_until_s = at_s + tokens
        now_s = len(steps)
        real, untouched = copy.deepcopy(account), copy.deepcopy(account)
        preview = account.preview(cost, patience, now_s)
        untouched.share.advance(now_s)
        self.assertEqual(describe(account, now_s), describe(untouched, now_s))
        self.assertEqual(preview, real.charge("new", cost, patience, now_s))


if __name__ == "__main__":
    unittest.main()
