"""Measure wrong refusals and over-admission of quotas with daemon processes."""

import math
from collections.abc import Callable

import anyio

from bench.baselines import OWN_POLICY, STATIC_SPLIT
from bench.deployments import LIMITED, RATE_TOKENS_PER_S, Bench
from bench.results import Figure
from bench.traffic import SentRequest, count_overrun_tokens, find_refused_share
from standins.fleet import Daemon

DEMAND_SHARE = 0.9
PROMPT_AND_OUTPUT_TOKENS = (80, 4)
# The daemon's estimate of the cost of such a request, its JSON included.
COST_TOKENS = 130
QUOTA_S = 30.0
SPLIT_S = 10.0
KILL_AFTER_S = 8.0
DOWN_S = 5.0


async def measure_quota(bench: Bench) -> None:
    """Count wrong refusals at 90% of the rate, and the excess of a greedy caller."""
    await bench.publish(deadline_ms=5_000)
    sent = await _send_limited(bench)
    refused = {
        name: find_refused_share(
            (request for request in sent if request.organisation == name), "quota."
        )
        for name in LIMITED
    }
    await bench.switch(STATIC_SPLIT)
    split = await _send_to_one_vm(bench)
    await bench.switch(OWN_POLICY)
    lost = sum(request.broken is not None for request in sent)
    overrun = await _count_over_admitted(bench, sent)
    refused_by_upstreams = find_refused_share(sent, "upstreams.")
    bench.report(
        Figure(
            "wrongly_refused_share.one_vm",
            refused["one_vm"],
            "share",
            STATIC_SPLIT,
            find_refused_share(split, "quota."),
            bench.seed,
        ),
        *(
            Figure(
                f"wrongly_refused_share.{name}", refused[name], "share", seed=bench.seed
            )
            for name in LIMITED[1:]
        ),
        Figure("over_admitted_tokens", overrun, "tokens", seed=bench.seed),
        Figure(
            "refused_for_room.quota", refused_by_upstreams, "share", seed=bench.seed
        ),
        Figure("lost_with_a_vm", lost, "requests", seed=bench.seed),
    )


async def _send_limited(bench: Bench) -> list[SentRequest]:
    traffic, sent = bench.traffic, []
    rate = DEMAND_SHARE * RATE_TOKENS_PER_S / COST_TOKENS
    pickers = {
        "one_vm": lambda _: bench.fleet.daemons[bench.first_seat],
        "offset_peaks": _make_offset_picker(bench),
        "kills": traffic.pick_any,
        "greedy": traffic.pick_any,
    }
    async with anyio.create_task_group() as tasks:
        for name, pick in pickers.items():
            tasks.start_soon(
                traffic.send_steadily,
                tasks,
                name,
                pick,
                rate,
                PROMPT_AND_OUTPUT_TOKENS,
                QUOTA_S,
                sent,
            )
        tasks.start_soon(_kill_one_vm, bench)
    return sent


def _make_offset_picker(bench: Bench) -> Callable[[float], Daemon]:
    """Return a picker under which the demand of each region peaks in turn."""

    def pick(elapsed_s: float) -> Daemon:
        weights = [
            1 + math.sin(2 * math.pi * (elapsed_s / QUOTA_S + index / 3))
            for index in range(3)
        ]
        region = bench.traffic.rng.choices(bench.shape.regions, weights)[0]
        usable = [
            daemon
            for daemon in bench.fleet.list_daemons(region)
            if daemon.seat not in bench.traffic.down_seats
        ]
        return bench.traffic.rng.choice(usable)

    return pick


async def _kill_one_vm(bench: Bench) -> None:
    seat = f"{bench.shape.regions[1]}-2"
    await anyio.sleep(KILL_AFTER_S)
    bench.traffic.down_seats.add(seat)
    bench.fleet.kill(seat)
    await anyio.sleep(DOWN_S)
    await bench.fleet.restart(seat)
    bench.traffic.down_seats.discard(seat)


async def _send_to_one_vm(bench: Bench) -> list[SentRequest]:
    sent: list[SentRequest] = []
    rate = DEMAND_SHARE * RATE_TOKENS_PER_S / COST_TOKENS
    async with anyio.create_task_group() as tasks:
        await bench.traffic.send_steadily(
            tasks,
            "static_split",
            lambda _: bench.fleet.daemons[bench.first_seat],
            rate,
            PROMPT_AND_OUTPUT_TOKENS,
            SPLIT_S,
            sent,
        )
    return sent


async def _count_over_admitted(bench: Bench, sent: list[SentRequest]) -> float:
    """Return the largest excess of run tokens over one organisation's quota."""
    prompts = {request.prompt_sha256: request.prompt_tokens for request in sent}
    runs = await bench.traffic.collect_runs(sent)
    overrun = 0.0
    for name in (*LIMITED, "greedy"):
        plan = bench.fleet.plan.organisations[name]
        usage = [
            (run.started_s, prompts[run.prompt_sha256] + run.generated_tokens)
            for run in runs
            if run.organisation == name
        ]
        overrun = max(
            overrun,
            count_overrun_tokens(usage, plan.rate_tokens_per_s, plan.burst_tokens),
        )
    return overrun
