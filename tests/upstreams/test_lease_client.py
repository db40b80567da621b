import random
import unittest
from contextlib import asynccontextmanager
from dataclasses import replace
from functools import partial

import anyio

from banyanseam.config.compile import compile_config
from banyanseam.config.compiled import Config
from banyanseam.errors import BanyanseamError
from banyanseam.peers.messages import PeerIdentity
from banyanseam.upstreams.choose import LocalPool
from banyanseam.upstreams.const import MAX_POLL_PERIOD_S, MIN_POLL_PERIOD_S
from banyanseam.upstreams.context import Context
from banyanseam.upstreams.destinations import DestinationChooser
from banyanseam.upstreams.errors import (
    NoneUsable,
    NoUpstreamAllowed,
    NoUpstreamAvailable,
    RequestTooLarge,
    UpstreamTimedOut,
    UpstreamUnreachable,
)
from banyanseam.upstreams.keeper import Keeper
from banyanseam.upstreams.lease_client import LeaseClient
from banyanseam.upstreams.models import Demand, LoadReport, Outcome
from banyanseam.upstreams.pools import find_keeper, list_pools
from banyanseam.upstreams.prefix import hash_prefix
from banyanseam.upstreams.regions import RegionSummaries
from tests.common import FakeFabric, make_documents, run_with_mock_clock, wait_until

SEATS = ["gulf-1", "gulf-2", "gulf-3"]
STARTUP_S = 4


class Gulf:
    """Three daemons in front of one engine that reports the requests sent to it."""

    def __init__(self, memory_tokens: int = 10_000, seed: int = 1) -> None:
        self.fabric = FakeFabric(seed)
        base, overlays = make_documents()
        engine = overlays["gulf"]["upstreams"]["gulf-engine-1"]
        engine["memory_tokens"] = memory_tokens
        # A single pool, so that only the messages of one keeper are counted.
        overlays["gulf"]["upstreams"] = {"gulf-engine-1": engine}
        self.config = compile_config(1, base, overlays)
        (self.pool,) = list_pools(self.config, "gulf")
        # The same configuration without the engine, and the seats that have it.
        del overlays["gulf"]["upstreams"]["gulf-engine-1"]
        self.without_engine = compile_config(2, base, overlays)
        self.updated: set[str] = set()
        self.refused: list[str] = []
        self.alive = list(SEATS)
        self.running: dict[str, int] = {}
        self.most_held = 0
        self.leaving = False
        self.poll_error: type[BanyanseamError] | None = None
        self.last_poll_s = 0.0
        self.engine_incarnation: int | None = 1
        self.lease_clients: dict[str, LeaseClient] = {}
        self.destinations: dict[str, DestinationChooser] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}

    async def fetch_report(self, upstream) -> LoadReport:
        self.last_poll_s = anyio.current_time()
        if self.poll_error is not None:
            raise self.poll_error(upstream.name)
        held = sum(self.running.values())
        return LoadReport(
            held,
            0,
            len(self.running),
            self.leaving,
            anyio.current_time(),
            incarnation=self.engine_incarnation and str(self.engine_incarnation),
        )

    def list_alive(self, region: str) -> list[str]:
        return list(self.alive) if region == "gulf" else []

    def get_config(self, seat: str) -> Config:
        return self.without_engine if seat in self.updated else self.config

    async def run_daemon(self, seat: str, incarnation: int = 1) -> None:
        me = PeerIdentity(seat, incarnation)
        network = self.fabric.join(seat, incarnation)
        context = Context(
            me, "gulf", network, lambda: self.get_config(seat), self.list_alive
        )
        keeper = Keeper(context, self.fetch_report)
        self.destinations[seat] = DestinationChooser(
            context, RegionSummaries(), random.Random(2)
        )
        self.lease_clients[seat] = LeaseClient(
            context, keeper, self.destinations[seat], random.Random(3)
        )
        with anyio.CancelScope() as self.scopes[seat]:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(keeper.run)
                tasks.start_soon(self.lease_clients[seat].run)

    def restart_engine(self) -> None:
        """Restart the engine's machine, so that no entry sees a connection break."""
        self.engine_incarnation += 1
        self.running.clear()

    def kill(self, seat: str) -> None:
        self.scopes[seat].cancel()
        del self.fabric.networks[seat]
        self.alive.remove(seat)

    @property
    def keeper(self) -> str:
        return find_keeper(self.pool, self.alive)

    @asynccontextmanager
    async def run(self):
        async with anyio.create_task_group() as tasks:
            for seat in SEATS:
                tasks.start_soon(self.run_daemon, seat)
            await anyio.sleep(STARTUP_S)
            yield tasks
            tasks.cancel_scope.cancel()

    async def reserve(self, seat: str, tokens: int, patience_s: float = 5, **fields):
        demand = make_demand(tokens, **fields)
        deadline_s = anyio.current_time() + patience_s
        grant = await self.lease_clients[seat].reserve(self.pool, demand, deadline_s)
        self.running[f"{seat}/{grant.lease}"] = tokens
        self.most_held = max(self.most_held, sum(self.running.values()))
        return grant

    async def release(self, seat: str, grant, outcome=Outcome.COMPLETED) -> None:
        self.running.pop(f"{seat}/{grant.lease}", None)
        await self.lease_clients[seat].release(grant, outcome)


