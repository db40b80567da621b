"""Measure memory floods, poison requests and a partition with daemon processes."""

import itertools

import anyio

from bench.baselines import LIMITS_PER_DAEMON, NO_GUARD, OWN_POLICY
from bench.deployments import (
    ENGINE_REQUESTS_PER_S,
    ENGINES_PER_REGION,
    OTHERS,
    REQUEST_TOKENS,
    Bench,
)
from bench.results import Figure
from bench.traffic import SentRequest, find_refused_share

HISTORIES_S = 8.0
# A new keeper grants little while it collects the leases that are held.
KEEPER_LEARNING_S = 4.0
HISTORIES_PER_S = 8.0
HISTORY_TOKENS = (2_000, 5_000, 8_000)
HISTORY_OUTPUT_TOKENS = 40
POISON_ROUNDS = 2
PARTITION_LOAD = 0.4
PARTITION_START_S = 4.0
PARTITION_S = 15.0
PARTITION_TRAFFIC_S = 26.0
# Loans from the other regions have ended by then.
LOANS_ENDED_S = 4.0
POLL_S = 0.1
REJOIN_TIMEOUT_S = 30.0


async def measure_deaths(bench: Bench) -> None:
    """Compare the engines that die out of memory with limits per daemon."""
    await bench.publish()
    shared_deaths, shared = await _flood_histories(bench)
    await bench.switch(LIMITS_PER_DAEMON)
    await anyio.sleep(KEEPER_LEARNING_S)
    per_daemon_deaths, per_daemon = await _flood_histories(bench)
    await bench.switch(OWN_POLICY)
    await anyio.sleep(KEEPER_LEARNING_S)
    bench.report(
        Figure(
            "upstream_deaths",
            shared_deaths,
            "deaths",
            LIMITS_PER_DAEMON,
            per_daemon_deaths,
            bench.seed,
        ),
        Figure(
            "histories_answered",
            sum(request.is_whole for request in shared),
            "requests",
            LIMITS_PER_DAEMON,
            sum(request.is_whole for request in per_daemon),
            bench.seed,
        ),
        Figure("histories_sent", len(shared), "requests", seed=bench.seed),
    )


async def _flood_histories(bench: Bench) -> tuple[int, list[SentRequest]]:
    traffic, sent = bench.traffic, []
    before = traffic.deaths
    end_s = anyio.current_time() + HISTORIES_S
    async with anyio.create_task_group() as tasks:
        while anyio.current_time() < end_s:
            await anyio.sleep(traffic.rng.expovariate(HISTORIES_PER_S))
            prompt = traffic.make_prompt(traffic.rng.choice(HISTORY_TOKENS))
            tasks.start_soon(
                traffic.send,
                OTHERS[0],
                traffic.pick_any(),
                prompt,
                HISTORY_OUTPUT_TOKENS,
                sent,
            )
    # The engine watch counts the last death at its next poll.
    await anyio.sleep(1)
    return traffic.deaths - before, sent


async def measure_poison(bench: Bench) -> None:
    """Count the engines that a repeatedly sent poison request kills."""
    killed, bystanders = await _send_poison(bench, "a CRASH")
    await bench.switch(NO_GUARD)
    killed_unguarded, _ = await _send_poison(bench, "another CRASH")
    await bench.switch(OWN_POLICY)
    bench.report(
        Figure(
            "poison_kills", killed, "deaths", NO_GUARD, killed_unguarded, bench.seed
        ),
        Figure(
            "poison_bystanders_answered",
            sum(request.is_whole for request in bystanders) / len(bystanders),
            "share",
            seed=bench.seed,
        ),
    )


async def _send_poison(bench: Bench, prompt: str) -> tuple[int, list[SentRequest]]:
    """Resend one request to every daemon, with an ordinary request after each."""
    traffic, before = bench.traffic, bench.traffic.deaths
    poison: list[SentRequest] = []
    others: list[SentRequest] = []
    for _, daemon in itertools.product(
        range(POISON_ROUNDS), bench.fleet.daemons.values()
    ):
        await traffic.send("flood", daemon, prompt, 4, poison)
        await traffic.send(OTHERS[0], daemon, traffic.make_prompt(40), 4, others)
    await anyio.sleep(1)
    return traffic.deaths - before, others


async def measure_partition(bench: Bench) -> None:
    """Isolate the first region and measure who is refused, and when."""
    await bench.publish(deadline_ms=5_000)
    region = bench.shape.regions[0]
    sent: list[SentRequest] = []
    async with anyio.create_task_group() as tasks:
        rate = PARTITION_LOAD * ENGINES_PER_REGION * ENGINE_REQUESTS_PER_S / 2
        for caller_region in bench.shape.regions:
            for organisation in (OTHERS[0], "central"):
                tasks.start_soon(
                    bench.traffic.send_steadily,
                    tasks,
                    organisation,
                    bench.traffic.make_region_picker(caller_region),
                    rate,
                    REQUEST_TOKENS,
                    PARTITION_TRAFFIC_S,
                    sent,
                )
        await anyio.sleep(PARTITION_START_S)
        await bench.fleet.isolate(region, with_platform=True)
        partitioned_s = anyio.current_time()
        await bench.publish(deadline_ms=5_100)
        await anyio.sleep_until(partitioned_s + PARTITION_S)
        await bench.fleet.rejoin(region)
        rejoined_s = anyio.current_time()
        rejoin_s = await _measure_rejoin_s(bench, rejoined_s)
    _report_partition(bench, sent, region, partitioned_s, rejoined_s)
    bench.report(Figure("cut_rejoin_time", rejoin_s, "s", seed=bench.seed))
    await bench.publish()


def _report_partition(
    bench: Bench,
    sent: list[SentRequest],
    region: str,
    partitioned_s: float,
    rejoined_s: float,
) -> None:
    spans = {
        "at_once": (partitioned_s, partitioned_s + LOANS_ENDED_S),
        "later": (partitioned_s + LOANS_ENDED_S, rejoined_s),
        "after": (rejoined_s, float("inf")),
    }
    for name, (start_s, end_s) in spans.items():
        for group, is_inside in (("cut_region", True), ("other_regions", False)):
            within = [
                request
                for request in sent
                if start_s <= request.sent_s < end_s
                and (request.region == region) is is_inside
            ]
            divided, central = (
                [
                    request
                    for request in within
                    if (request.organisation == "central") is wanted
                ]
                for wanted in (False, True)
            )
            bench.report(
                Figure(
                    f"cut_refused_share.{group}.{name}",
                    find_refused_share(divided),
                    "share",
                    "whole quota in another region",
                    find_refused_share(central),
                    bench.seed,
                )
            )


async def _measure_rejoin_s(bench: Bench, since_s: float) -> float:
    """Return the time until all daemons see all peers alive and one configuration."""
    with anyio.move_on_after(REJOIN_TIMEOUT_S):
        while True:
            replies = [
                (
                    await bench.fleet.client.request(
                        "GET", daemon.operators_address, "/status"
                    )
                ).value
                for daemon in bench.fleet.daemons.values()
            ]
            versions = {reply["config"]["version"] for reply in replies}
            states = {peer["state"] for reply in replies for peer in reply["peers"]}
            if len(versions) == 1 and states == {"alive"}:
                return anyio.current_time() - since_s
            await anyio.sleep(POLL_S)
    return float("inf")
