"""Websocket keepalive that pings idle links only.

Heartbeats and renewals cross most links more often than pings would, and pings from
both ends of each link would be a fifth of what a daemon sends.
"""

from contextlib import suppress

import anyio
from websockets.asyncio.client import ClientConnection
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed

from banyanseam.peers.const import PING_INTERVAL_S, PING_TIMEOUT_S


class IdleKeepalive(Connection):
    """A connection that pings only after PING_INTERVAL_S without received data."""

    last_received_s = 0.0

    def data_received(self, data: bytes) -> None:
        """Record when data was received, and process it."""
        self.last_received_s = self.loop.time()
        super().data_received(data)

    async def keepalive(self) -> None:
        """Ping an idle peer, and abort the connection when it does not answer."""
        with suppress(ConnectionClosed):
            while await self._is_responsive():
                silence_s = self.loop.time() - self.last_received_s
                await anyio.sleep(max(0.0, PING_INTERVAL_S - silence_s))
        # A suspended peer would not answer the websocket's closing handshake.
        self.transport.abort()

    async def _is_responsive(self) -> bool:
        """Return whether the peer is responsive; ping it if the link is idle."""
        if self.loop.time() - self.last_received_s < PING_INTERVAL_S:
            return True
        pong = await self.ping()
        with anyio.move_on_after(PING_TIMEOUT_S):
            await pong
            return True
        return False


class DiallingConnection(IdleKeepalive, ClientConnection):
    """The dialler's end of a link."""


class ListeningConnection(IdleKeepalive, ServerConnection):
    """The listener's end of a link."""
