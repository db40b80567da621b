import random
import unittest
from collections import Counter

from banyanseam.entry.models import PrefixSegment, Prompt
from banyanseam.entry.performance.models import INITIAL_PERFORMANCE
from banyanseam.entry.placing import (
    Placement,
    PlacementRequest,
    count_memory_tokens,
    estimate_prefill_ms,
    find_shared_prefix,
    is_admitted,
    may_be_sent,
)
from banyanseam.entry.placing import (
    choose as choose_placement,
)
from banyanseam.entry.scarcity.holding import choose_hold_rule
from tests.entry.common import make_candidate, make_prompt

HERE = [make_candidate("e1"), make_candidate("e2"), make_candidate("e3")]


def choose(candidates, request, cached=()):
    return choose_placement(
        candidates, request, lambda _, each: each.upstream_id in cached
    )


def make_request(prompt=None, body_bytes=34_000):
    return PlacementRequest(prompt, body_bytes, "gulf")


class PlacingTests(unittest.TestCase):
    def test_a_history_returns_to_the_same_engine(self):
        for number in range(44):
            prompt = make_prompt(f"h{number}")
            first = choose(HERE, make_request(prompt)).candidate.upstream_id
            second = choose(list(reversed(HERE)), make_request(prompt))
            self.assertEqual(second.candidate.upstream_id, first)

    def test_histories_are_spread_over_the_engines(self):
        counts = Counter(
            choose(HERE, make_request(make_prompt(f"h{number}"))).candidate.upstream_id
            for number in range(300)
        )
        self.assertEqual(len(counts), 3)
        self.assertGreater(min(counts.values()), 50)

    def test_an_engine_that_leaves_moves_only_its_own_histories(self):
        for number in range(100):
            prompt = make_prompt(f"h{number}")
            previous = choose(HERE, make_request(prompt)).candidate.upstream_id
            current = choose(HERE[:2], make_request(prompt)).candidate.upstream_id
            if previous != "e3":
                self.assertEqual(current, previous)

    def test_a_long_queue_outweighs_the_preferred_engine(self):
        prompt = make_prompt()
        preferred = choose(HERE, make_request(prompt)).candidate.upstream_id
        busy = [
            make_candidate(
                each.upstream_id,
                prefill_ms=5000.0 if each.upstream_id == preferred else 0.0,
            )
            for each in HERE
        ]
        self.assertNotEqual(
            choose(busy, make_request(prompt)).candidate.upstream_id, preferred
        )

    def test_another_region_must_be_better_by_the_round_trip(self):
        query = Prompt(383, 45, (PrefixSegment("p", 92), PrefixSegment("own", 291)))
        near = make_candidate("near", requests=8)
        far = make_candidate("far", "delta")
        chosen = choose([near, far], make_request(query, 770))
        self.assertEqual(chosen.candidate.upstream_id, "near")
        full = make_candidate("near", requests=64, prefill_ms=1000.0)
        chosen = choose([full, far], make_request(query, 770))
        self.assertEqual(chosen.candidate.upstream_id, "far")

    def test_prefill_time_grows_faster_than_the_prompt(self):
        short_ms = estimate_prefill_ms(
            make_prompt(shared=0, own=10_000), INITIAL_PERFORMANCE, is_cached=False
        )
        long_ms = estimate_prefill_ms(
            make_prompt(shared=0, own=50_000), INITIAL_PERFORMANCE, is_cached=False
        )
        self.assertGreater(long_ms, 5.5 * short_ms)

    def test_a_cached_history_is_not_prefilled_elsewhere(self):
        # Prefilling it takes 351 ms and a repeated prefill costs extra, so waiting for
        # as long again is cheaper, also in another region.
        prompt = make_prompt()
        for other in (make_candidate("other"), make_candidate("other", "delta")):
            with self.subTest(other.region):
                here = make_candidate("here", prefill_ms=0.0)
                chosen = choose([here, other], make_request(prompt), {"other"})
                self.assertEqual(chosen.candidate.upstream_id, "other")
                self.assertTrue(chosen.is_cached)
        waiting = make_candidate("other", prefill_ms=3000.0)
        chosen = choose(
            [make_candidate("here"), waiting], make_request(prompt), {"other"}
        )
        self.assertEqual(chosen.candidate.upstream_id, "here")

    def test_processes_with_the_same_loads_choose_differently(self):
        # Under heavy load, all VMs sent every short query for half a second to the
        # engine with the fewest requests, and each then took three seconds.
        query = Prompt(383, 45, (PrefixSegment("p", 92), PrefixSegment("own", 291)))
        rng = random.Random(3)
        counts = Counter(
            choose_placement(
                HERE, make_request(query, 770), lambda *_: False, rng.random
            ).candidate.upstream_id
            for _ in range(300)
        )
        self.assertGreater(min(counts.values()), 60)

    def test_an_engine_that_runs_many_is_slower_for_long_answers(self):
        query = Prompt(383, 180, (PrefixSegment("p", 92), PrefixSegment("own", 291)))
        busy = make_candidate("busy", requests=40)
        reading = make_candidate("reading", prefill_ms=300.0)
        chosen = choose([busy, reading], make_request(query, 770))
        self.assertEqual(chosen.candidate.upstream_id, "reading")

    def test_long_prompts_are_held_back_and_short_ones_never(self):
        # In the first seconds of every day all histories are prefilled again, and
        # short queries waited behind three of them.
        busy = Placement(make_candidate("e1", prefill_ms=450.0), 900.0, is_cached=False)
        free = Placement(make_candidate("e1"), 450.0, is_cached=False)
        query = Prompt(383, 45, ())
        self.assertTrue(may_be_sent(busy, query, 0.0))
        self.assertTrue(may_be_sent(free, make_prompt(), 0.0))
        self.assertFalse(may_be_sent(busy, make_prompt(), 0.0))
        # A prompt that has waited for long is sent before later ones.
        self.assertTrue(may_be_sent(busy, make_prompt(), 1000.0))

    def test_queued_prefill_counts_for_long_prompts_only(self):
        queued = make_candidate("queued", queued_ms=2000.0)
        reading = make_candidate("reading", prefill_ms=300.0)
        query = Prompt(383, 45, ())
        chosen = choose([queued, reading], make_request(query, 770))
        self.assertEqual(chosen.candidate.upstream_id, "queued")
        chosen = choose([queued, reading], make_request(make_prompt()))
        self.assertEqual(chosen.candidate.upstream_id, "reading")

    def test_overload_is_refused_before_all_requests_are_late(self):
        # With 427 short queries per second on engines that can serve 250, all of them
        # waited for one to three seconds, and none was served within its target.
        query = Prompt(383, 45, ())
        target_ms, left_ms = 800.0, 5000.0
        for requests, prefill_ms, admitted in (
            (30, 200.0, True),
            (64, 300.0, True),
            (64, 1200.0, False),
            (250, 300.0, False),
        ):
            engine = make_candidate(requests=requests, prefill_ms=prefill_ms)
            placement = choose([engine], make_request(query, 770))
            with self.subTest(requests=requests, prefill_ms=prefill_ms):
                self.assertIs(
                    is_admitted(placement, query, target_ms, left_ms), admitted
                )
        history = make_prompt()
        placement = choose([make_candidate(prefill_ms=600.0)], make_request(history))
        self.assertTrue(is_admitted(placement, history, 1200.0, 8000.0))
        # A request whose answer would come after the deadline is refused.
        self.assertFalse(is_admitted(placement, history, 1200.0, 1000.0))

    def test_a_prompt_that_is_held_back_is_refused_when_it_would_be_far_too_late(self):
        history, rule = make_prompt(), choose_hold_rule(500.0)
        placement = choose([make_candidate(prefill_ms=600.0)], make_request(history))
        for waited_ms, admitted in ((0.0, True), (1000.0, True), (2500.0, False)):
            with self.subTest(waited_ms=waited_ms):
                self.assertIs(
                    is_admitted(placement, history, 1200.0, 20_000.0, rule, waited_ms),
                    admitted,
                )

    def test_services_without_engines_use_the_least_loaded_upstream(self):
        full = make_candidate("full", slots=6, memory_tokens=0, requests=6)
        free = make_candidate("free", slots=6, memory_tokens=0, requests=1)
        chosen = choose([full, free], make_request(None, 600))
        self.assertEqual(chosen.candidate.upstream_id, "free")

    def test_a_request_that_does_not_fit_into_memory_is_not_placed(self):
        full = make_candidate("full", held_tokens=290_000)
        self.assertIsNone(choose([full], make_request(make_prompt())))

    def test_a_cold_engine_is_the_last_choice(self):
        cold = make_candidate("cold", is_reserve=True)
        busy = make_candidate("busy", requests=60, prefill_ms=800.0)
        chosen = choose([cold, busy], make_request(make_prompt()))
        self.assertEqual(chosen.candidate.upstream_id, "busy")
        chosen = choose([cold], make_request(make_prompt()))
        self.assertEqual(chosen.candidate.upstream_id, "cold")

    def test_counting_tokens(self):
        prompt = make_prompt(shared=1000, own=200)
        self.assertEqual(find_shared_prefix(prompt), ("h1", 1000))
        cached_ms = estimate_prefill_ms(prompt, INITIAL_PERFORMANCE, is_cached=True)
        self.assertAlmostEqual(cached_ms, 200 / 37.9, delta=0.1)
        uncached_ms = estimate_prefill_ms(prompt, INITIAL_PERFORMANCE, is_cached=False)
        self.assertAlmostEqual(uncached_ms, 1200 / 37.9, delta=0.2)
        self.assertEqual(count_memory_tokens(prompt), 320)
        self.assertEqual(find_shared_prefix(make_prompt(shared=100)), ("", 0))
        self.assertEqual(find_shared_prefix(None), ("", 0))


if __name__ == "__main__":
    unittest.main()
