"""Measure the cost of a configuration change: its compilation and its propagation.

The compilation is timed on this machine. The propagation runs on the mock clock over an
in-memory network, so its time is that of the messages alone.
"""

import random
import statistics
import time
import tracemalloc

import anyio
from anyio.abc import TaskGroup

from banyanseam.config.snapshot import (
    Snapshot,
    Value,
    compile_snapshot,
    encode_content,
)
from banyanseam.config.split import split_documents
from banyanseam.config.store import ConfigStore
from banyanseam.daemon.control import Control
from banyanseam.peers.incarnation import Incarnation
from tests.common import FakeFabric, digest, make_documents, run_with_mock_clock
from tests.config.test_replication import FakeService, wait_for

ORGANISATIONS = 670
KEYS_EACH = 12
UPSTREAMS = 600
REGIONS = ("gulf", "piedmont", "delta", "north", "south", "west")
CHANGES_PER_DAY = 3000
SEED = 1
ROUNDS = 15
CHANGE_INTERVAL_S = 20
CHANGES = 10


def make_organisation(number: int, rate: int) -> dict:
    """Return an organisation with its keys."""
    keys = [
        {"sha256_hex": digest(f"{number} {key}"), "label": f"key-{key}"}
        for key in range(KEYS_EACH)
    ]
    return {"keys": keys, "rate_tokens_per_s": rate, "burst_tokens": 10_000}


def make_snapshot(regions: tuple[str, ...], seats: int) -> Snapshot:
    """Return a configuration of the size that the gateway is designed for."""
    base, overlays = make_documents(regions, seats)
    base["organisations"] = {
        f"organisation-{number}": make_organisation(number, 1000)
        for number in range(ORGANISATIONS)
    }
    # The route to a plain service has no upstream among those below.
    del base["routes"]["clinic"]
    for index, (region, overlay) in enumerate(overlays.items(), 1):
        engine = overlay["upstreams"][f"{region}-engine-1"]
        overlay["upstreams"] = {
            f"{region}-engine-{number}": {
                **engine,
                "address": f"127.9.{index}.{number + 1}:9000",
            }
            for number in range(UPSTREAMS // len(regions))
        }
    values = {
        key: Value(key, 1, encode_content(document))
        for key, document in split_documents(base, overlays).items()
    }
    return Snapshot(1, values)


def change_one(snapshot: Snapshot, number: int) -> Snapshot:
    """Return the next version, which changes the rate of one organisation."""
    revision = snapshot.version + 1
    base = {"organisations": {f"organisation-{number}": make_organisation(number, 7)}}
    documents = split_documents(base, {})
    (key,) = (key for key in documents if key.startswith("organisations/"))
    shard = split_documents(
        {
            "organisations": {
                f"organisation-{other}": make_organisation(
                    other, revision if other == number else 1000
                )
                for other in range(ORGANISATIONS)
            }
        },
        {},
    )[key]
    value = Value(key, revision, encode_content(shard))
    return Snapshot(revision, {**snapshot.values, key: value})


def measure_changes(store: ConfigStore, rounds: int) -> list[float]:
    """Return the time that a store took to adopt each of `rounds` small changes."""
    times_s = []
    for number in range(rounds):
        snapshot = change_one(store.newest, number)
        started_s = time.process_time()
        store.try_adopt(snapshot)
        times_s.append(time.process_time() - started_s)
    return times_s


def measure_compile() -> None:
    """Print the time and memory that a process spends on one adoption."""
    snapshot = make_snapshot(REGIONS, 57)
    size_bytes = sum(len(value.content) for value in snapshot.values.values())
    times_s = []
    for _ in range(ROUNDS):
        started_s = time.process_time()
        compile_snapshot(snapshot)
        times_s.append(time.process_time() - started_s)
    tracemalloc.start()
    store = ConfigStore()
    store.try_adopt(snapshot)
    held_bytes, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    changes_s = measure_changes(store, ROUNDS)
    change_ms = 1000 * statistics.median(changes_s)
    print(
        f"one changed organisation: adopted in {change_ms:.1f} ms"
        f" (median of {ROUNDS}), at most {1000 * max(changes_s):.1f} ms"
    )
    median_s = statistics.median(times_s)
    share = 100 * statistics.median(changes_s) * CHANGES_PER_DAY / 86_400
    print(
        f"{len(snapshot.values)} values, {size_bytes / 1e6:.2f} MB: compiled in"
        f" {1000 * median_s:.0f} ms (median of {ROUNDS}), {share:.2f}% of a core at"
        f" {CHANGES_PER_DAY} changes a day; compiled form {held_bytes / 1e6:.1f} MB,"
        f" peak {peak_bytes / 1e6:.1f} MB"
    )


async def run_control(control: Control, group: TaskGroup) -> None:
    """Join the fleet and serve."""
    await control.run(group)
    control.begin_serving(group)


async def measure_propagation(regions: int, seats: int) -> None:
    """Print when a change is in force at all seats, and the bytes sent by a seat."""
    history = [make_snapshot(REGIONS[:regions], seats)]
    for number in range(CHANGES):
        history.append(change_one(history[-1], number))
    services = {region: FakeService(history) for region in REGIONS[:regions]}
    fabric = FakeFabric()
    async with anyio.create_task_group() as group:
        controls = {}
        for region, service in services.items():
            for number in range(1, seats + 1):
                seat = f"{region}-{number}"
                controls[seat] = Control(
                    seat,
                    region,
                    Incarnation(1),
                    fabric.join(seat),
                    [service.client],
                    [],
                    5.0,
                    anyio.current_time,
                    random.Random(f"{SEED} {seat}"),
                )
                group.start_soon(run_control, controls[seat], group)
        await wait_for(
            lambda: all(control.accepts_requests for control in controls.values())
        )
        await anyio.sleep(CHANGE_INTERVAL_S)
        sent_bytes_by_version = []
        delays_s = []
        for version in (None, *range(2, CHANGES + 2)):
            before = dict(fabric.sent_bytes)
            started_s = anyio.current_time()
            if version is not None:
                # Only the service of one region has the change at first.
                services["gulf"].publish(version)
                await wait_for(
                    lambda version=version: all(
                        control.store.in_force.version == version
                        for control in controls.values()
                    ),
                )
                delays_s.append(anyio.current_time() - started_s)
            await anyio.sleep(started_s + CHANGE_INTERVAL_S - anyio.current_time())
            sent_bytes_by_version.append(
                [fabric.sent_bytes[seat] - before[seat] for seat in controls]
            )
        calls = sum(service.calls for service in services.values())
        idle, *changed = (
            sum(sent_bytes) / len(controls) for sent_bytes in sent_bytes_by_version
        )
        print(
            f"{regions} x {seats} seats, seed {SEED}: in force everywhere after"
            f" {1000 * min(delays_s):.0f} to {1000 * max(delays_s):.0f} ms;"
            f" a change costs a seat {statistics.mean(changed) - idle:.0f} B sent on"
            f" average beside {idle / CHANGE_INTERVAL_S:.0f} B/s of heartbeats;"
            f" {calls / anyio.current_time():.1f} calls/s at the service"
        )
        group.cancel_scope.cancel()


def main() -> None:
    """Measure the compilation and the propagation."""
    measure_compile()
    for regions, seats in ((3, 3), (3, 19)):
        run_with_mock_clock(measure_propagation, regions, seats)


if __name__ == "__main__":
    main()
