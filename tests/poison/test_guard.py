import unittest
from collections import Counter
from functools import partial

import anyio

from banyanseam.errors import BanyanseamError
from banyanseam.peers.messages import PeerIdentity
from banyanseam.pipe.poison import contain_poison
from banyanseam.pipe.retry import RetryBudget, retry_once
from banyanseam.poison.errors import PoisonRefused, SuspectHeld
from banyanseam.poison.guard import PoisonGuard
from banyanseam.poison.suspects import Suspects
from banyanseam.upstreams.errors import (
    NoUpstreamAvailable,
    UpstreamFailed,
    UpstreamTimedOut,
    UpstreamUnreachable,
)
from tests.common import FakeFabric, make_config, make_exchange, run_with_mock_clock
from tests.idempotency.fleet import Sink

POISON = b"poison"
CRASH_S = 0.5
RUN_S = 2.0
REVIVAL_S = 5.0


class Engines:
    """Upstreams that crash under a poison request, which fails all their runs."""

    def __init__(self, names):
        self.names = names
        self.dead = {}
        self.kills = Counter()
        self.running = Counter()
        self.suspects_together = 0

    def list_live(self, exchange=None):
        now_s = anyio.current_time()
        live = [name for name in self.names if self.dead.get(name, -99) <= now_s]
        return sorted(live, key=lambda name: self.running[name])

    async def run(self, exchange):
        usable = [
            name
            for name in sorted(self.list_live())
            if name not in exchange.avoided_upstreams
        ]
        if not usable:
            raise NoUpstreamAvailable
        name = exchange.upstream = usable[0]
        exchange.upstream_started = True
        deaths = self.kills[name]
        self.running[name] += 1
        try:
            ends_s = anyio.current_time() + RUN_S
            if exchange.body == POISON:
                await anyio.sleep(CRASH_S)
                self.kills[name] += 1
                self.dead[name] = anyio.current_time() + REVIVAL_S
                raise UpstreamFailed
            while anyio.current_time() < ends_s:
                await anyio.sleep(0.01)
                if self.kills[name] != deaths:
                    raise UpstreamFailed
        finally:
            self.running[name] -= 1


class Fleet:
    """The guards of all seats, in front of one set of engines."""

    def __init__(self, tasks, engines, **kwargs):
        self.config = make_config(**kwargs)
        self.fabric = FakeFabric(delay_s=0.055)
        self.engines = engines
        self.numbers = 0
        live = {
            region: [seat.name for seat in self.config.seats_of(region)]
            for region in self.config.regions
        }
        self.guards = {}
        self.filters = {}
        for seat in self.config.seats.values():
            network = self.fabric.join(seat.name)
            guard = PoisonGuard(
                PeerIdentity(seat.name, 1),
                seat.region,
                network,
                lambda: live,
                tasks.start_soon,
            )
            self.guards[seat.name] = guard
            self.filters[seat.name] = contain_poison(guard, engines.list_live)

    async def ask(self, seat, body=POISON, retries=True, deadline_s=30.0, run=None):
        self.numbers += 1
        exchange = make_exchange(
            Sink(),
            request_id=str(self.numbers),
            body=body,
            route=self.config.routes["chat"],
            organisation=self.config.organisations["acme"],
            is_idempotent=True,
            deadline_s=anyio.current_time() + deadline_s,
        )

        async def guarded(exchange):
            await self.filters[seat](exchange, run or self.engines.run)

        try:
            if retries:
                retry = retry_once(RetryBudget(), lambda: 1.0)
                await retry(exchange, guarded)
            else:
                await guarded(exchange)
        except BanyanseamError as error:
            return error
        return None


def with_fleet(test):
    def run(self):
        async def body():
            async with anyio.create_task_group() as tasks:
                engines = Engines([f"oak-{number}" for number in range(6)])
                await test(self, Fleet(tasks, engines), engines)
                tasks.cancel_scope.cancel()

        run_with_mock_clock(body)

    run.__name__ = test.__name__
    return run


