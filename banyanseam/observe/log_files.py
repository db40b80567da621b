"""Reads log files of any size, line by line."""

import json
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any, Final

# Maximum length of a prefix added by a log collector, such as a time or a host name.
MAX_PREFIX_BYTES: Final = 200
MAX_LINE_BYTES: Final = 64 * 1024
_EVENT: Final = re.compile(rb'"event": ?(\d+)')


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a process's log."""

    vm: str
    at: datetime
    event: int
    message: str
    fields: dict[str, Any]


def read_event_number(line: bytes) -> int | None:
    """Return the event number without decoding the line, or None without one."""
    found = _EVENT.search(line)
    return None if found is None else int(found[1])


def decode_line(line: bytes) -> LogLine | None:
    """Decode a line, or return None if it is not a log line of this project."""
    begin = line.find(b"{", 0, MAX_PREFIX_BYTES)
    if begin < 0:
        return None
    try:
        fields = json.loads(line[begin:])
        return LogLine(
            vm=str(fields.pop("seat")),
            at=datetime.fromisoformat(fields.pop("time")),
            event=int(fields.pop("event")),
            message=str(fields.pop("message")),
            fields=fields,
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def iterate_lines(path: Path, report_bytes: Callable[[int], None]) -> Iterator[bytes]:
    """Yield a file's lines; raise OSError.

    A line longer than MAX_LINE_BYTES, the longest that a process writes, is split, so
    that memory use is bounded for any file.
    """
    with path.open("rb") as file:
        while line := file.readline(MAX_LINE_BYTES):
            report_bytes(len(line))
            yield line
