import random
import unittest

import anyio

from banyanseam.errors import BanyanseamError
from banyanseam.quota.const import DEFAULT_TIMING
from banyanseam.quota.errors import CostExceedsBurst, QuotaExceeded, QuotaUnavailable
from tests.common import run_with_mock_clock
from tests.quota.fleet import Fleet, region_of


async def offer(fleet, seat, share, seconds, seed, patience_s=10.0):
    """Send Poisson demand at a share of the rate; return counts passed and refused."""
    rng = random.Random(seed)
    rate = fleet.organisation.rate_tokens_per_s * share
    counts = {"passed": 0, "refused": 0}
    end_s = anyio.current_time() + seconds

    async def send(cost):
        try:
            await fleet.request(seat, cost * 2, patience_s, used=cost, run_s=0.5)
            counts["passed"] += 1
        except BanyanseamError:
            counts["refused"] += 1

    async with anyio.create_task_group() as tasks:
        while anyio.current_time() < end_s:
            await anyio.sleep(rng.expovariate(rate / 100))
            tasks.start_soon(send, rng.randint(50, 150))
    return counts


class FleetTests(unittest.TestCase):
    def run_fleet(self, test, **kwargs):
        async def run():
            warm_s = kwargs.pop("warm_s", None)
            fleet = Fleet(**kwargs)
            failure = None
            async with fleet.running(warm_s):
                try:
                    await test(fleet)
                except Exception as error:
                    # Raised outside, so that no task group wraps it.
                    failure = error
            if failure is not None:
                raise failure
            self.assertLessEqual(fleet.overdrawn_tokens, 1e-6)

        run_with_mock_clock(run)

    def homes(self, fleet, region="gulf"):
        seat = next(iter(fleet.seats.values()))
        return seat.home.parts.rank_homes(fleet.config, "acme", region)

    def test_steady_demand_at_one_vm_is_not_refused(self):
        async def test(fleet):
            counts = await offer(fleet, "gulf-1", 0.9, 120, seed=5)
            total = counts["passed"] + counts["refused"]
            self.assertLessEqual(counts["refused"], total * 0.01)

        self.run_fleet(test)

    def test_a_preview_returns_the_home_that_would_grant(self):
        async def test(fleet):
            first, second, third = self.homes(fleet)
            client = fleet.seats[third].client
            for lost, wanted, status in (
                ("", first, "granted"),
                (first, second, "granted"),
                (second, third, "granted"),
                (third, first, "withheld"),
            ):
                if lost:
                    fleet.kill(lost)
                    client = fleet.start(lost).client
                for region in ("piedmont", "delta"):
                    for home in self.homes(fleet, region):
                        if lost == third:
                            fleet.kill(home)
                            fleet.start(home)
                deadline_s = anyio.current_time() + 30
                seat, preview = await client.preview("acme", 100, deadline_s)
                self.assertEqual((seat, preview.status), (wanted, status))

        self.run_fleet(test)

    def test_a_flood_admits_no_more_than_the_bound(self):
        async def test(fleet):
            async with anyio.create_task_group() as tasks:
                for index, seat in enumerate(("gulf-1", "delta-2", "piedmont-3")):
                    tasks.start_soon(offer, fleet, seat, 3, 30, index, 2.0)

        self.run_fleet(test)
        self.run_fleet(test, loss=0.2, seed=3)

    def test_a_cost_of_the_whole_burst_gathers_it(self):
        async def test(fleet):
            await fleet.request("gulf-1", 10_000, 5)

        self.run_fleet(test)

    def test_a_cost_above_the_burst_is_refused_for_good(self):
        async def test(fleet):
            with self.assertRaises(CostExceedsBurst) as caught:
                await fleet.request("gulf-1", 10_001, 5)
            self.assertIsNone(caught.exception.retry_after_ms)
            self.assertTrue(caught.exception.not_run)

        self.run_fleet(test)

    def test_a_refusal_for_lack_of_time_has_retry_after(self):
        async def test(fleet):
            await fleet.request("gulf-1", 10_000, 5)
            with self.assertRaises(QuotaExceeded) as caught:
                await fleet.request("gulf-1", 5_000, 1)
            self.assertGreater(caught.exception.retry_after_ms, 3_000)

        self.run_fleet(test)

    def test_a_flood_is_refused_at_the_entry(self):
        async def test(fleet):
            await fleet.request("gulf-1", 10_000, 5)
            entry = next(
                name for name in fleet.seats if name not in self.homes(fleet)[:1]
            )
            async with anyio.create_task_group() as tasks:
                for _ in range(5):
                    tasks.start_soon(fleet.request, entry, 900, 30)
                await anyio.sleep(1)
                with self.assertRaises(QuotaExceeded):
                    await fleet.request(entry, 900, 0.5)
                before = fleet.fabric.messages
                for _ in range(100):
                    with self.assertRaises(QuotaExceeded):
                        await fleet.request(entry, 900, 0.5)
                self.assertEqual(fleet.fabric.messages, before)

        self.run_fleet(test)

    def test_kills_refuse_little(self):
        async def kill_in_turn(fleet):
            rng = random.Random(8)
            while True:
                await anyio.sleep(55)
                seat = rng.choice(sorted(set(fleet.seats) - {"gulf-1"}))
                fleet.kill(seat)
                await anyio.sleep(5)
                fleet.start(seat)

        async def test(fleet):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(kill_in_turn, fleet)
                counts = await offer(fleet, "gulf-1", 0.9, 200, seed=6)
                tasks.cancel_scope.cancel()
            total = counts["passed"] + counts["refused"]
            self.assertLessEqual(counts["refused"], total * 0.02)

        self.run_fleet(test)

    def test_a_resumed_process_spends_nothing(self):
        async def test(fleet):
            home = fleet.seats["gulf-1"].home
            home.restart(anyio.current_time())
            reply = await home.charge("one", "acme", 1, 1)
            self.assertEqual(reply.status, "withheld")
            await fleet.request("gulf-1", 100, 1)

        self.run_fleet(test)

    def test_a_home_unreachable_from_an_entry_is_skipped(self):
        async def test(fleet):
            first, entry, _ = self.homes(fleet)
            fleet.fabric.partitions.add(frozenset((first, entry)))
            await fleet.request(entry, 100, 1)

        self.run_fleet(test)

    def test_a_dead_home_is_skipped(self):
        async def test(fleet):
            first, entry, _ = self.homes(fleet)
            fleet.kill(first)
            await fleet.request(entry, 100, 1)

        self.run_fleet(test)

    def test_a_home_that_never_replies_is_skipped(self):
        async def test(fleet):
            first, entry, _ = self.homes(fleet)
            fleet.fabric.networks[first].calls.clear()

            async def never(peer, message):
                await anyio.sleep_forever()

            for message_type in list(fleet.fabric.networks[entry].calls):
                fleet.fabric.networks[first].handle_call(message_type, never)
            await fleet.request(entry, 100, 5)

        self.run_fleet(test)

    def test_a_partitioned_region_serves_its_part(self):
        async def test(fleet):
            fleet.partition_region("gulf")
            counts = await offer(fleet, "gulf-1", 0.25, 60, seed=7)
            self.assertGreater(counts["passed"], 0)
            self.assertEqual(counts["refused"], 0)

        self.run_fleet(test)

    def test_without_a_region_homes_elsewhere_answer(self):
        async def test(fleet):
            for name in list(fleet.seats):
                if region_of(name) == "gulf" and name != "gulf-1":
                    fleet.kill(name)
            await fleet.request("gulf-1", 100, 5)

        self.run_fleet(test)

    def test_a_new_fleet_waits_and_then_serves(self):
        async def test(fleet):
            started_s = anyio.current_time()
            with self.assertRaises(QuotaUnavailable):
                await fleet.request("gulf-1", 10, 5)
            await fleet.request("gulf-1", 10, 30)
            waited_s = anyio.current_time() - started_s
            self.assertGreaterEqual(waited_s, DEFAULT_TIMING.withhold_s)

        self.run_fleet(test, warm_s=0)

    def test_an_organisation_published_later_starts_full(self):
        async def test(fleet):
            def add(base):
                base["organisations"]["later"] = {
                    "rate_tokens_per_s": 10,
                    "burst_tokens": 900,
                }

            fleet.publish(add)
            deadline_s = anyio.current_time() + 2
            await fleet.seats["gulf-1"].client.charge("later", 900, deadline_s)

        self.run_fleet(test, warm_s=1)

    def test_a_repeated_charge_is_charged_once(self):
        async def test(fleet):
            home = fleet.seats[self.homes(fleet)[0]].home
            for _ in range(2):
                reply = await home.charge("one", "acme", 100, 1)
                self.assertEqual(reply.status, "granted")
            share = home.accounts.find("acme").share
            self.assertAlmostEqual(share.tokens, share.cap_tokens - 100)

        self.run_fleet(test)

    def test_a_cancelled_charge_leaves_the_queue(self):
        async def test(fleet):
            await fleet.request("gulf-1", 10_000, 5)
            with anyio.move_on_after(1):
                await fleet.request("gulf-1", 3_000, 60)
            await anyio.sleep(1)
            home = fleet.seats[self.homes(fleet)[0]].home
            self.assertEqual(len(home.accounts.find("acme").waiting), 0)

        self.run_fleet(test)

    def test_a_planned_stop_returns_loans(self):
        async def test(fleet):
            await fleet.request("gulf-1", 9_000, 5)
            home = fleet.seats[self.homes(fleet)[0]].home
            ledger = home.accounts.find("acme").share.ledger
            self.assertTrue(ledger.borrowed)
            await home.return_loans()
            self.assertFalse(ledger.borrowed)

        self.run_fleet(test)
