"""ORDER: a resumed stream brings an event twice after a short silence and a break.

One machine, three replicas, a steady flow of streams. One replica falls silent for a
second or so a few times, which a sound one may do, and goes on. Each time it then
truncates one of its answers: after a whole event, within the next one.
"""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kit3 import (
    EVENTS,
    Answer,
    CannotRun,
    Deployment,
    Received,
    Request,
    ask,
    find_first,
    main,
    make_event,
    make_prompt,
)

CLIENTS = 12
SILENT_S = 1.2
# Before each silence. A spell of spoiled answers begins with it and lasts for 6 s, in
# which one answer is spoiled.
CALM_S = (3.0, 8.0, 8.0, 8.0)
SPELL_S = 6.0
PREFILL_S = 0.28
EVENT_S = 0.05
FAULTY = "r-a"


def make_serve(
    spoiled: list[str], *, is_trouble: bool
) -> Callable[[Request, Answer], Awaitable[None]]:
    """Return how replicas answer; each silence ends with one spoiled answer."""

    async def serve(request: Request, answer: Answer) -> None:
        first = find_first(request)
        # A request that is sent to another replica is read again from the beginning.
        await asyncio.sleep(PREFILL_S if first > 1 else 0.05)
        await answer.begin_stream()
        for number in range(first, EVENTS + 1):
            silence = answer.replica.silent
            if silence is not None:
                await silence.wait()
                is_chosen = 1 < number < EVENTS and first == 1
                if is_trouble and is_chosen and answer.replica.may_spoil:
                    answer.replica.may_spoil = False
                    spoiled.append(request.request_id)
                    answer.write_last_chunk(
                        make_event(number) + make_event(number + 1)[:8]
                    )
                    await answer.writer.drain()
                    return
            answer.write_event(number)
            await answer.writer.drain()
            await asyncio.sleep(EVENT_S)
        await answer.end_stream()

    return serve


def find_fault(received: Received) -> str | None:
    """Return how a stream breaks the rule, if it does."""
    events = received.list_events()
    is_cut_short = received.is_whole and received.status == 200
    is_cut_short = is_cut_short and len(events) < EVENTS
    if events == list(range(1, len(events) + 1)) and not is_cut_short:
        return None
    return f"{received.request_id}: {events}"


async def case(deployment: Deployment, is_trouble: bool) -> str | None:
    """Return the streams in which an event came twice or is missing, if any."""
    record = deployment.record
    spoiled: list[str] = []
    for name in (FAULTY, "r-b", "r-c"):
        replica = await deployment.add_replica(name, "gulf-a")
        replica.serve = make_serve(spoiled, is_trouble=is_trouble)
    deployment.config["routes"][0]["max_attempts"] = 3
    deployment.publish()
    await deployment.start()
    front = deployment.find_front(deployment.vms[0])
    results: list[Received] = []
    spells_s: list[float] = []
    is_over = asyncio.Event()

    async def run_client(client: int) -> None:
        number = 0
        while not is_over.is_set():
            number += 1
            prompt = make_prompt((f"a{client:x}", 55), (f"b{client:x}{number:x}", 300))
            body = b"%d %d" % (client, number)
            results.append(await ask(record, front, "/query/x", prompt, body=body))

    async def disturb() -> None:
        replica = deployment.replicas[FAULTY]
        for calm_s in CALM_S:
            await asyncio.sleep(calm_s)
            record.add("silent", replica=FAULTY)
            spells_s.append(record.now_s())
            replica.silent, replica.may_spoil = asyncio.Event(), True
            await asyncio.sleep(SILENT_S)
            replica.silent.set()
            replica.silent = None
            record.add("goes on", replica=FAULTY)
        await asyncio.sleep(CALM_S[0])
        is_over.set()

    await asyncio.gather(disturb(), *(run_client(each) for each in range(CLIENTS)))
    if is_trouble and not spoiled:
        raise CannotRun("no answer was spoiled")
    answers = sum(
        any(first_s <= at_s < first_s + SPELL_S for first_s in spells_s)
        for at_s, _ in deployment.replicas[FAULTY].runs
    )
    record.add("spoiled", ids=spoiled, of=answers)
    print(
        f"{len(results)} streams; {FAULTY} spoiled {len(spoiled)} of {answers} "
        f"in {len(spells_s)} spells of {SPELL_S:g} s"
    )
    broken = [fault for each in results if (fault := find_fault(each))]
    return f"{len(broken)} streams, the first {broken[0]}" if broken else None


main(__file__, {"gulf-a": ("gulf", 1)}, case)
