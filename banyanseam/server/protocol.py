"""Limits of the HTTP border that uvicorn's own protocol class does not set."""

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
    """Ends connections whose header is too large or does not arrive in time.

    It also tells the application of the connection's state, as an ASGI extension.
    A body has its time too once its request was refused before it arrived.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Start counting with the first byte of the first request."""
        super().__init__(*args, **kwargs)
        self._header_bytes = 0
        self._header_timer: asyncio.TimerHandle | None = None
        self._connection = Connection()
        self._body_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        """Give the first request's header its time."""
        super().connection_made(transport)
        # The byte budget counts on this limit for each answer.
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timers with the connection."""
        self._stop_header_timer()
        self._stop_body_timer()
        super().connection_lost(exc)
        self._connection.lose()

    def pause_writing(self) -> None:
        """Note that the caller reads more slowly than the answer comes."""
        super().pause_writing()
        self._connection.is_full = True

    def resume_writing(self) -> None:
        """Note that the buffer has room again."""
        super().resume_writing()
        self._connection.is_full = False

    def on_message_begin(self) -> None:
        """Count each request's header anew."""
        super().on_message_begin()
        self.scope["extensions"] = {CONNECTION: self._connection}
        self._header_bytes = 0
        self._start_header_timer()

    def on_url(self, url: bytes) -> None:
        """Refuse a target that is too long."""
        super().on_url(url)
        if len(self.url) > MAX_URL_BYTES:
            self._refuse(TargetTooLong())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Refuse a header that is too large."""
        super().on_header(name, value)
        self._header_bytes += len(name) + len(value)
        too_many = len(self.headers) > MAX_HEADERS
        if too_many or self._header_bytes > MAX_HEADER_BYTES:
            self._refuse(HeaderTooLarge())

    def on_headers_complete(self) -> None:
        """Stop the timer; the body has a limit of its own."""
        self._stop_header_timer()
        if not self.transport.is_closing():
            super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Stop the timer; the connection may be used again."""
        super().on_message_complete()
        self._stop_body_timer()

    def on_response_complete(self) -> None:
        """Give the rest of a body that nobody reads any more its time."""
        super().on_response_complete()
        # Any byte puts off uvicorn's own time limit, so a trickle would hold the
        # connection for ever. Closing at once could lose the refusal on its way.
        if self.cycle.more_body and self._body_timer is None:
            self._body_timer = self.loop.call_later(UNREAD_BODY_S, self.transport.close)

    def send_400_response(self, msg: str) -> None:
        """Refuse what is no HTTP, as uvicorn's own class asks."""
        self._refuse(RequestMalformed("no HTTP request"))

    def _start_header_timer(self) -> None:
        self._stop_header_timer()
        self._header_timer = self.loop.call_later(HEADER_TIMEOUT_S, self._expire)

    def _expire(self) -> None:
        # A process that stood still fires its timers before it reads what came
        # meanwhile, so the header gets a moment more to be read.
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
        # A refusal must not be read as a part of an answer that still runs.
        if self.cycle is None or self.cycle.response_complete:
            self.transport.write(render_refusal(error))
        self.transport.close()


def render_refusal(error: BanyanseamError) -> bytes:
    """Return a whole response for a request that never got a header."""
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
