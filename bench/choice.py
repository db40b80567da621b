"""Compare fairness, prefix affinity, memory limits and spillover with baselines.

The daemon's keepers, lease clients and destination choosers run on the mock clock over
an in-memory network. Each engine is the batch of the stand-in engine with 20,000 tokens
of memory. Run: python -m bench.choice
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
from tests.common import run_with_mock_clock

RUN_S = 60.0
# The rate of requests with 400 prompt and 100 output tokens that an engine can serve.
ENGINE_REQUESTS_PER_S = 1 / (400 / 10_000 + 100 / 1_000)
THREE_REGIONS = ("gulf", "piedmont", "delta")
Load = Callable[[Fleet, anyio.abc.TaskGroup], Awaitable[None]]


def run(plan: Plan, load: Load) -> Fleet:
    """Run a load on a new fleet until every request has ended."""

    async def main() -> Fleet:
        fleet = Fleet(plan)
        async with anyio.create_task_group() as loops:
            await fleet.start(loops)
            async with anyio.create_task_group() as requests:
                await load(fleet, requests)
            loops.cancel_scope.cancel()
        return fleet

    return run_with_mock_clock(main)


def make_prompt(rng: random.Random, tokens: int) -> bytes:
    """Return a random prompt, which has no prefix in common with others."""
    return rng.randbytes(2 * tokens).hex().encode()


async def send_steadily(
    fleet: Fleet,
    tasks: anyio.abc.TaskGroup,
    region: str,
    organisation: str,
    rate_per_s: float,
    tokens: tuple[int, int],
) -> None:
    """Send requests of one size at random times for the length of a run."""
    rng = random.Random(f"{fleet.plan.seed}/{region}/{organisation}")
    end_s = anyio.current_time() + RUN_S
    while anyio.current_time() < end_s:
        await anyio.sleep(rng.expovariate(rate_per_s))
        prompt = make_prompt(rng, tokens[0])
        tasks.start_soon(fleet.request, region, organisation, prompt, tokens[1])


def find_p99_s(fleet: Fleet, organisation: str) -> float:
    """Return the 99th percentile of an organisation's time to the first token."""
    times = [
        result.ttft_s if result.ttft_s is not None else math.inf
        for result in fleet.results
        if result.organisation == organisation
    ]
    return sorted(times)[min(len(times) - 1, int(len(times) * 0.99))]


def sum_counter(fleet: Fleet, counter: str) -> int:
    """Return the sum of one counter over all engines."""
    return sum(getattr(engine, counter) for engine in fleet.engines.values())


async def load_flood(fleet: Fleet, tasks: anyio.abc.TaskGroup) -> None:
    """Let one organisation of five send ten times the requests of each other one.

    Together they send 1.5 times the requests that two engines can serve.
    """
    for name in ("flood", "a", "b", "c", "d"):
        rate = 1.5 * 2 * ENGINE_REQUESTS_PER_S / 14 * (10 if name == "flood" else 1)
        tasks.start_soon(send_steadily, fleet, tasks, "gulf", name, rate, (400, 100))


def measure_fairness(seed: int) -> list[Figure]:
    """Compare the worst p99 beside a flood with first-in first-out."""
    plan = Plan({"gulf": 2}, seed=seed)
    fair = run(plan, load_flood)
    with patch("banyanseam.upstreams.pool_scheduler.FairQueue", FifoQueue):
        fifo = run(plan, load_flood)
    others = [find_p99_s(fair, name) for name in "abcd"]
    fifo_others = [find_p99_s(fifo, name) for name in "abcd"]
    refused = sum(result.error is not None for result in fair.results) / len(
        fair.results
    )
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
    """Run 60 sessions that send their growing history as the prompt of each turn."""
    for number in range(60):
        tasks.start_soon(run_session, fleet, number)


async def run_session(fleet: Fleet, number: int) -> None:
    """Send the turns of one session, with pauses between."""
    rng = random.Random(f"{fleet.plan.seed}/{number}")
    history = make_prompt(rng, rng.randint(200, 800))
    await anyio.sleep(rng.uniform(0, 20))
    for _ in range(8):
        await fleet.request("gulf", f"org-{number % 5}", history, 50)
        history += make_prompt(rng, 150)
        await anyio.sleep(rng.uniform(1, 6))


