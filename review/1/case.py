"""A machine that has been asked to stop learns that its settings file has changed."""

import asyncio
import signal
import sys
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

CALLERS = 12
# The settings change this long after the platform has asked the machine to stop.
CHANGE_AFTER_S = 1.0
STOPPED = "front-gulf-a-2"


async def set_up(fleet: Fleet) -> None:
    """Start three machines, a booking service and a service that streams."""
    fleet.add_vms("gulf", 3)
    fleet.seeds = ["front-gulf-a-1", "front-gulf-a-2"]
    await fleet.add_server(Server("desk-1", fleet.record, work_s=0.4), "desk", "gulf")
    streaming = Server("pool-1", fleet.record, work_s=2.0, events=24)
    await fleet.add_server(streaming, "pool", "gulf")
    await fleet.publish(
        routes=[
            make_route("book", "unsafe", "desk"),
            make_route("summary", "streaming", "pool"),
        ],
        services=[
            {"name": "desk", "max_connections": 110},
            {"name": "pool", "max_connections": 370},
        ],
        tenants=[{"name": "acme", "api_keys": ["key-of-acme"]}],
    )
    for name in fleet.vms:
        fleet.start(name)
    await fleet.wait_ready()
    # All machines are in touch from here on.
    await asyncio.sleep(5.0)


async def run(record: Record) -> bool:
    """Return whether requests were cut off in a planned stop."""
    async with open_fleet(record) as fleet:
        await set_up(fleet)
        caller = Caller(record)
        async with asyncio.TaskGroup() as tasks:
            asked = [
                tasks.create_task(
                    caller.ask(
                        fleet,
                        STOPPED,
                        "/summary/1" if number % 2 else "/book/1",
                        headers={"Token-Usage": "400,40"} if number % 2 else {},
                    )
                )
                for number in range(CALLERS)
            ]
            await asyncio.sleep(0.2)
            fleet.signal(STOPPED, signal.SIGTERM)
            await asyncio.sleep(CHANGE_AFTER_S)
            # Requests still come until callers have a newer list of machines.
            asked += [
                tasks.create_task(caller.ask(fleet, STOPPED, "/book/1"))
                for _ in range(CALLERS // 2)
            ]
            await asyncio.sleep(0.2)
            if has_trouble():
                fleet.signal(STOPPED, signal.SIGHUP)
        code = await fleet.wait_ended(STOPPED, 9.0)
        record.note(f"{STOPPED} has ended with code {code}")
        passed_on = {
            run.request_id for each in fleet.servers.values() for run in each.runs
        }
        answers = [each.result() for each in asked]
        cut = [each for each in answers if not each.is_whole]
        cut = [each for each in cut if each.request_id in passed_on]
        record.note(f"{len(cut)} of {len(asked)} requests were passed on and cut off")
        return bool(cut)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, run))
