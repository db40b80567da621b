"""Limits of the HTTP border that uvicorn's own protocol class does not set."""

import asyncio
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from banyanseam.server.const import (
    HEADER_TIMEOUT_S,
    MAX_HEADER_BYTES,
    MAX_HEADERS,
    MAX_URL_BYTES,
    WRITE_BUFFER_BYTES,
)


class LimitedProtocol(HttpToolsProtocol):
    """Ends connections whose header is too large or does not arrive in time."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Start counting with the first byte of the first request."""
        super().__init__(*args, **kwargs)
        self._header_bytes = 0
        self._header_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        """Give the first request's header its time."""
        super().connection_made(transport)
        # The byte budget counts on this limit for each answer.
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer with the connection."""
        self._stop_header_timer()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Count each request's header anew."""
        super().on_message_begin()
        self._header_bytes = 0
        self._start_header_timer()

    def on_url(self, url: bytes) -> None:
        """Refuse a target that is too long."""
        super().on_url(url)
        if len(self.url) > MAX_URL_BYTES:
            self._refuse(b"414 URI Too Long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Refuse a header that is too large."""
        super().on_header(name, value)
        self._header_bytes += len(name) + len(value)
        too_many = len(self.headers) > MAX_HEADERS
        if too_many or self._header_bytes > MAX_HEADER_BYTES:
            self._refuse(b"431 Request Header Fields Too Large")

    def on_headers_complete(self) -> None:
        """Stop the timer; the body has a limit of its own."""
        self._stop_header_timer()
        if not self.transport.is_closing():
            super().on_headers_complete()

    def _start_header_timer(self) -> None:
        self._stop_header_timer()
        self._header_timer = self.loop.call_later(
            HEADER_TIMEOUT_S, self._refuse, b"408 Request Timeout"
        )

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _refuse(self, status: bytes) -> None:
        if self.transport.is_closing():
            return
        self.transport.write(
            b"HTTP/1.1 "
            + status
            + b"\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
        )
        self.transport.close()
