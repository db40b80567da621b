"""Earlier builds of the entry daemon, taken from the repository's own history."""

import io
import subprocess
import tarfile
import tempfile
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Final

from standins.platform_fleet import ChooseRoot
from standins.processes import ROOT

PACKAGE: Final = "banyanseam"
THIS_BUILD: Final = "this build"
UP: Final = "up"
DOWN: Final = "down"
MIXED: Final = "mixed"
ORDERS: Final = (UP, DOWN, MIXED)


def extract_build(commit: str, folder: Path) -> Path:
    """Write the package of a commit below a folder; return its root for PYTHONPATH.

    Raise LookupError if the repository's history does not have the commit.
    """
    root = folder.resolve() / commit
    archive = subprocess.run(
        ["git", "archive", "--format=tar", commit, PACKAGE],
        cwd=ROOT,
        capture_output=True,
        check=False,
    )
    if archive.returncode != 0:
        detail = archive.stderr.decode(errors="replace").strip()
        raise LookupError(f"build {commit} is not in the history: {detail}")
    root.mkdir(parents=True)
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(root, filter="data")
    return root


def make_choice(order: str, older: Path) -> ChooseRoot:
    """Return the choice between this build and the one at `older` in an order.

    "up": the first process of each VM is the older build, later ones are this one.
    "down": the reverse. "mixed": every other VM is always the older build, beginning
    with the VM that starts first.
    """
    starts: Counter[str] = Counter()

    def choose_root(vm: str) -> Path:
        starts[vm] += 1
        if order == MIXED:
            is_older = [*starts].index(vm) % 2 == 0
        else:
            is_older = (starts[vm] == 1) == (order == UP)
        return older if is_older else ROOT

    return choose_root


@contextmanager
def choose_builds(order: str, commit: str) -> Iterator[ChooseRoot]:
    """Extract the build of a commit and choose between it and this one in an order.

    Raise LookupError if the repository's history does not have the commit.
    """
    with tempfile.TemporaryDirectory() as folder:
        yield make_choice(order, extract_build(commit, Path(folder)))


def name_build(root: Path) -> str:
    """Return the commit of an extracted build, or "this build"."""
    return THIS_BUILD if root == ROOT else root.name
