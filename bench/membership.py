"""Measure the heartbeat cost of a seat by fleet size: messages, bytes and CPU time.

All seats run in one process on the mock clock and an in-memory network, so bytes
are those of the CBOR messages; a websocket frame and TCP add some 50 a message.
"""

import resource
import sys

import anyio

from banyanseam.peers.membership import SeatState
from banyanseam.peers.rows import Flags
from tests.common import run_with_mock_clock
from tests.peers.test_membership import Fleet

REGIONS = ("gulf", "piedmont", "delta", "north", "south", "west")
FLEETS = ((3, 3), (3, 10), (2, 57), (6, 19), (6, 57))
FRAME_BYTES = 50
SETTLE_S = 20
MEASURED_S = 30


def read_cpu_s() -> float:
    """Return the processor time of this process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


async def measure(regions: int, seats: int) -> None:
    """Print the cost of one fleet."""
    async with anyio.create_task_group() as group:
        fleet = Fleet(group, regions=REGIONS[:regions], seats=seats)
        await anyio.sleep(SETTLE_S)
        fabric = fleet.fabric
        fabric.messages = 0
        fabric.sent_bytes.clear()
        started_cpu_s = read_cpu_s()
        await anyio.sleep(MEASURED_S)
        cpu_s = read_cpu_s() - started_cpu_s
        nodes = len(fleet.processes)
        node_seconds = nodes * MEASURED_S
        messages = fabric.messages / node_seconds
        mean_bytes = sum(fabric.sent_bytes.values()) / node_seconds
        max_bytes = max(fabric.sent_bytes.values()) / MEASURED_S
        wrongly_not_alive = sum(
            not node.membership.is_alive(seat)
            for node in fleet.processes.values()
            for seat in fleet.processes
        )
        print(
            f"{regions} x {seats:2} seats: sent per seat {messages:5.1f} messages/s,"
            f" {mean_bytes:6.0f} B/s (worst seat {max_bytes:6.0f}),"
            f" with frames {mean_bytes + FRAME_BYTES * messages:6.0f} B/s;"
            f" both ways {2 * (mean_bytes + FRAME_BYTES * messages):6.0f} B/s;"
            f" {100 * cpu_s / node_seconds:.2f}% of a core with the harness;"
            f" wrongly not alive {wrongly_not_alive}"
        )
        await measure_detection(fleet)
        group.cancel_scope.cancel()


async def measure_detection(fleet: Fleet) -> None:
    """Print how long the fleet takes to detect a planned stop and a death."""
    leaving, dead = list(fleet.processes)[:2]
    region = fleet.config.seats[leaving].region
    fleet.processes[leaving].membership.set_flag(Flags.LEAVING, on=True)
    left_s = await measure_detection_s(fleet, leaving, SeatState.ALIVE, region)
    fleet.kill(dead)
    died_s = await measure_detection_s(fleet, dead, SeatState.ALIVE, region)
    print(
        f"    leaving known in its region after {left_s[0]:.1f} s, everywhere after"
        f" {left_s[1]:.1f} s; a death after {died_s[0]:.1f} s and {died_s[1]:.1f} s"
    )


async def measure_detection_s(
    fleet: Fleet, seat: str, old_state: SeatState, region: str
) -> tuple[float, float]:
    """Return when no seat of the region, and then none at all, holds the old state."""
    started_s = anyio.current_time()
    detected_s = []
    for regions in ({region}, fleet.config.regions):
        nodes = [
            node
            for name, node in fleet.processes.items()
            if fleet.config.seats[name].region in regions and name != seat
        ]
        await fleet.wait_until(
            lambda nodes=nodes: all(
                node.membership.state_of(seat) is not old_state for node in nodes
            )
        )
        detected_s.append(anyio.current_time() - started_s)
    return detected_s[0], detected_s[1]


def main() -> None:
    """Measure each fleet, or only those of up to the given number of seats."""
    limit = int(sys.argv[1]) if len(sys.argv) > 1 else 1000
    for regions, seats in FLEETS:
        if regions * seats <= limit:
            run_with_mock_clock(measure, regions, seats)


if __name__ == "__main__":
    main()
