"""Handing a pool to its next keeper, so that it need not learn what is held."""

from anyio.abc import TaskGroup

from banyanseam.peers.errors import PeerUnreachable
from banyanseam.upstreams.const import LEARNING_S
from banyanseam.upstreams.context import Context
from banyanseam.upstreams.messages import Handover
from banyanseam.upstreams.models import LeaseKey

Leases = dict[str, dict[LeaseKey, int]]


class Handovers:
    """What is to be handed over, and what was received before it was expected."""

    def __init__(self, context: Context) -> None:
        """Start with nothing to hand over."""
        self._context = context
        self._outgoing: list[Handover] = []
        self._received: dict[str, tuple[Leases, float]] = {}

    def prepare(self, pool: str, leases: Leases) -> None:
        """Keep what a pool held that this daemon keeps no more."""
        packed = {
            upstream: [
                (key.seat, key.incarnation, key.number, tokens)
                for key, tokens in held.items()
            ]
            for upstream, held in leases.items()
        }
        self._outgoing.append(Handover(pool=pool, leases=packed))

    def send(self, tasks: TaskGroup) -> None:
        """Send what was prepared to the next keepers."""
        while self._outgoing:
            message = self._outgoing.pop()
            keeper = self._context.find_keeper(message.pool)
            if keeper not in (None, self._context.me.seat):
                tasks.start_soon(self._send, keeper, message)

    def receive(self, message: Handover, now_s: float) -> None:
        """Keep a handover until this daemon believes itself the keeper."""
        leases = {
            upstream: {
                LeaseKey(seat, incarnation, number): tokens
                for seat, incarnation, number, tokens in held
            }
            for upstream, held in message.leases.items()
        }
        self._received[message.pool] = (leases, now_s)

    def take(self, pool: str, now_s: float) -> Leases:
        """Return what was handed over for a pool of late, once."""
        leases, received_s = self._received.pop(pool, ({}, now_s))
        return leases if now_s - received_s < LEARNING_S else {}

    async def _send(self, keeper: str, message: Handover) -> None:
        try:
            await self._context.network.cast(keeper, message)
        except PeerUnreachable:
            return
