import random
import unittest
from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from banyanseam.entry.scarcity.holding import (
    USUAL_RULE,
    HoldRule,
    choose_hold_rule,
    find_send_share,
)

# Questions beside long prompts: prefill in ms, target, and requests a second of one
# engine's share, together 1.3 times what it prefills.
SHORT_MS, SHORT_TARGET_MS, SHORT_PER_S = 8.0, 500.0, 25.0
LONG_MS, LONG_TARGET_MS, LONG_PER_S = 110.0, 1500.0, 10.0
DEADLINE_MS = 6000.0
REPORT_PERIOD_MS = 250.0
TICK_MS = 30.0
TIMES = st.floats(0, 1e5)


@dataclass
class Request:
    prefill_ms: float
    asked_ms: float
    first_ms: float | None = None

    @property
    def wait_ms(self) -> float:
        return float("inf") if self.first_ms is None else self.first_ms - self.asked_ms


def play(rule: HoldRule, seed: int, seconds: float = 20.0) -> list[Request]:
    """Return the requests that several VMs sent one engine by reports of 0.25 s age."""
    rng = random.Random(seed)
    requests = []
    for prefill_ms, per_s in ((SHORT_MS, SHORT_PER_S), (LONG_MS, LONG_PER_S)):
        now_ms = 0.0
        while now_ms < seconds * 1000:
            now_ms += rng.expovariate(per_s) * 1000
            requests.append(Request(prefill_ms, now_ms))
    pending = sorted(requests, key=lambda each: each.asked_ms)
    held: list[Request] = []
    free_ms = reported_ms = -1e9
    backlog_ms = held_ms = now_ms = 0.0
    while pending or held:
        now_ms += TICK_MS
        held += [each for each in pending if each.asked_ms <= now_ms]
        pending = [each for each in pending if each.asked_ms > now_ms]
        held = [each for each in held if now_ms - each.asked_ms < DEADLINE_MS]
        if now_ms - reported_ms >= REPORT_PERIOD_MS:
            reported_ms, backlog_ms = now_ms, max(0.0, free_ms - now_ms)
            held_ms = sum(each.prefill_ms for each in held)
        for each in list(held):
            share = find_send_share(
                rule,
                each.prefill_ms,
                backlog_ms,
                held_ms,
                now_ms - each.asked_ms,
            )
            if rng.random() >= share:
                continue
            held.remove(each)
            each.first_ms = free_ms = max(free_ms, now_ms) + each.prefill_ms
    return requests


def share_in_time(requests: list[Request], prefill_ms: float, target_ms: float):
    found = [each for each in requests if each.prefill_ms == prefill_ms]
    return sum(each.wait_ms <= target_ms for each in found) / len(found)


class LoadTests(unittest.TestCase):
    def test_urgent_requests_are_in_time_beside_too_many_long_prompts(self):
        for seed in (1, 2, 3):
            before = play(USUAL_RULE, seed)
            after = play(choose_hold_rule(SHORT_TARGET_MS), seed)
            with self.subTest(seed=seed):
                self.assertLess(share_in_time(before, SHORT_MS, SHORT_TARGET_MS), 0.5)
                self.assertGreater(share_in_time(after, SHORT_MS, SHORT_TARGET_MS), 0.9)

    def test_long_prompts_are_still_served_while_room_is_short(self):
        for seed in (1, 2, 3):
            after = play(choose_hold_rule(SHORT_TARGET_MS), seed)
            served = share_in_time(after, LONG_MS, DEADLINE_MS)
            with self.subTest(seed=seed):
                # There is room for three quarters of them.
                self.assertGreater(served, 0.6)


class RuleTests(unittest.TestCase):
    def test_without_more_urgent_requests_the_usual_rule_applies(self):
        self.assertIs(choose_hold_rule(None), USUAL_RULE)
        for backlog_ms, expected in ((80.0, 1.0), (81.0, 0.0)):
            share = find_send_share(USUAL_RULE, 120.0, backlog_ms, 1e6, 0.0)
            self.assertEqual(share, expected)

    def test_an_idle_engine_gets_a_prompt_at_once(self):
        rule = choose_hold_rule(500.0)
        self.assertEqual(find_send_share(rule, LONG_MS, 0.0, 0.0, 0.0), 1.0)

    @given(TIMES, TIMES, TIMES)
    def test_short_prompts_are_never_held_back(self, backlog_ms, held_ms, waited_ms):
        rule = choose_hold_rule(500.0)
        share = find_send_share(rule, SHORT_MS, backlog_ms, held_ms, waited_ms)
        self.assertEqual(share, 1.0)

    @given(TIMES, TIMES, TIMES, TIMES)
    def test_who_has_waited_longer_has_no_smaller_chance(
        self, backlog_ms, held_ms, first_ms, second_ms
    ):
        rule = choose_hold_rule(500.0)
        less_ms, more_ms = sorted((first_ms, second_ms))
        self.assertLessEqual(
            find_send_share(rule, LONG_MS, backlog_ms, held_ms, less_ms),
            find_send_share(rule, LONG_MS, backlog_ms, held_ms, more_ms),
        )

    @given(TIMES)
    def test_nobody_waits_for_ever(self, backlog_ms):
        rule = choose_hold_rule(500.0)
        waited_ms = backlog_ms / rule.backlog_growth
        self.assertEqual(find_send_share(rule, LONG_MS, backlog_ms, 0.0, waited_ms), 1)


if __name__ == "__main__":
    unittest.main()
