"""LOST: the last machine of a region takes long streams late in its stop and cuts them.

Two machines of a region are stopped and started in turn, and nothing else happens.
Clients ask the directory, as the pages say, and send streams. Most have as many events
as the site's usual ones; from the first stop on, some have as many as its longest.
"""

import asyncio
import json
import random
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kit3 import (
    Answer,
    CannotRun,
    Deployment,
    Received,
    Request,
    Vm,
    ask,
    main,
    make_prompt,
)

CLIENTS = 12
PER_S = 24
EVENT_S = 0.055
USUAL_EVENTS = 24
LONGEST_EVENTS = 96
LONG_SHARE = 0.25
CALM_S = 4.0
GAP_S = 1.3
RESTART_S = 1.0
# Of a stop: requests that are sent sooner don't count if they are cut at its end.
COUNTED_FROM_S = 3.0
GRACE_S = 8.0
DEADLINE_MS = 8000


async def serve(request: Request, answer: Answer) -> None:
    """Answer a stream with as many events as its request says."""
    await asyncio.sleep(0.05)
    await answer.begin_stream()
    for number in range(1, int(request.body.split()[0]) + 1):
        answer.write_event(number)
        await answer.writer.drain()
        await asyncio.sleep(EVENT_S)
    await answer.end_stream()


class Directory:
    """A client's list of machines, asked for anew when it is too old."""

    def __init__(self, deployment: Deployment) -> None:
        """Start without a list."""
        self._deployment = deployment
        self._addresses: list[str] = []
        self._valid_until_s = 0.0

    async def choose(self) -> str | None:
        """Return the address of a machine for a new connection."""
        now_s = self._deployment.record.now_s()
        if now_s >= self._valid_until_s:
            for vm in random.sample(self._deployment.vms, len(self._deployment.vms)):
                found = await self._ask(vm)
                if found is not None:
                    self._addresses = found["addresses"]
                    self._valid_until_s = now_s + min(found["ttl_s"], 5)
                    break
        return random.choice(self._addresses) if self._addresses else None

    async def _ask(self, vm: Vm) -> dict | None:
        try:
            async with asyncio.timeout(1):
                port = self._deployment.ports["directory"]
                reader, writer = await asyncio.open_connection(vm.ip, port)
                target = "/v1/resolve?name=a.example&region=gulf&zone=gulf-a"
                head = f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                writer.write(head.encode())
                data = await reader.read()
                writer.transport.abort()
        except (OSError, TimeoutError):
            return None
        head, _, body = data.partition(b"\r\n\r\n")
        return json.loads(body) if b" 200 " in head.split(b"\r\n")[0] else None


class Stops:
    """Stops machines and starts them again; knows since when each was stopping."""

    def __init__(self, deployment: Deployment) -> None:
        """Start without stops."""
        self.began_s: dict[str, float] = {}
        self._deployment = deployment

    async def stop(self, vm: Vm) -> None:
        """Send SIGTERM, and start the machine again after its end."""
        record = self._deployment.record
        self.began_s[self._deployment.find_front(vm)] = record.now_s()
        record.add("SIGTERM", machine=vm.name)
        vm.process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(vm.process.wait)
        record.add("ended", machine=vm.name)
        await asyncio.sleep(RESTART_S)
        self._deployment.start_vm(vm)
        await self._deployment.wait_ready([vm])
        record.add("ready", machine=vm.name)


def make_client(
    deployment: Deployment,
    stops: Stops,
    results: list[tuple[str, float, float, Received, int]],
) -> Callable[[Directory, int], Awaitable[None]]:
    """Return what a client does for one request, on a new connection."""
    record = deployment.record

    async def send_one(directory: Directory, number: int) -> None:
        address = await directory.choose()
        if address is None:
            return
        sent_s = record.now_s()
        is_long = bool(stops.began_s) and random.random() < LONG_SHARE
        events = LONGEST_EVENTS if is_long else USUAL_EVENTS
        prompt = make_prompt(("aa01", 55), (f"b{number:x}", 300))
        body = f"{events} {number}".encode()
        received = await ask(
            record, address, "/summary/x", prompt, deadline_ms=DEADLINE_MS, body=body
        )
        results.append((address, sent_s, record.now_s(), received, events))

    return send_one


async def case(deployment: Deployment, is_trouble: bool) -> str | None:
    """Return which streams were cut by a planned stop, if any."""
    record = deployment.record
    for name in ("r-a", "r-b", "r-c"):
        replica = await deployment.add_replica(name, "gulf-a")
        replica.serve = serve
    deployment.publish()
    await deployment.start()
    first, second = deployment.vms
    stops = Stops(deployment)
    results: list[tuple[str, float, float, Received, int]] = []
    is_over = asyncio.Event()

    async def stop_in_turn() -> None:
        await asyncio.sleep(CALM_S)
        if is_trouble:
            one = asyncio.ensure_future(stops.stop(first))
            await asyncio.sleep(GAP_S)
            await asyncio.gather(one, stops.stop(second))
        else:
            await asyncio.sleep(2 * GRACE_S)
        await asyncio.sleep(2)
        is_over.set()

    async def send() -> None:
        send_one = make_client(deployment, stops, results)
        clients = [Directory(deployment) for _ in range(CLIENTS)]
        async with asyncio.TaskGroup() as tasks:
            number = 0
            while not is_over.is_set():
                await asyncio.sleep(1 / PER_S)
                number += 1
                tasks.create_task(send_one(random.choice(clients), number))

    await asyncio.gather(stop_in_turn(), send())
    if not any(received.is_whole for _, _, _, received, _ in results):
        raise CannotRun("no answers")
    late = []
    for address, sent_s, ended_s, received, events in results:
        began_s = stops.began_s.get(address)
        if began_s is None or not COUNTED_FROM_S < sent_s - began_s < GRACE_S + 1:
            continue
        # The replicas never break off. What ends at the client's deadline isn't
        # counted, nor what ends later than a second after the grace period.
        is_in_time = ended_s - sent_s < DEADLINE_MS / 1000 - 0.1
        is_in_stop = ended_s - began_s < GRACE_S + 1
        is_cut = received.status == 200 and not received.is_whole
        is_cut = is_cut and is_in_time and is_in_stop
        record.add("late", id=received.request_id, events=events, cut=is_cut)
        if is_cut:
            late.append((received.request_id, sent_s - began_s, events))
    print(f"{len(results)} streams, {len(late)} cut")
    if not late:
        return None
    request_id, after_s, events = late[0]
    return (
        f"{len(late)} streams, the first {request_id} of {events} events, "
        f"sent {after_s:.2f} s after SIGTERM"
    )


main(__file__, {"gulf-a": ("gulf", 2)}, case)