class GuardTests(unittest.TestCase):
    @with_fleet
    async def test_a_resent_poison_request_kills_two_at_most(self, fleet, engines):
        for retries in (False, True):
            for seat in fleet.config.seats:
                error = await fleet.ask(seat, retries=retries)
                self.assertFalse(error.not_run)
        self.assertLessEqual(sum(engines.kills.values()), 2)
        self.assertIsInstance(error, PoisonRefused)

    @with_fleet
    async def test_resends_while_it_runs_kill_two_at_most(self, fleet, engines):
        """The caller resends to other regions while the first request is retried."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fleet.ask, "gulf-1")
            await anyio.sleep(CRASH_S + 0.02)
            for seat in ("delta-1", "delta-2", "piedmont-1", "gulf-2"):
                tasks.start_soon(fleet.ask, seat)
                await anyio.sleep(0.3)
        self.assertLessEqual(sum(engines.kills.values()), 2)

    @with_fleet
    async def test_bystanders_complete(self, fleet, engines):
        errors = []

        async def ask(seat, body):
            errors.append(await fleet.ask(seat, body))

        async with anyio.create_task_group() as tasks:
            for number in range(30):
                seat = list(fleet.config.seats)[number % 9]
                tasks.start_soon(ask, seat, b"harmless %d" % number)
            await anyio.sleep(0.1)
            tasks.start_soon(fleet.ask, "gulf-1")
        self.assertEqual(sum(engines.kills.values()), 2)
        self.assertEqual(errors, [None] * 30)

    @with_fleet
    async def test_completion_clears_everywhere(self, fleet, engines):
        engines.names = ["oak-0"]
        first = await fleet.ask("gulf-1", b"unlucky", run=fail_once())
        self.assertIsInstance(first, type(None))
        await anyio.sleep(1)
        for guard in fleet.guards.values():
            self.assertEqual(len(guard.suspects), 0)

    @with_fleet
    async def test_the_permitting_seat_refuses_condemned_requests(self, fleet, engines):
        await fleet.ask("gulf-1", retries=False)
        await anyio.sleep(1)
        # The permitting seat must not be the one with outdated suspects.
        permitting = fleet.guards["gulf-1"]._list_permitting_seats()[0]
        name = next(seat for seat in fleet.guards if seat not in ("gulf-1", permitting))
        guard = fleet.guards[name]
        outdated = Suspects()
        outdated.apply_section("", fleet.guards["gulf-1"].suspects.section(1.0), 1.0)
        await fleet.ask("gulf-1", retries=False)
        await anyio.sleep(1)
        guard.suspects = outdated
        self.assertIsInstance(await fleet.ask(name), PoisonRefused)
        self.assertEqual(sum(engines.kills.values()), 2)

    @with_fleet
    async def test_a_second_try_of_a_suspect_may_go_elsewhere(self, fleet, engines):
        await fleet.ask("gulf-1", b"unlucky", retries=False, run=fail_once())
        await anyio.sleep(1)
        tried = []

        async def run(exchange):
            usable = set(engines.names) - exchange.avoided_upstreams
            exchange.upstream = min(usable)
            tried.append(usable)
            if len(tried) == 1:
                raise UpstreamUnreachable

        self.assertIsNone(await fleet.ask("delta-1", b"unlucky", run=run))
        self.assertEqual([len(usable) for usable in tried], [1, 1])
        self.assertNotEqual(tried[0], tried[1])

    @with_fleet
    async def test_one_crash_under_two_equal_requests_condemns_neither(
        self, fleet, engines
    ):
        for seats in (("gulf-1", "gulf-1"), ("gulf-1", "delta-1")):
            body = b" and ".join(seat.encode() for seat in seats)
            with self.subTest(body):
                async with anyio.create_task_group() as tasks:
                    for seat in seats:
                        ask = partial(fleet.ask, seat, body, retries=False)
                        tasks.start_soon(ask)
                    await anyio.sleep(0.1)
                    engines.kills["oak-0"] += 1
                await anyio.sleep(1)
                self.assertIsNone(await fleet.ask("gulf-2", body))

    @with_fleet
    async def test_a_timeout_is_no_crash(self, fleet, engines):
        async def fall_silent(exchange):
            raise UpstreamTimedOut

        await fleet.ask("gulf-1", run=fall_silent)
        self.assertEqual(len(fleet.guards["gulf-1"].suspects), 0)

    @with_fleet
    async def test_a_suspect_is_held_no_longer_than_its_deadline(self, fleet, engines):
        await fleet.ask("gulf-1", retries=False)
        await anyio.sleep(1)
        engines.names = []
        error = await fleet.ask("delta-1", deadline_s=3.0)
        self.assertIsInstance(error, SuspectHeld | NoUpstreamAvailable)
        self.assertFalse(error.not_run and isinstance(error, SuspectHeld))

    @with_fleet
    async def test_a_lost_daemon_holds_no_suspect_for_ever(self, fleet, engines):
        await fleet.ask("gulf-1", retries=False)
        await anyio.sleep(1)

        async def die(exchange):
            await anyio.sleep_forever()

        with anyio.move_on_after(2):
            await fleet.ask("gulf-2", deadline_s=4.0, run=die)
        others = set(fleet.config.seats) - {"gulf-2"}
        fleet.fabric.partitions = {frozenset(("gulf-2", seat)) for seat in others}
        self.assertEqual(sum(engines.kills.values()), 1)
        error = await fleet.ask("delta-1", retries=False)
        self.assertIsInstance(error, UpstreamFailed)


def fail_once():
    failures = iter([UpstreamFailed()])

    async def run(exchange):
        exchange.upstream = "oak-0"
        error = next(failures, None)
        if error:
            raise error

    return run
