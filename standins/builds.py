"""Earlier builds of the entry daemon, taken from the repository's own history."""

import io
import subprocess
import tarfile
from pathlib import Path
from typing import Final

from standins.processes import ROOT

PACKAGE: Final = "banyanseam"


def extract_build(commit: str, folder: Path) -> Path:
    """Write the package of a commit below a folder; return its root for PYTHONPATH.

    Raise LookupError if the repository's history does not have the commit.
    """
    root = folder / commit
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
