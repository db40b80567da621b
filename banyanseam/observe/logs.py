"""Writes the log lines of this project and of libraries as JSON."""

import logging
import sys
import traceback
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from loguru import logger

from banyanseam.observe.events import (
    LIBRARY_ERROR,
    LIBRARY_INFO,
    LIBRARY_WARNING,
    Event,
    log,
)
from banyanseam.observe.line_writer import LineWriter
from banyanseam.observe.recent import RecentLines
from banyanseam.observe.redact import ToJson, make_to_json

if TYPE_CHECKING:
    from loguru import Message

MAX_DETAIL: Final = 500
MAX_TRACE: Final = 4000


@dataclass(frozen=True, slots=True)
class Logs:
    """The parts of this process's logging that a diagnostics bundle uses."""

    to_json: ToJson
    recent: RecentLines


class LibraryHandler(logging.Handler):
    """Converts records of the standard `logging` module to numbered events.

    It never receives debug records: libraries include frames and headers in those, and
    with them bodies and keys.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record as an event."""
        error = record.exc_info[1] if record.exc_info else None
        log(
            _choose_event(record.levelno),
            library=record.name,
            detail=record.getMessage()[:MAX_DETAIL],
            error=repr(error)[:MAX_DETAIL] if error is not None else None,
        )


def set_up_logs(
    level: str,
    *,
    seat: str,
    secrets: Iterable[str] = (),
    writer: LineWriter | None = None,
) -> Logs:
    """Send every log line of this process to a writer, or to standard error, as JSON.

    The secrets, and anything that looks like a caller's key, are redacted.
    """
    logs = Logs(make_to_json(secrets), RecentLines())
    logger.remove()
    sink = _make_sink(logs, writer)
    logger.add(sink, level=level, diagnose=False, backtrace=False)
    logger.configure(extra={"seat": seat})
    library_level = logging.INFO if level == "DEBUG" else logging.WARNING
    logging.basicConfig(handlers=[LibraryHandler()], level=library_level, force=True)
    logging.captureWarnings(True)
    return logs


def format_traceback(error: BaseException) -> str:
    """Return the end of a traceback, for the log."""
    return "".join(traceback.format_exception(error))[-MAX_TRACE:]


def _choose_event(level: int) -> Event:
    if level >= logging.ERROR:
        return LIBRARY_ERROR
    return LIBRARY_WARNING if level >= logging.WARNING else LIBRARY_INFO


def _make_sink(logs: Logs, writer: LineWriter | None) -> Callable[["Message"], None]:
    def write(message: "Message") -> None:
        record = message.record
        line = {
            "time": record["time"].isoformat(),
            "level": record["level"].name,
            "message": record["message"],
            **record["extra"],
        }
        if record["exception"] is not None:
            line["exception"] = repr(record["exception"].value)
        text = logs.to_json(line)
        logs.recent.record(line.get("event", 0), line["time"], text)
        if writer is None:
            sys.stderr.write(text + "\n")
            return
        writer.write(text, is_urgent=record["level"].no >= logging.WARNING)

    return write
