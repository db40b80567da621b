"""Checks that streams outlast a silence of their upstream, and move if it lasts."""

import unittest
from collections.abc import Callable
from unittest import mock

import anyio

from tests.common import run_with_mock_clock
from tests.entry.simulation import (
    Caller,
    Simulation,
    make_stream,
    start_simulation,
)

GULF = "10.1.0.1"
SILENCES_S = (1.0, 1.5, 2.0, 2.5)
# What the upstream does that is asked to go on: it goes on, brings no next event, or
# goes on and is in trouble after its first event.
GOES_ON = ("",)
BRINGS_NOTHING = (
    *("full", "pause", "refused", "misdirected", "no answer", "silent", "lost"),
    *("slow", "error", "empty", "crossed", "unsigned", "old refusal", "rejected"),
    *("old misdirection", "refusal without id", "comment"),
)
BREAKS_LATER = ("cut", "stall", "short", "skip", "error inside")
# The same of a peer that is asked to go on.
PEER_FAULTS = ("", "refused", "lost", "answer lost")
# How long two upstreams may work on a request.
TOGETHER_S = 0.4


def keep(simulation: Simulation, *names: str) -> None:
    """Let only some of the engines be there."""
    for name in list(simulation.upstreams):
        if "pool" in name and name not in names:
            del simulation.upstreams[name]
    simulation.revision += 1
    simulation.gossip()


class SilentStreamTests(unittest.TestCase):
    def ask(
        self,
        silence_s: float,
        faults: list[str],
        peer_faults: list[str],
        prepare: Callable[[Simulation], None] = lambda _: None,
        max_attempts: int = 2,
    ) -> tuple[Simulation, Caller]:
        """Ask for a stream whose first upstream falls silent after an event."""

        async def run() -> Simulation:
            async with start_simulation() as simulation:
                prepare(simulation)
                faults_of_sends = ["stall", *faults]
                simulation.ask(GULF, "/query/x", faults_of_sends, peer_faults)
            return simulation

        with (
            mock.patch("tests.entry.simulation.STALL_S", silence_s),
            mock.patch("tests.entry.simulation.MAX_ATTEMPTS", max_attempts),
        ):
            simulation = run_with_mock_clock(run)
        self.assertEqual(simulation.internal_failures, [])
        (caller,) = simulation.callers
        runs = simulation.runs[caller.request_id]
        self.assertLessEqual(len(runs), max_attempts)
        for before, after in zip(runs, runs[1:], strict=False):
            self.assertLess(min(before.ended_s, after.ended_s), after.at_s + TOGETHER_S)
        return simulation, caller

    def check_whole(self, caller: Caller) -> None:
        self.assertEqual(caller.body, make_stream(caller.request_id))
        self.assertTrue(caller.is_whole)

    def test_a_stream_goes_on_after_a_silence_whatever_another_upstream_does(self):
        for silence_s in SILENCES_S:
            for other in GOES_ON + BRINGS_NOTHING:
                with self.subTest(silence_s=silence_s, other=other):
                    _, caller = self.ask(silence_s, [other], [])
                    self.check_whole(caller)

    def test_a_stream_goes_on_after_a_silence_whatever_another_region_does(self):
        for other in GOES_ON + BRINGS_NOTHING:
            for peer_fault in PEER_FAULTS:
                with self.subTest(other=other, peer_fault=peer_fault):
                    _, caller = self.ask(
                        2.0,
                        [other],
                        [peer_fault] * 2,
                        lambda each: keep(each, "pool-gulf", "pool-piedmont"),
                    )
                    self.check_whole(caller)

    def test_a_forwarded_stream_goes_on_after_a_silence(self):
        for other in GOES_ON + BRINGS_NOTHING:
            with self.subTest(other):
                _, caller = self.ask(
                    2.0,
                    [other],
                    [],
                    lambda each: keep(each, "pool-piedmont", "pool-two-piedmont"),
                )
                self.check_whole(caller)

    def test_a_stream_goes_on_if_the_upstream_that_it_moved_to_breaks(self):
        for silence_s in SILENCES_S:
            for other in BREAKS_LATER:
                with self.subTest(silence_s=silence_s, other=other):
                    _, caller = self.ask(silence_s, [other], [], max_attempts=3)
                    self.check_whole(caller)

    def test_a_stream_goes_on_after_a_silence_if_no_other_upstream_is_there(self):
        _, caller = self.ask(2.5, [], [], lambda each: keep(each, "pool-gulf"))
        self.check_whole(caller)

    def test_a_stream_that_stays_silent_goes_on_elsewhere(self):
        simulation, caller = self.ask(60.0, [], [])
        self.check_whole(caller)
        self.assertEqual(len(simulation.runs[caller.request_id]), 2)

    def test_a_caller_that_leaves_ends_the_work_at_both_upstreams(self):
        async def run() -> list[float]:
            async with start_simulation() as simulation:
                caller = Caller("r1", "/query/x", GULF, anyio.current_time())
                simulation.faults["r1"] = ["stall", "silent"]
                with anyio.move_on_after(1.0):
                    await simulation._ask(simulation.entries[GULF], caller)
            return [run.ended_s - caller.sent_s for run in simulation.runs["r1"]]

        self.assertEqual(run_with_mock_clock(run), [1.0, 1.0])


if __name__ == "__main__":
    unittest.main()
