"""Whole events of a stream, so that a break never passes on half of one."""

from dataclasses import dataclass
from typing import Final

from banyanseam.pipe.errors import AnswerMalformed

# More than any engine puts into one event. Source: the operators' sheets, 330 bytes.
MAX_EVENT_BYTES: Final = 64 * 1024
_END: Final = b"\n\n"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event as it came, with its number if it has one."""

    data: bytes
    number: int | None


class EventSplitter:
    """Cuts what arrives into whole events."""

    def __init__(self) -> None:
        """Hold nothing."""
        self._held = bytearray()

    @property
    def has_rest(self) -> bool:
        """Say whether a part of an event is held."""
        return bool(self._held.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are whole now; raise AnswerMalformed."""
        self._held += data
        events = []
        while (end := self._held.find(_END)) >= 0:
            whole = bytes(self._held[: end + len(_END)])
            del self._held[: end + len(_END)]
            events.append(StreamEvent(whole, _read_number(whole)))
        if len(self._held) > MAX_EVENT_BYTES:
            raise AnswerMalformed("an event does not end")
        return events


def _read_number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value.strip())
    return None
