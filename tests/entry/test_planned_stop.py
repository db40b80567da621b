"""Checks what a VM that stops still sends, by its clock and for any grace period."""

import os
import random
import unittest
from dataclasses import dataclass, replace
from itertools import product
from unittest import mock

import anyio

from banyanseam.entry.choosing import Chooser
from tests.common import run_with_mock_clock
from tests.entry.simulation import Run, Simulation, start_simulation

LEAVING, OTHER, REMOTE = "10.1.0.1", "10.1.0.2", "10.2.0.1"
BEGAN_S = 4.0
# Callers that sent a request later than this after SIGTERM may count on an answer.
LATE_S = 3.0
# Upstreams that still work in the last sixth of the grace period may be cut off.
MIN_RUN_SHARE = 5 / 6
# How long before its caller stops waiting a request ends.
ANSWER_MARGIN_S = 0.05
PATHS = ("/book/x", "/read/x", "/summary/x", "/query/x")
# Short answers from which a VM could learn how long a route's requests take.
EARLIER = 8
REQUEST_ID = f"request-{EARLIER}"
CASES = int(os.environ.get("PLANNED_STOPS", "100"))


@dataclass(frozen=True, slots=True)
class Case:
    """A request to a VM whose planned stop begins at BEGAN_S."""

    path: str
    grace_s: float
    # When it is sent, counted from the signal, and how long it waits for a place.
    sent_s: float
    waits_s: float
    deadline_s: float
    timeout_s: float
    is_forwarded: bool = False
    # Whether another VM of the region serves.
    has_other: bool = False
    attempts: int = 2
    # Whether its upstreams never come to an end of their answers.
    is_endless: bool = True

    @property
    def limit_s(self) -> float:
        """Return when it ends by itself, counted from the signal."""
        return self.sent_s + min(self.deadline_s, self.timeout_s)


class _FakeServer:
    def stop_listening(self) -> None:
        pass

    async def close(self) -> None:
        pass


def draw_case(rng: random.Random) -> Case:
    grace_s = rng.choice((0.5, 1.0, 3.0, 8.0, 8.0, 20.0, 60.0))
    return Case(
        path=rng.choice(PATHS),
        grace_s=grace_s,
        sent_s=rng.choice((rng.uniform(-3, 0), rng.uniform(0, 0.65 * grace_s))),
        waits_s=rng.choice((0.0, 0.0, rng.uniform(0, 6))),
        deadline_s=rng.choice((0.5, 1.0, 2.0, 4.0, 8.0, 30.0, 90.0)),
        timeout_s=rng.choice((1.0, 4.0, 8.0, 30.0, 90.0)),
        is_forwarded=rng.random() < 0.3,
        has_other=rng.random() < 0.3,
        attempts=rng.choice((1, 2, 3, 4)),
        is_endless=rng.random() < 0.7,
    )


