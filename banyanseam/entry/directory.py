"""Which VMs callers should use: the only balancing that there is before the VMs."""

from collections.abc import Iterable

from banyanseam.entry.members import Member

# Source: the platform's pages, callers read no more of an answer.
MAX_ADDRESSES = 64


def choose_entries(
    serving: Iterable[Member], region: str, data_centre: str
) -> list[str]:
    """Return the callers' addresses of a region's VMs, those of any if it has none.

    VMs of the caller's own data centre are named unless there are none: the way to
    them is the shortest.
    """
    everyone = list(serving)
    here = [member for member in everyone if member.region == region]
    near = [member for member in here if member.data_centre == data_centre]
    chosen = near or here or everyone
    return [member.callers_address for member in chosen[:MAX_ADDRESSES]]
