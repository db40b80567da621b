"""Log lines to a descriptor that may be full, closed or read by nobody.

Writing never waits. What does not fit is left out and counted, and the next line that
fits says how many were left out. Lines beyond a budget a second are left out as well,
those that tell of a failure last.
"""

import os
import time
from typing import Final

# Lines a second that one process writes at most. Source: docs/OPERATIONS.md, Logs.
MAX_LINES_PER_S: Final = 400
# Beside them, lines that tell of a failure.
MAX_URGENT_LINES_PER_S: Final = 1200
# What waits for a full pipe; its own buffer holds 64 KiB beside.
MAX_WAITING_BYTES: Final = 256 * 1024


class LineWriter:
    """Writes whole lines to a descriptor, as many as it takes."""

    def __init__(self, descriptor: int) -> None:
        """Make writes to the descriptor return at once."""
        self.left_out = 0
        self._descriptor = descriptor
        self._waiting = bytearray()
        # The count that a notice which has yet to be written tells.
        self._told = 0
        self._second = 0
        self._lines = 0
        try:
            os.set_blocking(descriptor, False)
        except OSError:
            # A descriptor that was closed takes no line; each is counted below.
            self._descriptor = -1

    def write(self, line: str, *, is_urgent: bool) -> None:
        """Write a line, or count it as left out."""
        if not self._is_in_budget(is_urgent):
            self.left_out += 1
            return
        self._flush()
        data = line.encode() + b"\n"
        if self.left_out and not self._waiting:
            self._told, self.left_out = self.left_out, 0
            data = b'{"event":2012,"lines_left_out":%d}\n' % self._told + data
        if len(self._waiting) + len(data) > MAX_WAITING_BYTES:
            self.left_out += 1
            return
        self._waiting += data
        self._flush()

    def _is_in_budget(self, is_urgent: bool) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        limit = MAX_LINES_PER_S + (MAX_URGENT_LINES_PER_S if is_urgent else 0)
        return self._lines <= limit

    def _flush(self) -> None:
        if not self._waiting:
            return
        try:
            written = os.write(self._descriptor, self._waiting)
        except BlockingIOError:
            return
        except OSError:
            # Nobody will read again what waits here.
            notices = 1 if self._told else 0
            lines = self._waiting.count(b"\n") - notices
            self.left_out += lines + self._told
            self._told = 0
            self._waiting.clear()
            return
        self._told = 0
        del self._waiting[:written]
