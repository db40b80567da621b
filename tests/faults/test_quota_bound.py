"""Guards against an organisation that gets more than its rate and burst.

One region borrows the quota of the others; then lenders and borrower are killed,
suspended or partitioned while the loans are in force. The tokens that the engines ran
are compared with the bound.
"""

import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from banyanseam.config.compile import compile_config
from banyanseam.quota.parts import HomeAssignment
from standins.fleet import Fleet, FleetPlan, OrganisationPlan, start_fleet
from standins.fleet_plan import make_base
from tests.faults.checks import check_quota
from tests.faults.records import Records
from tests.faults.scenario import (
    LIMITED_BURST_TOKENS,
    LIMITED_RATE_TOKENS_PER_S,
    Traffic,
    collect_runs,
)

CALLERS_PER_REGION = 6
PAUSE_S = 0.02
PUBLISH_S = 5
BORROW_S = 4
# This number of answers uses up the burst.
BURST_ANSWERS = 40
# Longer than a loan's term and than the longest tolerated suspension of a process.
FAULT_S = 8
SETTLE_S = 3
DEADLINE_MS = 3000

InjectFault = Callable[[Fleet, list[str]], Awaitable[None]]


async def kill(fleet: Fleet, homes: list[str]) -> None:
    """Kill and restart the borrower's and the lenders' processes, twice."""
    for _ in range(2):
        async with anyio.create_task_group() as tasks:
            for home in homes:
                tasks.start_soon(fleet.restart, home)


async def freeze(fleet: Fleet, homes: list[str]) -> None:
    """Suspend lenders and borrower for longer than the term of the loans."""
    for home in homes:
        fleet.suspend(home)
    await anyio.sleep(FAULT_S)
    for home in homes:
        fleet.resume(home)


async def cut(fleet: Fleet, homes: list[str]) -> None:
    """Partition the borrower's region from the lenders."""
    await fleet.isolate("gulf")
    await anyio.sleep(FAULT_S)
    await fleet.rejoin("gulf")


async def cut_and_kill(fleet: Fleet, homes: list[str]) -> None:
    """Partition the borrower's region from everything and restart the borrower."""
    await fleet.isolate("gulf", with_platform=True)
    await anyio.sleep(1)
    fleet.kill(homes[0])
    await anyio.sleep(FAULT_S)
    await fleet.rejoin("gulf")
    await fleet.restart(homes[0])


FAULTS: tuple[InjectFault, ...] = (kill, freeze, cut, cut_and_kill)


def remove_organisations(base: dict[str, Any], _: dict[str, Any]) -> None:
    """Remove the organisations: one that is published later has a full burst."""
    base["organisations"] = {}
    base["routes"]["chat"]["deadline_ms"] = DEADLINE_MS


PLAN = FleetPlan(
    seats=2,
    services=0,
    delay_ms=5,
    organisations={
        fault.__name__: OrganisationPlan(
            LIMITED_RATE_TOKENS_PER_S, LIMITED_BURST_TOKENS
        )
        for fault in FAULTS
    },
    engine_options={"stream_tokens_per_s": 1000, "memory_tokens": 1_000_000},
    edit_documents=remove_organisations,
)


class QuotaTests(unittest.TestCase):
    def test_a_flood_during_kills_suspensions_and_partitions_stays_within_the_bound(
        self,
    ):
        async def scenario():
            async with start_fleet(PLAN) as fleet:
                for fault in FAULTS:
                    with self.subTest(fault.__name__):
                        records = await flood_during(fleet, fault)
                        self.assertEqual(check_quota(records), [])
                        whole = sum(attempt.is_whole for attempt in records.attempts)
                        self.assertGreater(whole, BURST_ANSWERS)

        anyio.run(scenario)


async def flood_during(fleet: Fleet, fault: InjectFault) -> Records:
    """Exceed a new organisation's quota during a fault; return the records.

    The fault spares the entries, so that no request starts late.
    """
    name = fault.__name__
    entries = await publish_organisation(fleet, name)
    homes = [first for first, _ in entries.values()]
    records = Records()
    traffic = Traffic(fleet, records, seed=FAULTS.index(fault))
    traffic.callers["limited"] = traffic.callers[name]
    async with anyio.create_task_group() as tasks:
        # Gulf uses up the burst and borrows from the other regions, which need their
        # parts back only when the fault begins.
        for region, (_, entry) in entries.items():
            for _ in range(CALLERS_PER_REGION):
                tasks.start_soon(flood, traffic, entry)
            if region == "gulf":
                await anyio.sleep(BORROW_S)
        await fault(fleet, homes)
        await anyio.sleep(SETTLE_S)
        traffic.stopping = True
    await collect_runs(fleet, records)
    return records


async def publish_organisation(fleet: Fleet, name: str) -> dict[str, list[str]]:
    """Publish one organisation; return each region's home and its entry."""
    plan = FleetPlan(organisations={name: PLAN.organisations[name]})
    documents = make_base(plan, fleet.keys)["organisations"]
    fleet.base["organisations"] |= documents
    await fleet.publish()
    await anyio.sleep(PUBLISH_S)
    config = compile_config(1, fleet.base, fleet.overlays)
    return {
        region: HomeAssignment().rank_homes(config, name, region)
        for region in fleet.plan.regions
    }


async def flood(traffic: Traffic, entry: str) -> None:
    """Send requests in a loop, at more than the rate."""
    while not traffic.stopping:
        await traffic.chat_limited(traffic.fleet.daemons[entry])
        await anyio.sleep(PAUSE_S)
