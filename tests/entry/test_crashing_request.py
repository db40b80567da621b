"""Checks that a request which crashes upstreams stops reaching them, on whole daemons.

The same request arrives at each VM in turn. Each run ends with a broken connection, and
the upstreams are back as new incarnations at the next arrival.
"""

import unittest
from collections.abc import Callable
from functools import partial

import anyio

from tests.common import run_with_mock_clock
from tests.entry.simulation import Simulation, start_simulation

VMS = ("10.1.0.1", "10.2.0.1", "10.1.0.2", "10.2.0.2")
# The operators allow three more runs later than this after the third crash.
CONTACT_S = 5.0
MAX_LATE_RUNS = 3
HEARTBEAT_S = 0.6
# How long sound requests may be refused after the last crash that they ran beside: the
# operators ask for sound requests to be served again from then on.
SOON_S = 2 * CONTACT_S
WITHOUT_BODY = ("GET", "/read/x", b"")
ON_A_PUBLIC_ROUTE = ("GET", "/open/x", b"")
WITH_BODY = ("POST", "/read/x", b"body")

Disturb = Callable[[Simulation, int], None]


async def repeat_deadly(
    request: tuple[str, str, bytes],
    arrivals: int = 60,
    pause_s: float = 0.6,
    disturb: Disturb = lambda *_: None,
    *,
    fault: str = "no answer",
) -> Simulation:
    """Send a deadly request again and again; `disturb` is called before each.

    Heartbeats go on between the arrivals.
    """
    method, path, body = request
    async with start_simulation() as simulation:
        for number in range(1, arrivals + 1):
            simulation.replace_upstreams(number)
            simulation.gossip()
            disturb(simulation, number)
            vm = VMS[number % len(VMS)]
            crash = [fault] * 3
            simulation.ask(vm, path, crash, [], method=method, body=body)
            for _ in range(round(pause_s / HEARTBEAT_S)):
                await anyio.sleep(HEARTBEAT_S)
                simulation.gossip()
    return simulation


async def repeat_sound(request: tuple[str, str, bytes]) -> Simulation:
    """Send a sound request; each sixth, and its retry, meets a crash of other cause."""
    method, path, body = request
    async with start_simulation() as simulation:
        for number in range(60):
            simulation.replace_upstreams(number + 1)
            simulation.gossip()
            faults = ["no answer"] * 2 if number % 6 == 0 else []
            vm = VMS[number % len(VMS)]
            simulation.ask(vm, path, faults, [], method=method, body=body)
            await anyio.sleep(HEARTBEAT_S)
    return simulation


def list_run_times(simulation: Simulation) -> list[float]:
    """Return when upstreams began to run any of the requests, in order."""
    return sorted(run.at_s for runs in simulation.runs.values() for run in runs)


