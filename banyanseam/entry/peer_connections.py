"""Connections to peers of other regions that stay open between forwarded requests.

They answer peaks that move from region to region: while a region forwards many short
requests, connecting for each of them would double the time that they spend on the way.
Only peers get such connections. What an upstream sends after an answer must never reach
another request, so connections to upstreams are not reused.
"""

import socket
from collections.abc import Collection
from typing import Final

import anyio

from banyanseam.entry.members import Member
from banyanseam.upstreams.connections import Connection

# A connection that has brought nothing for longer is not reused: its peer may have
# been cut off since, which a new connection shows before anything is sent.
MAX_IDLE_S: Final = 1.0
# The same for requests that may run only once, which can't be sent again if the peer
# does not answer.
MAX_IDLE_ONCE_S: Final = 0.4
# How long sent bytes may stay unacknowledged. A peer that is cut off later than that is
# noticed only by this. It is longer than a lost packet takes to be repeated, and than a
# busy peer takes to read on.
MAX_UNACKNOWLEDGED_MS: Final = 2000
MAX_IDLE_CONNECTIONS: Final = 64
EXPIRY_PERIOD_S: Final = 1.0


class PeerConnections:
    """Idle connections by the peer's address; the last one used is reused first."""

    def __init__(self) -> None:
        """Start without connections."""
        # Since when each is idle, its address, and the connection; the longest first.
        self._idle: list[tuple[float, str, Connection]] = []

    def list_addresses(self, now_s: float, max_idle_s: float) -> set[str]:
        """Return the addresses to which a connection has been idle for that long."""
        return {
            address
            for idle_since_s, address, _ in self._idle
            if now_s - idle_since_s <= max_idle_s
        }

    def take(self, address: str, now_s: float, max_idle_s: float) -> Connection | None:
        """Remove and return an open connection, or None."""
        for entry in reversed(self._idle):
            idle_since_s, found, connection = entry
            if now_s - idle_since_s > max_idle_s:
                return None
            # A peer that stopped has closed it.
            if found == address and not connection.http.has_expired():
                self._idle.remove(entry)
                return connection
        return None

    async def put(self, address: str, connection: Connection, now_s: float) -> None:
        """Keep a connection if its last answer is complete; close it otherwise."""
        if not connection.http.is_idle() or _has_more_bytes(connection):
            await connection.http.aclose()
            return
        self._idle.append((now_s, address, connection))
        await self._close_oldest(len(self._idle) - MAX_IDLE_CONNECTIONS)

    async def run(self) -> None:
        """Close connections that have been idle for too long, until cancelled."""
        while True:
            await anyio.sleep(EXPIRY_PERIOD_S)
            limit_s = anyio.current_time() - MAX_IDLE_S
            await self._close_oldest(sum(entry[0] < limit_s for entry in self._idle))

    async def _close_oldest(self, count: int) -> None:
        for _ in range(count):
            _, _, connection = self._idle.pop(0)
            await connection.http.aclose()


def choose_max_idle_s(*, may_resend: bool) -> float:
    """Return how long a connection may have been idle that a request reuses."""
    return MAX_IDLE_S if may_resend else MAX_IDLE_ONCE_S


def prefer_connected(
    peers: list[Member], port: int, connected: Collection[str]
) -> list[Member]:
    """Return the peers with an idle connection, or all if there is no choice of two."""
    found = [peer for peer in peers if f"{peer.ip}:{port}" in connected]
    return found if len(found) > 1 else peers


def _has_more_bytes(connection: Connection) -> bool:
    """Return whether something follows the answer, which no request has asked for."""
    received, _ = connection.http._h11_state.trailing_data
    return bool(received) or connection.http.has_expired()


def limit_unacknowledged(connection: Connection) -> None:
    """Let a connection break if its peer acknowledges nothing for too long."""
    connection.stream.set_option(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, MAX_UNACKNOWLEDGED_MS
    )
