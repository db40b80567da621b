"""Splits streams into whole events, so that no partial event is ever relayed."""

from dataclasses import dataclass
from typing import Final

from banyanseam.pipe.errors import AnswerMalformed

# Larger than any engine's events: 330 bytes according to the operators' sheets.
MAX_EVENT_BYTES: Final = 64 * 1024
# Each comment counts for at least this much, since each has to be handled.
MIN_COMMENT_BYTES: Final = 64
_EVENT_END: Final = b"\n\n"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event as received, with its number if it has one."""

    data: bytes
    number: int | None

    @property
    def is_comment(self) -> bool:
        """Return whether the event has comment lines only, as sent to keep alive."""
        return all(line[:1] in (b"", b":") for line in self.data.split(b"\n"))


class EventSplitter:
    """Splits received bytes into whole events."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = bytearray()
        # Bytes of comments since the last event that has contents.
        self._comment_bytes = 0

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer holds a partial event."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are now complete; raise AnswerMalformed."""
        self._buffer += data
        *whole, rest = self._buffer.split(_EVENT_END)
        self._buffer = rest
        events = []
        for part in whole:
            event = bytes(part) + _EVENT_END
            events.append(StreamEvent(event, _read_number(event)))
            if events[-1].is_comment:
                self._comment_bytes += max(len(event), MIN_COMMENT_BYTES)
            else:
                self._comment_bytes = 0
            self._check_size()
        self._check_size()
        return events

    def _check_size(self) -> None:
        if len(self._buffer) + self._comment_bytes > MAX_EVENT_BYTES:
            raise AnswerMalformed("an event or comment exceeds the maximum size")


def _read_number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value.strip())
    return None
