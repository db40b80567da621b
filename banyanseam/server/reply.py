"""Replies on the HTTP border."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from banyanseam.errors import BanyanseamError, Problem
from banyanseam.pipe.models import Headers

AsgiSend = Callable[[dict[str, Any]], Awaitable[None]]
AsgiReceive = Callable[[], Awaitable[dict[str, Any]]]
_EVENT_STREAM = b"text/event-stream"


class CallerSink:
    """A reply that goes to the caller's own connection."""

    def __init__(self, send: AsgiSend, request_id: str) -> None:
        """Start with nothing sent."""
        self.started = False
        self.first_sent_s: float | None = None
        self._send = send
        self.request_id = request_id
        self._is_event_stream = False

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and headers."""
        self.started = True
        own = [(b"x-request-id", self.request_id.encode())]
        passed = [header for header in headers if header[0] != b"x-request-id"]
        content_type = dict(passed).get(b"content-type", b"")
        self._is_event_stream = content_type.startswith(_EVENT_STREAM)
        await self._send(
            {"type": "http.response.start", "status": status, "headers": passed + own}
        )

    async def send(self, data: bytes) -> None:
        """Send a part of the body; wait while the caller reads slowly."""
        if self.first_sent_s is None:
            self.first_sent_s = anyio.current_time()
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self) -> None:
        """End a whole answer."""
        await self._send({"type": "http.response.body", "body": b""})

    async def announce_break(self, problem: Problem) -> None:
        """Tell the reader of an event stream why it breaks off here."""
        if self._is_event_stream:
            text = problem.model_dump_json(exclude_none=True)
            await self.send(f"event: error\ndata: {text}\n\n".encode())


async def send_body(send: AsgiSend, status: int, body: bytes, headers: Headers) -> None:
    """Send a whole answer at once."""
    length = (b"content-length", str(len(body)).encode())
    await send(
        {"type": "http.response.start", "status": status, "headers": [*headers, length]}
    )
    await send({"type": "http.response.body", "body": body})


async def send_problem(
    send: AsgiSend, error: BanyanseamError, request_id: str, *, upstream_started: bool
) -> None:
    """Send a failure as problem details (RFC 9457)."""
    problem = error.to_problem(request_id, upstream_started=upstream_started)
    headers = [
        (b"content-type", b"application/problem+json"),
        (b"x-request-id", request_id.encode()),
    ]
    if problem.retry_after_ms is not None:
        retry_after_s = -(-problem.retry_after_ms // 1000)
        headers.append((b"retry-after", str(retry_after_s).encode()))
    body = problem.model_dump_json(exclude_none=True).encode()
    await send_body(send, problem.status, body, headers)
