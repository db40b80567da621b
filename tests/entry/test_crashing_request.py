"""Checks that a request which crashes upstreams stops reaching them, on whole daemons.

The same request arrives at each VM in turn. Each run ends with a broken connection, and
the upstreams are back as new incarnations at the next arrival.
"""

import unittest
from collections.abc import Callable

import anyio

from tests.common import run_with_mock_clock
from tests.entry.simulation import Simulation, start_simulation

VMS = ("10.1.0.1", "10.2.0.1", "10.1.0.2", "10.2.0.2")
# The operators allow three more runs later than this after the third crash.
CONTACT_S = 5.0
MAX_LATE_RUNS = 3
WITHOUT_BODY = ("GET", "/read/x", b"")
ON_A_PUBLIC_ROUTE = ("GET", "/open/x", b"")
WITH_BODY = ("POST", "/read/x", b"body")

Disturb = Callable[[Simulation, int], None]


async def repeat_deadly(
    request: tuple[str, str, bytes],
    arrivals: int = 60,
    pause_s: float = 0.6,
    disturb: Disturb = lambda *_: None,
) -> Simulation:
    """Send a deadly request again and again; `disturb` is called before each."""
    method, path, body = request
    async with start_simulation() as simulation:
        for number in range(1, arrivals + 1):
            simulation.replace_upstreams(number)
            simulation.gossip()
            disturb(simulation, number)
            vm = VMS[number % len(VMS)]
            crash = ["no answer"] * 3
            simulation.ask(vm, path, crash, [], method=method, body=body)
            await anyio.sleep(pause_s)
    return simulation


def list_run_times(simulation: Simulation) -> list[float]:
    """Return when upstreams began to run any of the requests, in order."""
    return sorted(run.at_s for runs in simulation.runs.values() for run in runs)


class CrashingRequestTests(unittest.TestCase):
    def check(self, simulation: Simulation) -> None:
        """Check the operators' rule for a request that crashes what runs it."""
        times = list_run_times(simulation)
        late = [at_s for at_s in times if at_s > times[2] + CONTACT_S]
        self.assertLessEqual(len(late), MAX_LATE_RUNS, times)

    def test_a_crashing_request_without_a_body_stops_reaching_upstreams(self):
        self.check(run_with_mock_clock(repeat_deadly, WITHOUT_BODY))


if __name__ == "__main__":
    unittest.main()
