"""Pings on links that fell silent; one that carries messages needs none.

Heartbeats and renewals cross most links more often than a ping would, and pings at
both ends of each link would be a fifth of what a daemon sends.
"""

from contextlib import suppress

import anyio
from websockets.asyncio.client import ClientConnection
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed

from banyanseam.peers.const import PING_INTERVAL_S, PING_TIMEOUT_S


class SilenceKeepalive(Connection):
    """A connection that pings once nothing came for a while."""

    heard_s = 0.0

    def data_received(self, data: bytes) -> None:
        """Note that the peer is heard, and take the bytes."""
        self.heard_s = self.loop.time()
        super().data_received(data)

    async def keepalive(self) -> None:
        """Ping after each silence; drop the connection of a peer that stays silent."""
        with suppress(ConnectionClosed):
            while await self._is_answered():
                silence_s = self.loop.time() - self.heard_s
                await anyio.sleep(max(0.0, PING_INTERVAL_S - silence_s))
        # A peer that stands still would not answer a closing handshake.
        self.transport.abort()

    async def _is_answered(self) -> bool:
        """Say whether the peer is heard, after a ping if it was silent."""
        if self.loop.time() - self.heard_s < PING_INTERVAL_S:
            return True
        pong = await self.ping()
        with anyio.move_on_after(PING_TIMEOUT_S):
            await pong
            return True
        return False


class DiallingConnection(SilenceKeepalive, ClientConnection):
    """The dialler's end."""


class ListeningConnection(SilenceKeepalive, ServerConnection):
    """The listener's end."""
