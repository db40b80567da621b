"""Measure how the cost of each role grows with one size, for docs/CAPACITY.md."""

import random
import subprocess
import sys
import time
import tracemalloc

import anyio

from banyanseam.config.snapshot import compile_snapshot
from banyanseam.config.store import ConfigStore
from banyanseam.idempotency.models import Answer, Claim, RunOutcome, Scope
from banyanseam.idempotency.record_store import RecordStore
from banyanseam.observe.histograms import Histograms
from banyanseam.quota.account import Account
from banyanseam.quota.const import DEFAULT_TIMING
from banyanseam.quota.share import Quota, Share
from bench.configuration import REGIONS, make_snapshot, measure_changes
from bench.path import (
    ENGINE,
    measure_events,
    measure_idle_streams,
    measure_requests,
    run_with,
)
from bench.processes import read_cpu_s, read_rss_bytes
from bench.results import Figure, append
from standins.fleet import FleetPlan, start_fleet
from tests.common import run_with_mock_clock
from tests.peers.test_membership import Fleet as MembershipFleet

SEED = 1
DAEMONS = (3, 6, 9)
ENGINES = (1, 8)
ACCOUNTS = 1000
SETTLE_S = 4.0
IDLE_S = 8.0
HEARTBEAT_FLEETS = ((6, 12), (6, 24))
HEARTBEAT_SETTLE_S = 12
HEARTBEAT_MEASURED_S = 8
FRAME_BYTES = 50
COMPILE_ROUNDS = 5
COMPILE_CHANGES = 20
KEYS = 2000
ANSWER_BYTES = 300
HISTOGRAM_ORGANISATIONS = (100, 200)
IMPORTS = (
    "import os{}; from bench.processes import *; print(read_rss_bytes(os.getpid()))"
)


def measure_imports() -> list[Figure]:
    """Return the resident memory of an interpreter, bare and with the daemon."""
    figures = []
    for name, extra_import in (("bare", ""), ("daemon", ", banyanseam.daemon.main")):
        command = [sys.executable, "-c", IMPORTS.format(extra_import)]
        completed = subprocess.run(command, capture_output=True, check=True, text=True)
        rss_bytes = int(completed.stdout)
        figures.append(Figure(f"capacity_imports_rss.{name}", rss_bytes, "B"))
    return figures


async def measure_idle(daemons: int) -> list[Figure]:
    """Return processor share and memory of idle daemons of one region."""
    plan = FleetPlan(regions=("gulf",), seats=daemons, uses_relay=False)
    async with start_fleet(plan) as fleet:
        pids = [daemon.child.pid for daemon in fleet.daemons.values()]
        await anyio.sleep(SETTLE_S)
        before_s = {pid: read_cpu_s(pid) for pid in pids}
        await anyio.sleep(IDLE_S)
        cpu_percents = [
            100 * (read_cpu_s(pid) - before_s[pid]) / IDLE_S for pid in pids
        ]
        memory = [read_rss_bytes(pid) for pid in pids]
    return [
        Figure(
            f"capacity_idle_cpu.{daemons}", sum(cpu_percents) / daemons, "% of a core"
        ),
        Figure(f"capacity_idle_cpu_most.{daemons}", max(cpu_percents), "% of a core"),
        Figure(f"capacity_idle_rss.{daemons}", sum(memory) / daemons, "B"),
    ]


async def measure_polls() -> list[Figure]:
    """Return the processor share of a daemon that polls idle engines."""
    figures = []
    for engines in ENGINES:
        plan = FleetPlan(regions=("gulf",), seats=1, engines=engines, uses_relay=False)
        async with start_fleet(plan) as fleet:
            pid = fleet.daemons["gulf-1"].child.pid
            await anyio.sleep(SETTLE_S)
            before_s = read_cpu_s(pid)
            await anyio.sleep(IDLE_S)
            cpu_percent = 100 * (read_cpu_s(pid) - before_s) / IDLE_S
        figures.append(
            Figure(f"capacity_polls_cpu.{engines}", cpu_percent, "% of a core")
        )
    return figures


async def measure_heartbeats(regions: int, seats: int) -> None:
    """Append the messages and framed bytes of heartbeats that each seat sends."""
    async with anyio.create_task_group() as group:
        fleet = MembershipFleet(group, regions=REGIONS[:regions], seats=seats)
        await anyio.sleep(HEARTBEAT_SETTLE_S)
        fabric = fleet.fabric
        fabric.messages = 0
        fabric.sent_bytes.clear()
        await anyio.sleep(HEARTBEAT_MEASURED_S)
        seat_seconds = len(fleet.processes) * HEARTBEAT_MEASURED_S
        messages = fabric.messages / seat_seconds
        framed_bytes = (
            sum(fabric.sent_bytes.values()) / seat_seconds + FRAME_BYTES * messages
        )
        name = f"{regions}x{seats}"
        append(
            [
                Figure(f"capacity_beat_messages.{name}", messages, "sent/s"),
                Figure(
                    f"capacity_beat_bytes.{name}", 2 * framed_bytes, "B/s both ways"
                ),
            ]
        )
        group.cancel_scope.cancel()


