"""Run every test with fixed seeds; failures that KNOWN-RED.txt lists are tolerated.

The modules run in a few worker processes, each with its own ports, longest first. What
each test does, and the verdict, do not depend on how modules are assigned to workers.
"""

import json
import os
import random
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from itertools import count
from pathlib import Path

from hypothesis import settings
from loguru import logger

from standins.ports import LANE_VARIABLE

SEED = 20261204
ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
SLOWEST = 10
# Leaves half of the machine's cores to the processes that tests start.
WORKERS = 4
MODULE_TIMEOUT_S = 900
# These modules take long and start first, so that none runs alone at the end.
LONGEST = (
    "tests.faults.test_untrusted_clients",
    "tests.faults.test_quota_bound",
    "tests.faults.test_platform",
    "tests.faults.test_entry_soak",
    "tests.faults.test_two_builds",
    "tests.faults.test_signals",
    "tests.faults.test_stop",
    "tests.faults.test_request_forms",
    "tests.faults.test_bookings",
    "tests.faults.test_path",
    "tests.faults.test_ports",
    "tests.daemon.test_config_service",
    "tests.faults.test_leaving",
    "tests.cli.test_against_daemon",
    "tests.entry.test_planned_stop",
    "tests.faults.test_soak",
    "tests.peers.test_membership",
)


class TimedTestResult(unittest.TextTestResult):
    """Records the duration of each test; durations do not affect the verdict."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        """Start with no durations."""
        super().__init__(*args, **kwargs)
        self.durations: list[tuple[float, str]] = []

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Record the start time."""
        self.started_s = time.monotonic()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Record the duration."""
        super().stopTest(test)
        duration_s = time.monotonic() - self.started_s
        self.durations.append((duration_s, test.id()))


def read_known_red() -> set[str]:
    """Return the dotted names that KNOWN-RED.txt lists, one entry a line."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split()[0] for line in lines if line.strip()}


def get_test_name(case: unittest.TestCase) -> str:
    """Return the dotted name of a test, without the values of a subtest."""
    return getattr(case, "test_case", case).id()


def run_module(name: str, report_path: Path) -> None:
    """Run the tests of one module and write their results to a file."""
    settings.register_profile("ci", derandomize=True, deadline=None, database=None)
    settings.load_profile("ci")
    random.seed(SEED)
    # Log lines of the code under test would obscure the results.
    logger.remove()
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    result = unittest.TextTestRunner(verbosity=1, resultclass=TimedTestResult).run(
        suite
    )
    red = {get_test_name(case) for case, _ in result.failures + result.errors}
    red |= {get_test_name(case) for case in result.unexpectedSuccesses}
    report = {
        "run": result.testsRun,
        "red": sorted(red),
        "durations": result.durations,
    }
    report_path.write_text(json.dumps(report))


def list_modules(pattern: str) -> list[str]:
    """Return the dotted names of all test modules, the longest first."""
    found = [
        ".".join(path.relative_to(ROOT).with_suffix("").parts)
        for path in sorted((ROOT / "tests").rglob(pattern))
    ]
    ranks = {name: rank for rank, name in enumerate(LONGEST)}
    return sorted(found, key=lambda name: ranks.get(name, len(LONGEST)))


def run_in_workers(modules: list[str], folder: Path) -> Iterator[dict[str, object]]:
    """Run modules in worker processes and yield their reports, in the same order."""
    lanes = count()
    lane_of: dict[int, int] = {}
    lock = threading.Lock()

    def assign_lane() -> None:
        with lock:
            lane_of[threading.get_ident()] = next(lanes)

    def run_one(name: str) -> dict[str, object]:
        report_path = folder / f"{name}.json"
        lane = lane_of[threading.get_ident()]
        done = subprocess.run(
            [sys.executable, "-m", "tests.run", "--module", name, str(report_path)],
            cwd=ROOT,
            env=os.environ | {LANE_VARIABLE: str(lane)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            timeout=MODULE_TIMEOUT_S,
            check=False,
        )
        if not report_path.exists():
            text = done.stdout.decode(errors="replace")
            return {"run": 1, "red": [name], "durations": [], "output": text}
        report = json.loads(report_path.read_text())
        return report | {"output": done.stdout.decode(errors="replace")}

    with ThreadPoolExecutor(WORKERS, initializer=assign_lane) as workers:
        yield from workers.map(run_one, modules)


def main() -> int:
    """Run the suite and return the exit code."""
    if sys.argv[1:2] == ["--module"]:
        run_module(sys.argv[2], Path(sys.argv[3]))
        return 0
    print(f"seed {SEED}; hypothesis derandomized; {WORKERS} workers")
    modules = list_modules(sys.argv[1] if len(sys.argv) > 1 else "test_*.py")
    ran, red, durations = 0, set(), []
    with tempfile.TemporaryDirectory(prefix="banyanseam-tests-") as folder:
        for report in run_in_workers(modules, Path(folder)):
            ran += report["run"]
            red |= set(report["red"])
            durations += report["durations"]
            if report["red"]:
                print(report["output"])
    known = read_known_red()
    for name in sorted(red & known):
        print(f"KNOWN RED {name}")
    for name in sorted(red - known):
        print(f"RED {name}")
    for duration_s, name in sorted(durations, reverse=True)[:SLOWEST]:
        print(f"{duration_s:6.1f} s  {name}")
    print(f"{ran - len(red)} passed, {len(red - known)} failed")
    return 1 if red - known or not ran else 0


if __name__ == "__main__":
    sys.exit(main())
