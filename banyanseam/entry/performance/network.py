"""Learn how long a forwarded request takes on the way, by region.

Pure code. It answers peaks of regions that come one after the other: a region that
underestimates the way forwards requests that would have been in time at home.
"""

from dataclasses import dataclass, field
from typing import Final

from banyanseam.entry.const import ROUND_TRIP_MS
from banyanseam.entry.performance.window import Window

MIN_CONNECTIONS: Final = 4
MAX_CONNECT_MS: Final = 2000.0


@dataclass(frozen=True, slots=True)
class _Region:
    # Times of new connections, which take one round trip.
    connect_ms: Window = field(default_factory=Window)
    # 1 for each forwarded request that opened a connection, 0 for the others.
    is_new: Window = field(default_factory=Window)


class NetworkTimes:
    """Times that connections to other regions took, and how many requests need one."""

    def __init__(self) -> None:
        """Start without connections."""
        self._regions: dict[str, _Region] = {}

    def record_forward(
        self, region: str, connect_ms: float | None, now_s: float
    ) -> None:
        """Record how long a forwarded request's connection took; None if reused."""
        found = self._regions.setdefault(region, _Region())
        found.is_new.record(0.0 if connect_ms is None else 1.0, now_s)
        if connect_ms is not None:
            found.connect_ms.record(min(max(connect_ms, 0.0), MAX_CONNECT_MS), now_s)

    def find_ms(self, region: str, now_s: float) -> float:
        """Return the time on the way to a region and back for a forwarded request.

        The request and its first token take a round trip, a new connection another.
        """
        found = self._regions.get(region)
        if found is None:
            return ROUND_TRIP_MS
        found.connect_ms.drop_old(now_s)
        found.is_new.drop_old(now_s)
        if len(found.connect_ms) < MIN_CONNECTIONS:
            return ROUND_TRIP_MS
        round_trip_ms = found.connect_ms.average(0.1, 0.6)
        return round_trip_ms * (1 + found.is_new.average(0.0, 1.0))