def measure_compile() -> list[Figure]:
    """Return the time and memory to compile and change a full-size configuration."""
    snapshot = make_snapshot(REGIONS, 57)
    started_s = time.process_time()
    for _ in range(COMPILE_ROUNDS):
        compile_snapshot(snapshot)
    compile_s = (time.process_time() - started_s) / COMPILE_ROUNDS
    tracemalloc.start()
    store = ConfigStore()
    store.try_adopt(snapshot)
    held_bytes, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    changes_s = measure_changes(store, COMPILE_CHANGES)
    change_s = sum(changes_s) / COMPILE_CHANGES
    size_bytes = sum(len(value.content) for value in snapshot.values.values())
    return [
        Figure("capacity_config_bytes", size_bytes, "B"),
        Figure("capacity_config_values", len(snapshot.values), "values"),
        Figure("capacity_compile_cpu", 1000 * compile_s, "ms"),
        Figure("capacity_change_cpu", 1000 * change_s, "ms"),
        Figure("capacity_change_cpu_most", 1000 * max(changes_s), "ms"),
        Figure("capacity_compiled_bytes", held_bytes, "B"),
        Figure("capacity_compile_peak", peak_bytes, "B"),
    ]


def measure_keys() -> list[Figure]:
    """Return the memory and time of one stored idempotency key with a short answer."""
    record_store = RecordStore()
    rng = random.Random(SEED)
    tracemalloc.start()
    started_s = time.process_time()
    for number in range(KEYS):
        claim = Claim(
            Scope("acme", f"{rng.getrandbits(128):032x}"),
            f"{rng.getrandbits(128):032x}",
            rng.randbytes(16),
            f"gulf-{number % 57}",
            1,
            30.0,
        )
        record_store.claim(claim, 0.0)
        answer = Answer(200, [], rng.randbytes(ANSWER_BYTES))
        record_store.finish(claim.scope, claim.claim_id, RunOutcome(True, answer), 1.0)
    cpu_s = time.process_time() - started_s
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return [
        Figure("capacity_key_bytes", held_bytes / KEYS, "B, traced", seed=SEED),
        Figure("capacity_key_cpu", 1e6 * cpu_s / KEYS, "us, traced", seed=SEED),
    ]


def measure_accounts() -> list[Figure]:
    """Return the bytes of one organisation's account at one home."""
    tracemalloc.start()
    quota = Quota(1000, 10_000)
    accounts = [
        Account(f"organisation-{number}", Share(quota, DEFAULT_TIMING, 0.0))
        for number in range(ACCOUNTS)
    ]
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return [Figure("capacity_account_bytes", held_bytes / len(accounts), "B")]


def measure_histograms(organisations: int) -> float:
    """Return the bytes of the three histograms of one class for `organisations`."""
    tracemalloc.start()
    histograms = Histograms(0.0)
    for number in range(organisations):
        for measure in ("first_token_ms", "duration_ms", "queue_wait_ms"):
            histograms.record(f"org-{number}", "interactive", measure, 50.0, 0.0)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held_bytes


def measure_histogram_slope() -> list[Figure]:
    """Return the histogram bytes of each additional organisation."""
    few, many = HISTOGRAM_ORGANISATIONS
    growth_bytes = measure_histograms(many) - measure_histograms(few)
    return [
        Figure("capacity_histograms_organisation", growth_bytes / (many - few), "B")
    ]


async def measure_processes() -> None:
    """Measure daemon processes: first idle, then with requests."""
    for daemons in DAEMONS:
        append(await measure_idle(daemons))
    append(await measure_polls())
    await run_with(1, ENGINE, measure_requests, measure_events)
    await run_with(1, ENGINE | {"stream_tokens_per_s": 0.2}, measure_idle_streams)


def main() -> None:
    """Measure every figure once."""
    append(measure_imports())
    append(measure_compile())
    append(measure_keys())
    append(measure_accounts())
    append(measure_histogram_slope())
    anyio.run(measure_processes)
    for regions, seats in HEARTBEAT_FLEETS:
        run_with_mock_clock(measure_heartbeats, regions, seats)


if __name__ == "__main__":
    main()
