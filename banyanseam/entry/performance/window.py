"""The recent samples of one measure, and an estimate that outliers don't move."""

from collections import deque
from typing import Final

MAX_WINDOW_SAMPLES: Final = 24
# Older samples don't count.
SAMPLE_TERM_S: Final = 30.0


class Window:
    """The latest samples of one measure of one upstream."""

    def __init__(self) -> None:
        """Start without samples."""
        self._samples: deque[tuple[float, float]] = deque(maxlen=MAX_WINDOW_SAMPLES)

    def record(self, value: float, now_s: float) -> None:
        """Add a sample; it replaces the oldest one of a full window."""
        self._samples.append((now_s, value))

    def drop_old(self, now_s: float) -> None:
        """Drop the samples that no longer count."""
        while self._samples and now_s - self._samples[0][0] > SAMPLE_TERM_S:
            self._samples.popleft()

    def __len__(self) -> int:
        """Return the number of samples."""
        return len(self._samples)

    def average(self, lower_share: float, upper_share: float) -> float:
        """Return the mean of the samples between two quantiles; 0 without samples."""
        values = sorted(value for _, value in self._samples)
        if not values:
            return 0.0
        first = int(lower_share * len(values))
        last = max(first + 1, round(upper_share * len(values)))
        chosen = values[first:last]
        return sum(chosen) / len(chosen)
