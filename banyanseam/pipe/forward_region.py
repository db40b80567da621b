"""Forward a request to a random live daemon of a region."""

import random
from collections.abc import Awaitable, Callable

from banyanseam.peers.errors import PeerUnreachable
from banyanseam.peers.membership import Membership
from banyanseam.pipe.const import MAX_FORWARD_ATTEMPTS
from banyanseam.pipe.errors import RegionUnreachable
from banyanseam.pipe.forward import Forwarder
from banyanseam.pipe.models import Exchange


def make_region_forward(
    forwarder: Forwarder, membership: Membership, rng: random.Random
) -> Callable[[Exchange, str], Awaitable[None]]:
    """Return a function that forwards to a region.

    It tries another daemon only while nothing was sent, and raises RegionUnreachable
    when none is left. The forwarder's other errors propagate.
    """

    async def forward(exchange: Exchange, region: str) -> None:
        seats = [
            seat
            for seat in membership.alive_seats(region)
            if not membership.is_leaving(seat)
        ]
        for seat in rng.sample(seats, min(MAX_FORWARD_ATTEMPTS, len(seats))):
            try:
                await forwarder.forward(exchange, seat)
                return
            except PeerUnreachable:
                continue
        raise RegionUnreachable(region)

    return forward
