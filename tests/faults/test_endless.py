"""Guards against upstreams that exhaust a VM's memory with answers without end."""

import asyncio
import unittest
from pathlib import Path

import anyio

from standins.platform_demo import USAGE_HEADERS
from standins.platform_fleet import HOST, KEY, PlatformFleet, start_platform_fleet
from standins.platform_upstream import ENDLESS
from standins.processes import Child

DESKS = ("d1", "d2", "d3")
UPSTREAMS = {"e1": ("pool", "gulf")} | {name: ("desk", "gulf") for name in DESKS}
# About as many as these upstreams may get at the same time.
CALLERS = 300
# What the settings give the VM.
MEMORY_BYTES = 300 * 1000 * 1000
DEADLINE_S = 3.0


def read_memory_bytes(child: Child) -> int:
    """Return the memory that a process has resident."""
    for line in Path(f"/proc/{child.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    raise AssertionError("no VmRSS")


class SlowCaller:
    """A caller that sends a request and does not read its answer."""

    def __init__(self, fleet: PlatformFleet, number: int) -> None:
        vm = fleet.vms["gulf-1"]
        self.address = (vm.ip, fleet.ports["front"])
        lines = [
            "GET /read/x HTTP/1.1",
            f"host: {HOST}",
            f"request-id: endless-{number}",
            f"authorization: Bearer {KEY}",
        ]
        self.head = ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def send(self, for_s: float) -> None:
        # A small limit keeps the answer in the VM instead of in this process.
        _, writer = await asyncio.open_connection(*self.address, limit=1024)
        try:
            writer.write(self.head)
            await anyio.sleep(for_s)
        finally:
            writer.transport.abort()


class EndlessAnswerTests(unittest.TestCase):
    # Reported by another operator: the VM kept all bytes and ran out of memory.
    def test_endless_answers_neither_exhaust_the_memory_nor_stop_other_callers(self):
        async def scenario():
            async with start_platform_fleet({"gulf": 1}, UPSTREAMS) as fleet:
                child = fleet.vms["gulf-1"].child
                for fault in ENDLESS:
                    with self.subTest(fault):
                        for name in DESKS:
                            fleet.upstreams[name].faults[:] = [fault] * 2 * CALLERS
                        async with anyio.create_task_group() as tasks:
                            for number in range(CALLERS):
                                caller = SlowCaller(fleet, number)
                                tasks.start_soon(caller.send, DEADLINE_S)
                            await anyio.sleep(1.0)
                            await self.check_others(fleet)
                            await anyio.sleep(0.5)
                            used_bytes = read_memory_bytes(child)
                        self.assertLess(used_bytes, MEMORY_BYTES)
                        self.assertTrue(child.is_running)

        anyio.run(scenario, backend_options={"use_uvloop": True})

    async def check_others(self, fleet: PlatformFleet) -> None:
        for _ in range(5):
            answer = await fleet.ask("gulf-1", "/query/x", headers=USAGE_HEADERS)
            self.assertEqual((answer.status, answer.broken), (200, None))


if __name__ == "__main__":
    unittest.main()
