"""Floods of memory, poison requests and a cut region with real daemons."""

import itertools

import anyio

from bench.baselines import LIMITS_PER_DAEMON, NO_GUARD, OURS
from bench.deployments import (
    ENGINE_REQUESTS_PER_S,
    ENGINES_PER_REGION,
    OTHERS,
    REQUEST_TOKENS,
    Bench,
)
from bench.results import Figure
from bench.traffic import Sent, find_refused_share

HISTORIES_S = 8.0
# A new keeper grants little while it learns what is held.
NEW_KEEPER_S = 4.0
HISTORIES_PER_S = 8.0
HISTORY_TOKENS = (2_000, 5_000, 8_000)
HISTORY_OUTPUT_TOKENS = 40
POISON_ROUNDS = 2
CUT_LOAD = 0.4
CUT_AFTER_S = 4.0
CUT_S = 15.0
CUT_LENGTH_S = 26.0
# What was borrowed from the other regions has ended by then.
LOANS_ENDED_S = 4.0
POLL_S = 0.1
REJOIN_TIMEOUT_S = 30.0


async def measure_deaths(bench: Bench) -> None:
    """Compare the engines driven out of memory with limits per daemon."""
    await bench.publish()
    died, kept = await _flood_histories(bench)
    await bench.switch(LIMITS_PER_DAEMON)
    await anyio.sleep(NEW_KEEPER_S)
    died_alone, alone = await _flood_histories(bench)
    await bench.switch(OURS)
    await anyio.sleep(NEW_KEEPER_S)
    bench.report(
        Figure(
            "upstream_deaths", died, "deaths", LIMITS_PER_DAEMON, died_alone, bench.seed
        ),
        Figure(
            "histories_answered",
            sum(one.is_whole for one in kept),
            "requests",
            LIMITS_PER_DAEMON,
            sum(one.is_whole for one in alone),
            bench.seed,
        ),
        Figure("histories_sent", len(kept), "requests", seed=bench.seed),
    )


async def _flood_histories(bench: Bench) -> tuple[int, list[Sent]]:
    traffic, sent = bench.traffic, []
    before = traffic.deaths
    end_s = anyio.current_time() + HISTORIES_S
    async with anyio.create_task_group() as tasks:
        while anyio.current_time() < end_s:
            await anyio.sleep(traffic.chance.expovariate(HISTORIES_PER_S))
            prompt = traffic.make_prompt(traffic.chance.choice(HISTORY_TOKENS))
            tasks.start_soon(
                traffic.send,
                OTHERS[0],
                traffic.pick_any(),
                prompt,
                HISTORY_OUTPUT_TOKENS,
                sent,
            )
    # The last death is counted when the watch next looks.
    await anyio.sleep(1)
    return traffic.deaths - before, sent


async def measure_poison(bench: Bench) -> None:
    """Count the engines that a resent poison request kills."""
    killed, bystanders = await _send_poison(bench, "a CRASH")
    await bench.switch(NO_GUARD)
    killed_unguarded, _ = await _send_poison(bench, "another CRASH")
    await bench.switch(OURS)
    bench.report(
        Figure(
            "poison_kills", killed, "deaths", NO_GUARD, killed_unguarded, bench.seed
        ),
        Figure(
            "poison_bystanders_answered",
            sum(one.is_whole for one in bystanders) / len(bystanders),
            "share",
            seed=bench.seed,
        ),
    )


async def _send_poison(bench: Bench, prompt: str) -> tuple[int, list[Sent]]:
    """Resend one request to every daemon, while others chat at each."""
    traffic, before = bench.traffic, bench.traffic.deaths
    poison: list[Sent] = []
    others: list[Sent] = []
    for _, daemon in itertools.product(
        range(POISON_ROUNDS), bench.fleet.daemons.values()
    ):
        await traffic.send("flood", daemon, prompt, 4, poison)
        await traffic.send(OTHERS[0], daemon, traffic.make_prompt(40), 4, others)
    await anyio.sleep(1)
    return traffic.deaths - before, others


async def measure_cut(bench: Bench) -> None:
    """Cut the first region off from all else, and see who is refused and how long."""
    await bench.publish(deadline_ms=5_000)
    region = bench.shape.regions[0]
    sent: list[Sent] = []
    async with anyio.create_task_group() as tasks:
        rate = CUT_LOAD * ENGINES_PER_REGION * ENGINE_REQUESTS_PER_S / 2
        for place in bench.shape.regions:
            for organisation in (OTHERS[0], "central"):
                tasks.start_soon(
                    bench.traffic.send_steadily,
                    tasks,
                    organisation,
                    bench.traffic.pick_in(place),
                    rate,
                    REQUEST_TOKENS,
                    CUT_LENGTH_S,
                    sent,
                )
        await anyio.sleep(CUT_AFTER_S)
        await bench.fleet.isolate(region, with_platform=True)
        cut_s = anyio.current_time()
        await bench.publish(deadline_ms=5_100)
        await anyio.sleep_until(cut_s + CUT_S)
        await bench.fleet.rejoin(region)
        rejoined_s = anyio.current_time()
        known_s = await _wait_rejoined(bench, rejoined_s)
    _report_cut(bench, sent, region, cut_s, rejoined_s)
    bench.report(Figure("cut_rejoin_time", known_s, "s", seed=bench.seed))
    await bench.publish()


def _report_cut(
    bench: Bench, sent: list[Sent], region: str, cut_s: float, rejoined_s: float
) -> None:
    spans = {
        "at_once": (cut_s, cut_s + LOANS_ENDED_S),
        "later": (cut_s + LOANS_ENDED_S, rejoined_s),
        "after": (rejoined_s, float("inf")),
    }
    for name, (start_s, end_s) in spans.items():
        for place, is_here in (("cut_region", True), ("other_regions", False)):
            within = [
                one
                for one in sent
                if start_s <= one.sent_s < end_s and (one.region == region) is is_here
            ]
            divided, central = (
                [one for one in within if (one.organisation == "central") is wanted]
                for wanted in (False, True)
            )
            bench.report(
                Figure(
                    f"cut_refused_share.{place}.{name}",
                    find_refused_share(divided),
                    "share",
                    "whole quota in another region",
                    find_refused_share(central),
                    bench.seed,
                )
            )


async def _wait_rejoined(bench: Bench, since_s: float) -> float:
    """Return how long until all daemons know all others and one configuration."""
    with anyio.move_on_after(REJOIN_TIMEOUT_S):
        while True:
            replies = [
                (
                    await bench.fleet.client.request(
                        "GET", one.operators_address, "/status"
                    )
                ).value
                for one in bench.fleet.daemons.values()
            ]
            versions = {reply["config"]["version"] for reply in replies}
            states = {peer["state"] for reply in replies for peer in reply["peers"]}
            if len(versions) == 1 and states == {"alive"}:
                return anyio.current_time() - since_s
            await anyio.sleep(POLL_S)
    return float("inf")
