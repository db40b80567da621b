"""Random faults on real daemons; the long form is `make soak SEED=...`."""

import random
import sys
from collections.abc import Awaitable, Callable

import anyio
import click

from standins.fleet import Fleet, start_fleet
from tests.faults.checks import judge
from tests.faults.records import Fault, Records
from tests.faults.scenario import REGIONS, Traffic, collect_runs, make_plan

Step = Callable[["Driver"], Awaitable[None]]


class Driver:
    """Causes one fault after another, each undone by itself."""

    def __init__(
        self, fleet: Fleet, traffic: Traffic, records: Records, seed: int
    ) -> None:
        """Draw all choices from one seed."""
        self.fleet = fleet
        self.traffic = traffic
        self.records = records
        self.rng = random.Random(seed)
        self.busy: set[str] = set()

    def begin(self, kind: str, target: str) -> Fault:
        """Note that a fault starts now."""
        fault = Fault(kind, target, anyio.current_time())
        self.records.faults.append(fault)
        return fault

    def pick_seat(self) -> str | None:
        """Return a seat without a fault, unless too many have one."""
        free = [seat for seat in self.fleet.daemons if seat not in self.busy]
        if len(free) <= len(self.fleet.daemons) // 2:
            return None
        return self.rng.choice(free)

    async def kill(self) -> None:
        """Lose a VM and replace it."""
        seat = self.pick_seat()
        if seat is None:
            return
        self.busy.add(seat)
        fault = self.begin("kill", seat)
        self.fleet.kill(seat)
        await anyio.sleep(self.rng.uniform(0.2, 3))
        await self.fleet.restart(seat)
        fault.end_s = anyio.current_time() + 1
        self.busy.discard(seat)

    async def suspend(self) -> None:
        """Pause a process and let it wake up late."""
        seat = self.pick_seat()
        if seat is None:
            return
        self.busy.add(seat)
        fault = self.begin("freeze", seat)
        self.fleet.suspend(seat)
        await anyio.sleep(self.rng.uniform(0.5, 8))
        self.fleet.resume(seat)
        await anyio.sleep(1)
        fault.end_s = anyio.current_time()
        self.busy.discard(seat)

    async def stop(self) -> None:
        """Stop a daemon as planned and start its successor."""
        seat = self.pick_seat()
        if seat is None:
            return
        self.busy.add(seat)
        fault = self.begin("stop", seat)
        # Callers hear of it from the entries within their validity.
        self.traffic.avoided.add(seat)
        self.records.exit_codes[seat] = await self.fleet.stop(seat)
        fault.end_s = anyio.current_time()
        await self.fleet.restart(seat)
        self.traffic.avoided.discard(seat)
        self.busy.discard(seat)

    async def cut(self) -> None:
        """Cut a region off from the others."""
        if "cut" in self.busy:
            return
        self.busy.add("cut")
        region = self.rng.choice(REGIONS)
        fault = self.begin("cut", region)
        await self.fleet.isolate(region, with_platform=self.rng.random() < 0.5)
        await anyio.sleep(self.rng.uniform(3, 16))
        await self.fleet.rejoin(region)
        fault.end_s = anyio.current_time()
        self.busy.discard("cut")

    async def service(self) -> None:
        """Let the configuration service fail or go stale."""
        fault = self.begin("service", "config")
        kind = self.rng.choice(["down", "stale"])
        await self.fleet.set_config_faults(**{kind: True})
        await anyio.sleep(self.rng.uniform(1, 6))
        await self.fleet.set_config_faults(down=False, stale=False)
        fault.end_s = anyio.current_time() + 2

    async def change_rate(self) -> None:
        """Publish another weight for an organisation: a version without effect."""
        weight = round(self.rng.uniform(0.5, 2), 3)
        self.fleet.base["organisations"]["acme"]["weight"] = weight
        await self.fleet.publish()

    async def withdraw(self) -> None:
        """Withdraw a key, once."""
        if self.records.withdrawn_s is not None:
            return
        self.fleet.base["organisations"]["withdrawn"]["keys"] = []
        await self.fleet.publish()
        self.records.withdrawn_s = anyio.current_time()

    async def leave(self) -> None:
        """Mark an engine as leaving, once."""
        if self.records.left_s:
            return
        name = f"{self.rng.choice(REGIONS)}-engine-2"
        region = self.fleet.upstream_regions[name]
        self.fleet.overlays[region]["upstreams"][name]["leaving"] = True
        await self.fleet.publish()
        self.records.left_s[name] = anyio.current_time()


STEPS: tuple[Step, ...] = (
    Driver.kill,
    Driver.suspend,
    Driver.stop,
    Driver.cut,
    Driver.service,
    Driver.change_rate,
    Driver.withdraw,
    Driver.leave,
)


async def run_soak(
    seed: int, steps: int, seats: int, sequence: tuple[Step, ...] = ()
) -> Records:
    """Run faults drawn from the seed, or a given sequence, and return the records."""
    records = Records()
    async with start_fleet(make_plan(seats)) as fleet:
        traffic = Traffic(fleet, records, seed)
        driver = Driver(fleet, traffic, records, seed)
        drawn = sequence or tuple(driver.rng.choices(STEPS, k=steps))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(traffic.run)
            async with anyio.create_task_group() as faults:
                for step in drawn:
                    faults.start_soon(step, driver)
                    await anyio.sleep(driver.rng.uniform(0.3, 2))
            await anyio.sleep(2)
            traffic.stopping = True
        await collect_runs(fleet, records)
    return records


def summarize(records: Records) -> str:
    """Return how many requests of each purpose ended how."""
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
    """Run random faults and judge the promises; exit 1 when one broke."""
    click.echo(f"seed {seed}, {steps} faults")
    records = anyio.run(run_soak, seed, steps, seats)
    click.echo(summarize(records))
    broken = judge(records)
    for name, faults in broken.items():
        click.echo(f"{name}: {len(faults)}: {'; '.join(faults[:5])}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
