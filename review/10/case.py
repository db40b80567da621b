"""All daemons are killed while replicas are cold; those get too many requests."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kit2 import (
    Fleet,
    Record,
    Replica,
    Request,
    Run,
    Vm,
    Writer,
    has_trouble,
    make_config,
    make_route,
    run_case,
)

VMS = 12
REPLICAS = 2
COLD_PER_S = 4.5
WARMUP_S = 3.0
# cold_per_s x cold_over + cold_slack
MOST_IN_A_SECOND = COLD_PER_S * 1.5 + 3
COLD_S = 12.0
PAUSE_S = 0.02
CLIENTS_OF_A_VM = 4
EVENT_PAUSES_S = [0.02] * 5


async def stream(replica: Replica, run: Run, _request: Request, writer: Writer) -> None:
    """Answer with a short stream."""
    await replica.write_stream(run, writer, EVENT_PAUSES_S)


async def press(fleet: Fleet, vm: Vm, statuses: Counter[int], end_s: float) -> None:
    """Send one request after the other to a daemon."""
    while time.monotonic() < end_s:
        answer = await fleet.ask(vm, "POST", "/query/x", b"x" * 700)
        statuses[answer.status] += 1
        await asyncio.sleep(PAUSE_S)


def find_most(arrivals_s: list[float]) -> tuple[int, float]:
    """Return the most arrivals within a second, and when that began."""
    most, at_s, first = 0, 0.0, 0
    for index, now_s in enumerate(arrivals_s):
        while now_s - arrivals_s[first] >= 1.0:
            first += 1
        if index - first + 1 > most:
            most, at_s = index - first + 1, arrivals_s[first]
    return most, at_s


async def run(record: Record) -> bool:
    """Kill all daemons while the replicas are cold."""
    async with Fleet({"gulf": VMS}, record) as fleet:
        for _ in range(REPLICAS):
            await fleet.add(Replica(fleet.store, "pool", "gulf-a", stream))
        query = make_route("query", "streaming", "pool", resumable=True)
        pool = {
            "name": "pool",
            "max_connections": 370,
            "warmup_s": WARMUP_S,
            "cold_per_s": COLD_PER_S,
            "engine": {"slots": 64, "kv_tokens": 294902},
        }
        fleet.store.put("op/config", make_config([query], [pool]))
        await fleet.start()
        await asyncio.sleep(6.0)
        statuses: Counter[int] = Counter()
        end_s = time.monotonic() + 14.0
        clients = [
            asyncio.create_task(press(fleet, vm, statuses, end_s))
            for vm in fleet.vms.values()
            for _ in range(CLIENTS_OF_A_VM)
        ]
        await asyncio.sleep(1.0)
        for replica in fleet.replicas:
            replica.become_cold(COLD_S)
        cold_from_s = time.monotonic()
        record.write(f"{REPLICAS} replicas are cold for {COLD_S} s")
        await asyncio.sleep(3.0)
        if has_trouble():
            await fleet.kill_all()
        await asyncio.gather(*clients)
        record.write(f"answers by status (0: none): {dict(statuses)}")
        is_held = True
        for replica in fleet.replicas:
            # What was on its way when the replica became cold isn't held against them.
            arrivals_s = [
                each.began_s
                for each in replica.runs
                if cold_from_s + 2.0 < each.began_s < cold_from_s + COLD_S
            ]
            most, at_s = find_most(arrivals_s)
            record.write(
                f"{replica.instance}: {len(arrivals_s)} requests while cold, at most "
                f"{most} within a second, from {at_s - cold_from_s:.3f} s on "
                f"({MOST_IN_A_SECOND} are allowed)"
            )
            is_held = is_held and most <= MOST_IN_A_SECOND
        record.write(f"daemons that ended by themselves: {fleet.list_ends()}")
        return is_held


run_case(run, Path(__file__).resolve().parent)
