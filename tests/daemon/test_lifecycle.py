import unittest
from contextlib import suppress

import anyio

from banyanseam.daemon.lifecycle import Lifecycle, Stage, WrongStage, drain, leave
from banyanseam.pipe.errors import MayOutlastStop
from banyanseam.pipe.stop import refuse_outlasting
from tests.common import make_exchange, run_with_mock_clock


class LifecycleTests(unittest.TestCase):
    def test_late_request_is_waited_for(self):
        async def main():
            lifecycle = Lifecycle()
            lifecycle.begin_serving()
            lifecycle.request_started()
            lifecycle.begin_drain()
            lifecycle.begin_closing()
            lifecycle.request_ended()
            lifecycle.request_started()
            self.assertIs(lifecycle.state, Stage.CLOSING)
            with anyio.move_on_after(60) as scope:
                await lifecycle.wait_idle()
            self.assertTrue(scope.cancelled_caught)
            lifecycle.request_ended()
            await lifecycle.wait_idle()

        run_with_mock_clock(main)

    def test_a_request_during_the_handover_is_not_interrupted(self):
        async def main():
            lifecycle = Lifecycle()
            lifecycle.begin_serving()
            lifecycle.begin_drain()
            lifecycle.begin_closing()
            steps = []

            async def hand_over():
                lifecycle.request_started()
                steps.append("handed over")

            async def end_request():
                await anyio.sleep(5)
                steps.append("ended")
                lifecycle.request_ended()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(end_request)
                await leave(lifecycle, hand_over)
                steps.append("left")
            self.assertEqual(steps, ["handed over", "ended", "left"])

        run_with_mock_clock(main)

    def test_drain_reports_whether_the_limit_was_exceeded(self):
        for ends_after_s, expected in ((1, True), (100, True), (3600, False)):
            with self.subTest(ends_after_s=ends_after_s):
                result = run_with_mock_clock(self.drain_with_a_request, ends_after_s)
                self.assertEqual(result, expected)

    async def drain_with_a_request(self, ends_after_s):
        lifecycle = Lifecycle()
        lifecycle.begin_serving()
        lifecycle.request_started()
        results = []

        async def stop():
            results.append(await drain(lifecycle, 5000, limit_s=600))

        async with anyio.create_task_group() as group:
            group.start_soon(stop)
            await anyio.sleep(ends_after_s)
            lifecycle.request_ended()
        return results[0]

    # Requests whose deadline is after the limit of a stop were accepted and cut off.
    def test_a_stop_accepts_only_requests_that_end_before_its_limit(self):
        async def main():
            lifecycle = Lifecycle()
            lifecycle.begin_serving()
            lifecycle.request_started()
            accepted = []

            async def serve(_):
                accepted.append(anyio.current_time())

            async def ask_every_minute():
                filter_ = refuse_outlasting(lifecycle.may_outlast)
                while True:
                    now_s = anyio.current_time()
                    with suppress(MayOutlastStop):
                        await filter_(make_exchange(deadline_s=now_s + 300), serve)
                    await anyio.sleep(60)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask_every_minute)
                began_s = anyio.current_time()
                self.assertFalse(await drain(lifecycle, 5000, limit_s=600, spread_s=10))
                stopped_s = anyio.current_time()
                tasks.cancel_scope.cancel()
            self.assertEqual(stopped_s - began_s, 615)
            self.assertLessEqual(max(accepted) + 300, stopped_s)
            self.assertGreater(max(accepted) + 360, stopped_s)

        run_with_mock_clock(main)

    def test_steps_out_of_order_are_refused(self):
        lifecycle = Lifecycle()
        with self.assertRaises(WrongStage):
            lifecycle.begin_closing()
        lifecycle.begin_serving()
        with self.assertRaises(WrongStage):
            lifecycle.begin_serving()
        self.assertEqual([lifecycle.begin_drain() for _ in (1, 2)], [True, False])
