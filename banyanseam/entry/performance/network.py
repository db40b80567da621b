"""Learn how long a forwarded request takes on the way, by region.

Pure code. It answers peaks of regions that come one after the other: a region that
underestimates the way forwards requests that would have been in time at home.
"""

from typing import Final

from banyanseam.entry.const import ROUND_TRIP_MS
from banyanseam.entry.performance.window import Window

# A connection takes one round trip, the request and its first token another.
ROUND_TRIPS: Final = 2
MIN_CONNECTIONS: Final = 4
MAX_CONNECT_MS: Final = 2000.0


class NetworkTimes:
    """Times that connections to other regions took."""

    def __init__(self) -> None:
        """Start without connections."""
        self._windows: dict[str, Window] = {}

    def record_connect(self, region: str, connect_ms: float, now_s: float) -> None:
        """Record how long a connection to a VM of another region took."""
        window = self._windows.setdefault(region, Window())
        window.record(min(max(connect_ms, 0.0), MAX_CONNECT_MS), now_s)

    def find_ms(self, region: str, now_s: float) -> float:
        """Return the time on the way to a region and back for a forwarded request."""
        window = self._windows.get(region)
        if window is not None:
            window.drop_old(now_s)
        if window is None or len(window) < MIN_CONNECTIONS:
            return ROUND_TRIP_MS
        return ROUND_TRIPS * window.average(0.1, 0.6)
