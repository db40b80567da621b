"""Run every test with fixed seeds and pass over just what KNOWN-RED.txt lists."""

import random
import sys
import unittest
from pathlib import Path

from hypothesis import settings
from loguru import logger

SEED = 20261204
ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


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
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    known = read_known_red()
    red = {test_name(case) for case, _ in result.failures + result.errors}
    red |= {test_name(case) for case in result.unexpectedSuccesses}
    for name in sorted(red & known):
        print(f"KNOWN RED {name}")
    for name in sorted(red - known):
        print(f"RED {name}")
    passed = result.testsRun - len(red)
    print(f"{passed} passed, {len(red - known)} failed")
    return 1 if red - known or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
