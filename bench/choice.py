"""Fairness, prefix affinity, room and spill, against named baselines on the mock clock.

Real keepers, rooms and choices over an in-memory network; the engines are the
stand-in's batching with 20,000 tokens of memory each. Run: python -m bench.choice
"""

import math
import random
import statistics
from collections.abc import Awaitable, Callable
from unittest.mock import patch

import anyio
import click
from loguru import logger

from banyanseam.upstreams.lease_ledger import LeaseLedger
from bench.baselines import FifoQueue, make_round_robin
from bench.choice_fleet import Fleet, Plan
from bench.results import Figure, append
from tests.common import run_mocked

RUN_S = 60.0
# What an engine serves of requests of 400 prompt and 100 output tokens.
ENGINE_REQUESTS_PER_S = 1 / (400 / 10_000 + 100 / 1_000)
THREE_REGIONS = ("gulf", "piedmont", "delta")
Load = Callable[[Fleet, anyio.abc.TaskGroup], Awaitable[None]]


def run(plan: Plan, load: Load) -> Fleet:
    """Run a load on a fleet until every request ended."""

    async def main() -> Fleet:
        fleet = Fleet(plan)
        async with anyio.create_task_group() as loops:
            await fleet.start(loops)
            async with anyio.create_task_group() as requests:
                await load(fleet, requests)
            loops.cancel_scope.cancel()
        return fleet

    return run_mocked(main)


def make_prompt(chance: random.Random, tokens: int) -> bytes:
    """Return a prompt that shares nothing with others."""
    return chance.randbytes(2 * tokens).hex().encode()


async def send_steadily(
    fleet: Fleet,
    tasks: anyio.abc.TaskGroup,
    region: str,
    organisation: str,
    rate_per_s: float,
    tokens: tuple[int, int],
) -> None:
    """Send requests of one size at random times for the length of a run."""
    chance = random.Random(f"{fleet.plan.seed}/{region}/{organisation}")
    end_s = anyio.current_time() + RUN_S
    while anyio.current_time() < end_s:
        await anyio.sleep(chance.expovariate(rate_per_s))
        prompt = make_prompt(chance, tokens[0])
        tasks.start_soon(fleet.request, region, organisation, prompt, tokens[1])


def find_p99_s(fleet: Fleet, organisation: str) -> float:
    """Return the 99th percentile of the time to the first token."""
    times = [
        each.ttft_s if each.ttft_s is not None else math.inf
        for each in fleet.ended
        if each.organisation == organisation
    ]
    return sorted(times)[min(len(times) - 1, int(len(times) * 0.99))]


def add_up(fleet: Fleet, counter: str) -> int:
    """Return the sum of one counter over all engines."""
    return sum(getattr(engine, counter) for engine in fleet.engines.values())


async def load_flood(fleet: Fleet, tasks: anyio.abc.TaskGroup) -> None:
    """Let one organisation of five send ten times what each other sends.

    The whole is 1.5 times what two engines serve.
    """
    for name in ("flood", "a", "b", "c", "d"):
        rate = 1.5 * 2 * ENGINE_REQUESTS_PER_S / 14 * (10 if name == "flood" else 1)
        tasks.start_soon(send_steadily, fleet, tasks, "gulf", name, rate, (400, 100))


def measure_fairness(seed: int) -> list[Figure]:
    """Compare the worst other organisation with first-in first-out."""
    plan = Plan({"gulf": 2}, seed=seed)
    fair = run(plan, load_flood)
    with patch("banyanseam.upstreams.pool_scheduler.FairQueue", FifoQueue):
        fifo = run(plan, load_flood)
    others = [find_p99_s(fair, name) for name in "abcd"]
    fifo_others = [find_p99_s(fifo, name) for name in "abcd"]
    refused = sum(each.error is not None for each in fair.ended) / len(fair.ended)
    return [
        Figure(
            "worst_organisation_p99_ttft",
            max(others),
            "s",
            "first-in first-out",
            max(fifo_others),
            seed,
        ),
        Figure(
            "worst_organisation_p99_ttft_over_median",
            max(others),
            "s",
            "median organisation",
            statistics.median([*others, find_p99_s(fair, "flood")]),
            seed,
        ),
        Figure("refused_share_under_flood", refused, "share", seed=seed),
    ]


async def load_sessions(fleet: Fleet, tasks: anyio.abc.TaskGroup) -> None:
    """Let 60 sessions grow turn by turn, each with its history as prompt."""
    for number in range(60):
        tasks.start_soon(follow_session, fleet, number)


