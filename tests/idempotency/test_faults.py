import random
from unittest import mock

import anyio
import trio

from banyanseam.upstreams.errors import UpstreamFailed, UpstreamUnreachable
from tests.common import run_with_mock_clock
from tests.idempotency.fleet import Fleet, make_key
from tests.idempotency.test_at_most_once import GuaranteeTestCase

SEEDS = range(1, 13)
STEPS = 150


class FaultSequenceTests(GuaranteeTestCase):
    """Random sequences of overlapping faults while callers send keys to any seat."""

    def test_random_faults_cost_no_second_run_and_no_false_refusal(self):
        self.runs = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_with_mock_clock(self.run_seed, seed)
        self.assertGreater(self.runs, 20 * len(SEEDS))

    async def run_seed(self, seed):
        rng = random.Random(seed)
        # Trio schedules ready tasks in random order; the seed must determine that too.
        with mock.patch.multiple(
            trio._core._run, _ALLOW_DETERMINISTIC_SCHEDULING=True, _r=rng
        ):
            await self.run_faults(rng)

    async def run_faults(self, rng):
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(tasks)
            await fleet.start(*fleet.config.seats)
            await anyio.sleep(20)
            fleet.disturb = lambda exchange: self.disturb(rng, exchange)
            keys = []
            for _ in range(STEPS):
                await self.step(rng, fleet, keys)
                await anyio.sleep(rng.choice((0, 0.001, 0.05, 1, 3)))
            await anyio.sleep(200)
            self.check(fleet)
            self.runs += sum(fleet.runs.values())
            tasks.cancel_scope.cancel()

    async def disturb(self, rng, exchange):
        await anyio.sleep(rng.choice((0, 0, 0.01, 1, 6)))
        error = rng.choice((None, None, None, UpstreamFailed(), UpstreamUnreachable()))
        if isinstance(error, UpstreamUnreachable) and exchange.upstream_started:
            return
        if isinstance(error, UpstreamFailed) and not exchange.upstream_started:
            return
        if error is not None:
            raise error

    async def step(self, rng, fleet, keys):
        fault = rng.random()
        seat = rng.choice(sorted(fleet.config.seats))
        if fault < 0.04 and seat in fleet.entries:
            fleet.kill(seat)
        elif fault < 0.08:
            await fleet.restart(seat)
        elif fault < 0.11:
            fleet.partition(fleet.config.seats[seat].region)
        elif fault < 0.14:
            fleet.fabric.partitions |= {
                frozenset((seat, name)) for name in fleet.entries
            }
        elif fault < 0.16:
            fleet.fabric.loss = rng.choice((0.1, 0.5))
        elif fault < 0.18:
            fleet.fabric.delay_s = rng.choice((0.055, 0.5, 1.9))
        elif fault < 0.25:
            fleet.fabric.partitions, fleet.fabric.loss = set(), 0
            fleet.fabric.delay_s = 0.001
        elif fault < 0.29 and seat in fleet.entries:
            fleet.tasks.start_soon(fleet.stop, seat)
        elif fault < 0.31 and seat in fleet.entries:
            fleet.entries[seat].homes.reset_after_suspension()
        else:
            self.send(rng, fleet, keys)

    def send(self, rng, fleet, keys):
        if not fleet.entries:
            return
        seat = rng.choice(sorted(fleet.entries))
        if not keys or rng.random() < 0.4:
            keys.append(self.make_key(rng, fleet, seat, len(keys)))
        key = rng.choice(keys[-6:])
        for _ in range(rng.choice((1, 1, 2))):
            body = rng.choice((b"tuesday", b"tuesday", b"tuesday", b"friday"))
            fleet.send(rng.choice(sorted(fleet.entries)), key, body, 20.0)

    def make_key(self, rng, fleet, seat, number):
        now_s = anyio.current_time()
        kind = rng.choice(("ticket", "plain", "region"))
        if kind == "ticket":
            return fleet.entries[seat].ticket_issuer.issue("acme", now_s)
        key = make_key(now_s - rng.choice((-1, 0, 0, 5)), number)
        return key if kind == "plain" else f"{fleet.config.seats[seat].region}:{key}"
