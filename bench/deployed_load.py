"""Measure fairness, spillover, prefixes and weights with loaded daemon processes."""

import statistics
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from bench.baselines import FIFO, OWN_POLICY, ROUND_ROBIN
from bench.deployments import (
    ENGINE_REQUESTS_PER_S,
    ENGINES_PER_REGION,
    OTHERS,
    REQUEST_TOKENS,
    Bench,
)
from bench.results import Figure
from bench.traffic import (
    EngineRun,
    SentRequest,
    find_p99_s,
    find_refused_share,
    find_worst_p99_s,
)

FLOOD_S = 20.0
FLOOD_FACTOR = 10
OVERLOAD = 1.5
SPILL_S = 15.0
REGION_LOAD = 0.7
# Three unanswered polls, and some time for the rows to propagate.
LOSS_DETECTION_S = 4.0
SESSIONS = 60
TURNS = 8
TURN_TOKENS = 150
SESSION_OUTPUT_TOKENS = 5
WEIGHTS_LOAD = 1.1
WEIGHTS = {
    "clearsight": {
        "remote_margin_ms": 50,
        "remote_share_cap": 0.5,
        "queue_patience_ms": 5_000,
        "retry_budget_share": 0.2,
    },
    "thatch": {
        "remote_margin_ms": 1_000,
        "remote_share_cap": 0.2,
        "queue_patience_ms": 25_000,
        "retry_budget_share": 0.05,
    },
}


async def measure_fairness(bench: Bench) -> None:
    """Compare the worst p99 beside a flood with first-in first-out."""
    await bench.publish()
    fair = await _send_flood(bench)
    await bench.switch(FIFO)
    fifo = await _send_flood(bench)
    await bench.switch(OWN_POLICY)
    p99s_s = [find_worst_p99_s(fair, [name]) for name in (*OTHERS, "flood")]
    worst = max(p99s_s[:-1])
    others = [request for request in fair if request.organisation != "flood"]
    bench.report(
        Figure(
            "worst_organisation_p99_ttft",
            worst,
            "s",
            FIFO,
            find_worst_p99_s(fifo, OTHERS),
            bench.seed,
        ),
        Figure(
            "worst_organisation_p99_ttft_over_median",
            worst,
            "s",
            "median organisation",
            statistics.median(p99s_s),
            bench.seed,
        ),
        Figure(
            "refused_share_beside_flood",
            find_refused_share(others),
            "share",
            FIFO,
            find_refused_share(
                request for request in fifo if request.organisation != "flood"
            ),
            bench.seed,
        ),
    )


async def _send_flood(bench: Bench, load: float = OVERLOAD) -> list[SentRequest]:
    """Send ten times as much from one organisation as from each other, everywhere."""
    sent: list[SentRequest] = []
    total_rate = load * 3 * ENGINES_PER_REGION * ENGINE_REQUESTS_PER_S
    base_rate = total_rate / (FLOOD_FACTOR + len(OTHERS))
    async with anyio.create_task_group() as tasks:
        for name in ("flood", *OTHERS):
            rate = base_rate * (FLOOD_FACTOR if name == "flood" else 1)
            tasks.start_soon(
                bench.traffic.send_steadily,
                tasks,
                name,
                bench.traffic.pick_any,
                rate,
                REQUEST_TOKENS,
                FLOOD_S,
                sent,
            )
    return sent


async def measure_spill(bench: Bench) -> None:
    """Measure the cross-region share, balanced and with half a region lost."""
    await bench.publish()
    balanced = await _send_evenly(bench, REGION_LOAD)
    balanced_share = await _find_remote_share(bench, balanced)
    async with _half_capacity(bench):
        halved = await _send_evenly(bench, REGION_LOAD)
        halved_share = await _find_remote_share(bench, halved)
    arrived = sum(request.region == bench.shape.regions[0] for request in halved)
    # The remaining engine can serve this many of the requests; both counts are random.
    forced = max(0.0, arrived - ENGINE_REQUESTS_PER_S * SPILL_S) / len(halved)
    bench.report(
        Figure("cross_region_share.balanced", balanced_share, "share", seed=bench.seed),
        Figure(
            "cross_region_share.half_capacity",
            halved_share,
            "share",
            "least that capacity forces",
            forced,
            bench.seed,
        ),
        Figure(
            "p99_ttft.half_capacity",
            find_p99_s(halved),
            "s",
            "balanced",
            find_p99_s(balanced),
            bench.seed,
        ),
        Figure(
            "refused_share.half_capacity",
            find_refused_share(halved),
            "share",
            "balanced",
            find_refused_share(balanced),
            bench.seed,
        ),
    )


@asynccontextmanager
async def _half_capacity(bench: Bench) -> AsyncIterator[None]:
    """Keep one of the first region's two engines down."""
    name = f"{bench.shape.regions[0]}-engine-2"
    bench.traffic.kept_down.add(name)
    bench.fleet.upstreams[name].child.popen.kill()
    await anyio.sleep(LOSS_DETECTION_S)
    yield
    bench.traffic.kept_down.discard(name)
    await anyio.sleep(LOSS_DETECTION_S)


