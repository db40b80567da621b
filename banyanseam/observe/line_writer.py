"""Writes log lines to a descriptor that may be full, closed or without a reader.

Writes never block. Lines that do not fit are dropped and counted, and the next line
that fits is preceded by their number. Lines beyond a rate limit per second are dropped
as well; urgent lines, which are warnings and errors, have a higher limit.
"""

import os
import time
from typing import Final

# Maximum lines per second of one process. Source: docs/OPERATIONS.md, Logs.
MAX_LINES_PER_S: Final = 400
# Additional lines per second if the line is urgent.
MAX_URGENT_LINES_PER_S: Final = 1200
# Maximum size of the buffer for a full pipe, beyond the 64 KiB that the pipe holds.
MAX_BUFFER_BYTES: Final = 256 * 1024


class LineWriter:
    """Writes whole lines to a non-blocking descriptor."""

    def __init__(self, descriptor: int) -> None:
        """Set the descriptor to non-blocking mode."""
        self.left_out = 0
        self._descriptor = descriptor
        self._buffer = bytearray()
        # Number of dropped lines in the notice that is still in the buffer.
        self._reported = 0
        self._second = 0
        self._lines = 0
        try:
            os.set_blocking(descriptor, False)
        except OSError:
            # The descriptor is closed: every write fails, and its lines are counted.
            self._descriptor = -1

    def write(self, line: str, *, is_urgent: bool) -> None:
        """Write a line, or drop and count it."""
        if not self._is_within_rate_limit(is_urgent):
            self.left_out += 1
            return
        self._flush()
        data = line.encode() + b"\n"
        if self.left_out and not self._buffer:
            self._reported, self.left_out = self.left_out, 0
            data = b'{"event":2012,"lines_left_out":%d}\n' % self._reported + data
        if len(self._buffer) + len(data) > MAX_BUFFER_BYTES:
            self.left_out += 1
            return
        self._buffer += data
        self._flush()

    def _is_within_rate_limit(self, is_urgent: bool) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        limit = MAX_LINES_PER_S + (MAX_URGENT_LINES_PER_S if is_urgent else 0)
        return self._lines <= limit

    def _flush(self) -> None:
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The descriptor is unusable, so the buffered lines are lost.
            notices = 1 if self._reported else 0
            lines = self._buffer.count(b"\n") - notices
            self.left_out += lines + self._reported
            self._reported = 0
            self._buffer.clear()
            return
        self._reported = 0
        del self._buffer[:written]
