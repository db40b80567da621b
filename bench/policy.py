"""All measurements of decisions under load and faults, one after the other."""

import subprocess
import sys

RUNS = (
    ("bench.quota", "120"),
    ("bench.choice", "--seed", "1"),
    ("bench.choice", "--seed", "2"),
    ("bench.choice", "--seed", "3"),
    ("bench.readers",),
    ("bench.plots",),
)


def main() -> int:
    """Run each bench in a process of its own and return how many failed."""
    failed = 0
    for module, *arguments in RUNS:
        print(f"== {module} {' '.join(arguments)}", flush=True)
        command = [sys.executable, "-m", module, *arguments]
        failed += bool(subprocess.run(command, check=False).returncode)
    return failed


if __name__ == "__main__":
    sys.exit(main())
