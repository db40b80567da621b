"""Measure what slow readers cost a daemon process and its other callers."""

import statistics
from functools import partial
from typing import Any

import anyio
import click

from bench.results import Figure, append
from standins.callers import Caller
from standins.fleet import Fleet, FleetPlan, OrganisationPlan, start_fleet

SLOW_READERS = 500
SLOW_PAUSE_S = 0.5
PROBES = 200
WORKERS = 10
BYTE_BUDGET = 64_000_000
P99_INDEX = 98
ENGINE = {
    "decode_tokens_per_s": 200_000,
    "prefill_tokens_per_s": 1_000_000,
    "memory_tokens": 10_000_000,
    "max_in_flight": 1000,
    "stream_tokens_per_s": 4,
    "max_batch": 1000,
}


def extend_chat_deadline(base: dict[str, Any], overlays: dict[str, Any]) -> None:
    """Raise the chat deadline, so that slow streams outlast the measurement."""
    base["routes"]["chat"]["deadline_ms"] = 600_000


async def read_held_bytes(fleet: Fleet) -> int:
    """Return the bytes that the daemon reports as held for callers."""
    address = fleet.daemons["gulf-1"].operators_address
    reply = await fleet.client.request("GET", address, "/status")
    return reply.value["load"]["held_bytes"]


async def measure_p99_s(caller: Caller, address: str) -> float:
    """Return the 99th percentile of the time to the first token."""
    times_s = []

    async def probe() -> None:
        for _ in range(PROBES // WORKERS):
            result = await caller.chat(address, max_tokens=1)
            if not result.is_whole:
                raise RuntimeError(f"{result.status} {result.problem}")
            times_s.append(result.first_token_s)

    async with anyio.create_task_group() as tasks:
        for _ in range(WORKERS):
            tasks.start_soon(probe)
    return statistics.quantiles(times_s, n=100)[P99_INDEX]


async def measure(seed: int) -> list[Figure]:
    """Compare callers without and with slow readers beside them."""
    plan = FleetPlan(
        regions=("gulf",),
        seats=1,
        uses_relay=False,
        engine_options=ENGINE,
        edit_documents=extend_chat_deadline,
        organisations={
            "acme": OrganisationPlan(),
            "slow": OrganisationPlan(1_000_000, 100_000_000),
        },
    )
    async with (
        start_fleet(plan) as fleet,
        Caller(fleet.keys["acme"]) as caller,
        Caller(fleet.keys["slow"]) as slow_caller,
    ):
        address = fleet.daemons["gulf-1"].callers_address
        # The first request waits while quota parts are withheld after the start.
        await caller.chat(address, max_tokens=1)
        alone_s = await measure_p99_s(caller, address)
        async with anyio.create_task_group() as tasks:
            read_slowly = partial(
                slow_caller.chat, max_tokens=2000, read_pause_s=SLOW_PAUSE_S
            )
            for _ in range(SLOW_READERS):
                tasks.start_soon(read_slowly, address)
            await anyio.sleep(3)
            beside_s = await measure_p99_s(caller, address)
            held_bytes = await read_held_bytes(fleet)
            tasks.cancel_scope.cancel()
    return [
        Figure("slow_reader_bytes", held_bytes, "B", "byte budget", BYTE_BUDGET, seed),
        Figure("p99_ttft_beside_slow_readers", beside_s, "s", "without", alone_s, seed),
    ]


@click.command()
@click.option("--seeds", default=3, show_default=True)
def main(seeds: int) -> None:
    """Measure on a fresh daemon for each seed."""
    for seed in range(1, seeds + 1):
        append(anyio.run(measure, seed))


if __name__ == "__main__":
    main()
