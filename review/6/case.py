"""Clients send their requests in chunks; some are never read to their end."""

import asyncio
import itertools
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kit2 import (
    CONTACT_S,
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

VMS = 3
REQUESTS = 24
# Well within `max_body_bytes`, 4,194,304, and the largest bodies of the site file.
CHUNK_BYTES = 20_000
CHUNKS = 3
PAUSE_S = 0.02
TIMEOUT_S = 4.0
LATE_S = 0.5
# The rules count from eight on.
MIN_COUNTED = 8


async def work(replica: Replica, run: Run, _request: Request, writer: Writer) -> None:
    """Answer a booking at once."""
    await replica.write_plain(run, writer)


async def send(fleet: Fleet, vm: Vm) -> tuple[Answer, float]:
    """Send a booking part by part; return its answer, and when its last byte left."""
    deadline_ms = round(TIMEOUT_S * 1000)
    if has_trouble():
        coding = {"transfer-encoding": "chunked"}
        request_id, head = render_request("POST", "/book/x", b"", coding, deadline_ms)
        head = head.replace(b"content-length: 0\r\n", b"")
        parts = [b"%x\r\n" % CHUNK_BYTES + b"x" * CHUNK_BYTES + b"\r\n"] * CHUNKS
        parts.append(b"0\r\n\r\n")
    else:
        body = b"x" * (CHUNK_BYTES * CHUNKS)
        request_id, data = render_request("POST", "/book/x", body, None, deadline_ms)
        head = data.removesuffix(body)
        parts = [body[:CHUNK_BYTES]] * CHUNKS
    answer = Answer(request_id, time.monotonic())
    reader, writer = await fleet.connect(vm)
    try:
        writer.write(head)
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
        sent_s = time.monotonic()
        async with asyncio.timeout(TIMEOUT_S + LATE_S):
            await read_answer(reader, answer)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()
    answer.took_s = time.monotonic() - answer.sent_s
    return answer, sent_s - answer.sent_s


async def run(record: Record) -> bool:
    """Send bookings to all daemons and count those without an answer."""
    async with Fleet({"gulf": VMS}, record) as fleet:
        replica = await fleet.add(Replica(fleet.store, "desk", "gulf-a", work))
        book = make_route(
            "book", "unsafe", "desk", max_attempts=1, timeout_ms=TIMEOUT_S * 1000
        )
        desk = {"name": "desk", "max_connections": 110, "health_path": "/healthz"}
        fleet.store.put("op/config", make_config([book], [desk]))
        await fleet.start()
        await asyncio.sleep(CONTACT_S + 1)
        vms = itertools.islice(itertools.cycle(fleet.vms.values()), REQUESTS)
        results = await asyncio.gather(*(send(fleet, vm) for vm in vms))
        ran = {each.request_id for each in replica.runs}
        late = unanswered = 0
        for answer, sent_s in results:
            late += not answer.is_whole or answer.took_s > TIMEOUT_S
            unanswered += not answer.is_whole
            record.write(
                f"{answer.request_id}: last byte sent after {sent_s:.2f} s, answer "
                f"{answer.status or 'none'} after {answer.took_s:.2f} s, "
                f"{'run' if answer.request_id in ran else 'not run'}"
            )
        record.write(
            f"{late} of {REQUESTS} were unanswered at their route's timeout of "
            f"{TIMEOUT_S} s; {unanswered} had no answer {LATE_S} s after it"
        )
        record.write(f"daemons that ended by themselves: {fleet.list_ends()}")
        return late < MIN_COUNTED or unanswered <= late / 2


run_case(run, Path(__file__).resolve().parent)
