"""When a new process may serve: it must not be the victim of a stale service."""

import random
from collections.abc import Callable

import anyio

from banyanseam.config.const import (
    JOIN_ALONE_S,
    JOIN_PEERS_OTHER_REGION,
    JOIN_PEERS_OWN_REGION,
    JOIN_ROUND_S,
)
from banyanseam.config.messages import ListReply
from banyanseam.config.spread import Spread
from banyanseam.config.store import Store
from banyanseam.errors import BanyanseamError


async def wait_until_current(
    store: Store, spread: Spread, list_peers: Callable[[], list[str]]
) -> None:
    """Return when a configuration is in force that is safe to serve by.

    Safe is: what a peer that serves holds was taken over; or every peer answered and
    none serves, as when a fleet starts; or none that serves was found for
    JOIN_ALONE_S and the service gave a configuration.
    """
    started_s = anyio.current_time()
    while True:
        is_settled = await _ask_peers(spread, list_peers())
        is_alone = anyio.current_time() - started_s >= JOIN_ALONE_S
        if store.config is not None and (is_settled or is_alone):
            return
        await anyio.sleep(JOIN_ROUND_S)


def choose_join_peers(
    store: Store, seat: str, region: str, first_peers: list[str], chance: random.Random
) -> list[str]:
    """Return some peers to ask, by a configuration that may still be stale.

    Before any is in force, as when the service has only an invalid one, the peers
    from the settings are all that is known.
    """
    peers = list(first_peers)
    if store.config is None:
        return peers
    for name in sorted(store.config.regions):
        limit = JOIN_PEERS_OWN_REGION if name == region else JOIN_PEERS_OTHER_REGION
        seats = [one.name for one in store.config.seats_of(name) if one.name != seat]
        peers += chance.sample(seats, min(limit, len(seats)))
    return list(dict.fromkeys(peers))


async def _ask_peers(spread: Spread, peers: list[str]) -> bool:
    """Return whether the peers leave no doubt about what is in force."""
    replies: dict[str, ListReply] = {}

    async def ask(seat: str) -> None:
        try:
            replies[seat] = await spread.ask(seat)
        except BanyanseamError:
            return

    async with anyio.create_task_group() as group:
        for seat in peers:
            group.start_soon(ask, seat)
    serving = [seat for seat, reply in replies.items() if reply.is_serving]
    # The listings are small; the values are then taken from one peer only.
    for seat in sorted(serving, key=lambda seat: -replies[seat].version):
        if await spread.pull(seat):
            return True
    return bool(peers) and not serving and len(replies) == len(peers)
