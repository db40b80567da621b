"""Requests, answers, load reports and run records of the model engine."""

import json
from collections import deque
from dataclasses import dataclass
from typing import Any

from standins.batching import Run

DEFAULT_MAX_TOKENS = 16


@dataclass(slots=True)
class ChatBody:
    """The fields of a request that the engine reads."""

    model: str
    prompt: bytes
    max_tokens: int
    stream: bool

    @classmethod
    def read(cls, value: dict[str, Any]) -> "ChatBody":
        """Read a chat-completions body."""
        contents = [str(message["content"]) for message in value["messages"]]
        return cls(
            model=str(value.get("model", "")),
            prompt="\n".join(contents).encode(),
            max_tokens=int(value.get("max_tokens") or DEFAULT_MAX_TOKENS),
            stream=bool(value.get("stream", False)),
        )


@dataclass(slots=True)
class RunRecord:
    """What the engine reports to tests about one run."""

    request_id: str
    prompt_sha256: str
    organisation: str | None
    seen_headers: list[str]
    run: Run

    def describe(self) -> dict[str, Any]:
        """Return the record as JSON."""
        return {
            "request_id": self.request_id,
            "prompt_sha256": self.prompt_sha256,
            "organisation": self.organisation,
            "seen_headers": self.seen_headers,
            "started": self.run.started_s,
            "finished": self.run.finished_s,
            "cancelled": self.run.is_cancelled,
            "tokens": self.run.generated_tokens,
            "cached_tokens": self.run.cached_tokens,
        }


@dataclass(slots=True)
class LoadReport:
    """The engine's load at one moment."""

    at_s: float
    held_tokens: int
    queued_tokens: int
    running: int


class LoadHistory:
    """Recent load reports; readers get the one current `lag_s` ago."""

    def __init__(self, lag_s: float) -> None:
        """Start without any report."""
        self.lag_s = lag_s
        self.reports: deque[LoadReport] = deque()

    def record(self, report: LoadReport) -> None:
        """Add the current load and drop reports older than the visible one."""
        self.reports.append(report)
        visible_until_s = report.at_s - self.lag_s
        while len(self.reports) > 1 and self.reports[1].at_s <= visible_until_s:
            self.reports.popleft()

    def describe_visible(self, now_s: float) -> dict[str, Any]:
        """Return the visible report as JSON."""
        report = self.reports[0]
        return {
            "held_tokens": report.held_tokens,
            "queued_tokens": report.queued_tokens,
            "running": report.running,
            "as_of_ms_ago": round((now_s - report.at_s) * 1000),
        }


def _usage(run: Run) -> dict[str, int]:
    return {
        "prompt_tokens": run.prompt_tokens,
        "completion_tokens": run.generated_tokens,
        "cached_tokens": run.cached_tokens,
    }


def format_event(
    number: int, request_id: str, delta: dict[str, str], reason: str | None, **more: Any
) -> bytes:
    """Return one chunk of a streamed answer as a server-sent event."""
    choice = {"index": 0, "delta": delta, "finish_reason": reason}
    chunk = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "choices": [choice],
        **more,
    }
    data = json.dumps(chunk, separators=(",", ":"))
    return f"id: {number}\ndata: {data}\n\n".encode()


def format_end(run: Run, answer_id: str) -> bytes:
    """Return the last chunk, with the usage, and the end-of-stream marker."""
    number = run.generated_tokens + 1
    last = format_event(number, answer_id, {}, "stop", usage=_usage(run))
    return last + b"data: [DONE]\n\n"


def describe_answer(run: Run, answer_id: str) -> dict[str, Any]:
    """Return the complete answer to a request that is not streamed."""
    words = (f"w{number} " for number in range(1, run.generated_tokens + 1))
    return {
        "id": answer_id,
        "object": "chat.completion",
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": "".join(words)},
                "finish_reason": "stop",
            }
        ],
        "usage": _usage(run),
    }
