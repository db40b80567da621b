"""Loads beyond what engines can do, played before a model of engines."""

import random
import statistics
import unittest
from unittest import mock

from banyanseam.entry.models import Prompt
from banyanseam.entry.placing import Ask
from tests.entry.engine_model import Call, Engine, Pool

# Source: the operators' sheets of short questions.
TARGET_MS = 800.0
DEADLINE_MS = 4000.0
LATE_SHARE = 0.3
MAX_OUTPUT_TOKENS = 180
SECONDS = 8


def make_calls(chance: random.Random, per_s: float) -> list[Call]:
    calls, now_ms = [], 0.0
    while now_ms < SECONDS * 1000:
        now_ms += chance.expovariate(per_s) * 1000
        prompt_tokens = int(min(1830, max(20, chance.lognormvariate(5.2, 1.0))))
        output_tokens = int(min(MAX_OUTPUT_TOKENS, chance.lognormvariate(3.3, 1.0)))
        prompt = Prompt(prompt_tokens, MAX_OUTPUT_TOKENS, ())
        calls.append(
            Call(prompt, max(1, output_tokens), now_ms, TARGET_MS, DEADLINE_MS)
        )
    return calls


def play(per_s: float, engines: int, seed: int) -> tuple[Pool, list[Call]]:
    chance = random.Random(seed)
    calls = make_calls(chance, per_s)
    names = [f"e{number}" for number in range(engines)]
    pool = Pool({name: Engine(name) for name in names}, chance)
    pool.play(calls, lambda call: Ask(call.prompt, 770, "gulf"))
    return pool, calls


def earn(calls: list[Call]) -> float:
    return sum(call.credit(LATE_SHARE) for call in calls) / len(calls)


class OverloadTests(unittest.TestCase):
    def test_a_load_that_fits_is_served_in_time_and_never_refused(self):
        for per_s, engines in ((50, 1), (200, 4)):
            pool, calls = play(per_s, engines, seed=1)
            with self.subTest(per_s=per_s):
                self.assertEqual(pool.refusals, 0)
                self.assertGreater(earn(calls), 0.99)

    def test_a_load_half_as_large_again_earns_more_than_without_refusals(self):
        # 360 short questions a second before four engines that can do some 240.
        for seed in (1, 2):
            _, calls = play(360, 4, seed)
            with mock.patch("tests.entry.engine_model.is_admitted", lambda *_: True):
                _, baseline = play(360, 4, seed)
            with self.subTest(seed=seed):
                self.assertGreater(earn(calls), 1.3 * earn(baseline))
                firsts_ms = [
                    call.first_ms - call.asked_ms
                    for call in calls
                    if call.credit(LATE_SHARE)
                ]
                self.assertLess(statistics.median(firsts_ms), TARGET_MS)

    def test_the_wait_is_foretold_also_where_the_batch_is_full(self):
        # Prompts that wait for a place in the batch were counted twice: callers were
        # refused whose wait would have been half of what was foretold.
        pool, _ = play(360, 4, seed=1)
        long_waits = [
            (foretold_ms, waited_ms)
            for foretold_ms, waited_ms in pool.list_waits()
            if foretold_ms >= 600
        ]
        self.assertGreater(len(long_waits), 100)
        ratio = statistics.median(waited / foretold for foretold, waited in long_waits)
        self.assertGreater(ratio, 0.75)
        self.assertLess(ratio, 1.25)


if __name__ == "__main__":
    unittest.main()
