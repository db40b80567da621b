"""An exponentially decaying sum."""


class DecayingSum:
    """A sum whose terms lose half of their weight every half-life."""

    def __init__(self, half_life_s: float, now_s: float) -> None:
        """Start at zero."""
        self._half_life_s = half_life_s
        self._sum = 0.0
        self._updated_s = now_s

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount as of now."""
        self._sum = self.read(now_s) + amount
        self._updated_s = now_s

    def read(self, now_s: float) -> float:
        """Return the sum as of now."""
        return self._sum * 0.5 ** ((now_s - self._updated_s) / self._half_life_s)
