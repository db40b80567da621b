import unittest
from unittest import mock

import anyio

from banyanseam.entry.performance.answer_times import (
    MAX_ROUTES,
    MAX_SAMPLES,
    MIN_SAMPLES,
    SAMPLE_TERM_S,
    AnswerTimes,
)
from tests.common import run_with_mock_clock
from tests.entry.simulation import EVENTS, make_stream, start_simulation

# The streams take a second after their first event.
PAUSE_S = 1.0 / (EVENTS - 1)
TOO_SHORT_MS = 900


class LateStreamTests(unittest.TestCase):
    def ask_after_others(self, vm, path, *, deadline_ms, others_deadline_ms=4000):
        """Return the last caller, its runs and its forwards, after like requests."""

        async def run():
            with mock.patch("tests.entry.simulation.EVENT_PAUSE_S", PAUSE_S):
                async with start_simulation() as simulation:
                    for _ in range(MIN_SAMPLES):
                        simulation.ask(vm, path, [], [], deadline_ms=others_deadline_ms)
                    await anyio.sleep(3)
                    simulation.gossip()
                    index = simulation.ask(vm, path, [], [], deadline_ms=deadline_ms)
            caller = simulation.callers[index]
            self.assertEqual(simulation.internal_failures, [])
            return (
                caller,
                simulation.runs.get(caller.request_id, []),
                simulation.forwards[caller.request_id],
            )

        return run_with_mock_clock(run)

    def test_a_stream_that_its_deadline_would_cut_is_refused_at_once(self):
        # It was begun and broken off, and the caller got a part of no use.
        for vm, path, forwards in (
            ("10.1.0.1", "/summary/x", 0),
            ("10.1.0.1", "/query/x", 0),
            ("10.2.0.1", "/kept/x", 0),
        ):
            with self.subTest(vm=vm, path=path):
                caller, runs, forwarded = self.ask_after_others(
                    vm, path, deadline_ms=TOO_SHORT_MS
                )
                self.assertEqual((caller.status, runs), (503, []))
                self.assertEqual(forwarded, forwards)
                self.assertLess(caller.took_s, 0.1)
                # The longest delay that callers keep to: a third of their time.
                retry_after_s = float(caller.headers["retry-after"])
                self.assertGreater(retry_after_s, 0.25)

    def test_a_stream_is_refused_although_the_others_were_cut_too(self):
        caller, runs, _ = self.ask_after_others(
            "10.1.0.1", "/summary/x", deadline_ms=600, others_deadline_ms=1200
        )
        self.assertEqual((caller.status, runs), (503, []))

    def test_a_stream_with_enough_time_is_served(self):
        caller, _, _ = self.ask_after_others("10.1.0.1", "/summary/x", deadline_ms=1500)
        self.assertEqual((caller.status, caller.is_whole), (200, True))
        self.assertEqual(caller.body, make_stream(caller.request_id))

    def test_callers_that_leave_half_of_the_limit_are_served_after_any_others(self):
        # All streams were cut, and refusing all that follow would last for ever.
        with mock.patch("tests.entry.test_late_streams.PAUSE_S", 1.0):
            caller, runs, _ = self.ask_after_others(
                "10.1.0.1", "/summary/x", deadline_ms=4000
            )
        self.assertEqual((caller.status, len(runs)), (200, 1))

    def test_a_stream_is_not_given_up_where_another_upstream_would_be_cut(self):
        # It was given up, found no place then, and was answered with 504.
        async def run():
            module = "tests.entry.simulation"
            async with start_simulation() as simulation:
                with mock.patch(f"{module}.EVENT_PAUSE_S", PAUSE_S):
                    for _ in range(MIN_SAMPLES):
                        simulation.ask("10.1.0.1", "/query/x", [], [])
                    await anyio.sleep(3)
                simulation.gossip()
                with mock.patch(f"{module}.SLOW_S", 0.6):
                    index = simulation.ask(
                        "10.1.0.1", "/query/x", ["slow"], [], deadline_ms=1300
                    )
                    await anyio.sleep(2)
            caller = simulation.callers[index]
            return caller, simulation.runs.get(caller.request_id, [])

        caller, runs = run_with_mock_clock(run)
        self.assertEqual((caller.status, caller.is_whole), (200, True))
        self.assertEqual(len(runs), 1)

    def test_calls_of_other_routes_are_not_refused(self):
        caller, _, _ = self.ask_after_others("10.1.0.1", "/read/x", deadline_ms=200)
        self.assertEqual((caller.status, caller.is_whole), (200, True))


class AnswerTimesTests(unittest.TestCase):
    def test_a_few_streams_decide_nothing(self):
        times = AnswerTimes()
        for _ in range(MIN_SAMPLES - 1):
            times.record("summary", 900.0, 0.0)
        self.assertEqual(times.find_ms("summary", 0.0), 0.0)
        times.record("summary", 900.0, 0.0)
        self.assertEqual(times.find_ms("summary", 0.0), 900.0)
        self.assertEqual(times.find_ms("query", 0.0), 0.0)

    def test_a_few_slow_callers_do_not_move_the_time(self):
        times = AnswerTimes()
        for rest_ms in (100.0, 110.0, 120.0, 130.0, 140.0, 9000.0, 9000.0):
            times.record("summary", rest_ms, 0.0)
        self.assertEqual(times.find_ms("summary", 0.0), 130.0)

    def test_old_times_do_not_count(self):
        times = AnswerTimes()
        for _ in range(MAX_SAMPLES):
            times.record("summary", 900.0, 0.0)
        self.assertEqual(times.find_ms("summary", SAMPLE_TERM_S), 900.0)
        self.assertEqual(times.find_ms("summary", SAMPLE_TERM_S + 0.1), 0.0)

    def test_the_routes_of_many_configurations_do_not_fill_the_memory(self):
        times = AnswerTimes()
        for number in range(2 * MAX_ROUTES):
            times.record(f"route-{number}", 900.0, number / 10)
        self.assertLessEqual(len(times._samples), MAX_ROUTES)
        for _ in range(MIN_SAMPLES):
            times.record("summary", 900.0, 1000.0)
        self.assertEqual(times.find_ms("summary", 1000.0), 900.0)


if __name__ == "__main__":
    unittest.main()
