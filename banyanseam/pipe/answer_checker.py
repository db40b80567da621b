"""Check that a streamed answer is whole and belongs to its request; no I/O.

Only whole, checked events are relayed, so a caller never receives a part of another
answer, and a broken connection can be resumed after the last relayed event.
The format is that of server-sent events (WHATWG HTML, section 9.2).
"""

import json
import re
from collections.abc import Iterator
from typing import Any, Final

from banyanseam.pipe.errors import (
    AnswerCrossed,
    AnswerGap,
    AnswerMalformed,
    AnswerTruncated,
)
from banyanseam.pipe.models import Usage

MAX_EVENT_BYTES: Final = 1024 * 1024
_EVENT_END_PATTERN: Final = re.compile(rb"\r?\n\r?\n")
_EVENT_END: Final = b"\n\n"
_DONE: Final = b"[DONE]"


class AnswerChecker:
    """Checks one streamed answer, across several connections if it is resumed."""

    def __init__(self, request_id: str) -> None:
        """Expect the answer to this request from its first event on."""
        self.usage = Usage()
        # The number of the last relayed event; a resume continues after it.
        self.position = 0
        self.is_ended = False
        self._request_id = request_id
        self._prefix = b'{"id":' + json.dumps(request_id).encode() + b","
        self._common_data = b"\ndata: " + self._prefix
        self._buffer = b""
        self._is_numbered: bool | None = None
        # True while a resumed connection may repeat events that were relayed before.
        self._may_repeat = False

    @property
    def can_resume(self) -> bool:
        """Return whether the answer is unfinished and no event came unnumbered."""
        return self._is_numbered is not False and not self.is_ended

    def feed(self, data: bytes) -> bytes:
        """Process bytes as they arrive; return the whole events to relay.

        Raise AnswerCrossed, AnswerGap or AnswerMalformed. Events that earlier
        calls returned stay valid; no part of the faulty event is returned.
        """
        # Fast path: nearly every read contains exactly one whole event.
        is_single = data.find(_EVENT_END) == len(data) - len(_EVENT_END)
        event = b"" if self._buffer or not is_single else data.removesuffix(_EVENT_END)
        if event and self._check_common(event):
            return data
        buffer = self._buffer + data if self._buffer else data
        start = 0
        accepted = []
        for event_end, end in _find_ends(buffer):
            event = buffer[start:event_end]
            if self._check_common(event) or self._check(event):
                accepted.append(buffer[start:end])
            start = end
        self._buffer = buffer[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise AnswerMalformed("an event is too long")
        return b"".join(accepted)

    def expect_resume(self) -> None:
        """Expect a new connection that continues after `position` or repeats events."""
        self._buffer = b""
        self._may_repeat = True

    def finish(self) -> None:
        """Check that the answer is complete when its connection ends.

        Raise AnswerTruncated if it is not.
        """
        if not self.is_ended or self._buffer.strip():
            raise AnswerTruncated(f"after event {self.position}")

    def _check_common(self, event: bytes) -> bool:
        """Check an event of the common form; return False to defer to `_check`."""
        line_end = event.find(b"\n")
        if not event.startswith(self._common_data, line_end):
            return False
        if event.find(b"\n", line_end + 1) >= 0 or b'"usage":' in event:
            return False
        if self.is_ended or self._may_repeat or not self._is_numbered:
            return False
        if event[:line_end] != b"id: %d" % (self.position + 1):
            return False
        self.position += 1
        return True

    def _check(self, event: bytes) -> bool:
        """Check one event; return whether to relay it."""
        number = None
        data = b""
        for line in event.splitlines():
            if line.startswith(b"data:"):
                data += line[5:].removeprefix(b" ")
            elif line.startswith(b"id:"):
                number = self._read_number(line[3:])
            elif line.startswith(b"event:") and line[6:].strip() == b"error":
                raise AnswerTruncated("the upstream reports an error")
        # An event without data is a comment that keeps the connection open.
        if not data:
            return True
        if self.is_ended:
            raise AnswerGap("an event follows the end of the answer")
        if data == _DONE:
            self.is_ended = True
            return True
        self._check_request_id(data)
        if not self._advance(number):
            return False
        if b'"usage":' in data:
            self._read_usage(data)
        return True

    def _advance(self, number: int | None) -> bool:
        """Check an event's number; return False for one that was relayed before."""
        if self._is_numbered is None:
            self._is_numbered = number is not None
        if self._is_numbered != (number is not None):
            raise AnswerGap("numbered and unnumbered events are mixed")
        if number is None:
            if self._may_repeat:
                raise AnswerGap("an answer without numbers cannot be resumed")
            return True
        if self._may_repeat and number <= self.position:
            return False
        if number != self.position + 1:
            raise AnswerGap(f"event {number} follows event {self.position}")
        self._may_repeat = False
        self.position = number
        return True

    def _read_number(self, text: bytes) -> int:
        try:
            return int(text)
        except ValueError as error:
            raise AnswerMalformed("an event's id is not a number") from error

    def _check_request_id(self, data: bytes) -> None:
        if data.startswith(self._prefix):
            return
        if _parse_object(data).get("id") != self._request_id:
            raise AnswerCrossed

    def _read_usage(self, data: bytes) -> None:
        usage = _parse_object(data).get("usage")
        if not isinstance(usage, dict):
            return
        self.usage = _make_usage(usage)


def _find_ends(buffer: bytes) -> Iterator[tuple[int, int]]:
    """Yield where each whole event ends, without and with its empty line."""
    if b"\r" in buffer:
        for match in _EVENT_END_PATTERN.finditer(buffer):
            yield match.span()
        return
    event_end = buffer.find(_EVENT_END)
    while event_end >= 0:
        end = event_end + len(_EVENT_END)
        yield event_end, end
        event_end = buffer.find(_EVENT_END, end)


def _parse_object(data: bytes) -> dict[str, Any]:
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise AnswerMalformed("an event is not JSON") from error
    if not isinstance(value, dict):
        raise AnswerMalformed("an event is not a JSON object")
    return value


def _make_usage(usage: dict[str, Any]) -> Usage:
    return Usage(
        prompt_tokens=_read_count(usage, "prompt_tokens"),
        output_tokens=_read_count(usage, "completion_tokens"),
        cached_tokens=_read_count(usage, "cached_tokens") or 0,
    )


def _read_count(usage: dict[str, Any], name: str) -> int | None:
    value = usage.get(name)
    if isinstance(value, int) and not isinstance(value, bool) and value >= 0:
        return value
    return None


def check_whole_answer(body: bytes, request_id: str) -> Usage:
    """Check a non-streamed answer and return its usage.

    Raise AnswerCrossed if it belongs to another request, AnswerMalformed if it is
    not a JSON object.
    """
    value = _parse_object(body)
    if value.get("id") != request_id:
        raise AnswerCrossed
    usage = value.get("usage")
    return _make_usage(usage) if isinstance(usage, dict) else Usage()