def make_demand(tokens: int, organisation: str = "acme", **fields) -> Demand:
    return Demand(organisation, 1.0, tokens // 2, tokens - tokens // 2, **fields)


class LeaseClientTests(unittest.TestCase):
    def test_entries_share_the_memory_limit(self):
        async def run() -> None:
            gulf = Gulf()
            async with gulf.run() as tasks:
                for seat in SEATS * 5:
                    tasks.start_soon(self.hold_lease, gulf, seat, 3_000, 2)
                await anyio.sleep(4)
                self.assertEqual(gulf.most_held, 9_000)

        run_with_mock_clock(run)

    def test_a_request_does_not_wait_for_a_pool_that_was_removed(self):
        """The new configuration reaches entry and keeper at different times."""

        async def run(order: tuple[str, ...], *, waits: bool) -> None:
            gulf = Gulf()
            async with gulf.run():
                entry = next(seat for seat in SEATS if seat != gulf.keeper)
                seats = {"entry": entry, "keeper": gulf.keeper}
                entry = entry if "entry" in order else gulf.keeper
                if waits:
                    await gulf.reserve(entry, 9_000)
                else:
                    gulf.updated.update(SEATS)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.expect_none_usable, gulf, entry)
                    for place in order:
                        await anyio.sleep(0.5)
                        gulf.updated.add(seats[place])
                    await anyio.sleep(2)
                    self.assertEqual(gulf.refused, [entry])
                    tasks.cancel_scope.cancel()

        for order in (("entry",), ("entry", "keeper"), ("keeper", "entry")):
            for waits in (True, False):
                with self.subTest(order=order, waits=waits):
                    run_with_mock_clock(partial(run, order, waits=waits))
        with self.subTest("the entry is the keeper"):
            run_with_mock_clock(partial(run, ("keeper",), waits=True))

    async def expect_none_usable(self, gulf, seat) -> None:
        with self.assertRaises(NoneUsable):
            await gulf.reserve(seat, 5_000, patience_s=60)
        gulf.refused.append(seat)

    async def hold_lease(self, gulf, seat, tokens, run_s) -> None:
        try:
            grant = await gulf.reserve(seat, tokens, patience_s=60)
        except NoUpstreamAvailable:
            return
        await anyio.sleep(run_s)
        await gulf.release(seat, grant)

    def test_new_keeper_collects_leases_before_it_grants(self):
        async def run() -> None:
            gulf = Gulf()
            async with gulf.run():
                entry = next(seat for seat in SEATS if seat != gulf.keeper)
                await gulf.reserve(entry, 6_000)
                gulf.kill(gulf.keeper)
                with self.assertRaises(NoUpstreamAvailable):
                    await gulf.reserve(entry, 4_000, patience_s=20)
                grant = await gulf.reserve(entry, 3_000, patience_s=20)
                self.assertEqual(grant.keeper, gulf.keeper)

        run_with_mock_clock(run)

    def test_planned_stop_hands_the_pool_over(self):
        async def run() -> None:
            gulf = Gulf()
            async with gulf.run():
                entry = next(seat for seat in SEATS if seat != gulf.keeper)
                holder = await gulf.reserve(entry, 4_000)
                # The leaving keeper is no longer listed as live but still runs.
                gulf.alive.remove(gulf.keeper)
                await anyio.sleep(0.6)
                grant = await gulf.reserve(entry, 4_000, patience_s=0.5)
                self.assertEqual(grant.keeper, gulf.keeper)
                with self.assertRaises(NoUpstreamAvailable):
                    await gulf.reserve(entry, 4_000, patience_s=3)
                await gulf.release(entry, holder)

        run_with_mock_clock(run)

    def test_waiting_request_moves_to_the_new_keeper(self):
        async def run() -> None:
            gulf = Gulf()
            async with gulf.run() as tasks:
                entry = next(seat for seat in SEATS if seat != gulf.keeper)
                holder = await gulf.reserve(entry, 8_000)
                tasks.start_soon(self.hold_lease, gulf, entry, 4_000, 1)
                await anyio.sleep(1)
                # A suspended keeper replies to nothing, yet its links stay up.
                self.suspend(gulf, gulf.keeper)
                await anyio.sleep(1)
                await gulf.release(entry, holder)
                await anyio.sleep(15)
                self.assertEqual(gulf.most_held, 8_000)
                self.assertEqual(gulf.running, {})
                self.assertEqual(len(gulf.lease_clients[entry]._pending_calls), 0)

        run_with_mock_clock(run)

    def suspend(self, gulf, seat) -> None:
        gulf.scopes[seat].cancel()
        gulf.alive.remove(seat)

    def test_leases_of_a_dead_entry_expire(self):
        async def run() -> None:
            gulf = Gulf()
            async with gulf.run():
                entry, other = (seat for seat in SEATS if seat != gulf.keeper)
                await gulf.reserve(entry, 9_000)
                gulf.kill(entry)
                gulf.running.clear()
                grant = await gulf.reserve(other, 9_000, patience_s=30)
                self.assertEqual(grant.tokens, 9_000)

        run_with_mock_clock(run)

    def test_lost_release_is_repaired_by_renewal(self):
        async def run() -> None:
            gulf = Gulf()
            async with gulf.run():
                entry = next(seat for seat in SEATS if seat != gulf.keeper)
                grant = await gulf.reserve(entry, 9_000)
                gulf.fabric.loss = 1.0
                await gulf.release(entry, grant)
                gulf.fabric.loss = 0.0
                await gulf.reserve(entry, 9_000, patience_s=30)

        run_with_mock_clock(run)

    def test_restarted_keeper_gets_a_full_announcement(self):
        async def run() -> None:
            gulf = Gulf()
            async with gulf.run() as tasks:
                keeper = gulf.keeper
                entry = next(seat for seat in SEATS if seat != keeper)
                await gulf.reserve(entry, 9_000)
                gulf.scopes[keeper].cancel()
                tasks.start_soon(gulf.run_daemon, keeper, 2)
                await anyio.sleep(0.1)
                # No report shows the run, so only its lease can.
                gulf.running.clear()
                with self.assertRaises(NoUpstreamAvailable):
                    await gulf.reserve(entry, 1_000, patience_s=20)

        run_with_mock_clock(run)

    def test_refusals_report_that_nothing_ran(self):
        def leave(gulf) -> None:
            gulf.leaving = True

        def stop_replying(gulf) -> None:
            gulf.poll_error = UpstreamTimedOut

        cases = {
            "too large": (lambda gulf: None, 9_500, RequestTooLarge),
            "leaving": (leave, 10, NoUpstreamAvailable),
            "silent": (stop_replying, 10, NoUpstreamAvailable),
        }
        for name, (fault, tokens, error) in cases.items():

            async def run(fault=fault, tokens=tokens, error=error) -> None:
                gulf = Gulf()
                async with gulf.run():
                    fault(gulf)
                    await anyio.sleep(5)
                    for seat in SEATS:
                        with self.assertRaises(error) as caught:
                            await gulf.reserve(seat, tokens)
                        self.assertTrue(caught.exception.not_run)

            with self.subTest(name):
                run_with_mock_clock(run)

    def test_a_failure_at_an_idle_upstream_is_not_left_to_the_slow_poll(self):
        async def run(outcome: Outcome, expected_s: float) -> None:
            gulf = Gulf()
            async with gulf.run():
                await anyio.sleep(5)
                before_s = anyio.current_time()
                await wait_until(lambda: gulf.last_poll_s > before_s)
                polled_s = gulf.last_poll_s
                grant = await gulf.reserve("gulf-1", 10)
                await gulf.release("gulf-1", grant, outcome)
                await anyio.sleep(expected_s + 0.01)
                self.assertAlmostEqual(gulf.last_poll_s, polled_s + expected_s, 1)

        for outcome, expected_s in (
            (Outcome.COMPLETED, MAX_POLL_PERIOD_S),
            (Outcome.UNREACHABLE, MIN_POLL_PERIOD_S),
            (Outcome.UNUSED, MIN_POLL_PERIOD_S),
        ):
            with self.subTest(outcome):
                run_with_mock_clock(run, outcome, expected_s)

    def test_an_engine_that_refused_connections_is_not_sent_known_prompts_as_cached(
        self,
    ):
        async def run(error: type[BanyanseamError], *, is_lost: bool) -> None:
            gulf = Gulf()
            gulf.engine_incarnation = None
            prefix = hash_prefix(b"x" * 4_096)
            async with gulf.run():
                for cached_tokens in (0, 0 if is_lost else 1_000):
                    grant = await gulf.reserve("gulf-1", 2_000, prefix=prefix)
                    await gulf.release("gulf-1", grant)
                    self.assertEqual(grant.cached_tokens, cached_tokens)
                    gulf.poll_error = error
                    await anyio.sleep(MAX_POLL_PERIOD_S)
                    gulf.poll_error = None
                    await anyio.sleep(MAX_POLL_PERIOD_S)

        for error, is_lost in ((UpstreamUnreachable, True), (UpstreamTimedOut, False)):
            with self.subTest(error):
                run_with_mock_clock(partial(run, error, is_lost=is_lost))

    def test_runs_lost_in_a_restart_do_not_hold_the_memory_of_the_new_process(self):
        async def run() -> None:
            gulf = Gulf()
            async with gulf.run():
                for _ in range(3):
                    for seat in SEATS:
                        await gulf.reserve(seat, 3_000)
                    await anyio.sleep(10)
                    gulf.restart_engine()
                self.assertEqual(await self.count_granted(gulf, 3_000), 3)

        run_with_mock_clock(run)

    def test_leases_just_before_a_restart_count_until_they_are_released(self):
        async def run() -> None:
            gulf = Gulf()
            async with gulf.run():
                await anyio.sleep(10)
                for seat in SEATS:
                    await gulf.reserve(seat, 2_000)
                gulf.restart_engine()
                await anyio.sleep(1)
                self.assertEqual(await self.count_granted(gulf, 3_000), 1)

        run_with_mock_clock(run)

    async def count_granted(self, gulf, tokens) -> int:
        """Return how many requests are granted without any release."""
        with anyio.move_on_after(3):
            while True:
                await gulf.reserve("gulf-1", tokens, patience_s=10)
        return len(gulf.running)

    def test_leaving_in_the_configuration_gets_nothing_new(self):
        async def run() -> None:
            gulf = Gulf()
            async with gulf.run():
                grant = await gulf.reserve("gulf-1", 10)
                engine = gulf.config.upstreams["gulf-engine-1"]
                upstreams = gulf.config.upstreams | {
                    engine.name: replace(engine, leaving=True)
                }
                gulf.config = replace(gulf.config, version=2, upstreams=upstreams)
                self.assertFalse(gulf.lease_clients["gulf-1"].is_usable(grant))
                await anyio.sleep(1)
                with self.assertRaises(NoUpstreamAvailable):
                    await gulf.reserve("gulf-2", 10)

        run_with_mock_clock(run)

    def test_residency_rules_out_other_regions(self):
        async def run() -> None:
            gulf = Gulf()
            async with gulf.run():
                destinations = gulf.destinations["gulf-1"]
                destination = destinations.choose(
                    "oak", make_demand(10), frozenset({"gulf"}), may_forward=True
                )
                self.assertEqual(destination, LocalPool(gulf.pool))
                with self.assertRaises(NoUpstreamAllowed):
                    destinations.choose(
                        "oak", make_demand(10), frozenset({"delta"}), may_forward=False
                    )
                # Delta is allowed but sent no summary; no other region may be used.
                with self.assertRaises(NoUpstreamAvailable):
                    destinations.choose(
                        "oak", make_demand(10), frozenset({"delta"}), may_forward=True
                    )

        run_with_mock_clock(run)

    def test_message_count_does_not_grow_with_requests(self):
        async def run() -> None:
            gulf = Gulf(memory_tokens=100_000)
            async with gulf.run():
                entry = next(seat for seat in SEATS if seat != gulf.keeper)
                for _ in range(50):
                    await gulf.reserve(entry, 10)
                before = gulf.fabric.messages
                await anyio.sleep(10)
                # Two entries renew once a second, and each renewal has a reply.
                self.assertLessEqual(gulf.fabric.messages - before, 4 * 11)

        run_with_mock_clock(run)


if __name__ == "__main__":
    unittest.main()
