"""Measure the control cost of idle daemons, and its growth with the fleet.

Idle fleets of three regions with one engine each: processor time, resident memory and
the bytes that each process reads and writes. No caller sends requests, so all of it is
control traffic. Run with no other bench at the same time: python -m bench.control
"""

import os
import statistics
from dataclasses import dataclass
from pathlib import Path

import anyio
import click

from bench.deployments import ONE_WAY_MS, SHAPES
from bench.processes import read_cpu_s, read_rss_bytes
from bench.results import Figure, append
from standins.fleet import FleetPlan, start_fleet

# Daemons in each of the three regions.
SEATS = (1, 3, 6, 12)
# By then, loans, keepers and the propagation of the configuration have settled.
SETTLE_S = 12.0
MEASURED_S = 15.0


@dataclass(frozen=True, slots=True)
class Usage:
    """The resources that a process has used so far."""

    cpu_s: float
    io_bytes: int


def read_usage(pid: int) -> Usage:
    """Return a process's processor time and the bytes of its reads and writes."""
    lines = Path(f"/proc/{pid}/io").read_text().splitlines()
    counts = dict(line.split(": ") for line in lines)
    return Usage(read_cpu_s(pid), int(counts["rchar"]) + int(counts["wchar"]))


async def measure(seats: int) -> dict[str, float]:
    """Return each cost as the mean over the daemons of one fleet."""
    shape = SHAPES["clearsight"]
    plan = FleetPlan(
        regions=shape.regions,
        seats=seats,
        services=0,
        delay_ms=ONE_WAY_MS,
        link_bytes_per_s=shape.link_bytes_per_s,
    )
    async with start_fleet(plan) as fleet:
        pids = [daemon.child.pid for daemon in fleet.daemons.values()]
        await anyio.sleep(SETTLE_S)
        before = {pid: read_usage(pid) for pid in pids}
        await anyio.sleep(MEASURED_S)
        after = {pid: read_usage(pid) for pid in pids}
        rss = statistics.mean(map(read_rss_bytes, pids))
    cpu_s = statistics.mean(after[pid].cpu_s - before[pid].cpu_s for pid in pids)
    io_bytes = statistics.mean(
        after[pid].io_bytes - before[pid].io_bytes for pid in pids
    )
    return {
        "cpu, % of a core": 100 * cpu_s / MEASURED_S,
        "memory, MB": rss / 1e6,
        "read and written, B/s": io_bytes / MEASURED_S,
    }


def find_slope(points: list[tuple[int, float]]) -> float:
    """Return the growth for each additional daemon, by least squares."""
    sizes, values = zip(*points, strict=True)
    return statistics.linear_regression(sizes, values).slope


async def run(seed: int) -> None:
    """Measure each size and append values and slopes."""
    points: dict[str, list[tuple[int, float]]] = {}
    for seats in SEATS:
        daemons = 3 * seats
        for name, value in (await measure(seats)).items():
            points.setdefault(name, []).append((daemons, value))
            resource, unit = name.split(", ")
            figure = Figure(
                f"control_cost.{resource}.{daemons}", value, unit, seed=seed
            )
            append([figure])
    for name, measured in points.items():
        resource, unit = name.split(", ")
        slope = find_slope(measured)
        append(
            [
                Figure(
                    f"control_cost.{resource}.slope",
                    slope,
                    f"{unit} a daemon",
                    seed=seed,
                )
            ]
        )
    load = os.getloadavg()[0]
    append([Figure("load_average.control", load, "processes", seed=seed)])


@click.command()
@click.option("--seed", default=1, help="Recorded with the figures; nothing is random.")
def main(seed: int) -> None:
    """Measure fleets of 3, 9, 18 and 36 daemons."""
    anyio.run(run, seed)


if __name__ == "__main__":
    main()
