"""Which processes of a region hold a watch on the configuration service."""

from collections.abc import Callable

from banyanseam.config.const import READERS_PER_REGION
from banyanseam.peers.membership import Membership
from banyanseam.peers.neighbours import elect


def make_is_reader(membership: Membership) -> Callable[[], bool]:
    """Return whether this process is among the readers of its region.

    Those that reached the service lately go first, so that a reader that is cut off
    from it gives way; when nobody reaches it, the same few keep trying.
    """

    def is_reader() -> bool:
        alive = membership.alive_seats(membership.region)
        able = [seat for seat in alive if membership.reaches_service(seat)]
        readers = elect(able or alive, "configuration reader", READERS_PER_REGION)
        return membership.seat in readers

    return is_reader
