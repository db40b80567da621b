"""Checks that a segment which crashes engines stops reaching them, on whole daemons."""

import unittest

import anyio

from tests.common import run_with_mock_clock
from tests.entry.simulation import Simulation, start_simulation

VMS = ("10.1.0.1", "10.2.0.1", "10.1.0.2", "10.2.0.2")
# The operators allow five crashes and three more requests.
MAX_RUNS = 8
DEADLY, SOUND = b"5a:200,dead:100", b"5a:200,77:100"


async def mix_requests() -> Simulation:
    """Send sound and deadly requests, no two alike, to all VMs in turn."""
    async with start_simulation() as simulation:
        for number in range(32):
            vm = VMS[number % len(VMS)]
            own = f",{number:x}:100".encode()
            crash = ["no answer"] * 3
            simulation.ask(vm, "/query/x", crash, [], DEADLY + own)
            simulation.ask(vm, "/query/x", [], [], SOUND + own)
            await anyio.sleep(0.6)
            simulation.gossip()
    return simulation


class CrashingSegmentTests(unittest.TestCase):
    def test_a_segment_that_crashes_engines_stops_reaching_them(self):
        simulation = run_with_mock_clock(mix_requests)
        runs = {True: 0, False: 0}
        for caller in simulation.callers:
            runs[b"dead" in caller.segments] += len(
                simulation.runs.get(caller.request_id, [])
            )
        self.assertLessEqual(runs[True], MAX_RUNS)

    def test_requests_with_its_other_segments_are_served(self):
        simulation = run_with_mock_clock(mix_requests)
        sound = [each for each in simulation.callers if b"dead" not in each.segments]
        served = [each for each in sound if each.status == 200 and each.is_whole]
        self.assertEqual(len(served), len(sound))


if __name__ == "__main__":
    unittest.main()
