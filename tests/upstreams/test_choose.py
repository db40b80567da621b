import random
import unittest
from dataclasses import replace

from banyanseam.peers.rendezvous import rank
from banyanseam.upstreams.choose import (
    Candidate,
    LocalPool,
    RegionSummary,
    RemoteRegion,
    SpilloverLimiter,
    pick_destination,
    pick_upstream,
)
from banyanseam.upstreams.const import (
    MAX_BYPASSES,
    MAX_SECTION_BYTES,
    RAMP_S,
    REGION_TERM_S,
)
from banyanseam.upstreams.errors import InvalidSection, NoUpstreamAvailable
from banyanseam.upstreams.health import Health
from banyanseam.upstreams.models import Demand, LeaseKey, LoadReport, Outcome, PoolRow
from banyanseam.upstreams.pool_scheduler import PoolScheduler
from banyanseam.upstreams.pools import list_pools
from banyanseam.upstreams.prefix import PrefixTable, hash_prefix
from banyanseam.upstreams.regions import RegionSummaries, make_section_writer
from tests.common import make_config

POLICY = replace(
    make_config().policies["gulf"], remote_margin_ms=200, remote_share_cap=0.5
)
DEMAND = Demand("acme", 1.0, 1_000, 100)
ROW = PoolRow("gulf/model:oak/0", 50_000, 20_000, 0, 0, 2, 2_000.0, 10_000.0)
DELTA = RegionSummary("delta", 50_000, 20_000, 0, 10_000.0, reachable_since_s=0.0)
NOW_S = 1_000.0


def make_candidate(name: str, **fields) -> Candidate:
    values = {
        "memory_tokens": 10_000,
        "held_tokens": 0,
        "queued_tokens": 0,
        "running": 0,
        "decode_tokens_per_s": 1_000.0,
        "prefill_tokens_per_s": 10_000.0,
        "cached_tokens": 0,
    }
    return Candidate(name=name, **(values | fields))


class PickUpstreamTests(unittest.TestCase):
    def pick(self, *candidates, load=10_000, preferred=None):
        chosen = pick_upstream(candidates, DEMAND, load, 2_000.0, preferred)
        return chosen.name if chosen else None

    def test_table(self):
        idle, queued = make_candidate("a"), make_candidate("b", queued_tokens=9_000)
        warm = make_candidate(
            "c", cached_tokens=900, held_tokens=4_000, running=4, queued_tokens=2_000
        )
        hot = replace(warm, held_tokens=9_000, running=9)
        full = make_candidate("d", running=63)
        cases = {
            "no candidate": ((), None, None),
            "least wait": ((queued, idle), None, "a"),
            "cached": ((idle, warm), None, "c"),
            "cached beyond the bound": ((idle, hot), None, "a"),
            "unknown prompt is placed by its hash": ((idle, queued), "b", "b"),
            "a full batch takes no request": ((full,), None, None),
        }
        for name, (candidates, preferred, expected) in cases.items():
            with self.subTest(name):
                chosen = self.pick(*candidates, preferred=preferred)
                self.assertEqual(chosen, expected)

    def test_only_a_warm_cache_justifies_a_higher_load(self):
        idle = make_candidate("a")
        for cached, held, expected in ((900, 3_500, "b"), (0, 1_000, "a")):
            with self.subTest(cached=cached):
                loaded = make_candidate(
                    "b", cached_tokens=cached, held_tokens=held, running=3
                )
                chosen = self.pick(idle, loaded, load=held, preferred="b")
                self.assertEqual(chosen, expected)


