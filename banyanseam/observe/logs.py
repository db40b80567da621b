"""Log lines as JSON on standard error."""

import json
import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message


def _write(message: "Message") -> None:
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    sys.stderr.write(json.dumps(line, default=str) + "\n")


def set_up_logs(level: str, *, seat: str) -> None:
    """Send every log line of this process to standard error as JSON."""
    logger.remove()
    logger.add(_write, level=level, diagnose=False, backtrace=False)
    logger.configure(extra={"seat": seat})
