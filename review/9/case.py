"""Clients with long requests leave; their requests go on, and some only then begin."""

import asyncio
import itertools
import sys
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kit2 import (
    Answer,
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
    read_answer,
    render_request,
    run_case,
)

# Within `max_body_bytes`, 4,194,304.
LONG_BODY_BYTES = 300_000
SHORT_BODY_BYTES = 1_000
LOOKUP_S = 3.0
LOOKUPS = 10
# Half of their objective of 800 ms.
LEAVE_AFTER_S = 0.4
# A fifth of the clients leave: for each one that does, four stay.
STAYING = 4
# The daemon sends 14 requests at a time to the one replica of `desk`.
DESK_CONNECTIONS = 32
HOLDERS = 14
WAITERS = 12
WORK_S = 0.9
LEFT_S = 0.5
# "More than a few".
A_FEW = 5


@dataclass(slots=True)
class Left:
    """A request whose client has left."""

    request_id: str
    body_bytes: int
    closed_s: float


async def work(replica: Replica, run: Run, _request: Request, writer: Writer) -> None:
    """Work on a booking and answer it."""
    await asyncio.sleep(WORK_S)
    await replica.write_plain(run, writer)


async def look_up(
    replica: Replica, run: Run, _request: Request, writer: Writer
) -> None:
    """Work on a look-up, which may be repeated, and answer it."""
    await asyncio.sleep(LOOKUP_S)
    await replica.write_plain(run, writer)


async def send_and_leave(fleet: Fleet, vm: Vm, path: str, size: int, s: float) -> Left:
    """Send a request and close its connection after a time, or wait for its answer."""
    request_id, data = render_request("POST", path, b"x" * size, deadline_ms=8000)
    reader, writer = await fleet.connect(vm)
    writer.write(data)
    await writer.drain()
    if has_trouble():
        await asyncio.sleep(s)
    else:
        await read_answer(reader, Answer(request_id, time.monotonic()))
    writer.close()
    return Left(request_id, size, time.monotonic())


def ask_staying(fleet: Fleet, path: str, count: int) -> list[asyncio.Task[Answer]]:
    """Send short requests of clients that stay until they are answered."""
    vms = itertools.cycle(fleet.vms.values())
    return [
        asyncio.create_task(fleet.ask(next(vms), "POST", path, deadline_ms=8000))
        for _ in range(count)
    ]


async def report_staying(fleet: Fleet, tasks: list[asyncio.Task[Answer]]) -> None:
    """Record the answers of the clients that stay."""
    statuses = Counter(answer.status for answer in await asyncio.gather(*tasks))
    fleet.record.write(f"{len(tasks)} clients stayed; statuses {dict(statuses)}")


def require_runs(fleet: Fleet, left: list[Left]) -> None:
    """Raise unless a request of the list has run, where all should."""
    ran = {run.request_id for each in fleet.replicas for run in each.runs}
    if not any(each.request_id in ran for each in left):
        raise RuntimeError("none of the requests has run")


async def check_lookups(fleet: Fleet, vm: Vm, size: int) -> bool:
    """Return whether at most a quarter of what was left is still worked on."""
    path = "/read/x"
    others = ask_staying(fleet, "/read/stays", LOOKUPS * STAYING)
    left = await asyncio.gather(
        *(send_and_leave(fleet, vm, path, size, LEAVE_AFTER_S) for _ in range(LOOKUPS))
    )
    await asyncio.sleep(4.0 if has_trouble() else 0)
    await report_staying(fleet, others)
    require_runs(fleet, left)
    closed = {each.request_id: each.closed_s for each in left}
    at_work = 0
    for run in [run for each in fleet.replicas for run in each.runs]:
        if run.request_id not in closed:
            continue
        after_s = run.ended_s - closed[run.request_id]
        at_work += after_s > LEFT_S
        fleet.record.write(
            f"look-up {run.request_id} of {size} bytes: its run ended {after_s:+.2f} s "
            f"after its client had closed ({run.end})"
        )
    fleet.record.write(
        f"look-ups of {size} bytes: {at_work} of {len(left)} still at work "
        f"{LEFT_S} s after the close"
    )
    return at_work <= len(left) / 4


async def check_bookings(fleet: Fleet, vm: Vm, size: int) -> bool:
    """Return whether at most a few waiting requests reach a replica too late."""
    holders = [
        asyncio.create_task(fleet.ask(vm, "POST", "/book/held", deadline_ms=8000))
        for _ in range(HOLDERS)
    ]
    await asyncio.sleep(0.15)
    path = "/book/left"
    left = await asyncio.gather(
        *(send_and_leave(fleet, vm, path, size, 0.1) for _ in range(WAITERS))
    )
    # Others look things up meanwhile and stay.
    others = ask_staying(fleet, "/read/stays", WAITERS * STAYING - HOLDERS)
    await asyncio.sleep(4.0)
    await report_staying(fleet, holders + others)
    closed = {each.request_id: each.closed_s for each in left}
    late = 0
    for run in [run for each in fleet.replicas for run in each.runs]:
        if run.request_id not in closed:
            continue
        after_s = run.began_s - closed[run.request_id]
        late += after_s > LEFT_S
        fleet.record.write(
            f"booking {run.request_id} of {size} bytes: reached its replica "
            f"{after_s:+.2f} s after its client had closed ({run.end})"
        )
    fleet.record.write(
        f"bookings of {size} bytes: {late} of {len(left)} reached a replica more than "
        f"{LEFT_S} s after the close"
    )
    return late <= A_FEW


async def run(record: Record) -> bool:
    """Let clients with short, then with long requests leave."""
    async with Fleet({"gulf": 2}, record) as fleet:
        await fleet.add(Replica(fleet.store, "charts", "gulf-a", look_up))
        await fleet.add(Replica(fleet.store, "desk", "gulf-a", work))
        read = make_route("read", "safe", "charts", max_attempts=1, timeout_ms=8000)
        book = make_route("book", "unsafe", "desk", max_attempts=1, timeout_ms=8000)
        services = [
            {"name": name, "max_connections": most, "health_path": "/healthz"}
            for name, most in (("charts", 110), ("desk", DESK_CONNECTIONS))
        ]
        fleet.store.put("op/config", make_config([read, book], services))
        await fleet.start()
        await asyncio.sleep(6.0)
        vm = next(iter(fleet.vms.values()))
        checks = []
        for size in (SHORT_BODY_BYTES, LONG_BODY_BYTES):
            checks.append(await check_lookups(fleet, vm, size))
            checks.append(await check_bookings(fleet, vm, size))
        record.write(f"daemons that ended by themselves: {fleet.list_ends()}")
        return all(checks)


run_case(run, Path(__file__).resolve().parent)