async def _send_evenly(bench: Bench, load: float) -> list[SentRequest]:
    """Send the same load to each region, as a fraction of its engines' capacity."""
    sent: list[SentRequest] = []
    rate = load * ENGINES_PER_REGION * ENGINE_REQUESTS_PER_S
    async with anyio.create_task_group() as tasks:
        for region in bench.shape.regions:
            tasks.start_soon(
                bench.traffic.send_steadily,
                tasks,
                OTHERS[0],
                bench.traffic.make_region_picker(region),
                rate,
                REQUEST_TOKENS,
                SPILL_S,
                sent,
            )
    return sent


async def _find_remote_share(bench: Bench, sent: list[SentRequest]) -> float:
    """Return the share of runs outside the region of their caller."""
    caller_regions = {request.prompt_sha256: request.region for request in sent}
    regions = bench.fleet.upstream_regions
    runs = await bench.traffic.collect_runs(sent)
    remote = [
        run for run in runs if regions[run.engine] != caller_regions[run.prompt_sha256]
    ]
    return len(remote) / max(1, len(runs))


async def measure_prefixes(bench: Bench) -> None:
    """Compare the prompt tokens that engines prefill for sessions with round robin."""
    await bench.publish()
    with_affinity = await _run_sessions(bench)
    await bench.switch(ROUND_ROBIN)
    round_robin = await _run_sessions(bench)
    await bench.switch(OWN_POLICY)
    runs = await bench.traffic.collect_runs(with_affinity)
    loads = Counter()
    prompts = {
        request.prompt_sha256: request.prompt_tokens for request in with_affinity
    }
    for run in runs:
        loads[run.engine] += prompts[run.prompt_sha256] + run.generated_tokens
    mean = sum(loads.values()) / (3 * ENGINES_PER_REGION)
    round_robin_runs = await bench.traffic.collect_runs(round_robin)
    bench.report(
        Figure(
            "prefill_tokens_computed",
            count_prefilled(with_affinity, runs),
            "tokens",
            ROUND_ROBIN,
            count_prefilled(round_robin, round_robin_runs),
            bench.seed,
        ),
        Figure(
            "replica_load_max",
            max(loads.values()),
            "tokens",
            "mean replica",
            mean,
            bench.seed,
        ),
        Figure(
            "p99_ttft.sessions",
            find_p99_s(with_affinity),
            "s",
            ROUND_ROBIN,
            find_p99_s(round_robin),
            bench.seed,
        ),
    )


def count_prefilled(sent: list[SentRequest], runs: list[EngineRun]) -> int:
    """Return the prompt tokens that engines prefilled."""
    prompts = {request.prompt_sha256: request.prompt_tokens for request in sent}
    return sum(prompts[run.prompt_sha256] - run.cached_tokens for run in runs)


async def _run_sessions(bench: Bench) -> list[SentRequest]:
    """Run sessions that send their growing history as the prompt of each turn."""
    sent: list[SentRequest] = []
    async with anyio.create_task_group() as tasks:
        for number in range(SESSIONS):
            tasks.start_soon(_run_session, bench, number, sent)
    return sent


async def _run_session(bench: Bench, number: int, sent: list[SentRequest]) -> None:
    traffic, rng = bench.traffic, bench.traffic.rng
    pick = traffic.make_region_picker(bench.shape.regions[number % 3])
    organisation = OTHERS[number % len(OTHERS)]
    history = traffic.make_prompt(rng.randint(200, 800))
    await anyio.sleep(rng.uniform(0, 6))
    for _ in range(TURNS):
        await traffic.send(
            organisation, pick(0.0), history, SESSION_OUTPUT_TOKENS, sent
        )
        history += traffic.make_prompt(TURN_TOKENS)
        await anyio.sleep(rng.uniform(0.5, 3))


async def measure_weights(bench: Bench) -> None:
    """Run one load under both deployments' weights, with a region at half capacity."""
    measured = {}
    async with _half_capacity(bench):
        for name, policy in WEIGHTS.items():
            await bench.publish(deadline_ms=40_000, **policy)
            measured[name] = await _measure_flood(bench)
    await bench.publish()
    first, second = (measured[name] for name in WEIGHTS)
    bench.report(
        *(
            Figure(
                f"weights.{name}",
                first[name][0],
                unit,
                "weights of thatch",
                second[name][0],
                bench.seed,
            )
            for name, (_, unit) in first.items()
        )
    )


async def _measure_flood(bench: Bench) -> dict[str, tuple[float, str]]:
    """Run the load and return each measure with its unit."""
    before_bytes = await _read_carried_bytes(bench)
    sent = await _send_flood(bench, WEIGHTS_LOAD)
    carried_bytes = await _read_carried_bytes(bench) - before_bytes
    answered = [request for request in sent if request.is_whole]
    others = [request for request in sent if request.organisation != "flood"]
    return {
        "p99_ttft": (find_p99_s(answered), "s, of answered"),
        "worst_organisation_p99_ttft": (
            find_worst_p99_s(
                (request for request in answered if request in others), OTHERS
            ),
            "s, of answered",
        ),
        "refused_share": (find_refused_share(sent), "share"),
        "refused_share_others": (find_refused_share(others), "share"),
        "cross_region_share": (await _find_remote_share(bench, sent), "share"),
        "link_bytes_per_answer": (
            carried_bytes / max(1, len(answered)),
            "B, control included",
        ),
    }


async def _read_carried_bytes(bench: Bench) -> int:
    reply = await bench.fleet.client.request("GET", bench.fleet.relay.address, "/")
    links = reply.value["links"].items()
    return sum(link["carried_bytes"] for name, link in links if "platform" not in name)
