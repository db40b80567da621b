"""Random faults on a fleet of real daemons; `make soak SEED=...` runs it longer."""

import random
import sys
from collections.abc import Awaitable, Callable

import anyio
import click

from standins.fleet import Fleet, start_fleet
from tests.faults.checks import find_violations
from tests.faults.records import Fault, Records
from tests.faults.scenario import REGIONS, Traffic, collect_runs, make_plan

Step = Callable[["FaultInjector"], Awaitable[None]]


class FaultInjector:
    """Injects faults into a fleet, records them and undoes each one."""

    def __init__(
        self, fleet: Fleet, traffic: Traffic, records: Records, seed: int
    ) -> None:
        """Draw all random choices from one seed."""
        self.fleet = fleet
        self.traffic = traffic
        self.records = records
        self.rng = random.Random(seed)
        self.faulty: set[str] = set()

    def record_fault(self, kind: str, target: str) -> Fault:
        """Record that a fault starts now."""
        fault = Fault(kind, target, anyio.current_time())
        self.records.faults.append(fault)
        return fault

    def pick_seat(self) -> str | None:
        """Return a seat without a fault, or None when half of the seats have one."""
        healthy = [seat for seat in self.fleet.daemons if seat not in self.faulty]
        if len(healthy) <= len(self.fleet.daemons) // 2:
            return None
        return self.rng.choice(healthy)

    async def kill(self) -> None:
        """Kill a daemon and start its replacement."""
        seat = self.pick_seat()
        if seat is None:
            return
        self.faulty.add(seat)
        fault = self.record_fault("kill", seat)
        self.fleet.kill(seat)
        await anyio.sleep(self.rng.uniform(0.2, 3))
        await self.fleet.restart(seat)
        fault.end_s = anyio.current_time() + 1
        self.faulty.discard(seat)

    async def suspend(self) -> None:
        """Suspend a process and resume it late."""
        seat = self.pick_seat()
        if seat is None:
            return
        self.faulty.add(seat)
        fault = self.record_fault("freeze", seat)
        self.fleet.suspend(seat)
        await anyio.sleep(self.rng.uniform(0.5, 8))
        self.fleet.resume(seat)
        await anyio.sleep(1)
        fault.end_s = anyio.current_time()
        self.faulty.discard(seat)

    async def stop(self) -> None:
        """Stop a daemon as planned and start its replacement."""
        seat = self.pick_seat()
        if seat is None:
            return
        self.faulty.add(seat)
        fault = self.record_fault("stop", seat)
        # Real callers learn this from the list of entries, within its validity.
        self.traffic.leaving_seats.add(seat)
        self.records.exit_codes[seat] = await self.fleet.stop(seat)
        fault.end_s = anyio.current_time()
        await self.fleet.restart(seat)
        self.traffic.leaving_seats.discard(seat)
        self.faulty.discard(seat)

    async def partition(self) -> None:
        """Partition a region from the others."""
        if "cut" in self.faulty:
            return
        self.faulty.add("cut")
        region = self.rng.choice(REGIONS)
        fault = self.record_fault("cut", region)
        await self.fleet.isolate(region, with_platform=self.rng.random() < 0.5)
        await anyio.sleep(self.rng.uniform(3, 16))
        await self.fleet.rejoin(region)
        fault.end_s = anyio.current_time()
        self.faulty.discard("cut")

    async def disrupt_config_service(self) -> None:
        """Make the configuration service fail or return stale values."""
        fault = self.record_fault("service", "config")
        kind = self.rng.choice(["down", "stale"])
        await self.fleet.set_config_faults(**{kind: True})
        await anyio.sleep(self.rng.uniform(1, 6))
        await self.fleet.set_config_faults(down=False, stale=False)
        fault.end_s = anyio.current_time() + 2

    async def change_weight(self) -> None:
        """Publish another weight of an organisation: a version without other effect."""
        weight = round(self.rng.uniform(0.5, 2), 3)
        self.fleet.base["organisations"]["acme"]["weight"] = weight
        await self.fleet.publish()

    async def withdraw_key(self) -> None:
        """Withdraw a key; only the first call does so."""
        if self.records.key_withdrawn_s is not None:
            return
        self.fleet.base["organisations"]["withdrawn"]["keys"] = []
        await self.fleet.publish()
        self.records.key_withdrawn_s = anyio.current_time()

    async def mark_engine_leaving(self) -> None:
        """Mark an engine as leaving; only the first call does so."""
        if self.records.leaving_since_s:
            return
        name = f"{self.rng.choice(REGIONS)}-engine-2"
        region = self.fleet.upstream_regions[name]
        self.fleet.overlays[region]["upstreams"][name]["leaving"] = True
        await self.fleet.publish()
        self.records.leaving_since_s[name] = anyio.current_time()


STEPS: tuple[Step, ...] = (
    FaultInjector.kill,
    FaultInjector.suspend,
    FaultInjector.stop,
    FaultInjector.partition,
    FaultInjector.disrupt_config_service,
    FaultInjector.change_weight,
    FaultInjector.withdraw_key,
    FaultInjector.mark_engine_leaving,
)


async def run_soak(
    seed: int, steps: int, seats: int, sequence: tuple[Step, ...] = ()
) -> Records:
    """Inject faults drawn from the seed, or a given sequence; return the records."""
    records = Records()
    async with start_fleet(make_plan(seats)) as fleet:
        traffic = Traffic(fleet, records, seed)
        injector = FaultInjector(fleet, traffic, records, seed)
        drawn = sequence or tuple(injector.rng.choices(STEPS, k=steps))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(traffic.run)
            async with anyio.create_task_group() as faults:
                for step in drawn:
                    faults.start_soon(step, injector)
                    await anyio.sleep(injector.rng.uniform(0.3, 2))
            await anyio.sleep(2)
            traffic.stopping = True
        await collect_runs(fleet, records)
    return records


def summarize(records: Records) -> str:
    """Return the number of requests of each purpose and outcome."""
    counts: dict[str, int] = {}
    for attempt in records.attempts:
        outcome = attempt.code or ("broken" if attempt.is_broken else attempt.status)
        name = f"{attempt.purpose}:{outcome}"
        counts[name] = counts.get(name, 0) + 1
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))


@click.command()
@click.option("--seed", default=1)
@click.option("--steps", default=40)
@click.option("--seats", default=3)
def main(seed: int, steps: int, seats: int) -> None:
    """Inject random faults and check the promises; exit with 1 if one was broken."""
    click.echo(f"seed {seed}, {steps} faults")
    records = anyio.run(run_soak, seed, steps, seats)
    click.echo(summarize(records))
    violations = find_violations(records)
    for name, texts in violations.items():
        click.echo(f"{name}: {len(texts)}: {'; '.join(texts[:5])}")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
