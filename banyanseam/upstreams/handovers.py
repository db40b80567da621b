"""Handover of a pool's leases, which spares its next keeper the learning period."""

from anyio.abc import TaskGroup

from banyanseam.peers.errors import PeerCallLost, PeerUnreachable
from banyanseam.upstreams.const import LEARNING_S
from banyanseam.upstreams.context import Context
from banyanseam.upstreams.messages import Handover
from banyanseam.upstreams.models import LeaseKey

Leases = dict[str, dict[LeaseKey, int]]


class Handovers:
    """Handovers to be sent, and those received before this daemon is the keeper."""

    def __init__(self, context: Context) -> None:
        """Start with nothing to hand over."""
        self._context = context
        self._outgoing: list[Handover] = []
        self._received: dict[str, tuple[Leases, float]] = {}

    def prepare(self, pool: str, leases: Leases) -> None:
        """Queue a handover of the leases of a pool that this daemon no longer keeps."""
        packed = {
            upstream: [
                (key.seat, key.incarnation, key.number, tokens)
                for key, tokens in held.items()
            ]
            for upstream, held in leases.items()
        }
        self._outgoing.append(Handover(pool=pool, leases=packed))

    def send(self, tasks: TaskGroup) -> None:
        """Send the queued handovers to the new keepers."""
        while self._outgoing:
            message = self._outgoing.pop()
            keeper = self._context.find_keeper(message.pool)
            if keeper not in (None, self._context.me.seat):
                tasks.start_soon(self._send, keeper, message)

    def receive(self, message: Handover, now_s: float) -> None:
        """Store a handover until this daemon's own view makes it the keeper."""
        leases = {
            upstream: {
                LeaseKey(seat, incarnation, number): tokens
                for seat, incarnation, number, tokens in held
            }
            for upstream, held in message.leases.items()
        }
        self._received[message.pool] = (leases, now_s)

    def pop_received(self, pool: str, now_s: float) -> Leases:
        """Remove and return a pool's handover, if younger than LEARNING_S."""
        leases, received_s = self._received.pop(pool, ({}, now_s))
        return leases if now_s - received_s < LEARNING_S else {}

    async def _send(self, keeper: str, message: Handover) -> None:
        try:
            await self._context.network.cast(keeper, message)
        except (PeerUnreachable, PeerCallLost):
            # The new keeper learns the leases from its entries' announcements.
            return
