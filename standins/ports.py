"""Ports for processes that are started later, apart for test runs side by side."""

import os
import socket
from collections.abc import Iterator
from typing import Final

LANE_VARIABLE: Final = "BANYANSEAM_TEST_LANE"
# Below the range that the kernel takes ports of outgoing connections from.
FIRST_PORT: Final = 12_000
PORTS_PER_LANE: Final = 3000


def _iterate_ports() -> Iterator[int]:
    first = FIRST_PORT + PORTS_PER_LANE * int(os.environ.get(LANE_VARIABLE, "0"))
    while True:
        yield from range(first, first + PORTS_PER_LANE)


_PORTS = _iterate_ports()


def find_free_ports(host: str, count: int) -> list[int]:
    """Return ports of a host that nobody listens on, each given out once."""
    found: list[int] = []
    while len(found) < count:
        port = next(_PORTS)
        try:
            socket.create_server((host, port)).close()
        except OSError:
            continue
        found.append(port)
    return found
