"""The last step: hand the exchange to an upstream here or to another region."""

import random
from collections.abc import Callable

from banyanseam.config.compiled import Config, Seat, Upstream
from banyanseam.pipe.errors import ResidencyRegionDown
from banyanseam.pipe.forward import Forwarder
from banyanseam.pipe.models import Exchange, Next
from banyanseam.upstreams.send import Sender


def find_candidates(config: Config, exchange: Exchange) -> list[Upstream]:
    """Return the upstreams that may serve, over all allowed regions."""
    wanted = exchange.model if exchange.route.is_model else exchange.route.service
    return [
        upstream
        for upstream in config.upstreams.values()
        if upstream.is_model == exchange.route.is_model
        and wanted in upstream.serves
        and not upstream.leaving
        and (exchange.regions is None or upstream.region in exchange.regions)
    ]


def attempt(
    region: str,
    get_config: Callable[[], Config],
    sender: Sender,
    forwarder: Forwarder,
    find_seats: Callable[[str], list[Seat]],
) -> Next:
    """Return the step; a forwarded exchange never leaves this region again."""

    async def step(exchange: Exchange) -> None:
        candidates = find_candidates(get_config(), exchange)
        local = [upstream for upstream in candidates if upstream.region == region]
        if local:
            await sender.send(exchange, random.choice(local))
            return
        remote = {upstream.region for upstream in candidates}
        if exchange.forwarder is None:
            for other in sorted(remote):
                for seat in find_seats(other):
                    await forwarder.forward(exchange, seat.name)
                    return
        raise ResidencyRegionDown

    return step
