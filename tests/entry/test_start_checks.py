"""Checks when an upstream is held back, and that this ends, on a paused clock."""

import unittest
from collections.abc import Callable
from unittest import mock

import anyio

from banyanseam.entry.listed_upstream import ListedUpstream
from banyanseam.entry.models import Upstream
from banyanseam.entry.start_checks import Failure, StartChecks
from tests.common import run_with_mock_clock
from tests.entry.simulation import Simulation, start_simulation

NAME = "pool-gulf"
VM = "10.1.0.1"
CHECK_S = 0.01
# Longer than all waits between two checks.
LONG_S = 5.0

Finding = int | Failure


class HoldTests(unittest.TestCase):
    def play(
        self, find: Callable[[Upstream, float], Finding], act: Callable[..., object]
    ) -> None:
        """Run `act` with a VM that has failed to connect, whose checks find `find`."""

        async def ask(checks: StartChecks, upstream: Upstream) -> Finding:
            await anyio.sleep(CHECK_S)
            return find(upstream, anyio.current_time())

        async def run() -> None:
            with mock.patch.object(StartChecks, "_ask", ask):
                async with start_simulation() as simulation:
                    entry = simulation.entries[VM]
                    listed = entry.upstreams.find(NAME)
                    entry.start_checks.start(listed)
                    await act(simulation, listed)

        run_with_mock_clock(run)

    def is_held(self, simulation: Simulation) -> bool:
        upstreams = simulation.entries[VM].upstreams
        return upstreams.starts.is_held(upstreams.find(NAME).upstream)

    def test_an_upstream_that_is_listed_again_during_a_pause_of_its_check_is_freed(
        self,
    ):
        def find(upstream: Upstream, now_s: float) -> Finding:
            return Failure.REFUSED if now_s < 1.0 else upstream.started_ms

        async def act(simulation: Simulation, listed: ListedUpstream) -> None:
            upstreams = simulation.entries[VM].upstreams
            simulation.cut_off.add(VM)
            await anyio.sleep(2 * CHECK_S)
            now_s = anyio.current_time()
            others = [each for each in upstreams.listing if each != listed.upstream]
            upstreams.adopt(others, upstreams.revision, now_s)
            self.assertIsNone(upstreams.find(NAME))
            upstreams.adopt([*others, listed.upstream], upstreams.revision, now_s)
            self.assertTrue(self.is_held(simulation))
            await anyio.sleep(LONG_S)
            self.assertFalse(self.is_held(simulation))

        self.play(find, act)

    def test_an_upstream_that_refused_once_and_reports_no_start_is_freed(self):
        def find(_: Upstream, now_s: float) -> Finding:
            return Failure.REFUSED if now_s < 1.0 else Failure.NO_REPORT

        async def act(simulation: Simulation, _: ListedUpstream) -> None:
            await anyio.sleep(2 * CHECK_S)
            self.assertTrue(self.is_held(simulation))
            await anyio.sleep(LONG_S)
            self.assertFalse(self.is_held(simulation))

        self.play(find, act)

    def test_a_list_read_during_a_check_does_not_end_the_hold(self):
        def find(upstream: Upstream, now_s: float) -> Finding:
            restarted_ms = 7
            if upstream.started_ms != restarted_ms:
                return restarted_ms
            return Failure.UNREACHABLE

        async def act(simulation: Simulation, _: ListedUpstream) -> None:
            await anyio.sleep(2 * CHECK_S)
            entry = simulation.entries[VM]
            entry.start_checks.start(entry.upstreams.find(NAME))
            await anyio.sleep(2 * CHECK_S)
            self.assertTrue(self.is_held(simulation))
            entry.upstreams.adopt(
                entry.upstreams.listing, entry.upstreams.revision, anyio.current_time()
            )
            self.assertTrue(self.is_held(simulation))

        self.play(find, act)

    def test_only_engines_are_asked_before_a_stream_goes_on(self):
        """Others would take the question for a request."""
        asked = []

        async def ask(_: StartChecks, upstream: Upstream) -> Finding:
            asked.append(upstream.upstream_id)
            return Failure.NO_ANSWER

        async def run() -> None:
            with mock.patch.object(StartChecks, "_ask", ask):
                async with start_simulation() as simulation:
                    entry = simulation.entries[VM]
                    desk = entry.upstreams.find("desk-gulf")
                    self.assertTrue(await entry.start_checks.is_running(desk.upstream))
                    engine = entry.upstreams.find(NAME)
                    self.assertFalse(
                        await entry.start_checks.is_running(engine.upstream)
                    )

        run_with_mock_clock(run)
        self.assertEqual(asked, [NAME])


if __name__ == "__main__":
    unittest.main()
