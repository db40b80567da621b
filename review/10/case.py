"""All daemons are killed; a request that crashes replicas is tried anew."""

import asyncio
import itertools
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kit2 import (
    CONTACT_S,
    HEARTBEAT_S,
    Fleet,
    Record,
    Replica,
    Request,
    Run,
    Writer,
    has_trouble,
    make_config,
    make_route,
    run_case,
)

VMS = 3
REPLICAS = 5
# "Back after some seconds".
DOWN_S = 2.0
PAUSE_S = 0.25
PATH = "/book/deadly"
BODY = b"the same body each time"
COUNTED_FOR_S = 25.0
MOST_RETRIES = 3


class Crashes:
    """The replicas that crashed while they ran the request, and when."""

    def __init__(self, fleet: Fleet) -> None:
        """Start without crashes."""
        self.at_s: list[float] = []
        self._fleet = fleet
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(
        self, replica: Replica, run: Run, request: Request, writer: Writer
    ) -> None:
        """Answer a request; crash as soon as the deadly one begins."""
        if request.target != PATH:
            await replica.write_plain(run, writer)
            return
        self.at_s.append(time.monotonic())
        self._fleet.record.write(
            f"{run.request_id} crashes {replica.instance}, crash {len(self.at_s)}"
        )
        task = asyncio.create_task(self._come_back(replica, replica.instance))
        self._tasks.add(task)
        replica.crash()
        await asyncio.sleep(60)

    async def _come_back(self, replica: Replica, instance: str) -> None:
        """Start the next incarnation; the entry of the last one expires."""
        await asyncio.sleep(DOWN_S)
        await replica.start()
        await asyncio.sleep(3 * HEARTBEAT_S - DOWN_S)
        self._fleet.store.put(f"servers/{instance}", None)


async def send_deadly(fleet: Fleet, crashes: Crashes, crash: int, for_s: float) -> None:
    """Send the request again and again, until so many crashes or for so long."""
    end_s = time.monotonic() + for_s
    vms = itertools.cycle(fleet.vms.values())
    tasks = set()
    while len(crashes.at_s) < crash and time.monotonic() < end_s:
        asked = fleet.ask(next(vms), "POST", PATH, BODY)
        tasks.add(asyncio.create_task(asked))
        await asyncio.sleep(PAUSE_S)
    answers = await asyncio.gather(*tasks)
    statuses = [answer.status for answer in answers]
    fleet.record.write(f"the request was sent {len(answers)} times: {statuses}")


async def run(record: Record) -> bool:
    """Kill all daemons after the third crash, and send the request again."""
    async with Fleet({"gulf": VMS}, record) as fleet:
        crashes = Crashes(fleet)
        for _ in range(REPLICAS):
            await fleet.add(Replica(fleet.store, "desk", "gulf-a", crashes.run))
        book = make_route("book", "unsafe", "desk", max_attempts=1)
        desk = {"name": "desk", "max_connections": 110, "health_path": "/healthz"}
        fleet.store.put("op/config", make_config([book], [desk]))
        await fleet.start()
        await asyncio.sleep(CONTACT_S + 1)
        await send_deadly(fleet, crashes, 3, 30.0)
        if len(crashes.at_s) < 3:
            raise RuntimeError("the request did not crash three replicas")
        await asyncio.sleep(1.0)
        if has_trouble():
            await fleet.kill_all()
            await fleet.wait_ready()
        # All daemons are in touch again, and the third crash is longer ago than that.
        await asyncio.sleep(CONTACT_S + 1)
        record.write("from here on, what reaches replicas is counted")
        before = len(crashes.at_s)
        await send_deadly(fleet, crashes, 100, COUNTED_FOR_S)
        retries = len(crashes.at_s) - before
        record.write(
            f"{retries} retries reached replicas later than {CONTACT_S} s after the "
            f"third crash ({MOST_RETRIES} are allowed)"
        )
        record.write(f"daemons that ended by themselves: {fleet.list_ends()}")
        return retries <= MOST_RETRIES


run_case(run, Path(__file__).resolve().parent)
