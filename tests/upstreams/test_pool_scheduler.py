import unittest
from dataclasses import replace

from banyanseam.upstreams.const import FAILURES_TO_EJECT, FIRST_PAUSE_S
from banyanseam.upstreams.models import Demand, LeaseKey, LoadReport, Outcome
from banyanseam.upstreams.pool_scheduler import PoolScheduler
from banyanseam.upstreams.pools import list_pools
from banyanseam.upstreams.prefix import hash_prefix
from banyanseam.upstreams.terms import SMALL_REGION
from tests.common import make_config

NAME = "gulf-engine-1"
PROMPT_TOKENS = 4_000
PROMPTS = 10


class RestartTests(unittest.TestCase):
    """An upstream that starts again under its name has lost its cache and its runs."""

    def setUp(self):
        self.pool = next(iter(list_pools(make_config(), "gulf").values()))
        self.scheduler = PoolScheduler(self.pool, frozenset(), 0.0)
        ledger = self.scheduler.tracked[NAME].ledger
        ledger.learning_until_s = 0.0
        ledger.no_conflict_since_s = -60.0
        self.numbers = 0

    def report(self, incarnation, now_s):
        report = LoadReport(0, 0, 0, False, now_s, incarnation=incarnation)
        self.scheduler.observe(NAME, report, now_s)

    def send(self, prompt, now_s):
        """Queue a request and return the keys of all that are granted now."""
        self.numbers += 1
        key = LeaseKey("gulf-1", 1, self.numbers)
        prefix = hash_prefix(bytes([prompt]) * 4 * PROMPT_TOKENS)
        demand = Demand("acme", 1.0, PROMPT_TOKENS, 0, prefix)
        self.scheduler.enqueue(key, demand, now_s + 60, now_s)
        return [each.key for each in self.scheduler.dispatch(now_s)[0]]

    def warm_up(self):
        for prompt in range(PROMPTS):
            now_s = float(prompt)
            self.report("first", now_s)
            for key in self.send(prompt, now_s):
                self.scheduler.release(key, NAME, Outcome.COMPLETED, 0, now_s)
        return float(PROMPTS)

    def count_sent(self, now_s):
        return sum(len(self.send(prompt, now_s)) for prompt in range(PROMPTS))

    def test_known_prompts_do_not_flood_an_upstream_that_restarted(self):
        for incarnation, expected in (("first", PROMPTS), ("second", 2)):
            with self.subTest(incarnation):
                self.setUp()
                now_s = self.warm_up()
                self.report(incarnation, now_s)
                self.assertEqual(self.count_sent(now_s), expected)

    def test_a_resumed_keeper_sends_nothing_by_reports_of_before(self):
        now_s = self.warm_up() + 10
        self.scheduler.restart(now_s)
        self.assertEqual(self.count_sent(now_s), 0)
        self.report("second", now_s)
        # The first 5% of the memory hold one of these prompts.
        self.assertEqual(self.count_sent(now_s), 1)

    def restart_after(self, now_s):
        """Report the old process for 5 s and then the new one; return the time."""
        self.scheduler.renew("gulf-1", 1, now_s + 3, SMALL_REGION)
        self.report("first", now_s + 5)
        self.report("second", now_s + 5.5)
        return now_s + 5.5

    def test_late_failures_of_lost_requests_do_not_eject_the_new_process(self):
        for outcome in (Outcome.FAILED, Outcome.UNREACHABLE):
            with self.subTest(outcome):
                self.setUp()
                now_s = self.warm_up()
                lost = [key for _ in range(3) for key in self.send(0, now_s)]
                self.assertEqual(len(lost), FAILURES_TO_EJECT)
                now_s = self.restart_after(now_s)
                (own,) = self.send(0, now_s)
                self.scheduler.release(own, NAME, Outcome.COMPLETED, 0, now_s)
                for key in lost:
                    self.scheduler.release(key, NAME, outcome, 0, now_s)
                self.assertTrue(self.scheduler.tracked[NAME].is_usable(now_s))

    def test_a_probe_lost_in_a_restart_does_not_block_the_next(self):
        self.report("first", 0.0)
        health = self.scheduler.tracked[NAME].health
        for _ in range(FAILURES_TO_EJECT):
            health.record_failure(0.0)
        (probe,) = self.send(0, FIRST_PAUSE_S)
        now_s = self.restart_after(FIRST_PAUSE_S)
        self.assertEqual(len(self.send(1, now_s)), 1)
        self.scheduler.release(probe, NAME, Outcome.COMPLETED, 0, now_s)
        self.assertFalse(health.may_send(now_s))

    def test_a_republished_name_keeps_neither_cache_nor_ejection(
        self,
    ):
        engine = self.pool.upstreams[0]
        moved = replace(engine, address="127.0.0.1:9")
        cases = {
            "removed": [replace(self.pool, upstreams=()), self.pool],
            "other address": [replace(self.pool, upstreams=(moved,))],
            "same address": [
                replace(self.pool, upstreams=(replace(engine, max_in_flight=100),))
            ],
        }
        for name, pools in cases.items():
            with self.subTest(name):
                self.setUp()
                self.warm_up()
                for _ in range(FAILURES_TO_EJECT):
                    self.scheduler.tracked[NAME].health.record_failure(10.0)
                for pool in pools:
                    self.scheduler.update(pool, frozenset(), frozenset(), 10.0)
                cached = self.scheduler.prefixes.count_cached_tokens(
                    hash_prefix(b"\0" * 4 * PROMPT_TOKENS), NAME
                )
                is_same = name == "same address"
                self.assertEqual(cached > 0, is_same)
                is_usable = self.scheduler.tracked[NAME].is_usable(10.0)
                self.assertEqual(is_usable, not is_same)


if __name__ == "__main__":
    unittest.main()
