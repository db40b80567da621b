"""Allocate ports for later processes, disjoint between concurrent test runs."""

import os
import socket
from collections.abc import Iterator
from typing import Final

LANE_VARIABLE: Final = "BANYANSEAM_TEST_LANE"
# Below the kernel's ephemeral port range, which outgoing connections use.
FIRST_PORT: Final = 12_000
PORTS_PER_LANE: Final = 3000


def _iterate_ports() -> Iterator[int]:
    first = FIRST_PORT + PORTS_PER_LANE * int(os.environ.get(LANE_VARIABLE, "0"))
    while True:
        yield from range(first, first + PORTS_PER_LANE)


_PORTS = _iterate_ports()


def find_free_ports(host: str, count: int) -> list[int]:
    """Return free ports of a host; none recurs until the lane's range is used up."""
    found: list[int] = []
    while len(found) < count:
        port = next(_PORTS)
        try:
            socket.create_server((host, port)).close()
        except OSError:
            continue
        found.append(port)
    return found
