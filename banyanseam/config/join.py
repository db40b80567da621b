"""Keep a new process from serving with an old configuration from a stale service."""

import random
from collections.abc import Callable

import anyio

from banyanseam.config.const import (
    JOIN_PEERS_OTHER_REGION,
    JOIN_PEERS_OWN_REGION,
    JOIN_RETRY_S,
    JOIN_WITHOUT_PEERS_S,
)
from banyanseam.config.messages import ListReply
from banyanseam.config.replication import Replicator
from banyanseam.config.store import ConfigStore
from banyanseam.errors import BanyanseamError


async def wait_until_current(
    store: ConfigStore, replicator: Replicator, list_peers: Callable[[], list[str]]
) -> None:
    """Wait until a configuration is in force that is safe to serve with.

    It is safe in one of these cases: a serving peer's versions were pulled; every peer
    answered and none is serving, as when a fleet starts; or neither happened within
    JOIN_WITHOUT_PEERS_S and the service supplied a configuration.
    """
    started_s = anyio.current_time()
    while True:
        is_confirmed = await _ask_peers(replicator, list_peers())
        has_timed_out = anyio.current_time() - started_s >= JOIN_WITHOUT_PEERS_S
        if store.config is not None and (is_confirmed or has_timed_out):
            return
        await anyio.sleep(JOIN_RETRY_S)


def choose_join_peers(
    store: ConfigStore,
    seat: str,
    region: str,
    first_peers: list[str],
    rng: random.Random,
) -> list[str]:
    """Return the peers to ask, from a configuration that may still be stale.

    Before a configuration is in force, as when the service has only an invalid one,
    only the peers from the settings are known.
    """
    peers = list(first_peers)
    if store.config is None:
        return peers
    for name in sorted(store.config.regions):
        limit = JOIN_PEERS_OWN_REGION if name == region else JOIN_PEERS_OTHER_REGION
        seats = [one.name for one in store.config.seats_of(name) if one.name != seat]
        peers += rng.sample(seats, min(limit, len(seats)))
    return list(dict.fromkeys(peers))


async def _ask_peers(replicator: Replicator, peers: list[str]) -> bool:
    """Pull from a serving peer; return whether the peers confirm the configuration.

    They also confirm it when all of them replied and none is serving.
    """
    replies: dict[str, ListReply] = {}

    async def ask(seat: str) -> None:
        try:
            replies[seat] = await replicator.request_listing(seat)
        except BanyanseamError:
            return

    async with anyio.create_task_group() as group:
        for seat in peers:
            group.start_soon(ask, seat)
    serving = [seat for seat, reply in replies.items() if reply.is_serving]
    # All peers are asked for their listings, which are small; the values are pulled
    # from one peer only.
    for seat in sorted(serving, key=lambda seat: -replies[seat].version):
        if await replicator.pull(seat):
            return True
    return bool(peers) and not serving and len(replies) == len(peers)
