"""Slopes behind docs/CAPACITY.md: what each role costs as one size grows."""

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
from tests.common import run_mocked
from tests.peers.test_membership import Fleet as MembershipFleet

SEED = 1
DAEMONS = (3, 6, 9)
ENGINES = (1, 8)
ACCOUNTS = 1000
SETTLE_S = 4.0
IDLE_S = 8.0
BEAT_FLEETS = ((6, 12), (6, 24))
BEAT_SETTLE_S = 12
BEAT_MEASURED_S = 8
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
    for name, more in (("bare", ""), ("daemon", ", banyanseam.daemon.main")):
        command = [sys.executable, "-c", IMPORTS.format(more)]
        taken = subprocess.run(command, capture_output=True, check=True, text=True)
        rss_bytes = int(taken.stdout)
        figures.append(Figure(f"capacity_imports_rss.{name}", rss_bytes, "B"))
    return figures


async def measure_idle(daemons: int) -> list[Figure]:
    """Return processor share and memory of idle daemons of one region."""
    plan = FleetPlan(regions=("gulf",), seats=daemons, uses_relay=False)
    async with start_fleet(plan) as fleet:
        pids = [one.child.pid for one in fleet.daemons.values()]
        await anyio.sleep(SETTLE_S)
        before_s = {pid: read_cpu_s(pid) for pid in pids}
        await anyio.sleep(IDLE_S)
        shares = [100 * (read_cpu_s(pid) - before_s[pid]) / IDLE_S for pid in pids]
        memory = [read_rss_bytes(pid) for pid in pids]
    return [
        Figure(f"capacity_idle_cpu.{daemons}", sum(shares) / daemons, "% of a core"),
        Figure(f"capacity_idle_cpu_most.{daemons}", max(shares), "% of a core"),
        Figure(f"capacity_idle_rss.{daemons}", sum(memory) / daemons, "B"),
    ]


async def measure_polls() -> list[Figure]:
    """Return the processor share of one daemon that keeps so many idle engines."""
    figures = []
    for engines in ENGINES:
        plan = FleetPlan(regions=("gulf",), seats=1, engines=engines, uses_relay=False)
        async with start_fleet(plan) as fleet:
            pid = fleet.daemons["gulf-1"].child.pid
            await anyio.sleep(SETTLE_S)
            before_s = read_cpu_s(pid)
            await anyio.sleep(IDLE_S)
            share = 100 * (read_cpu_s(pid) - before_s) / IDLE_S
        figures.append(Figure(f"capacity_polls_cpu.{engines}", share, "% of a core"))
    return figures


async def measure_beats(regions: int, seats: int) -> None:
    """Append what heartbeats send, with frames, for each seat."""
    async with anyio.create_task_group() as group:
        fleet = MembershipFleet(group, regions=REGIONS[:regions], seats=seats)
        await anyio.sleep(BEAT_SETTLE_S)
        fabric = fleet.fabric
        fabric.messages = 0
        fabric.sent_bytes.clear()
        await anyio.sleep(BEAT_MEASURED_S)
        per_seat_s = len(fleet.processes) * BEAT_MEASURED_S
        messages = fabric.messages / per_seat_s
        sent = sum(fabric.sent_bytes.values()) / per_seat_s + FRAME_BYTES * messages
        name = f"{regions}x{seats}"
        append(
            [
                Figure(f"capacity_beat_messages.{name}", messages, "sent/s"),
                Figure(f"capacity_beat_bytes.{name}", 2 * sent, "B/s both ways"),
            ]
        )
        group.cancel_scope.cancel()


def measure_compile() -> list[Figure]:
    """Return the time and memory of one configuration of the whole size."""
    snapshot = make_snapshot(REGIONS, 57)
    started_s = time.process_time()
    for _ in range(COMPILE_ROUNDS):
        compile_snapshot(snapshot)
    taken_s = (time.process_time() - started_s) / COMPILE_ROUNDS
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
        Figure("capacity_compile_cpu", 1000 * taken_s, "ms"),
        Figure("capacity_change_cpu", 1000 * change_s, "ms"),
        Figure("capacity_change_cpu_most", 1000 * max(changes_s), "ms"),
        Figure("capacity_compiled_bytes", held_bytes, "B"),
        Figure("capacity_compile_peak", peak_bytes, "B"),
    ]


def measure_keys() -> list[Figure]:
    """Return memory and time of one remembered key with a short answer."""
    memory = RecordStore()
    draw = random.Random(SEED)
    tracemalloc.start()
    started_s = time.process_time()
    for number in range(KEYS):
        claim = Claim(
            Scope("acme", f"{draw.getrandbits(128):032x}"),
            f"{draw.getrandbits(128):032x}",
            draw.randbytes(16),
            f"gulf-{number % 57}",
            1,
            30.0,
        )
        memory.claim(claim, 0.0)
        answer = Answer(200, [], draw.randbytes(ANSWER_BYTES))
        memory.finish(claim.scope, claim.claim_id, RunOutcome(True, answer), 1.0)
    taken_s = time.process_time() - started_s
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return [
        Figure("capacity_key_bytes", held_bytes / KEYS, "B, traced", seed=SEED),
        Figure("capacity_key_cpu", 1e6 * taken_s / KEYS, "us, traced", seed=SEED),
    ]


def measure_accounts() -> list[Figure]:
    """Return the bytes of one organisation's account at one home."""
    tracemalloc.start()
    quota = Quota(1000, 10_000)
    held = [
        Account(f"organisation-{number}", Share(quota, DEFAULT_TIMING, 0.0))
        for number in range(ACCOUNTS)
    ]
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return [Figure("capacity_account_bytes", held_bytes / len(held), "B")]


def measure_histograms(organisations: int) -> float:
    """Return the bytes of one class's three measures for so many organisations."""
    tracemalloc.start()
    histograms = Histograms(0.0)
    for number in range(organisations):
        for measure in ("first_token_ms", "duration_ms", "queue_wait_ms"):
            histograms.record(f"org-{number}", "interactive", measure, 50.0, 0.0)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held_bytes


def measure_histogram_slope() -> list[Figure]:
    """Return what one more organisation takes."""
    few, many = HISTOGRAM_ORGANISATIONS
    grown = measure_histograms(many) - measure_histograms(few)
    return [Figure("capacity_histograms_organisation", grown / (many - few), "B")]


async def measure_processes() -> None:
    """Measure daemons as processes: idle, then with requests."""
    for daemons in DAEMONS:
        append(await measure_idle(daemons))
    append(await measure_polls())
    await run_with(1, ENGINE, measure_requests, measure_events)
    await run_with(1, ENGINE | {"stream_tokens_per_s": 0.2}, measure_idle_streams)


def main() -> None:
    """Measure every slope once."""
    append(measure_imports())
    append(measure_compile())
    append(measure_keys())
    append(measure_accounts())
    append(measure_histogram_slope())
    anyio.run(measure_processes)
    for regions, seats in BEAT_FLEETS:
        run_mocked(measure_beats, regions, seats)


if __name__ == "__main__":
    main()
