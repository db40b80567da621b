"""Versions: an era of the configuration service and a revision in it, as one number.

A service that came back from a copy gives out revisions again, in a later era. As one
number, versions compare by their eras first, also where a process of the release
before, which knows no eras, compares and relays them.
"""

from typing import Final

# Version numbers below 2**53 are exact in any JSON reader.
MAX_ERA: Final = 2**10 - 1
MAX_REVISION: Final = 2**43 - 1


def make_version(era: int, revision: int) -> int:
    """Return the version of a revision that the service gave out in an era."""
    return era * (MAX_REVISION + 1) + revision


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version // (MAX_REVISION + 1)


def revision_of(version: int) -> int:
    """Return the revision of a version within its era."""
    return version % (MAX_REVISION + 1)


def describe_version(era: int, revision: int | None) -> str:
    """Return a version as it is shown to operators; era 0 goes without saying."""
    return f"{revision} of era {era}" if era else str(revision)
