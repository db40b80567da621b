"""Place on engines of other speeds than assumed, with and without observing them."""

import math
import random
import statistics
import unittest
from collections.abc import Sequence
from dataclasses import dataclass

from banyanseam.entry.models import Prompt
from banyanseam.entry.placing import PlacementRequest
from tests.entry.engine_model import Call, Engine, Pool

LATE_SHARE = 0.3
DEADLINE_MS = 4000.0
SECONDS = 6
SEEDS = range(1, 6)


def make_calls(rng: random.Random, per_s: float) -> list[Call]:
    """Return short queries, and a tenth of long prompts."""
    calls, now_ms = [], 0.0
    while now_ms < SECONDS * 1000:
        now_ms += rng.expovariate(per_s) * 1000
        if rng.random() < 0.1:
            prompt = Prompt(int(rng.uniform(2000, 8000)), 120, ())
            calls.append(Call(prompt, rng.randint(20, 120), now_ms, 1200, DEADLINE_MS))
            continue
        tokens = int(min(1830, max(20, rng.lognormvariate(5.2, 1.0))))
        output_tokens = max(1, int(min(180, rng.lognormvariate(3.3, 1.0))))
        prompt = Prompt(tokens, 180, ())
        calls.append(Call(prompt, output_tokens, now_ms, 800, DEADLINE_MS))
    return calls


def simulate(
    speeds: Sequence[float], slots: int, per_s: float, seed: int, *, is_observing: bool
) -> tuple[Pool, list[Call]]:
    rng = random.Random(seed)
    calls = make_calls(rng, per_s)
    engines = {
        f"e{number}": Engine(f"e{number}", slots=slots, speed=speed)
        for number, speed in enumerate(speeds)
    }
    pool = Pool(engines, rng, is_observing=is_observing)
    pool.run(calls, lambda call: PlacementRequest(call.prompt, 770, "gulf"))
    return pool, calls


def compute_credit(calls: list[Call]) -> float:
    return statistics.mean(call.credit(LATE_SHARE) for call in calls)


def compute_ratio(pool: Pool) -> float:
    """Return the median of real to estimated waits, of long ones, as a logarithm."""
    ratios = [
        waited_ms / estimated_ms
        for estimated_ms, waited_ms in pool.list_waits()
        if estimated_ms > 100
    ]
    return math.log(statistics.median(ratios))


@dataclass
class Outcome:
    """Means of some seeds, with or without observing."""

    credit: float
    error: float
    refusals: float


def measure(
    speeds: Sequence[float], slots: int, per_s: float, *, is_observing: bool
) -> Outcome:
    found = [
        simulate(speeds, slots, per_s, seed, is_observing=is_observing)
        for seed in SEEDS
    ]
    return Outcome(
        statistics.mean(compute_credit(calls) for _, calls in found),
        statistics.mean(abs(compute_ratio(pool)) for pool, _ in found),
        statistics.mean(pool.refusals for pool, _ in found),
    )


class UnlikeEnginesTests(unittest.TestCase):
    def test_waits_are_estimated_better_on_engines_of_other_speeds(self):
        for case in (
            ([0.5] * 4, 64, 70),
            ([2.0] * 4, 64, 240),
            ([4.0] * 4, 16, 480),
            ([0.7, 0.7, 1.7] * 2, 16, 200),
            ([2.8, 2.8, 6.8] * 2, 16, 500),
        ):
            observed = measure(*case, is_observing=True)
            baseline = measure(*case, is_observing=False)
            with self.subTest(case):
                self.assertLess(observed.error, baseline.error)
                self.assertGreaterEqual(observed.credit, baseline.credit)

    def test_half_speed_engines_below_their_capacity_lose_nothing(self):
        observed = measure([0.5] * 4, 64, 60, is_observing=True)
        baseline = measure([0.5] * 4, 64, 60, is_observing=False)
        self.assertLess(observed.error, baseline.error)
        self.assertGreaterEqual(observed.credit, baseline.credit)

    def test_fast_engines_are_not_refused_for_waits_that_never_come(self):
        for case in (([4.0] * 4, 16, 480), ([2.8, 2.8, 6.8] * 2, 16, 700)):
            observed = measure(*case, is_observing=True)
            baseline = measure(*case, is_observing=False)
            with self.subTest(case):
                self.assertLess(observed.refusals, baseline.refusals)
                self.assertGreater(observed.credit, 1.1 * baseline.credit)

    def test_on_engines_as_assumed_all_choices_stay_what_they_were(self):
        for slots, per_s in ((64, 60), (64, 120), (16, 60), (12, 60)):
            for seed in SEEDS:
                pool, baseline = (
                    simulate([1.0] * 4, slots, per_s, seed, is_observing=observing)[0]
                    for observing in (True, False)
                )
                with self.subTest(slots=slots, per_s=per_s, seed=seed):
                    self.assertEqual(pool.list_waits(), baseline.list_waits())
                    self.assertEqual(pool.refusals, baseline.refusals)


if __name__ == "__main__":
    unittest.main()
