"""Forward to some live daemon of a region."""

import random
from collections.abc import Awaitable, Callable

from banyanseam.peers.errors import PeerUnreachable
from banyanseam.peers.membership import Membership
from banyanseam.pipe.const import FORWARD_TRIES
from banyanseam.pipe.errors import RegionUnreachable
from banyanseam.pipe.forward import Forwarder
from banyanseam.pipe.models import Exchange


def make_region_forward(
    forwarder: Forwarder, membership: Membership, chance: random.Random
) -> Callable[[Exchange, str], Awaitable[None]]:
    """Return a function that forwards to a region.

    It tries another daemon only while nothing was sent; then it raises
    RegionUnreachable. Other failures are the forwarder's.
    """

    async def forward(exchange: Exchange, region: str) -> None:
        seats = [
            seat
            for seat in membership.alive_seats(region)
            if not membership.is_leaving(seat)
        ]
        for seat in chance.sample(seats, min(FORWARD_TRIES, len(seats))):
            try:
                await forwarder.forward(exchange, seat)
                return
            except PeerUnreachable:
                continue
        raise RegionUnreachable(region)

    return forward