class CrashingRequestTests(unittest.TestCase):
    def check(self, simulation: Simulation) -> None:
        """Check the operators' rule for a request that crashes what runs it."""
        times = list_run_times(simulation)
        late = [at_s for at_s in times[3:] if at_s > times[2] + CONTACT_S]
        self.assertLessEqual(len(late), MAX_LATE_RUNS, times)

    def test_sound_requests_beside_crashes_are_served_again_soon(self):
        for request in (WITH_BODY, WITHOUT_BODY):
            with self.subTest(request=request):
                callers = run_with_mock_clock(repeat_sound, request).callers
                # Both runs of each sixth caller break.
                others = [each for i, each in enumerate(callers) if i % 6]
                waiting = [each for each in others if each.status != 200]
                self.assertTrue(all(each.sent_s <= SOON_S for each in waiting))
                self.assertTrue(all(each.status == 503 for each in waiting))

    def test_a_hot_read_is_served_again_at_all_vms_after_a_storm_of_crashes(self):
        storm_s, arrivals, pause_s = 4.0, 300, 0.1

        async def scenario() -> Simulation:
            async with start_simulation() as simulation:
                for number in range(arrivals):
                    if number % 6 == 0:
                        simulation.replace_upstreams(number + 1)
                        simulation.gossip()
                    is_storm = number * pause_s < storm_s
                    for vm in VMS:
                        faults = ["no answer"] * 2 if is_storm else []
                        simulation.ask(vm, "/read/x", faults, [], method="GET")
                    await anyio.sleep(pause_s)
            return simulation

        simulation = run_with_mock_clock(scenario)
        for vm in VMS:
            with self.subTest(vm=vm):
                refused = [
                    each
                    for each in simulation.callers
                    if each.vm == vm and each.status != 200
                ]
                self.assertLessEqual(refused[-1].sent_s, storm_s + SOON_S)

    def test_a_refusal_says_when_to_return(self):
        simulation = run_with_mock_clock(repeat_deadly, WITH_BODY)
        refused = [each for each in simulation.callers if each.status == 503]
        self.assertGreater(len(refused), 50)
        for each in refused:
            self.assertNotIn(each.request_id, simulation.runs)
            self.assertGreater(float(each.headers["retry-after"]), 0)

    def test_failures_of_an_upstream_do_not_prove_a_request_sound(self):
        faults = ("no answer", "error")

        async def scenario() -> Simulation:
            async with start_simulation() as simulation:
                for number in range(40):
                    simulation.replace_upstreams(number + 1)
                    simulation.gossip()
                    fault = faults[number % 2]
                    simulation.ask(VMS[number % 4], "/read/x", [fault] * 3, [])
                    await anyio.sleep(HEARTBEAT_S)
            return simulation

        self.check(run_with_mock_clock(scenario))

    def test_a_crashing_request_without_a_body_stops_reaching_upstreams(self):
        self.check(run_with_mock_clock(repeat_deadly, WITHOUT_BODY))

    def test_a_crashing_request_of_a_public_route_stops_reaching_upstreams(self):
        self.check(run_with_mock_clock(repeat_deadly, ON_A_PUBLIC_ROUTE))

    def test_vms_that_start_anew_know_the_request(self):
        def restart(simulation: Simulation, number: int) -> None:
            if number % 4 == 0:
                simulation.restart_vm(VMS[number // 4 % len(VMS)])

        for pause_s in (0.6, 7.2):
            with self.subTest(pause_s=pause_s):
                self.check(
                    run_with_mock_clock(repeat_deadly, WITH_BODY, 60, pause_s, restart)
                )

    def test_vms_that_were_cut_off_know_the_request(self):
        # The VM is back after the others have stopped to report the crashes as new.
        last_crash, back, first_arrival = 5, 20, 22

        async def scenario() -> Simulation:
            async with start_simulation() as simulation:
                simulation.cut_off = {VMS[0]}
                for number in range(1, 60):
                    simulation.replace_upstreams(number)
                    if number == back:
                        simulation.cut_off = set()
                    simulation.gossip()
                    if number <= last_crash or number >= first_arrival:
                        vm = VMS[0] if number >= back else VMS[1 + number % 3]
                        crash = ["no answer"] * 3
                        simulation.ask(vm, "/read/x", crash, [], body=b"body")
                    await anyio.sleep(HEARTBEAT_S)
            return simulation

        simulation = run_with_mock_clock(scenario)
        self.check(simulation)
        # Later ones are trials.
        arrival_s = (first_arrival - 1.5) * HEARTBEAT_S
        at_arrival = [
            at_s
            for at_s in list_run_times(simulation)
            if arrival_s <= at_s < arrival_s + 3 * HEARTBEAT_S
        ]
        self.assertLessEqual(len(at_arrival), 1)

    def test_regions_that_were_cut_from_one_another_know_the_request(self):
        def cut(simulation: Simulation, number: int) -> None:
            simulation.is_partitioned = 5 <= number < 25

        self.check(run_with_mock_clock(repeat_deadly, WITH_BODY, 120, 0.6, cut))

    def test_every_way_in_which_an_upstream_may_crash_counts(self):
        # Silent upstreams are lost with the next arrival.
        stream = ("POST", "/query/x", b"body")
        for request, fault in (
            (WITHOUT_BODY, "silent"),
            (WITHOUT_BODY, "cut"),
            (stream, "silent"),
            (stream, "cut"),
            (stream, "short"),
        ):
            with self.subTest(request=request, fault=fault):
                crash = partial(repeat_deadly, request, fault=fault)
                self.check(run_with_mock_clock(crash))

    def test_silence_of_upstreams_that_stay_is_no_crash(self):
        async def scenario() -> Simulation:
            async with start_simulation() as simulation:
                for number in range(30):
                    simulation.gossip()
                    fault = "silent" if number < 20 else ""
                    vm = VMS[number % len(VMS)]
                    simulation.ask(vm, "/read/x", [fault] * 3, [], method="GET")
                    await anyio.sleep(HEARTBEAT_S)
            return simulation

        callers = run_with_mock_clock(scenario).callers
        self.assertTrue(all(each.status == 200 for each in callers[20:]))
        self.assertTrue(all(each.status == 504 for each in callers[:20]))

    def test_a_request_that_comes_rarely_is_remembered_while_it_comes(self):
        for pause_s, arrivals in ((7.2, 30), (60.0, 6), (300.0, 5)):
            with self.subTest(pause_s=pause_s):
                self.check(
                    run_with_mock_clock(repeat_deadly, WITH_BODY, arrivals, pause_s)
                )


if __name__ == "__main__":
    unittest.main()
