"""Measure the requested tokens per second over the last few seconds."""

import math

from banyanseam.quota.const import DEMAND_WINDOW_S


class DemandMeter:
    """An exponentially decaying average of the requested rate."""

    def __init__(self) -> None:
        """Start without demand."""
        self._tokens_per_s = 0.0
        self._measured_s = -math.inf

    def add(self, tokens: float, now_s: float) -> None:
        """Count requested tokens; a refund counts as negative."""
        rate = self.measure(now_s) + tokens / DEMAND_WINDOW_S
        self._tokens_per_s = max(0.0, rate)

    def measure(self, now_s: float) -> float:
        """Return the requested tokens per second."""
        elapsed_s = max(0.0, now_s - self._measured_s)
        self._tokens_per_s *= math.exp(-elapsed_s / DEMAND_WINDOW_S)
        self._measured_s = now_s
        return self._tokens_per_s