def measure_prefixes(seed: int) -> list[Figure]:
    """Compare the prompt tokens that engines prefill with round robin."""
    plan = Plan({"gulf": 6}, seed=seed)
    with_affinity = run(plan, load_sessions)
    with patch("banyanseam.upstreams.pool_scheduler.pick_upstream", make_round_robin()):
        round_robin = run(plan, load_sessions)
    loads = [engine.served_tokens for engine in with_affinity.engines.values()]
    return [
        Figure(
            "prefill_tokens_computed",
            sum_counter(with_affinity, "prefilled_tokens"),
            "tokens",
            "round robin",
            sum_counter(round_robin, "prefilled_tokens"),
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
    rng = random.Random(fleet.plan.seed)
    for _ in range(200):
        prompt = make_prompt(rng, rng.choice((2_000, 5_000, 8_000)))
        tasks.start_soon(fleet.request, "gulf", "acme", prompt, 200)
        await anyio.sleep(rng.expovariate(8))


def measure_deaths(seed: int) -> list[Figure]:
    """Compare the engines that die out of memory with limits per daemon."""
    shared = run(Plan({"gulf": 2}, seed=seed), load_long_histories)
    plan = Plan({"gulf": 2}, seed=seed, limits_per_daemon=True)
    with (
        patch.object(LeaseLedger, "is_undisputed", lambda *_: True),
        patch.object(LeaseLedger, "observe", lambda *_: None),
    ):
        per_daemon = run(plan, load_long_histories)
    baseline = "limits per daemon"
    died, died_per_daemon = (
        sum_counter(shared, "deaths"),
        sum_counter(per_daemon, "deaths"),
    )
    answered = sum(result.error is None for result in shared.results)
    answered_per_daemon = sum(result.error is None for result in per_daemon.results)
    return [
        Figure("upstream_deaths", died, "deaths", baseline, died_per_daemon, seed),
        Figure(
            "histories_answered",
            answered,
            "requests",
            baseline,
            answered_per_daemon,
            seed,
        ),
    ]


def make_regional_load(rate_per_s: float) -> Load:
    """Return a load with the same rate in each of three regions."""

    async def load(fleet: Fleet, tasks: anyio.abc.TaskGroup) -> None:
        for region in THREE_REGIONS:
            tasks.start_soon(
                send_steadily, fleet, tasks, region, "acme", rate_per_s, (400, 100)
            )

    return load


def find_remote_share(fleet: Fleet) -> float:
    """Return the share of requests that were sent to another region."""
    return sum(result.is_remote for result in fleet.results) / len(fleet.results)


def measure_spill(seed: int) -> list[Figure]:
    """Measure the share sent to another region, balanced and with half a region lost.

    Every region is loaded to 70%. A region that lost half of its engines serves 50% and
    must send the other 20 of 70 to other regions, which is 0.095 of all requests.
    """
    rate = 0.7 * 2 * ENGINE_REQUESTS_PER_S
    balanced = run(
        Plan(dict.fromkeys(THREE_REGIONS, 2), seed=seed), make_regional_load(rate)
    )
    engines = {"gulf": 1, "piedmont": 2, "delta": 2}
    halved = run(Plan(engines, seed=seed), make_regional_load(rate))
    forced = (0.7 - 0.5) / (3 * 0.7)
    halved_p99_s = find_p99_s(halved, "acme")
    return [
        Figure(
            "cross_region_share.balanced",
            find_remote_share(balanced),
            "share",
            seed=seed,
        ),
        Figure(
            "cross_region_share.half_capacity",
            find_remote_share(halved),
            "share",
            "least that capacity forces",
            forced,
            seed,
        ),
        Figure(
            "p99_ttft.half_capacity",
            halved_p99_s,
            "s",
            "balanced",
            find_p99_s(balanced, "acme"),
            seed,
        ),
    ]


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--only", default="", help="One of fairness, prefixes, deaths, spill.")
def main(seed: int, only: str) -> None:
    """Run each selected comparison once."""
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
