"""Checks that upstreams which say so in their answers get no requests."""

import unittest
from collections import Counter

import anyio

from tests.common import run_with_mock_clock
from tests.entry.simulation import PAUSE_S, Simulation, start_simulation

VM = "10.1.0.1"
PAUSE_MARGIN_S = 0.5
OTHER_VM = "10.1.0.2"
LIMIT_PER_S = 1.5
# The operators' rule for 4 s.
ALLOWED = 1.5 * LIMIT_PER_S * 4 + 5


async def ask_often(first_fault: str, seconds: float) -> Simulation:
    """Send a request that meets a fault, then ten a second."""
    async with start_simulation() as simulation:
        simulation.ask(VM, "/query/x", [first_fault], [])
        for _ in range(round(seconds * 10)):
            await anyio.sleep(0.1)
            simulation.ask(VM, "/query/x", [], [])
            simulation.gossip()
    return simulation


def count_runs(simulation: Simulation, since_s: float, until_s: float) -> Counter[str]:
    """Count the runs by upstream, in seconds since the first request."""
    started_s = simulation.callers[0].sent_s
    return Counter(
        run.upstream_id
        for runs in simulation.runs.values()
        for run in runs
        if since_s <= run.at_s - started_s < until_s
    )


async def ask_limited(limited: set[str], path: str) -> Simulation:
    """Ask two VMs ten times a second each; lift the limits after 16 s."""
    async with start_simulation() as simulation:
        simulation.limits_per_s = dict.fromkeys(limited, LIMIT_PER_S)
        for step in range(260):
            await anyio.sleep(0.1)
            for vm in (VM, OTHER_VM):
                simulation.ask(vm, path, [], [])
            simulation.gossip()
            if step == 160:
                simulation.limits_per_s.clear()
    return simulation


def count_most(simulation: Simulation, upstream_id: str, until_s: float) -> int:
    """Return the most runs of an upstream in 4 s, from 5 s on."""
    return max(
        count_runs(simulation, begin_s / 10, begin_s / 10 + 4)[upstream_id]
        for begin_s in range(50, round(until_s * 10) - 40)
    )


class UnwillingUpstreamTests(unittest.TestCase):
    def test_an_upstream_that_says_it_leaves_gets_no_more_requests(self):
        simulation = run_with_mock_clock(ask_often, "leaving", 6.0)
        leaving = simulation.runs[simulation.callers[0].request_id][0].upstream_id
        self.assertEqual(count_runs(simulation, PAUSE_MARGIN_S, 9.0)[leaving], 0)
        self.assertTrue(all(each.status == 200 for each in simulation.callers))

    def test_an_upstream_gets_the_pause_that_it_asks_for(self):
        simulation = run_with_mock_clock(ask_often, "pause", 6.0)
        early = count_runs(simulation, PAUSE_MARGIN_S, PAUSE_S)
        late = count_runs(simulation, PAUSE_S + PAUSE_MARGIN_S, 9.0)
        paused = set(late) - set(early)
        self.assertEqual(len(paused), 1, "one upstream gets requests after its pause")
        self.assertTrue(all(each.status == 200 for each in simulation.callers))

    def test_an_upstream_gets_no_more_requests_than_the_limit_that_it_names(self):
        limited = "pool-gulf"
        simulation = run_with_mock_clock(ask_limited, {limited}, "/query/x")
        self.assertLessEqual(count_most(simulation, limited, 16), ALLOWED)
        self.assertGreater(count_runs(simulation, 5, 16)[limited], 5)
        self.assertGreater(count_runs(simulation, 18, 25)[limited], 30)
        self.assertTrue(all(each.status == 200 for each in simulation.callers))

    def test_a_request_that_no_upstream_takes_is_refused_at_once(self):
        simulation = run_with_mock_clock(
            ask_limited, {"desk-gulf", "desk-piedmont"}, "/book/x"
        )
        self.assertLessEqual(count_most(simulation, "desk-gulf", 16), ALLOWED)
        refused = [each for each in simulation.callers if each.status != 200]
        self.assertTrue(refused)
        for caller in refused:
            self.assertEqual(caller.status, 503)
            self.assertLessEqual(caller.took_s, 0.7)
            self.assertGreater(float(caller.headers["retry-after"]), 0)


if __name__ == "__main__":
    unittest.main()
