import unittest

from banyanseam.pipe.retry import MIN_RETRIES, RetryBudget, retry_once
from banyanseam.upstreams.errors import (
    NoUpstreamAvailable,
    UpstreamFailed,
    UpstreamRefused,
    UpstreamTimedOut,
    UpstreamUnreachable,
)
from tests.common import make_exchange, run_with_mock_clock
from tests.idempotency.fleet import Sink


class RetryTests(unittest.TestCase):
    def count_tries(self, exchange, error, *, started=False, replied=False):
        tries = []

        async def upstream(_):
            tries.append(set(exchange.avoided_upstreams))
            exchange.upstream = f"u{len(tries)}"
            exchange.upstream_started |= started
            exchange.reply.started |= replied
            raise error

        async def run():
            with self.assertRaises(type(error)):
                await retry_once(RetryBudget(), lambda: 1.0)(exchange, upstream)

        run_with_mock_clock(run)
        self.assertIn(tries, ([set()], [set(), {"u1"}]))
        return len(tries)

    def test_only_safe_and_useful_retries_are_made(self):
        table = (
            (True, UpstreamUnreachable(), False, False, 2),
            (False, UpstreamUnreachable(), False, False, 2),
            (False, UpstreamUnreachable(), True, False, 1),
            (True, UpstreamFailed(), True, False, 2),
            (True, UpstreamFailed(), True, True, 1),
            (False, UpstreamFailed(), True, False, 1),
            (True, UpstreamTimedOut(), True, False, 1),
            (False, UpstreamRefused(), False, False, 2),
            (True, NoUpstreamAvailable(), False, False, 1),
        )
        for is_idempotent, error, started, replied, tries in table:
            with self.subTest(error=error, started=started, replied=replied):
                exchange = make_exchange(
                    Sink(), is_idempotent=is_idempotent, deadline_s=30.0
                )
                counted = self.count_tries(
                    exchange, error, started=started, replied=replied
                )
                self.assertEqual(counted, tries)

    def test_nothing_is_tried_after_the_deadline(self):
        exchange = make_exchange(Sink(), is_idempotent=True)
        self.assertEqual(self.count_tries(exchange, UpstreamUnreachable()), 1)


class BudgetTests(unittest.TestCase):
    def test_retries_stay_within_their_share(self):
        budget = RetryBudget()
        allowed = 0
        for number in range(1000):
            now_s = number / 100
            budget.record_first_attempt(now_s)
            allowed += budget.allow_retry(0.1, now_s)
        self.assertLessEqual(allowed, 0.1 * 1000 + MIN_RETRIES)
        self.assertGreater(allowed, 50)

    def test_past_load_earns_no_retries_later(self):
        budget = RetryBudget()
        for _ in range(1000):
            budget.record_first_attempt(0.0)
        allowed = sum(budget.allow_retry(0.1, 100.0) for _ in range(100))
        self.assertLessEqual(allowed, MIN_RETRIES)
