"""Decisions of real daemons in the shape of a deployment, against baselines.

Nine daemons, six engines, three services and a relay with the links' delay and
bandwidth. Each comparison is made on one running fleet, whose daemons put the
baseline in place of one decision. Run: python -m bench.deployed --shape clearsight
"""

import anyio
import click

from bench.deployed_faults import measure_cut, measure_deaths, measure_poison
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
    "cut": measure_cut,
    "poison": measure_poison,
    "deaths": measure_deaths,
}


async def run(shape: Shape, seed: int, only: str) -> None:
    """Take the figures on one fleet."""
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
    """Take every figure once."""
    anyio.run(run, SHAPES[shape], seed, only)


if __name__ == "__main__":
    main()
