"""Simulate loads beyond the engines' capacity on a model of the engines."""

import random
import statistics
import unittest
from unittest import mock

from banyanseam.entry.models import Prompt
from banyanseam.entry.placing import PlacementRequest
from tests.entry.engine_model import Call, Engine, Pool

# Source: the operators' sheets for short queries.
TARGET_MS = 800.0
DEADLINE_MS = 4000.0
LATE_SHARE = 0.3
MAX_OUTPUT_TOKENS = 180
SECONDS = 8


def make_calls(rng: random.Random, per_s: float) -> list[Call]:
    calls, now_ms = [], 0.0
    while now_ms < SECONDS * 1000:
        now_ms += rng.expovariate(per_s) * 1000
        prompt_tokens = int(min(1830, max(20, rng.lognormvariate(5.2, 1.0))))
        output_tokens = int(min(MAX_OUTPUT_TOKENS, rng.lognormvariate(3.3, 1.0)))
        prompt = Prompt(prompt_tokens, MAX_OUTPUT_TOKENS, ())
        calls.append(
            Call(prompt, max(1, output_tokens), now_ms, TARGET_MS, DEADLINE_MS)
        )
    return calls


def simulate(per_s: float, engines: int, seed: int) -> tuple[Pool, list[Call]]:
    rng = random.Random(seed)
    calls = make_calls(rng, per_s)
    names = [f"e{number}" for number in range(engines)]
    pool = Pool({name: Engine(name) for name in names}, rng)
    pool.run(calls, lambda call: PlacementRequest(call.prompt, 770, "gulf"))
    return pool, calls


def compute_mean_credit(calls: list[Call]) -> float:
    return sum(call.credit(LATE_SHARE) for call in calls) / len(calls)


class OverloadTests(unittest.TestCase):
    def test_a_load_that_fits_is_served_in_time_and_never_refused(self):
        for per_s, engines in ((50, 1), (200, 4)):
            pool, calls = simulate(per_s, engines, seed=1)
            with self.subTest(per_s=per_s):
                self.assertEqual(pool.refusals, 0)
                self.assertGreater(compute_mean_credit(calls), 0.99)

    def test_refusals_earn_more_at_one_and_a_half_times_the_capacity(self):
        # 360 short queries per second on four engines that can serve some 240.
        for seed in (1, 2):
            _, calls = simulate(360, 4, seed)
            with mock.patch("tests.entry.engine_model.is_admitted", lambda *_: True):
                _, baseline = simulate(360, 4, seed)
            with self.subTest(seed=seed):
                self.assertGreater(
                    compute_mean_credit(calls), 1.3 * compute_mean_credit(baseline)
                )
                firsts_ms = [
                    call.first_ms - call.asked_ms
                    for call in calls
                    if call.credit(LATE_SHARE)
                ]
                self.assertLess(statistics.median(firsts_ms), TARGET_MS)

    def test_the_wait_is_estimated_when_the_batch_is_full(self):
        # Prompts that wait for a slot in the batch were counted twice: callers were
        # refused whose wait would have been half of the estimate.
        pool, _ = simulate(360, 4, seed=1)
        long_waits = [
            (estimated_ms, waited_ms)
            for estimated_ms, waited_ms in pool.list_waits()
            if estimated_ms >= 600
        ]
        self.assertGreater(len(long_waits), 100)
        ratio = statistics.median(
            waited / estimated for estimated, waited in long_waits
        )
        self.assertGreater(ratio, 0.75)
        self.assertLess(ratio, 1.25)


if __name__ == "__main__":
    unittest.main()
