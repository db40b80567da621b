"""HTTP limits that uvicorn's own protocol class does not enforce."""

import asyncio
from http import HTTPStatus
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from banyanseam.errors import BanyanseamError
from banyanseam.pipe.errors import RequestMalformed
from banyanseam.server.connection import CONNECTION, Connection
from banyanseam.server.const import (
    HEADER_GRACE_S,
    HEADER_TIMEOUT_S,
    MAX_HEADER_BYTES,
    MAX_HEADERS,
    MAX_URL_BYTES,
    UNREAD_BODY_S,
    WRITE_BUFFER_BYTES,
)
from banyanseam.server.errors import HeaderTooLarge, HeaderTooSlow, TargetTooLong


class LimitedProtocol(HttpToolsProtocol):
    """Closes connections whose header is too large or does not arrive in time.

    It also passes the connection's state to the application, as an ASGI extension,
    and limits how long the body of an already refused request may take.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Create the protocol with empty counters and stopped timers."""
        super().__init__(*args, **kwargs)
        self._header_bytes = 0
        self._header_timer: asyncio.TimerHandle | None = None
        self._connection = Connection()
        self._body_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        """Start the timer for the first request's header."""
        super().connection_made(transport)
        # The byte budget relies on this limit for each answer.
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timers and mark the connection as lost."""
        self._stop_header_timer()
        self._stop_body_timer()
        super().connection_lost(exc)
        self._connection.mark_lost()

    def pause_writing(self) -> None:
        """Mark the write buffer as full: the caller reads too slowly for the answer."""
        super().pause_writing()
        self._connection.is_write_blocked = True

    def resume_writing(self) -> None:
        """Mark the write buffer as no longer full."""
        super().resume_writing()
        self._connection.is_write_blocked = False

    def on_message_begin(self) -> None:
        """Reset the header counter and timer for the new request."""
        super().on_message_begin()
        self.scope["extensions"] = {CONNECTION: self._connection}
        self._header_bytes = 0
        self._start_header_timer()

    def on_url(self, url: bytes) -> None:
        """Reject a target that is too long."""
        super().on_url(url)
        if len(self.url) > MAX_URL_BYTES:
            self._refuse(TargetTooLong())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Reject a header that is too large."""
        super().on_header(name, value)
        self._header_bytes += len(name) + len(value)
        too_many = len(self.headers) > MAX_HEADERS
        if too_many or self._header_bytes > MAX_HEADER_BYTES:
            self._refuse(HeaderTooLarge())

    def on_headers_complete(self) -> None:
        """Stop the header timer; the body has its own time limit."""
        self._stop_header_timer()
        if not self.transport.is_closing():
            super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Stop the body timer; the connection may be reused."""
        super().on_message_complete()
        self._stop_body_timer()

    def on_response_complete(self) -> None:
        """Limit the time for the rest of a request body that is no longer read."""
        super().on_response_complete()
        # Every byte resets uvicorn's own timeout, so a slow trickle could keep the
        # connection open indefinitely. Closing at once could lose the sent refusal.
        if self.cycle.more_body and self._body_timer is None:
            self._body_timer = self.loop.call_later(UNREAD_BODY_S, self.transport.close)

    def send_400_response(self, msg: str) -> None:
        """Reject data that is not HTTP; overrides uvicorn's plain 400 response."""
        self._refuse(RequestMalformed("not an HTTP request"))

    def _start_header_timer(self) -> None:
        self._stop_header_timer()
        self._header_timer = self.loop.call_later(
            HEADER_TIMEOUT_S, self._on_header_timeout
        )

    def _on_header_timeout(self) -> None:
        # A resumed process runs due timers before it reads data that arrived during
        # its suspension, so a grace period lets that data be read first.
        self._header_timer = self.loop.call_later(
            HEADER_GRACE_S, self._refuse, HeaderTooSlow()
        )

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _stop_body_timer(self) -> None:
        if self._body_timer is not None:
            self._body_timer.cancel()
            self._body_timer = None

    def _refuse(self, error: BanyanseamError) -> None:
        if self.transport.is_closing():
            return
        # A refusal must not be written into an unfinished answer.
        if self.cycle is None or self.cycle.response_complete:
            self.transport.write(render_refusal(error))
        self.transport.close()


def render_refusal(error: BanyanseamError) -> bytes:
    """Return a complete answer to a request without a valid header."""
    problem = error.to_problem("-", is_surely_not_run=True)
    body = problem.model_dump_json(exclude_none=True).encode()
    reason = HTTPStatus(problem.status).phrase
    head = (
        f"HTTP/1.1 {problem.status} {reason}\r\n"
        "connection: close\r\n"
        "content-type: application/problem+json\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
