"""Run all measurements of decisions under load and faults: `make bench-policy`.

Daemon processes run in the shapes of both deployments. Benches in memory run beside
them, as the load of other processes does not affect the mock clock. Plots come last.
"""

import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor

import click

Run = tuple[str, ...]

IN_MEMORY_SEEDS = (1, 2, 3)


def list_lanes(seeds: int) -> list[list[Run]]:
    """Return lanes of benches: lanes run concurrently, the benches of one in turn."""
    deployed = [
        [
            ("bench.deployed", "--shape", shape, "--seed", str(seed))
            for seed in range(1, seeds + 1)
        ]
        for shape in ("clearsight", "thatch")
    ]
    choices = [("bench.choice", "--seed", str(seed)) for seed in IN_MEMORY_SEEDS]
    return [*deployed, [("bench.quota", "60"), *choices]]


def run_lane(runs: list[Run]) -> int:
    """Run each bench in its own process and return how many failed."""
    failed = 0
    for module, *arguments in runs:
        started_s = time.monotonic()
        command = [sys.executable, "-m", module, *arguments]
        status = subprocess.run(command, check=False).returncode
        taken_s = time.monotonic() - started_s
        print(f"== {' '.join(command[2:])}: {status}, {taken_s:.0f} s", flush=True)
        failed += bool(status)
    return failed


@click.command()
@click.option("--seeds", default=1, help="Number of seeds for the daemon processes.")
@click.option(
    "--control", is_flag=True, help="Also measure control costs of 3 to 36 daemons."
)
def main(seeds: int, control: bool) -> None:
    """Run all lanes, then the benches that must run alone, then draw the plots.

    Exit 1 when a bench failed.
    """
    lanes = list_lanes(seeds)
    with ThreadPoolExecutor(len(lanes)) as pool:
        failed = sum(pool.map(run_lane, lanes))
    alone: list[Run] = [("bench.readers", "--seeds", str(seeds))]
    if control:
        alone.append(("bench.control",))
    failed += run_lane([*alone, ("bench.plots",)])
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()
