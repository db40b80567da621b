"""The last log lines of each event, kept for a diagnostics bundle."""

from collections import deque
from typing import Final

LINES_PER_EVENT: Final = 20
MAX_EVENTS: Final = 100


class RecentLines:
    """Lines as they were written, in bounded number.

    They are kept by event, so that the ends of requests cannot push out the one line
    that says why they fail.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._lines: dict[int, deque[tuple[str, str]]] = {}

    def note(self, event: int, time: str, line: str) -> None:
        """Keep a line, and drop the oldest of its event."""
        if event not in self._lines and len(self._lines) >= MAX_EVENTS:
            return
        kept = self._lines.setdefault(event, deque(maxlen=LINES_PER_EVENT))
        kept.append((time, line))

    def list_lines(self) -> list[str]:
        """Return the lines kept, in the order of their times."""
        lines = [line for kept in self._lines.values() for line in kept]
        return [line for _, line in sorted(lines)]
