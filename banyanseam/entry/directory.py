"""Chooses the VMs that callers use; no other load balancer precedes the VMs."""

from collections import Counter
from collections.abc import Callable, Iterable

from banyanseam.entry.members import Member
from banyanseam.entry.unreached.const import MIN_NAMED_SHARE

# Callers ignore further addresses of an answer. Source: the platform's documentation.
MAX_ADDRESSES = 64


def choose_entries(
    accepting: Iterable[Member],
    region: str,
    data_centre: str,
    homes: Iterable[frozenset[str]] = (),
    count_without_way: Callable[[Member], int] = lambda _: 0,
) -> list[Member]:
    """Return the VMs that callers in a region should use.

    VMs of the caller's own data centre are preferred, as the nearest ones. Leaving VMs
    are returned only if the region has no others: they still serve until the VMs that
    were restarted before them are back. If the region has no VMs at all, those of the
    regions that are home to the most routes are returned, since requests of a route
    with home regions must not be sent to VMs elsewhere. VMs with no way to some
    services of their region are returned only if the others are too few for all
    callers; `count_without_way` returns the number of these services.
    """
    everyone = list(accepting)
    here = [member for member in everyone if member.region == region]
    if not here:
        here = _choose_homes(everyone, homes)
    serving = [member for member in here if member.is_serving] or here
    fewest = min(map(count_without_way, serving), default=0)
    with_way = [member for member in serving if count_without_way(member) == fewest]
    if len(with_way) >= MIN_NAMED_SHARE * len(serving):
        serving = with_way
    near = [member for member in serving if member.data_centre == data_centre]
    return (near or serving)[:MAX_ADDRESSES]


def _choose_homes(
    everyone: list[Member], homes: Iterable[frozenset[str]]
) -> list[Member]:
    counts = Counter(region for regions in homes for region in regions)
    most = max((counts[member.region] for member in everyone), default=0)
    return [member for member in everyone if counts[member.region] == most]
