"""Checks what a process records of answers whose callers disconnect at once."""

import unittest

from tests.common import run_with_mock_clock
from tests.entry.simulation import Simulation, start_simulation

VM = "10.1.0.1"


class RecordingTests(unittest.TestCase):
    def test_an_answer_counts_as_success_though_its_caller_disconnects_at_once(self):
        async def run() -> Simulation:
            async with start_simulation() as simulation:
                upstreams = simulation.entries[VM].upstreams
                for each in ("desk-gulf", "pool-gulf", "pool-two-gulf"):
                    upstreams.find(each).usage.consecutive_failures = 1
                for path in ("/query/x", "/query/x", "/query/x", "/read/x"):
                    simulation.ask(VM, path, [], [])
            return simulation

        simulation = run_with_mock_clock(run)
        used = {run.upstream_id for runs in simulation.runs.values() for run in runs}
        upstreams = simulation.entries[VM].upstreams
        for upstream_id in used:
            with self.subTest(upstream_id):
                usage = upstreams.find(upstream_id).usage
                self.assertEqual(usage.consecutive_failures, 0)


if __name__ == "__main__":
    unittest.main()
