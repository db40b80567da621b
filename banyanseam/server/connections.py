"""Limits the connections of all listening ports of a process.

The load that it answers: clients that open connections without sending requests, or
send so much that their unread bytes would fill the memory. Requests in progress are
kept; a connection between two requests is closed in favour of a new one.
"""

import resource
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from banyanseam.observe.events import CONNECTIONS_CLOSED, log
from banyanseam.server.const import (
    CLOSED_LOG_PERIOD_S,
    CONNECTION_BYTES,
    CONNECTION_DESCRIPTOR_SHARE,
    CONNECTION_MEMORY_SHARE,
    MAX_CONNECTIONS,
    MAX_PENDING_BYTES,
    PENDING_MEMORY_SHARE,
)


class ClosableConnection(Protocol):
    """A connection that the table may close."""

    def abort(self) -> None:
        """Close the connection at once."""


class ConnectionTable:
    """The clients' connections by port, and the bytes that each has pending."""

    def __init__(
        self, read_max_connections: Callable[[], int], max_pending_bytes: int
    ) -> None:
        """Start without connections; the limit is read for each new one."""
        self._read_max_connections = read_max_connections
        self.max_pending_bytes = max_pending_bytes
        # Closed connections by cause.
        self.closed: Counter[str] = Counter()
        self.pending_bytes = 0
        self._ports: dict[object, set[ClosableConnection]] = {}
        # Connections without a whole request, by port, the longest idle first.
        self._idle: dict[object, dict[ClosableConnection, None]] = {}
        self._pending: dict[ClosableConnection, int] = {}
        self._logged_s = float("-inf")

    def add(self, port: object, connection: ClosableConnection, now_s: float) -> bool:
        """Add a connection, closing another if needed; return whether it may stay."""
        is_full = self.count() >= self._read_max_connections()
        if is_full and not self._make_room(now_s):
            self.record_closed("connections", now_s)
            return False
        self._ports.setdefault(port, set()).add(connection)
        self._idle.setdefault(port, {})[connection] = None
        return True

    def remove(self, port: object, connection: ClosableConnection) -> None:
        """Remove a connection that was lost, if it is here."""
        self._ports.get(port, set()).discard(connection)
        self._idle.get(port, {}).pop(connection, None)
        self.pending_bytes -= self._pending.pop(connection, 0)

    def mark_busy(self, port: object, connection: ClosableConnection) -> None:
        """Record that a whole request has been read; its connection is kept."""
        self._idle.get(port, {}).pop(connection, None)

    def mark_idle(self, port: object, connection: ClosableConnection) -> None:
        """Record that the request has been answered."""
        if connection in self._ports.get(port, ()):
            self._idle[port][connection] = None

    def set_pending(
        self, connection: ClosableConnection, size_bytes: int, now_s: float
    ) -> None:
        """Record the unread bytes of a connection; close the largest if too many."""
        self.pending_bytes += size_bytes - self._pending.pop(connection, 0)
        if size_bytes:
            self._pending[connection] = size_bytes
        while self.pending_bytes > self.max_pending_bytes:
            largest = max(self._pending, key=self._pending.__getitem__)
            self.pending_bytes -= self._pending.pop(largest)
            self.record_closed("memory", now_s)
            largest.abort()

    def count(self) -> int:
        """Return the number of connections."""
        return sum(len(connections) for connections in self._ports.values())

    def count_closed(self, cause: str) -> None:
        """Count a connection that was closed in the normal course."""
        self.closed[cause] += 1

    def record_closed(self, cause: str, now_s: float) -> None:
        """Count a connection that was closed, and log the counts now and then."""
        self.count_closed(cause)
        if now_s - self._logged_s >= CLOSED_LOG_PERIOD_S:
            self._logged_s = now_s
            log(CONNECTIONS_CLOSED, cause=cause, closed=dict(self.closed))

    def _make_room(self, now_s: float) -> bool:
        """Close the longest idle connection of the port with the most connections.

        A crowd at one port thereby leaves room at the others.
        """
        ports = sorted(self._ports, key=lambda port: -len(self._ports[port]))
        for port in ports:
            victim = next(iter(self._idle[port]), None)
            if victim is not None:
                self.remove(port, victim)
                self.record_closed("connections", now_s)
                victim.abort()
                return True
        return False


def make_connection_table(
    memory_bytes: int | None = None, max_sockets: int | None = None
) -> ConnectionTable:
    """Return a table for the memory and sockets that a process may use.

    The operating system's limit of descriptors counts too; it may change.
    """
    most = MAX_CONNECTIONS
    max_pending_bytes = MAX_PENDING_BYTES
    if max_sockets is not None:
        most = min(most, int(max_sockets * CONNECTION_DESCRIPTOR_SHARE))
    if memory_bytes is not None:
        connections = int(memory_bytes * CONNECTION_MEMORY_SHARE / CONNECTION_BYTES)
        most = min(most, connections)
        pending_bytes = int(memory_bytes * PENDING_MEMORY_SHARE)
        max_pending_bytes = min(max_pending_bytes, pending_bytes)

    def read_max_connections() -> int:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        return min(most, int(descriptors * CONNECTION_DESCRIPTOR_SHARE))

    return ConnectionTable(read_max_connections, max_pending_bytes)
