import random
import unittest
from unittest import mock

import anyio
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from banyanseam.pipe.errors import BodyTooLarge
from banyanseam.server.budget import ByteBudget
from banyanseam.server.const import (
    BODY_SHARE,
    CHUNK_BYTES,
    MIN_READ_BYTES_PER_S,
    PATIENCE_UNDER_PRESSURE_S,
    STREAM_BYTES,
)
from banyanseam.server.errors import BudgetExhausted, SlowReader
from banyanseam.server.protocol import LimitedProtocol
from tests.common import run_with_mock_clock


def read_at(bytes_per_s):
    """Return a send function that is as slow as a reader of this speed."""

    async def send(data):
        await anyio.sleep(len(data) / bytes_per_s if bytes_per_s else 10**9)

    return send


class StreamTests(unittest.TestCase):
    def stream(self, budget, speeds, size_bytes):
        """Stream answers to readers of these speeds; return errors and end times."""
        ended = {}

        async def send_answer(name, speed):
            error = None
            try:
                async with budget.open_stream(read_at(speed)) as window:
                    for _ in range(size_bytes // 1024):
                        await window.send(b"x" * 1024)
            except SlowReader as slow:
                error = slow
            ended[name] = (error, anyio.current_time())

        async def run():
            async with anyio.create_task_group() as tasks:
                for name, speed in speeds.items():
                    tasks.start_soon(send_answer, name, speed)

        run_with_mock_clock(run)
        self.assertEqual(budget.held_bytes, 0)
        return ended

    def test_slow_readers_stay_within_the_budget_and_do_not_block_others(self):
        budget = ByteBudget(1_000_000)
        speeds = {f"slow {number}": 2000 for number in range(100)}
        speeds |= {f"stuck {number}": 0 for number in range(50)}
        speeds |= {f"quick {number}": 10_000_000 for number in range(50)}
        ended = self.stream(budget, speeds, 200 * 1024)
        self.assertLessEqual(budget.peak_bytes, budget.limit_bytes)
        for name, (error, _) in ended.items():
            if name.startswith("stuck"):
                self.assertIsInstance(error, SlowReader)
            if name.startswith("quick"):
                self.assertIsNone(error)

    def test_a_reader_below_the_minimum_rate_is_aborted_without_memory_pressure(self):
        ended = self.stream(ByteBudget(10**9), {"stuck": 0, "slow": 2000}, 100 * 1024)
        error, ended_s = ended["stuck"]
        self.assertIsInstance(error, SlowReader)
        self.assertLessEqual(ended_s, STREAM_BYTES / MIN_READ_BYTES_PER_S)
        self.assertIsNone(ended["slow"][0])

    def test_under_pressure_the_answer_blocked_longest_is_aborted_first(self):
        budget = ByteBudget(2 * STREAM_BYTES)
        ended = []

        async def send_answer(name, delay_s, speed):
            await anyio.sleep(delay_s)
            try:
                async with budget.open_stream(read_at(speed)) as window:
                    await window.send(b"x" * 2048)
            except SlowReader:
                ended.append(name)

        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_answer, "second", 0.1, 0)
                tasks.start_soon(send_answer, "first", 0.0, 0)
                tasks.start_soon(send_answer, "quick", 0.2, 10_000)
                await anyio.sleep(PATIENCE_UNDER_PRESSURE_S + 1)
                self.assertEqual(ended, ["first"])

        run_with_mock_clock(run)

    def test_a_cancelled_wait_acquires_nothing_and_grants_the_next(self):
        budget = ByteBudget(100)

        async def run():
            async with anyio.create_task_group() as tasks, budget.hold(60):
                with anyio.move_on_after(1):
                    tasks.start_soon(budget.acquire, 40)
                    await budget.acquire(90)
                await anyio.sleep(0.01)
                self.assertEqual(budget.held_bytes, 100)

        run_with_mock_clock(run)
        self.assertEqual(budget.held_bytes, 40)

    def test_memory_granted_to_a_wait_being_cancelled_is_released(self):
        budget = ByteBudget(100)

        async def wait(scope):
            with scope:
                await budget.acquire(90)

        async def run():
            async with anyio.create_task_group() as tasks:
                scope = anyio.CancelScope()
                async with budget.hold(60):
                    tasks.start_soon(wait, scope)
                    await anyio.sleep(0.1)
                    scope.cancel()

        run_with_mock_clock(run)
        self.assertEqual(budget.held_bytes, 0)

    def test_all_memory_is_released_after_random_use(self):
        rng = random.Random(7)
        budget = ByteBudget(1000)

        async def use():
            for _ in range(20):
                with anyio.move_on_after(rng.random() * 3):
                    async with budget.hold(rng.randrange(1, 600)):
                        await anyio.sleep(rng.random())
                self.assertLessEqual(budget.held_bytes, 1000)

        async def run():
            async with anyio.create_task_group() as tasks:
                for _ in range(20):
                    tasks.start_soon(use)

        run_with_mock_clock(run)
        self.assertEqual(budget.held_bytes, 0)


class BufferTests(unittest.TestCase):
    def test_connections_buffer_no_more_than_the_budget_counts(self):
        transport = mock.Mock()
        protocol = LimitedProtocol(
            config=mock.MagicMock(),
            server_state=mock.MagicMock(),
            app_state={},
            table=mock.Mock(),
            _loop=mock.Mock(),
        )
        with mock.patch.object(HttpToolsProtocol, "connection_made"):
            protocol.connection_made(transport)
        limits = transport.set_write_buffer_limits.call_args.kwargs
        self.assertEqual(limits["high"], STREAM_BYTES - CHUNK_BYTES)


class BodyTests(unittest.TestCase):
    def test_bodies_are_refused_before_they_are_read(self):
        budget = ByteBudget(1000)
        with budget.reserve_body(500, 900):
            raises = self.assertRaises(BudgetExhausted)
            with raises as caught, budget.reserve_body(200, 900):
                self.fail("it was admitted")
            self.assertTrue(caught.exception.not_run)
            self.assertTrue(caught.exception.retry_after_ms)
        with self.assertRaises(BodyTooLarge), budget.reserve_body(901, 900):
            self.fail("it was admitted")
        self.assertEqual(budget.held_bytes, 0)

    def test_undeclared_bodies_count_as_they_grow(self):
        budget = ByteBudget(1000)
        with budget.reserve_body(None, 900) as body:
            body.grow_to(400)
            with self.assertRaises(BodyTooLarge):
                body.grow_to(901)
            with self.assertRaises(BudgetExhausted):
                body.grow_to(700)
            self.assertEqual(budget.body_bytes, 400)
        self.assertEqual((budget.held_bytes, budget.body_bytes), (0, 0))

    def test_bodies_leave_memory_for_answers(self):
        budget = ByteBudget(1000)
        with budget.reserve_body(int(1000 * BODY_SHARE), 900):
            self.assertRaises(BudgetExhausted, budget.acquire_for_body, 1)
            run_with_mock_clock(budget.acquire, 400)
