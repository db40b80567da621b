"""The machine that reads the list of servers freezes while a server leaves."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (  # noqa: E402
    Caller,
    Fleet,
    Record,
    Server,
    has_trouble,
    make_route,
    open_fleet,
    run_case,
)

# The first machine of a region by address reads the list for the others.
FROZEN = "front-gulf-a-1"
IN_TOUCH = ("front-gulf-a-2", "front-gulf-a-3", "front-gulf-a-4")
CONTACT_S = 5.0
DRAIN_S = 3.0
ROUNDS = 5
FREEZE_S = 3.5
# The server's entry is removed so long after the machine has frozen.
REMOVED_AFTER_S = 1.5
# The server goes on serving for longer than drain_ms after that.
SERVES_ON_S = 7.0
REQUEST_GAP_S = 0.1


async def set_up(fleet: Fleet) -> None:
    """Start four machines, and servers of a service of which some will leave."""
    fleet.add_vms("gulf", 1 + len(IN_TOUCH))
    fleet.seeds = ["front-gulf-a-1", "front-gulf-a-2"]
    for number in range(1, ROUNDS + 3):
        server = Server(f"app-{number}", fleet.record, work_s=0.03)
        await fleet.add_server(server, "app", "gulf", slots=6)
    await fleet.publish(
        routes=[make_route("chart", "safe", "app", max_attempts=2)],
        services=[{"name": "app", "max_connections": 110}],
        tenants=[{"name": "acme", "api_keys": ["key-of-acme"]}],
    )
    for name in fleet.vms:
        fleet.start(name)
    await fleet.wait_ready()
    # All machines are in touch from here on.
    await asyncio.sleep(CONTACT_S + 1.0)


async def send_steadily(fleet: Fleet, name: str, for_s: float) -> None:
    """Send requests to a machine at a steady rate."""
    caller = Caller(fleet.record)
    end_s = time.monotonic() + for_s
    async with asyncio.TaskGroup() as tasks:
        while time.monotonic() < end_s:
            tasks.create_task(caller.ask(fleet, name, "/chart/1", method="GET"))
            await asyncio.sleep(REQUEST_GAP_S)


async def play_round(fleet: Fleet, leaving: str) -> int:
    """Let a server leave; return how many requests reach it after drain_ms.

    The machines that send them never freeze, and the store is never disrupted.
    """
    async with asyncio.TaskGroup() as tasks:
        for name in IN_TOUCH:
            tasks.create_task(send_steadily(fleet, name, REMOVED_AFTER_S + SERVES_ON_S))
        if has_trouble():
            fleet.signal(FROZEN, signal.SIGSTOP)
        await asyncio.sleep(REMOVED_AFTER_S)
        await fleet.store.put(f"servers/{leaving}", None)
        removed_s = time.monotonic()
        fleet.record.note(f"the store has acknowledged that {leaving} is gone")
        await asyncio.sleep(FREEZE_S - REMOVED_AFTER_S)
        if has_trouble():
            fleet.signal(FROZEN, signal.SIGCONT)
    late = [
        run for run in fleet.servers[leaving].runs if run.began_s - removed_s > DRAIN_S
    ]
    fleet.record.note(f"{len(late)} requests reached {leaving} after drain_ms")
    return len(late)


async def run(record: Record) -> bool:
    """Return whether machines in touch sent requests to servers that had left."""
    async with open_fleet(record) as fleet:
        await set_up(fleet)
        late = [
            await play_round(fleet, f"app-{number}") for number in range(1, ROUNDS + 1)
        ]
        record.note(f"after drain_ms, by round: {late}")
        return any(late)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, run))