class PlannedStopTests(unittest.TestCase):
    def play(self, case: Case) -> tuple[Simulation, list[Run]]:
        """Send the request, and return its runs."""
        wait_for_placement = Chooser.wait_for_placement

        async def wait(chooser, exchange):
            if exchange.head.request_id == REQUEST_ID:
                await anyio.sleep(case.waits_s)
            return await wait_for_placement(chooser, exchange)

        async def run() -> Simulation:
            async with start_simulation() as simulation:
                began_s = anyio.current_time() + BEGAN_S
                self.prepare(simulation, case)
                vm = REMOTE if case.is_forwarded else LEAVING
                fault = "stall" if case.path in ("/summary/x", "/query/x") else "silent"
                faults = [fault] * 5 if case.is_endless else []
                simulation.tasks.start_soon(self.stop, simulation, began_s)
                for _ in range(EARLIER):
                    simulation.ask(LEAVING, case.path, [], [])
                await anyio.sleep_until(began_s + case.sent_s)
                deadline_ms = round(1000 * case.deadline_s)
                simulation.ask(vm, case.path, faults, [], deadline_ms=deadline_ms)
            simulation.callers[-1].sent_s -= began_s
            for each in simulation.runs.get(REQUEST_ID, []):
                each.at_s -= began_s
                each.ended_s -= began_s
            return simulation

        with (
            mock.patch.object(Chooser, "wait_for_placement", wait),
            mock.patch("tests.entry.simulation.STALL_S", 1000.0),
            mock.patch("tests.entry.simulation.MAX_ATTEMPTS", case.attempts),
        ):
            simulation = run_with_mock_clock(run)
        self.assertEqual(simulation.internal_failures, [])
        return simulation, simulation.runs.get(REQUEST_ID, [])

    def prepare(self, simulation: Simulation, case: Case) -> None:
        for route in simulation.config["routes"]:
            route["timeout_ms"] = round(1000 * case.timeout_s)
        if case.is_forwarded:
            for name in ("pool-piedmont", "pool-two-piedmont", "desk-piedmont"):
                del simulation.upstreams[name]
        simulation.publish()
        entry = simulation.entries[LEAVING]
        bounds = replace(entry.settings.bounds, stop_grace_s=case.grace_s)
        settings = replace(entry.settings, bounds=bounds)
        entry._reload_settings = lambda: settings
        entry._servers = [_FakeServer(), _FakeServer()]

        async def keep_alive() -> None:
            while True:
                if not case.has_other:
                    simulation.cut_off = {OTHER}
                if case.is_forwarded:
                    # No other VM of the region would get the request, nor would the
                    # sender know of the stop.
                    simulation.cut_off = {OTHER}
                    with mock.patch.object(entry.lifecycle, "state", "serving"):
                        simulation.gossip()
                else:
                    simulation.gossip()
                await anyio.sleep(0.5)

        simulation.checks.start_soon(keep_alive)

    async def stop(self, simulation: Simulation, began_s: float) -> None:
        await anyio.sleep_until(began_s)
        await simulation.entries[LEAVING]._stop()

    def check(self, case: Case) -> None:
        simulation, runs = self.play(case)
        caller = simulation.callers[-1]
        with self.subTest(case):
            self.assertGreater(caller.status, 0)
            if caller.status == 503:
                self.assertEqual(runs, [])
            if not runs or not case.is_endless:
                return
            first_s = min(run.at_s for run in runs)
            if case.is_forwarded:
                # Its sender may give it up sooner, and ask another VM.
                self.assertTrue(first_s <= 0 or case.limit_s < case.grace_s)
                return
            last_s = max(run.ended_s for run in runs)
            self.assertLess(last_s, max(case.grace_s, case.limit_s))
            if last_s < case.limit_s - ANSWER_MARGIN_S:
                self.assertLessEqual(first_s, LATE_S)
                self.assertGreaterEqual(last_s, MIN_RUN_SHARE * case.grace_s)
                self.assertLess(last_s, case.grace_s)

    # The last VM of a region took requests by an estimate of how long they would take,
    # and cut those that took longer.
    def test_the_last_vm_takes_nothing_by_the_duration_of_earlier_requests(self):
        for path, sent_s in product(PATHS, (2.5, 3.5, 4.5)):
            for is_forwarded in (False, True):
                case = Case(path, 8.0, sent_s, 0.0, 8.0, 8.0, is_forwarded=is_forwarded)
                with self.subTest(case):
                    simulation, runs = self.play(case)
                    self.assertEqual((simulation.callers[-1].status, runs), (503, []))

    def test_nothing_is_sent_late_that_may_outlast_the_process(self):
        rng = random.Random(72)
        for _ in range(CASES):
            self.check(draw_case(rng))

    def test_the_last_vm_serves_what_ends_by_itself_in_time(self):
        for path, sent_s in product(PATHS, (2.5, 3.5, 4.5)):
            case = Case(path, 8.0, sent_s, 0.0, 2.0, 8.0, is_endless=False)
            with self.subTest(path, sent_s=sent_s):
                simulation, runs = self.play(case)
                self.assertEqual(simulation.callers[-1].status, 200)
                self.assertEqual(len(runs), 1)

    # Callers that wait would else be refused when it is too late for another VM.
    def test_a_waiting_request_is_refused_as_soon_as_it_may_not_be_sent(self):
        for path in PATHS:
            case = Case(path, 8.0, -0.5, 6.0, 20.0, 20.0)
            with self.subTest(path):
                simulation, runs = self.play(case)
                caller = simulation.callers[-1]
                self.assertEqual((caller.status, runs), (503, []))
                self.assertAlmostEqual(caller.sent_s + caller.took_s, 2.3, delta=0.2)

    # A short grace period ended running requests long before its end.
    def test_running_requests_use_five_sixths_of_any_grace_period(self):
        for path, grace_s in product(PATHS, (0.5, 1.0, 2.0, 3.0, 8.0, 60.0)):
            case = Case(path, grace_s, -0.5, 0.0, 90.0, 90.0, attempts=1)
            with self.subTest(path, grace_s=grace_s):
                _, (run,) = self.play(case)
                self.assertGreaterEqual(run.ended_s, MIN_RUN_SHARE * grace_s)
                self.assertLess(run.ended_s, grace_s)


if __name__ == "__main__":
    unittest.main()
