"""Compare the decisions of daemon processes with baselines in a deployment's shape.

Nine daemons, six engines, three services and a relay with the delay and bandwidth of
the links. Each comparison runs on one fleet, whose daemons replace one decision by the
baseline. Run: python -m bench.deployed --shape clearsight
"""

import anyio
import click

from bench.deployed_faults import measure_deaths, measure_partition, measure_poison
from bench.deployed_load import (
    measure_fairness,
    measure_prefixes,
    measure_spill,
    measure_weights,
)
from bench.deployed_quota import measure_quota
from bench.deployments import SHAPES, Shape, run_bench

MEASURES = {
    "quota": measure_quota,
    "fairness": measure_fairness,
    "spill": measure_spill,
    "prefixes": measure_prefixes,
    "weights": measure_weights,
    "cut": measure_partition,
    "poison": measure_poison,
    "deaths": measure_deaths,
}


async def run(shape: Shape, seed: int, only: str) -> None:
    """Run each selected comparison on one fleet."""
    async with run_bench(shape, seed) as bench:
        bench.report_load("start")
        for name, measure in MEASURES.items():
            if only in ("", name):
                started_s = anyio.current_time()
                await measure(bench)
                print(
                    f"-- {name}: {anyio.current_time() - started_s:.0f} s", flush=True
                )
        bench.report_load("end")


@click.command()
@click.option("--shape", type=click.Choice(list(SHAPES)), default="clearsight")
@click.option("--seed", default=1, show_default=True)
@click.option("--only", type=click.Choice(["", *MEASURES]), default="")
def main(shape: str, seed: int, only: str) -> None:
    """Run each selected comparison once."""
    anyio.run(run, SHAPES[shape], seed, only)


if __name__ == "__main__":
    main()
