"""Cuts what a client sends into pieces that end at most one request.

The load that it answers: clients that send bytes without end, or many requests ahead.
An HTTP parser keeps an unfinished header and starts every request that it is given.
"""

import re

from banyanseam.server.const import PIECE_BYTES

_EMPTY_LINE = re.compile(rb"\n\r?\n")
_LINE_ENDS = re.compile(rb"[\r\n]+")


class RequestSplitter:
    """Received bytes of one connection that the parser has not been given yet."""

    def __init__(self) -> None:
        """Start before the first request."""
        # Bytes given to the parser since a request began or its body went on.
        self.head_bytes = 0
        self.empty_line_bytes = 0
        self.is_between_requests = True
        self._data = b""
        self._start = 0
        self._body_bytes_left = 0

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes that wait here."""
        return len(self._data) - self._start

    @property
    def pending_bytes(self) -> int:
        """Return the bytes that are kept here or in the parser."""
        return self.held_bytes + self.head_bytes

    def add(self, data: bytes) -> None:
        """Add received bytes."""
        self._data = self._data[self._start :] + data if self._data else data
        self._start = 0

    def take(self) -> bytes:
        """Return the next piece for the parser; empty if none is complete."""
        if self.is_between_requests:
            self._skip_empty_lines()
        if not self._data:
            return b""
        if self._body_bytes_left:
            piece = self._cut(min(self._start + self._body_bytes_left, len(self._data)))
            self._body_bytes_left -= len(piece)
            return piece
        piece = self._cut(self._find_end())
        if piece:
            self.is_between_requests = False
            self.head_bytes += len(piece)
        return piece

    def compact(self) -> None:
        """Release the memory of the bytes that the parser has been given."""
        if self._start:
            self._data, self._start = self._data[self._start :], 0

    def drop(self) -> None:
        """Drop what waits here."""
        self._data, self._start = b"", 0

    def begin_body(self, length_bytes: int) -> None:
        """Take so many bytes as the body; 0 if it is chunked or there is none."""
        self.head_bytes = 0
        self._body_bytes_left = length_bytes

    def continue_body(self) -> None:
        """Count the bytes between the chunks of a body anew."""
        self.head_bytes = 0

    def end_request(self) -> None:
        """Expect the next request."""
        self.is_between_requests = True
        self.head_bytes = 0
        self.empty_line_bytes = 0
        self._body_bytes_left = 0

    def _skip_empty_lines(self) -> None:
        match = _LINE_ENDS.match(self._data, self._start)
        if match is not None:
            self.empty_line_bytes += match.end() - self._start
            self._cut(match.end())

    def _find_end(self) -> int:
        """Return where the piece ends: at an empty line, which every request has.

        The last chunk of a body is followed by one too, so that no piece contains the
        end of one request and the start of another.
        """
        data, start = self._data, self._start
        end = min(len(data), start + PIECE_BYTES)
        match = _EMPTY_LINE.search(data, start, end)
        if match is not None:
            return match.end()
        # The beginning of an empty line is kept until the rest of it is there.
        if data.endswith(b"\n\r", start, end):
            return end - 2
        return end - 1 if data.endswith(b"\n", start, end) else end

    def _cut(self, end: int) -> bytes:
        start = self._start
        if end < len(self._data):
            self._start = end
            return self._data[start:end]
        piece = self._data[start:] if start else self._data
        self.drop()
        return piece
