"""Send replies over ASGI."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from banyanseam.errors import BanyanseamError, Problem
from banyanseam.pipe.models import Headers
from banyanseam.server.budget import StreamWindow

AsgiSend = Callable[[dict[str, Any]], Awaitable[None]]
AsgiReceive = Callable[[], Awaitable[dict[str, Any]]]
CLOSE_HEADER = (b"connection", b"close")
_EVENT_STREAM = b"text/event-stream"


class CallerSink:
    """A reply that is sent on the caller's connection."""

    def __init__(
        self, send: AsgiSend, request_id: str, closes: Callable[[], bool]
    ) -> None:
        """Begin with nothing sent; `closes` returns whether to close the connection."""
        self.started = False
        self.first_sent_s: float | None = None
        self._send = send
        self.closes = closes
        self.request_id = request_id
        # Limits the memory of the stream and aborts it if the reader is too slow.
        self.window: StreamWindow | None = None
        self._is_event_stream = False

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and headers."""
        self.started = True
        own = [(b"x-request-id", self.request_id.encode())]
        forwarded = [header for header in headers if header[0] != b"x-request-id"]
        content_type = dict(forwarded).get(b"content-type", b"")
        if self.closes():
            own.append(CLOSE_HEADER)
        self._is_event_stream = content_type.startswith(_EVENT_STREAM)
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": forwarded + own,
            }
        )

    async def send(self, data: bytes) -> None:
        """Send a part of the body; wait for a slow reader."""
        if self.first_sent_s is None:
            self.first_sent_s = anyio.current_time()
        if self.window is not None:
            await self.window.send(data)
        else:
            await self.transmit(data)

    async def transmit(self, data: bytes) -> None:
        """Write a part of the body to the connection, bypassing the stream's window."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self) -> None:
        """End a complete answer."""
        await self._send({"type": "http.response.body", "body": b""})

    async def send_error_event(self, problem: Problem) -> None:
        """Send the failure as a last event, if the answer is an event stream."""
        if self._is_event_stream:
            text = problem.model_dump_json(exclude_none=True)
            await self.transmit(f"event: error\ndata: {text}\n\n".encode())


async def send_body(send: AsgiSend, status: int, body: bytes, headers: Headers) -> None:
    """Send a complete answer at once."""
    length = (b"content-length", str(len(body)).encode())
    await send(
        {"type": "http.response.start", "status": status, "headers": [*headers, length]}
    )
    await send({"type": "http.response.body", "body": body})


async def send_problem(
    send: AsgiSend,
    error: BanyanseamError,
    request_id: str,
    *,
    is_surely_not_run: bool,
    closes: bool = False,
) -> None:
    """Send a failure as problem details (RFC 9457)."""
    problem = error.to_problem(request_id, is_surely_not_run=is_surely_not_run)
    headers = [
        (b"content-type", b"application/problem+json"),
        (b"x-request-id", request_id.encode()),
    ]
    if problem.retry_after_ms is not None:
        retry_after_s = -(-problem.retry_after_ms // 1000)
        headers.append((b"retry-after", str(retry_after_s).encode()))
    if closes:
        headers.append(CLOSE_HEADER)
    body = problem.model_dump_json(exclude_none=True).encode()
    await send_body(send, problem.status, body, headers)
