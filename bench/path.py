"""Measure the latency, processor time and memory of requests through a daemon."""

import statistics
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

import anyio

from bench.processes import read_cpu_s, read_rss_bytes
from bench.results import Figure, append
from standins.callers import Caller
from standins.fleet import Fleet, FleetPlan, start_fleet

SEED = 1
ROUNDS = 3
LATENCY_REQUESTS = 300
SHORT_REQUESTS = 3000
SHORT_WORKERS = 16
STREAMS = 120
STREAM_TOKENS = 150
IDLE_STREAMS = 300
ENGINE = {
    "decode_tokens_per_s": 1_000_000,
    "prefill_tokens_per_s": 10_000_000,
    "memory_tokens": 100_000_000,
    "max_in_flight": 2000,
}


@dataclass(frozen=True, slots=True)
class Target:
    """The daemon to send requests to, and its process to measure."""

    fleet: Fleet
    caller: Caller
    gateway: str
    pid: int


async def time_requests(target: Target, address: str) -> float:
    """Return the median time of one short request in seconds."""
    latencies_s = []
    for _ in range(LATENCY_REQUESTS):
        started_s = anyio.current_time()
        await target.caller.request("GET", address, "/desk/status")
        latencies_s.append(anyio.current_time() - started_s)
    return statistics.median(latencies_s)


async def measure_overhead(target: Target) -> Figure:
    """Compare a request through the gateway with one directly to the service."""
    direct = target.fleet.upstreams["gulf-service-1"].address
    direct_s = await time_requests(target, direct)
    through_s = await time_requests(target, target.gateway)
    return Figure(
        "overhead_p50",
        (through_s - direct_s) * 1000,
        "ms",
        "direct call",
        direct_s * 1000,
        SEED,
    )


async def measure_requests(target: Target) -> Figure:
    """Count short requests for each processor second of the daemon."""
    before_s = read_cpu_s(target.pid)

    async def send_requests() -> None:
        for _ in range(SHORT_REQUESTS // SHORT_WORKERS):
            await target.caller.request("GET", target.gateway, "/desk/status")

    async with anyio.create_task_group() as tasks:
        for _ in range(SHORT_WORKERS):
            tasks.start_soon(send_requests)
    done = SHORT_REQUESTS // SHORT_WORKERS * SHORT_WORKERS
    rate = done / (read_cpu_s(target.pid) - before_s)
    return Figure("requests_per_core_s", rate, "1/s", seed=SEED)


async def measure_events(target: Target) -> Figure:
    """Count stream events for each processor second of the daemon."""
    before_s = read_cpu_s(target.pid)
    events = []

    async def read_stream() -> None:
        result = await target.caller.chat(target.gateway, max_tokens=STREAM_TOKENS)
        if not result.is_whole:
            raise RuntimeError(f"{result.status} {result.problem} {result.broken}")
        events.append(len(result.words))

    async with anyio.create_task_group() as tasks:
        for _ in range(STREAMS):
            tasks.start_soon(read_stream)
    rate = sum(events) / (read_cpu_s(target.pid) - before_s)
    return Figure("stream_events_per_core_s", rate, "1/s", "need", 2600, SEED)


async def measure_idle_streams(target: Target) -> Figure:
    """Measure the memory of an open stream while no event arrives."""
    engine = target.fleet.upstreams["gulf-engine-1"]
    before_bytes = read_rss_bytes(target.pid)
    async with anyio.create_task_group() as tasks:
        for _ in range(IDLE_STREAMS):
            tasks.start_soon(
                partial(target.caller.chat, max_tokens=100), target.gateway
            )
        with anyio.fail_after(30):
            while True:
                load = await target.caller.request("GET", engine.address, "/load")
                if load.value["running"] >= IDLE_STREAMS:
                    break
                await anyio.sleep(0.1)
        held_bytes = read_rss_bytes(target.pid) - before_bytes
        tasks.cancel_scope.cancel()
    return Figure(
        "memory_per_idle_stream_bytes", held_bytes / IDLE_STREAMS, "B", seed=SEED
    )


Measure = Callable[[Target], Awaitable[Figure]]


async def run_with(
    rounds: int, engine_options: dict[str, float], *measures: Measure
) -> None:
    """Start a fleet of one daemon and take each measure in each round."""
    plan = FleetPlan(
        regions=("gulf",), seats=1, uses_relay=False, engine_options=engine_options
    )
    async with start_fleet(plan) as fleet, Caller(fleet.keys["acme"]) as caller:
        daemon = fleet.daemons["gulf-1"]
        target = Target(fleet, caller, daemon.callers_address, daemon.child.pid)
        for measure in measures:
            append([await measure(target) for _ in range(rounds)])


async def run() -> None:
    """Measure all figures."""
    await run_with(ROUNDS, ENGINE, measure_overhead, measure_requests, measure_events)
    # A process does not return freed memory, so each round starts a new daemon.
    for _ in range(ROUNDS):
        await run_with(1, ENGINE | {"stream_tokens_per_s": 0.2}, measure_idle_streams)


if __name__ == "__main__":
    anyio.run(run)
