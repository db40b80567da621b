"""Buffers the most recent log lines of each event for a diagnostics bundle."""

from collections import deque
from typing import Final

LINES_PER_EVENT: Final = 20
MAX_EVENTS: Final = 100


class RecentLines:
    """A bounded number of lines, as they were written.

    Each event has its own buffer, so that the many lines about ended requests
    cannot evict the one line that explains why requests fail.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._lines: dict[int, deque[tuple[str, str]]] = {}

    def record(self, event: int, time: str, line: str) -> None:
        """Add a line; if its event's buffer is full, evict the oldest line there.

        Lines of further events are ignored once MAX_EVENTS have a buffer.
        """
        if event not in self._lines and len(self._lines) >= MAX_EVENTS:
            return
        buffer = self._lines.setdefault(event, deque(maxlen=LINES_PER_EVENT))
        buffer.append((time, line))

    def list_lines(self) -> list[str]:
        """Return the buffered lines in order of time."""
        lines = [line for buffer in self._lines.values() for line in buffer]
        return [line for _, line in sorted(lines)]
