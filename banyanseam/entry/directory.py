"""Which VMs callers should use: the only balancing that there is before the VMs."""

from collections import Counter
from collections.abc import Iterable

from banyanseam.entry.members import Member

# Source: the platform's pages, callers read no more of an answer.
MAX_ADDRESSES = 64


def choose_entries(
    accepting: Iterable[Member],
    region: str,
    data_centre: str,
    homes: Iterable[frozenset[str]] = (),
) -> list[Member]:
    """Return the VMs of a region that callers should use, else those of another.

    VMs of the caller's own data centre are named unless there are none: the way to
    them is the shortest. VMs that are leaving are named where a region has no others,
    since they still serve until those that were restarted before them are back. Where
    the caller's region has none at all, those of regions come next that are home to
    most routes: what has a home must not be led to VMs elsewhere.
    """
    everyone = list(accepting)
    here = [member for member in everyone if member.region == region]
    if not here:
        here = _choose_homes(everyone, homes)
    serving = [member for member in here if member.is_serving] or here
    near = [member for member in serving if member.data_centre == data_centre]
    return (near or serving)[:MAX_ADDRESSES]


def _choose_homes(
    everyone: list[Member], homes: Iterable[frozenset[str]]
) -> list[Member]:
    counts = Counter(region for regions in homes for region in regions)
    most = max((counts[member.region] for member in everyone), default=0)
    return [member for member in everyone if counts[member.region] == most]