async def follow_session(fleet: Fleet, number: int) -> None:
    """Send the turns of one session, with pauses between."""
    chance = random.Random(f"{fleet.plan.seed}/{number}")
    history = make_prompt(chance, chance.randint(200, 800))
    await anyio.sleep(chance.uniform(0, 20))
    for _ in range(8):
        await fleet.request("gulf", f"org-{number % 5}", history, 50)
        history += make_prompt(chance, 150)
        await anyio.sleep(chance.uniform(1, 6))


def measure_prefixes(seed: int) -> list[Figure]:
    """Compare the prompt tokens computed with round robin."""
    plan = Plan({"gulf": 6}, seed=seed)
    affine = run(plan, load_sessions)
    with patch("banyanseam.upstreams.pool_scheduler.pick_upstream", make_round_robin()):
        robin = run(plan, load_sessions)
    loads = [engine.served_tokens for engine in affine.engines.values()]
    return [
        Figure(
            "prefill_tokens_computed",
            add_up(affine, "prefilled_tokens"),
            "tokens",
            "round robin",
            add_up(robin, "prefilled_tokens"),
            seed,
        ),
        Figure(
            "replica_load_max",
            max(loads),
            "tokens",
            "mean replica",
            statistics.mean(loads),
            seed,
        ),
    ]


async def load_long_histories(fleet: Fleet, tasks: anyio.abc.TaskGroup) -> None:
    """Flood both engines with histories of up to 8,000 tokens."""
    chance = random.Random(fleet.plan.seed)
    for _ in range(200):
        prompt = make_prompt(chance, chance.choice((2_000, 5_000, 8_000)))
        tasks.start_soon(fleet.request, "gulf", "acme", prompt, 200)
        await anyio.sleep(chance.expovariate(8))


def measure_deaths(seed: int) -> list[Figure]:
    """Compare the engines driven out of memory with limits per daemon."""
    kept = run(Plan({"gulf": 2}, seed=seed), load_long_histories)
    plan = Plan({"gulf": 2}, seed=seed, limits_per_daemon=True)
    with (
        patch.object(LeaseLedger, "is_undisputed", lambda *_: True),
        patch.object(LeaseLedger, "observe", lambda *_: None),
    ):
        alone = run(plan, load_long_histories)
    baseline = "limits per daemon"
    died, died_alone = add_up(kept, "deaths"), add_up(alone, "deaths")
    answered = sum(each.error is None for each in kept.ended)
    answered_alone = sum(each.error is None for each in alone.ended)
    return [
        Figure("upstream_deaths", died, "deaths", baseline, died_alone, seed),
        Figure(
            "histories_answered", answered, "requests", baseline, answered_alone, seed
        ),
    ]


def make_regional_load(rate_per_s: float) -> Load:
    """Return a load that is the same in each of three regions."""

    async def load(fleet: Fleet, tasks: anyio.abc.TaskGroup) -> None:
        for region in THREE_REGIONS:
            tasks.start_soon(
                send_steadily, fleet, tasks, region, "acme", rate_per_s, (400, 100)
            )

    return load


def find_remote_share(fleet: Fleet) -> float:
    """Return the share of requests that another region served."""
    return sum(each.is_remote for each in fleet.ended) / len(fleet.ended)


def measure_spill(seed: int) -> list[Figure]:
    """Measure the share sent to another region, balanced and with half a region lost.

    With half of one region's engines gone and every region loaded to 70 in 100, that
    region must send away 20 parts of its 70, which is 0.095 of all.
    """
    rate = 0.7 * 2 * ENGINE_REQUESTS_PER_S
    even = run(
        Plan(dict.fromkeys(THREE_REGIONS, 2), seed=seed), make_regional_load(rate)
    )
    engines = {"gulf": 1, "piedmont": 2, "delta": 2}
    half = run(Plan(engines, seed=seed), make_regional_load(rate))
    forced = (0.7 - 0.5) / (3 * 0.7)
    worst = find_p99_s(half, "acme")
    return [
        Figure(
            "cross_region_share.balanced", find_remote_share(even), "share", seed=seed
        ),
        Figure(
            "cross_region_share.half_capacity",
            find_remote_share(half),
            "share",
            "least that capacity forces",
            forced,
            seed,
        ),
        Figure(
            "p99_ttft.half_capacity",
            worst,
            "s",
            "balanced",
            find_p99_s(even, "acme"),
            seed,
        ),
    ]


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--only", default="", help="One of fairness, prefixes, deaths, spill.")
def main(seed: int, only: str) -> None:
    """Take every figure once."""
    logger.remove()
    measures = {
        "fairness": measure_fairness,
        "prefixes": measure_prefixes,
        "deaths": measure_deaths,
        "spill": measure_spill,
    }
    for name, measure in measures.items():
        if only in ("", name):
            append(measure(seed))


if __name__ == "__main__":
    main()
