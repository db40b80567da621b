"""Choose which processes of a region watch the configuration service."""

from collections.abc import Callable

from banyanseam.config.const import READERS_PER_REGION
from banyanseam.peers.membership import Membership
from banyanseam.peers.neighbours import elect


def make_is_reader(membership: Membership) -> Callable[[], bool]:
    """Return a function that tells whether this process is a reader of its region.

    Processes that recently reached the service are preferred, so that a reader that
    can't reach it is replaced. If none reaches it, the readers are elected
    among all live processes, and these few keep trying.
    """

    def is_reader() -> bool:
        alive = membership.alive_seats(membership.region)
        connected = [seat for seat in alive if membership.reaches_service(seat)]
        readers = elect(connected or alive, "configuration reader", READERS_PER_REGION)
        return membership.seat in readers

    return is_reader
