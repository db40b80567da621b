"""Checks what VMs send to an upstream that has started again under its id.

The list shows the new start late or not at all. Requests arrive at all VMs of a region,
on a paused clock.
"""

import unittest
from collections.abc import Callable
from dataclasses import dataclass, field
from unittest import mock

import anyio

from banyanseam.entry.const import START_CHECK_TIMEOUT_S
from banyanseam.entry.models import Upstream
from banyanseam.entry.start_checks import Failure, StartChecks
from tests.common import run_with_mock_clock
from tests.entry.simulation import Simulation, start_simulation

NAME = "pool-gulf"
OTHER_NAME = "pool-two-gulf"
VMS = 12
STEP_S = 0.1
HEARTBEAT_S = 0.2
WARMUP_S = 3.0
REPORTS_FROM_S = 1.6
# Of the configuration's rate for a cold upstream, in any second.
COLD_PER_S = 4.5
MAX_COLD_REQUESTS = COLD_PER_S * 1.5 + 3


@dataclass(slots=True)
class Day:
    """When the upstream goes down and comes back, and what else happens, in seconds."""

    down_s: list[float] = field(default_factory=lambda: [1.0])
    up_s: list[float] = field(default_factory=lambda: [2.2])
    # When the list shows the last start; None if it never does.
    listed_s: float | None = None
    # Whether callers come while the upstream is down, but for one.
    has_callers_while_down: bool = True
    length_s: float = 8.0
    # VMs that no other callers use.
    asleep: set[str] = field(default_factory=set)
    # Called at each step with the simulation and the time since the start.
    disturb: Callable[[Simulation, float], None] = lambda *_: None


async def play(day: Day) -> tuple[Simulation, list[float]]:
    """Play a day on twelve VMs; return when the upstream got requests, in order."""
    async with start_simulation() as simulation:
        for number in range(3, VMS + 1):
            simulation.start_vm(f"10.1.0.{number}", "gulf")
        simulation.config["services"][0] |= {
            "warmup_s": WARMUP_S,
            "cold_per_s": COLD_PER_S,
        }
        simulation.publish()
        simulation.gossip()
        began_s = anyio.current_time()
        vms = [ip for ip in simulation.entries if ip.startswith("10.1.")]
        for step in range(round(day.length_s / STEP_S)):
            now_s = round(step * STEP_S, 3)
            if now_s in day.down_s:
                simulation.down.add(NAME)
            if now_s in day.up_s:
                simulation.restart_upstream(NAME)
            if now_s == day.listed_s:
                cold_s = day.up_s[-1] + WARMUP_S - now_s
                simulation.register_restart(NAME, int(cold_s * 1000))
            day.disturb(simulation, now_s)
            if step % round(HEARTBEAT_S / STEP_S) == 0:
                simulation.gossip()
            is_quiet = NAME in simulation.down and not day.has_callers_while_down
            for place, vm in enumerate(vms):
                await anyio.sleep_until(began_s + now_s + place * STEP_S / VMS)
                if vm not in day.asleep and (place == 0 or not is_quiet):
                    simulation.ask(vm, "/query/x", [], [])
            await anyio.sleep_until(began_s + now_s + STEP_S)
    times = sorted(
        run.at_s - began_s
        for runs in simulation.runs.values()
        for run in runs
        if run.upstream_id == NAME
    )
    return simulation, times


def stop_other(simulation: Simulation, _: float) -> None:
    """Let the other engine of the region be down, for `Day.disturb`."""
    simulation.down.add(OTHER_NAME)


def count_most_per_s(times: list[float], from_s: float, until_s: float) -> int:
    """Return the most requests in one second of a time."""
    times = [at_s for at_s in times if from_s <= at_s < until_s]
    return max((sum(a <= b < a + 1 for b in times) for a in times), default=0)


class RestartedUpstreamTests(unittest.TestCase):
    def check_cold(self, day: Day) -> None:
        """Check that the upstream gets few requests until it is warm, then more."""
        simulation, times = run_with_mock_clock(play, day)
        for up_s, until_s in zip(day.up_s, [*day.down_s[1:], None], strict=True):
            cold_until_s = min(up_s + WARMUP_S, until_s or day.length_s)
            found = count_most_per_s(times, up_s, cold_until_s)
            self.assertLessEqual(found, MAX_COLD_REQUESTS)
        warm_s = day.up_s[-1] + WARMUP_S + 1
        found = count_most_per_s(times, warm_s, day.length_s)
        self.assertGreater(found, MAX_COLD_REQUESTS)
        self.assertEqual(simulation.internal_failures, [])

    def test_a_restarted_upstream_is_not_flooded_before_the_list_shows_it(self):
        self.check_cold(Day(listed_s=3.2))

    def test_a_restarted_upstream_is_not_flooded_while_the_store_is_away(self):
        self.check_cold(Day())

    def test_vms_that_met_no_failure_do_not_flood_a_restarted_upstream(self):
        self.check_cold(Day(has_callers_while_down=False))

    def test_a_short_restart_is_noticed(self):
        self.check_cold(Day(up_s=[1.1]))

    def test_each_of_several_restarts_is_noticed(self):
        self.check_cold(Day(down_s=[1.0, 2.5, 4.0], up_s=[1.3, 3.0, 4.4], length_s=9.5))

    def test_a_vm_that_starts_later_does_not_flood_a_restarted_upstream(self):
        def restart_vms(simulation: Simulation, now_s: float) -> None:
            if now_s == 2.6:
                for number in range(1, VMS + 1):
                    simulation.restart_vm(f"10.1.0.{number}")

        self.check_cold(Day(disturb=restart_vms))

    def test_a_vm_that_stood_still_does_not_flood_a_restarted_upstream(self):
        vm = "10.1.0.5"

        def suspend(simulation: Simulation, now_s: float) -> None:
            if now_s == 0.5:
                simulation.cut_off.add(vm)
            if now_s == 4.5:
                simulation.cut_off.discard(vm)
                for _ in range(60):
                    simulation.ask(vm, "/query/x", [], [])

        self.check_cold(Day(up_s=[3.0], listed_s=3.4, disturb=suspend, asleep={vm}))

    def test_a_restarted_upstream_that_alone_has_room_gets_a_few_requests(self):
        def leave_no_other(simulation: Simulation, now_s: float) -> None:
            stop_other(simulation, now_s)
            simulation.is_partitioned = True

        day = Day(disturb=leave_no_other)
        self.check_cold(day)
        _, times = run_with_mock_clock(play, day)
        cold_until_s = day.up_s[-1] + WARMUP_S
        self.assertGreater(count_most_per_s(times, day.up_s[-1], cold_until_s), 1)

    def test_an_upstream_that_reports_late_after_its_start_is_not_flooded(self):
        ask = StartChecks._ask

        async def ask_late(checks: StartChecks, upstream: Upstream) -> int | Failure:
            found = await ask(checks, upstream)
            if anyio.current_time() > REPORTS_FROM_S or found is Failure.REFUSED:
                return found
            await anyio.sleep(START_CHECK_TIMEOUT_S)
            return Failure.NO_ANSWER

        with mock.patch.object(StartChecks, "_ask", ask_late):
            self.check_cold(Day(up_s=[1.0], listed_s=2.1, disturb=stop_other))


if __name__ == "__main__":
    unittest.main()
