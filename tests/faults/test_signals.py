"""Guards against processes that a signal ends at the wrong time."""

import signal
import unittest

import anyio

from standins.fleet import FleetPlan, start_fleet
from standins.platform_demo import USAGE_HEADERS
from standins.platform_fleet import PlatformFleet, start_platform_fleet
from standins.platform_upstream import complete_stream_body
from standins.processes import Child
from tests.common import wait_until

UPSTREAMS = {"e1": ("pool", "gulf"), "d1": ("desk", "gulf")}
STARTED_EVENT = '"event": 2007'
FURTHER_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


async def start_again(fleet: PlatformFleet) -> tuple[Child, int]:
    """Start a VM anew; return its process and how often the VM had started before."""
    fleet.stop("gulf-1", signal.SIGKILL)
    old = fleet.vms["gulf-1"].child
    await old.wait()
    starts = old.read_log().count(STARTED_EVENT)
    fleet.start_vm("gulf-1")
    return fleet.vms["gulf-1"].child, starts


class EntryTests(unittest.TestCase):
    # Incident 0016: a settings change ended a process that was draining.
    def test_signals_during_a_planned_stop_cut_off_no_request(self):
        async def scenario():
            async with start_platform_fleet({"gulf": 1}, UPSTREAMS) as fleet:
                fleet.upstreams["e1"].pause_s = 0.4
                fleet.upstreams["d1"].pause_s = 2.0
                answers = {"/summary/x": [], "/book/x": []}

                async def ask(path):
                    answers[path].append(
                        await fleet.ask("gulf-1", path, headers=USAGE_HEADERS)
                    )

                async with anyio.create_task_group() as tasks:
                    for path in [*answers] * 4:
                        tasks.start_soon(ask, path)
                    await anyio.sleep(0.3)
                    fleet.stop("gulf-1", signal.SIGTERM)
                    for number in FURTHER_SIGNALS:
                        await anyio.sleep(0.25)
                        fleet.stop("gulf-1", number)
                for answer in answers["/summary/x"] + answers["/book/x"]:
                    self.assertEqual((answer.status, answer.broken), (200, None))
                for answer in answers["/summary/x"]:
                    self.assertEqual(answer.body, complete_stream_body())
                self.assertEqual(await fleet.vms["gulf-1"].child.wait(8.0), 0)

        anyio.run(scenario, backend_options={"use_uvloop": True})

    # Incident 0016: before its ports listened, a settings change ended a process.
    def test_a_settings_change_does_not_end_a_process_that_starts(self):
        async def scenario():
            async with start_platform_fleet({"gulf": 1}, UPSTREAMS) as fleet:
                child, starts = await start_again(fleet)
                await wait_until(lambda: child.survives_hangup)
                self.assertEqual(child.read_log().count(STARTED_EVENT), starts)
                while child.is_running and not await fleet.is_ready("gulf-1"):
                    fleet.stop("gulf-1", signal.SIGHUP)
                    await anyio.sleep(0.02)
                self.assertTrue(child.is_running)

        anyio.run(scenario, backend_options={"use_uvloop": True})

    # Incident 0016: a signal after the stop changed the process's exit code.
    def test_signals_until_a_process_is_gone_do_not_change_its_exit_code(self):
        async def scenario():
            async with start_platform_fleet({"gulf": 1}, UPSTREAMS) as fleet:
                child = fleet.vms["gulf-1"].child
                child.signal(signal.SIGTERM)
                while child.is_running:
                    for number in FURTHER_SIGNALS:
                        child.signal(number)
                    await anyio.sleep(0.001)
                self.assertEqual(child.popen.returncode, 0)

        anyio.run(scenario, backend_options={"use_uvloop": True})

    # Incident 0016: before its ports listened, SIGTERM ended a process at once.
    def test_a_process_that_starts_stops_as_planned(self):
        async def scenario():
            async with start_platform_fleet({"gulf": 1}, UPSTREAMS) as fleet:
                child, starts = await start_again(fleet)
                await wait_until(lambda: child.read_log().count(STARTED_EVENT) > starts)
                fleet.stop("gulf-1", signal.SIGTERM)
                self.assertEqual(await child.wait(8.0), 0)

        anyio.run(scenario, backend_options={"use_uvloop": True})


class DaemonTests(unittest.TestCase):
    # Incident 0016: the daemon with published seats had no handler for SIGHUP at all.
    def test_a_hangup_does_not_end_the_daemon(self):
        async def scenario():
            async with start_fleet(FleetPlan(regions=("gulf",), seats=1)) as fleet:
                seat = next(iter(fleet.daemons))
                child = fleet.daemons[seat].child
                child.signal(signal.SIGHUP)
                await anyio.sleep(0.3)
                child.signal(signal.SIGHUP)
                self.assertEqual(await fleet.stop(seat), 0)

        anyio.run(scenario, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    unittest.main()
