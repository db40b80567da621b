"""Checks that upstreams which say so in their answers get no requests."""

import unittest
from collections import Counter

import anyio

from tests.common import run_with_mock_clock
from tests.entry.simulation import PAUSE_S, Simulation, start_simulation

VM = "10.1.0.1"
PAUSE_MARGIN_S = 0.5


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


if __name__ == "__main__":
    unittest.main()
