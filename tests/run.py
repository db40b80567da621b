"""Run every test with fixed seeds and pass over just what KNOWN-RED.txt lists."""

import random
import sys
import time
import unittest
from pathlib import Path

from hypothesis import settings
from loguru import logger

SEED = 20261204
ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


SLOWEST = 10


class TimedResult(unittest.TextTestResult):
    """Keeps how long each test took, which decides nothing."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        """Begin without any."""
        super().__init__(*args, **kwargs)
        self.durations: list[tuple[float, str]] = []

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Note the beginning."""
        self.begun_s = time.monotonic()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Note the end."""
        super().stopTest(test)
        took_s = time.monotonic() - self.begun_s
        self.durations.append((took_s, test.id()))


def read_known_red() -> set[str]:
    """Return the dotted names that KNOWN-RED.txt lists, one entry a line."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split()[0] for line in lines if line.strip()}


def test_name(case: unittest.TestCase) -> str:
    """Return the dotted name of a test, without the values of a subtest."""
    return getattr(case, "test_case", case).id()


def main() -> int:
    """Run the suite and return the exit code."""
    print(f"seed {SEED}; hypothesis derandomized")
    settings.register_profile("ci", derandomize=True, deadline=None, database=None)
    settings.load_profile("ci")
    random.seed(SEED)
    # Log lines of the code under test would drown the verdict.
    logger.remove()
    pattern = sys.argv[1] if len(sys.argv) > 1 else "test_*.py"
    suite = unittest.defaultTestLoader.discover(
        str(ROOT / "tests"), pattern=pattern, top_level_dir=str(ROOT)
    )
    result = unittest.TextTestRunner(verbosity=1, resultclass=TimedResult).run(suite)
    known = read_known_red()
    red = {test_name(case) for case, _ in result.failures + result.errors}
    red |= {test_name(case) for case in result.unexpectedSuccesses}
    for name in sorted(red & known):
        print(f"KNOWN RED {name}")
    for name in sorted(red - known):
        print(f"RED {name}")
    for took_s, name in sorted(result.durations, reverse=True)[:SLOWEST]:
        print(f"{took_s:6.1f} s  {name}")
    passed = result.testsRun - len(red)
    print(f"{passed} passed, {len(red - known)} failed")
    return 1 if red - known or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
