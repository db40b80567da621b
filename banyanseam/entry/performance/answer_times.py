"""How long streams take from their first event to their end, by route.

Pure code without I/O; `now_s` is the runtime's clock. It answers loads in which engines
decode slowly: a stream that its deadline cuts is of no use to its caller, and delays
others. It is read by `choosing`.
"""

from collections import deque
from statistics import median
from typing import Final

MAX_SAMPLES: Final = 32
MIN_SAMPLES: Final = 6
# Streams are refused by these samples, so new ones may be missing while old ones count.
SAMPLE_TERM_S: Final = 10.0
MAX_ROUTES: Final = 1024


class AnswerTimes:
    """Recent times from the first event of streams to their end."""

    def __init__(self) -> None:
        """Start without samples."""
        self._samples: dict[str, deque[tuple[float, float]]] = {}

    def record(self, route: str, rest_ms: float, now_s: float) -> None:
        """Record a stream that has ended, or that its deadline has cut.

        The latter would have taken longer, so it counts as at least that long.
        """
        if route not in self._samples and len(self._samples) >= MAX_ROUTES:
            self._drop_old(now_s)
            if len(self._samples) >= MAX_ROUTES:
                return
        samples = self._samples.setdefault(route, deque(maxlen=MAX_SAMPLES))
        samples.append((now_s, rest_ms))

    def find_ms(self, route: str, now_s: float) -> float:
        """Return the median of a route's recent times; 0 if there are too few."""
        recent = [
            rest_ms
            for recorded_s, rest_ms in self._samples.get(route, ())
            if now_s - recorded_s <= SAMPLE_TERM_S
        ]
        return median(recent) if len(recent) >= MIN_SAMPLES else 0.0

    def _drop_old(self, now_s: float) -> None:
        self._samples = {
            route: samples
            for route, samples in self._samples.items()
            if now_s - samples[-1][0] <= SAMPLE_TERM_S
        }
