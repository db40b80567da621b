"""Describe the shapes of both deployments and run the bench of one."""

import os
import random
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from typing import Any

import anyio

from bench.baselines import OWN_POLICY
from bench.daemon import find_policy_path
from bench.results import Figure, append
from bench.traffic import Traffic
from standins.fleet import Fleet, FleetPlan, OrganisationPlan, start_fleet

ONE_WAY_MS = 55
# A process withholds its quota parts for 10.1 s after its start.
WITHHELD_S = 10.5
# The daemons read the policy file ten times a second.
SWITCH_WAIT_S = 0.5
PUBLISH_WAIT_S = 2.0
ENGINES_PER_REGION = 2
PREFILL_TOKENS_PER_S = 4000
DECODE_TOKENS_PER_S = 100
MEMORY_TOKENS = 20_000
# Small engines, so that one machine can generate enough load to saturate them.
ENGINE = {
    "decode_tokens_per_s": DECODE_TOKENS_PER_S,
    "prefill_tokens_per_s": PREFILL_TOKENS_PER_S,
    "memory_tokens": MEMORY_TOKENS,
    "cache_tokens": 40_000,
    "max_in_flight": 64,
    "max_batch": 64,
}
REQUEST_TOKENS = (400, 20)
# The rate of such requests that one engine can serve.
ENGINE_REQUESTS_PER_S = 1 / (
    REQUEST_TOKENS[0] / PREFILL_TOKENS_PER_S + REQUEST_TOKENS[1] / DECODE_TOKENS_PER_S
)
RATE_TOKENS_PER_S = 1500
BURST_TOKENS = 15_000
LIMITED = ("one_vm", "offset_peaks", "kills")
OTHERS = ("clinic-a", "clinic-b", "clinic-c", "clinic-d")


@dataclass(frozen=True, slots=True)
class Shape:
    """The regions and link bandwidth of one deployment."""

    name: str
    regions: tuple[str, str, str]
    link_bytes_per_s: int


SHAPES = {
    shape.name: shape
    for shape in (
        Shape("clearsight", ("gulf", "piedmont", "delta"), 70_000_000 // 8),
        Shape("thatch", ("kingston", "montego", "mandeville"), 1_000_000_000 // 8),
    )
}


def make_plan(shape: Shape) -> FleetPlan:
    """Return nine daemons, six engines and three services in three regions."""

    def edit_documents(base: dict[str, Any], overlays: dict[str, Any]) -> None:
        policy = {"link_bytes_per_s": shape.link_bytes_per_s}
        base.setdefault("site", {})["policy"] = policy

    limited = dict.fromkeys(
        LIMITED, OrganisationPlan(RATE_TOKENS_PER_S, BURST_TOKENS)
    ) | {"static_split": OrganisationPlan(RATE_TOKENS_PER_S, BURST_TOKENS)}
    # All of its quota is assigned to the second region.
    central = OrganisationPlan(
        extra_settings={"regional_parts": {shape.regions[1]: 1.0}}
    )
    return FleetPlan(
        regions=shape.regions,
        seats=3,
        engines=ENGINES_PER_REGION,
        services=1,
        organisations={
            **limited,
            "greedy": OrganisationPlan(RATE_TOKENS_PER_S / 3, BURST_TOKENS // 3),
            "central": central,
            "flood": OrganisationPlan(),
            **{name: OrganisationPlan() for name in OTHERS},
        },
        engine_options=ENGINE,
        delay_ms=ONE_WAY_MS,
        link_bytes_per_s=shape.link_bytes_per_s,
        edit_documents=edit_documents,
        daemon_module="bench.daemon",
    )


@dataclass(slots=True)
class Bench:
    """One running fleet, its traffic, and the seed of the run."""

    shape: Shape
    seed: int
    fleet: Fleet
    traffic: Traffic

    async def switch(self, policy: str) -> None:
        """Put a baseline or the daemons' own policy in force at every daemon."""
        path = find_policy_path(self.fleet.daemons[self.first_seat].settings_path)
        path.write_text(policy)
        await anyio.sleep(SWITCH_WAIT_S)

    async def publish(
        self,
        *,
        deadline_ms: int = 30_000,
        queue_patience_ms: int = 20_000,
        **policy: Any,
    ) -> None:
        """Publish the deadline of the chat route and the weights of the policy."""
        base = self.fleet.base
        base["routes"]["chat"]["deadline_ms"] = deadline_ms
        base["site"]["policy"] = {
            "link_bytes_per_s": self.shape.link_bytes_per_s,
            "queue_patience_ms": queue_patience_ms,
            **policy,
        }
        await self.fleet.publish()
        await anyio.sleep(PUBLISH_WAIT_S)

    @property
    def first_seat(self) -> str:
        """Return the first seat of the first region."""
        return f"{self.shape.regions[0]}-1"

    def report(self, *figures: Figure) -> None:
        """Append figures under this deployment's name."""
        append(
            {**figure.describe(), "name": f"{figure.name}.{self.shape.name}"}
            for figure in figures
        )

    def report_load(self, when: str) -> None:
        """Append the load average of the last minute."""
        load_average = os.getloadavg()[0]
        self.report(
            Figure(f"load_average.{when}", load_average, "processes", seed=self.seed)
        )


@asynccontextmanager
async def run_bench(shape: Shape, seed: int) -> AsyncIterator[Bench]:
    """Start the fleet of a shape and wait until its quota can be spent."""
    async with start_fleet(make_plan(shape)) as fleet, AsyncExitStack() as stack:
        traffic = Traffic(fleet, random.Random(seed))
        bench = Bench(shape, seed, fleet, traffic)
        await traffic.open(stack)
        find_policy_path(fleet.daemons[bench.first_seat].settings_path).write_text(
            OWN_POLICY
        )
        await anyio.sleep(WITHHELD_S)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(traffic.watch_engines)
            yield bench
            tasks.cancel_scope.cancel()
