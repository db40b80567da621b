"""Chooses the VMs that callers use; no other load balancer precedes the VMs."""

from collections import Counter
from collections.abc import Iterable

from banyanseam.entry.members import Member

# Callers ignore further addresses of an answer. Source: the platform's documentation.
MAX_ADDRESSES = 64


def choose_entries(
    accepting: Iterable[Member],
    region: str,
    data_centre: str,
    homes: Iterable[frozenset[str]] = (),
) -> list[Member]:
    """Return the VMs that callers in a region should use.

    VMs of the caller's own data centre are preferred, as the nearest ones. Leaving VMs
    are returned only if the region has no others: they still serve until the VMs that
    were restarted before them are back. If the region has no VMs at all, those of the
    regions that are home to the most routes are returned, since requests of a route
    with home regions must not be sent to VMs elsewhere.
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