class PickDestinationTests(unittest.TestCase):
    def pick(self, pools, regions, limiter=None, now_s=NOW_S, seed=1):
        limiter = limiter or SpilloverLimiter(now_s)
        rng = random.Random(seed)
        return pick_destination(pools, regions, DEMAND, POLICY, limiter, rng, now_s)

    def test_table(self):
        slow = replace(ROW, wait_ms=3_000)
        little_slower = replace(ROW, wait_ms=300)
        full = replace(DELTA, largest_free_tokens=100)
        local, remote = LocalPool(ROW.pool), RemoteRegion("delta")
        cases = {
            "local first": ([ROW], [DELTA], local),
            "below the margin": ([little_slower], [DELTA], local),
            "wins by the margin": ([slow], [DELTA], remote),
            "too little memory there": ([slow], [full], local),
            "only remote": ([], [DELTA], remote),
            "nothing": ([], [], None),
        }
        for name, (pools, regions, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(self.pick(pools, regions), expected)

    def test_share_cap_holds(self):
        limiter = SpilloverLimiter(NOW_S)
        slow = replace(ROW, wait_ms=3_000)
        destinations = []
        for _ in range(200):
            destination = self.pick([slow], [DELTA], limiter)
            limiter.record_choice(
                is_remote=isinstance(destination, RemoteRegion), now_s=NOW_S
            )
            destinations.append(destination)
        remote = sum(
            isinstance(destination, RemoteRegion) for destination in destinations
        )
        self.assertAlmostEqual(remote / 200, POLICY.remote_share_cap, delta=0.02)

    def test_spillover_stops_at_half_the_margin(self):
        limiter = SpilloverLimiter(NOW_S)
        gains = [0.15, 0.25, 0.15, 0.05, 0.15]
        self.assertEqual(
            [limiter.reaches_margin(gain, 0.2) for gain in gains],
            [False, True, True, False, False],
        )

    def test_returning_region_is_ramped(self):
        slow = replace(ROW, wait_ms=3_000)

        def share(age_s: float) -> float:
            back = replace(DELTA, reachable_since_s=NOW_S - age_s)
            chosen = [self.pick([slow], [back], seed=seed) for seed in range(300)]
            return (
                sum(isinstance(destination, RemoteRegion) for destination in chosen)
                / 300
            )

        self.assertLess(share(0.0), 0.05)
        self.assertAlmostEqual(share(RAMP_S / 2), 0.5, delta=0.1)
        self.assertEqual(share(RAMP_S), 1.0)


class PoolSchedulerTests(unittest.TestCase):
    def make_pool(self, now_s=NOW_S) -> PoolScheduler:
        pool = next(iter(list_pools(make_config(), "gulf").values()))
        scheduler = PoolScheduler(pool, frozenset(), now_s)
        tracked = scheduler.tracked["gulf-engine-1"]
        tracked.ledger.learning_until_s = now_s
        tracked.ledger.observe(LoadReport(0, 0, 0, False, now_s), now_s)
        return scheduler

    def enqueue(self, scheduler, tokens, count=1) -> int:
        """Return how many of `count` requests are granted immediately."""
        for number in range(count):
            key = LeaseKey("gulf-1", 1, tokens + number)
            demand = Demand("acme", 1.0, tokens, 0)
            scheduler.enqueue(key, demand, NOW_S + 60, NOW_S)
        return len(scheduler.dispatch(NOW_S)[0])

    def test_an_upstream_without_its_model_gets_nothing(self):
        for ready, is_refused in ((None, False), ({"oak"}, False), (set(), True)):
            with self.subTest(ready=ready):
                scheduler = self.make_pool()
                loaded = None if ready is None else frozenset(ready)
                report = LoadReport(0, 0, 0, False, NOW_S, loaded)
                scheduler.tracked["gulf-engine-1"].ledger.observe(report, NOW_S)
                if is_refused:
                    self.assertRaises(NoUpstreamAvailable, self.enqueue, scheduler, 100)
                else:
                    self.assertEqual(self.enqueue(scheduler, 100), 1)

    def test_prefill_limit_keeps_requests_in_the_fair_queue(self):
        scheduler = self.make_pool()
        # Half a second of prefill is 5,000 tokens here; the next ones wait.
        self.assertEqual(self.enqueue(scheduler, 2_000, count=10), 3)
        # A lagging report does not include what was sent since.
        lagging = LoadReport(0, 0, 0, False, NOW_S - 0.2)
        scheduler.observe("gulf-engine-1", lagging, NOW_S)
        self.assertEqual(len(scheduler.dispatch(NOW_S)[0]), 0)
        self.assertEqual(len(scheduler.dispatch(NOW_S + 0.2)[0]), 1)
        self.assertEqual(len(scheduler.dispatch(NOW_S + 1.4)[0]), 3)

    def test_upstream_that_never_reports_stays_usable(self):
        scheduler = self.make_pool()
        scheduler.tracked["gulf-engine-1"].ledger.report = None
        for number in range(300):
            now_s = NOW_S + 0.5 * number
            key = LeaseKey("gulf-1", 1, number)
            scheduler.enqueue(key, Demand("acme", 1.0, 4_000, 0), now_s + 1, now_s)
            self.assertEqual(len(scheduler.dispatch(now_s)[0]), 1, number)
            scheduler.release(key, "gulf-engine-1", Outcome.COMPLETED, 0, now_s)
        self.assertLess(len(scheduler.tracked["gulf-engine-1"]._recent_prompts), 50)

    def test_large_request_is_not_bypassed_indefinitely(self):
        scheduler = self.make_pool()
        self.enqueue(scheduler, 60_000)
        self.enqueue(scheduler, 80_000)
        prefilled = LoadReport(0, 0, 1, False, NOW_S)
        scheduler.observe("gulf-engine-1", prefilled, NOW_S)
        small = [self.enqueue(scheduler, 10 + number) for number in range(20)]
        self.assertEqual(sum(small), MAX_BYPASSES)

    def test_wait_beyond_the_deadline_is_refused_at_once(self):
        scheduler = self.make_pool()
        self.enqueue(scheduler, 80_000)
        for tokens in range(70_000, 70_008):
            self.enqueue(scheduler, tokens)
        with self.assertRaises(NoUpstreamAvailable) as caught:
            self.enqueue(scheduler, 60_000)
        self.assertGreater(caught.exception.retry_after_ms, 0)


class PrefixTests(unittest.TestCase):
    def test_longer_prompt_of_a_session_finds_its_upstream(self):
        table = PrefixTable()
        first = b"x" * 9_000
        table.record_sent(hash_prefix(first), "a")
        longer = hash_prefix(first + b"y" * 9_000)
        self.assertGreaterEqual(table.count_cached_tokens(longer, "a"), 2_000)
        self.assertEqual(table.count_cached_tokens(longer, "b"), 0)
        self.assertEqual(table.count_cached_tokens(hash_prefix(b"z" * 9_000), "a"), 0)
        table.record_evicted("a", longer[4:])
        self.assertEqual(table.count_cached_tokens(longer, "a"), 1_024)
        table.forget("a")
        self.assertEqual(table.count_cached_tokens(longer, "a"), 0)

    def test_table_is_bounded(self):
        table = PrefixTable(max_entries=10)
        for number in range(100):
            table.record_sent(hash_prefix(bytes([number]) * 4_096), "a")
        self.assertEqual(len(table._entries), 10)

    def test_removed_name_moves_only_its_own_keys(self):
        names = [f"engine-{number}" for number in range(8)]
        keys = [str(number).encode() for number in range(500)]
        before = {key: rank(names, key)[0] for key in keys}
        after = {key: rank(names[1:], key)[0] for key in keys}
        moved = [key for key in keys if before[key] != after[key]]
        self.assertTrue(all(before[key] == names[0] for key in moved))


class HealthTests(unittest.TestCase):
    def test_ejection_grows_and_one_request_probes(self):
        health = Health()
        self.assertEqual([health.record_failure(0.0) for _ in range(3)], [0, 0, 1])
        self.assertFalse(health.may_send(0.9))
        self.assertTrue(health.may_send(1.0))
        health.record_sent(1.0)
        self.assertFalse(health.may_send(1.1))
        self.assertTrue(health.record_failure(1.2))
        self.assertFalse(health.may_send(3.1))
        self.assertTrue(health.may_send(3.2))
        health.record_sent(3.2)
        health.record_success()
        self.assertTrue(health.may_send(3.3))


class RegionsTests(unittest.TestCase):
    def test_section_is_bounded_and_rotates_its_rows(self):
        rows = [replace(ROW, pool=f"pool-{number}") for number in range(600)]
        write = make_section_writer(
            lambda: rows, lambda pool: frozenset({f"model-of-{pool}"})
        )
        regions = RegionSummaries()
        for _ in range(20):
            section = write()
            self.assertLessEqual(len(section), MAX_SECTION_BYTES)
            regions.apply("delta", section, NOW_S)
        for number in range(600):
            served = f"model-of-pool-{number}"
            self.assertEqual(len(regions.list_summaries(served, NOW_S)), 1)
        old_s = NOW_S + REGION_TERM_S + 0.1
        self.assertEqual(regions.list_summaries("model-of-pool-1", old_s), [])

    def test_malformed_section_is_refused(self):
        for section in (b"", b"\xff", b"\x01", b"\x81\x01", b"\x81\x81\x01"):
            with self.subTest(section), self.assertRaises(InvalidSection):
                RegionSummaries().apply("delta", section, NOW_S)


if __name__ == "__main__":
    unittest.main()
