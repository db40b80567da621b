"""Checks what a fleet does after all its VMs died at once, or twice."""

import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from unittest import mock

import anyio

from banyanseam.peers.const import INCARNATION_RANDOM_BITS
from tests.common import run_with_mock_clock
from tests.entry.simulation import Run, Simulation, start_simulation

VMS = ("10.1.0.1", "10.2.0.1", "10.1.0.2", "10.2.0.2")
# The operators allow three more runs later than this after the third crash.
CONTACT_S = 5.0
MAX_LATE_RUNS = 3
ARRIVAL_S = 0.6
REPEATED_S = 25.0
START_MS = 1_800_000_000_000
DAY_MS = 86_400_000
DEADLY = {
    "a read": ("GET", "/read/deadly", b""),
    "a booking": ("POST", "/book/deadly", b"body"),
    "a stream": ("POST", "/query/deadly", b"body"),
}
# Prompts with the segment "dead" crash engines; no two prompts are alike.
SEGMENT = ("POST", "/query/deadly", None)


# Method, path and body; with a body of None it has prompt segments.
Request = tuple[str, str, bytes | None]


def read_unix_ms() -> int:
    return START_MS + round(anyio.current_time() * 1000)


@contextmanager
def unix_time() -> Iterator[None]:
    """Let VMs start at the times of the mock clock."""

    def make_incarnation() -> int:
        return read_unix_ms() << INCARNATION_RANDOM_BITS

    with mock.patch("banyanseam.entry.app.make_incarnation", make_incarnation):
        yield


class DeadlyRequest:
    """A request that crashes what runs it, and others beside it."""

    def __init__(self, simulation: Simulation, request: Request) -> None:
        self.sound: list[int] = []
        self._simulation = simulation
        self._request = request
        self._deadly: list[int] = []
        self._crashes = 0

    def list_runs(self) -> list[Run]:
        found = [
            run
            for number in self._deadly
            for run in self._simulation.runs.get(f"request-{number}", [])
        ]
        return sorted(found, key=lambda run: run.at_s)

    async def repeat(self, for_s: float, crashes: int = 1000) -> None:
        """Send it at each VM in turn, until so many crashes or for so long."""
        simulation = self._simulation
        method, path, body = self._request
        end_s = anyio.current_time() + for_s
        while anyio.current_time() < end_s and len(self.list_runs()) < crashes:
            number = len(simulation.callers)
            vm = VMS[len(self._deadly) % len(VMS)]
            deadly, sound, own_body = b"", b"", b"sound %d" % number
            if body is None:
                deadly = b"5a:200,dead:100,%x:100" % number
                sound, own_body = b"5a:200,77:100,%x:100" % number, None
            fault = ["no answer"] * 3
            self._deadly.append(
                simulation.ask(vm, path, fault, [], deadly, method=method, body=body)
            )
            path_of_sound = path.replace("deadly", f"sound-{number}")
            self.sound.append(
                simulation.ask(
                    vm, path_of_sound, [], [], sound, method=method, body=own_body
                )
            )
            await anyio.sleep(ARRIVAL_S)
            self._replace_crashed()
            simulation.gossip()

    def _replace_crashed(self) -> None:
        simulation = self._simulation
        for run in self.list_runs()[self._crashes :]:
            self._crashes += 1
            for name, upstream in simulation.upstreams.items():
                if upstream.upstream_id == run.upstream_id:
                    simulation.upstreams[name] = replace(
                        upstream,
                        upstream_id=f"{name}-{self._crashes}",
                        started_ms=read_unix_ms(),
                    )


async def wait(simulation: Simulation, for_s: float) -> None:
    for _ in range(round(for_s / ARRIVAL_S)):
        await anyio.sleep(ARRIVAL_S)
        simulation.gossip()


async def kill_after_crashes(
    request: Request, kills: int, crashes: int = 3
) -> DeadlyRequest:
    async with start_simulation() as simulation:
        for name, upstream in simulation.upstreams.items():
            started_ms = START_MS - DAY_MS
            simulation.upstreams[name] = replace(upstream, started_ms=started_ms)
        simulation.gossip()
        await wait(simulation, 2 * CONTACT_S)
        deadly = DeadlyRequest(simulation, request)
        await deadly.repeat(2 * REPEATED_S, crashes)
        for _ in range(kills):
            simulation.restart_all_vms()
            await wait(simulation, CONTACT_S + 1)
            await deadly.repeat(REPEATED_S)
    return deadly


class LostRecordsTests(unittest.TestCase):
    # A fleet without its crash records allowed as many crashes as on its first day.
    def test_a_killed_fleet_lets_a_deadly_request_crash_few_more_upstreams(self):
        for kind, request in DEADLY.items():
            for kills in (1, 2):
                with self.subTest(kind, kills=kills), unix_time():
                    deadly = run_with_mock_clock(kill_after_crashes, request, kills)
                    times = [run.at_s for run in deadly.list_runs()]
                    self.assertGreaterEqual(len(times), 3)
                    late = [at_s for at_s in times if at_s > times[2] + CONTACT_S]
                    self.assertLessEqual(len(late), MAX_LATE_RUNS, times)
                    self.check_sound(deadly)

    # A fleet without its crash records allowed as many crashes as on its first day.
    def test_a_killed_fleet_lets_a_deadly_segment_crash_few_more_engines(self):
        for kills in (1, 2):
            with self.subTest(kills=kills), unix_time():
                deadly = run_with_mock_clock(kill_after_crashes, SEGMENT, kills, 5)
                times = [run.at_s for run in deadly.list_runs()]
                self.assertGreaterEqual(len(times), 5)
                late = [at_s for at_s in times if at_s > times[4] + CONTACT_S]
                self.assertLessEqual(len(late), MAX_LATE_RUNS, times)
                self.check_sound(deadly)

    def check_sound(self, deadly: DeadlyRequest) -> None:
        callers = [deadly._simulation.callers[number] for number in deadly.sound]
        refused = [each.request_id for each in callers if each.status != 200]
        self.assertEqual(refused, [])


if __name__ == "__main__":
    unittest.main()
