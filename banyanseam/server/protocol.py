"""HTTP limits that uvicorn's own protocol class does not enforce."""

import asyncio
from http import HTTPStatus
from typing import Any

import httptools
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from banyanseam.errors import BanyanseamError
from banyanseam.pipe.errors import RequestMalformed
from banyanseam.server.connection import CONNECTION, Connection
from banyanseam.server.connections import ConnectionTable
from banyanseam.server.const import (
    HEADER_GRACE_S,
    HEADER_TIMEOUT_S,
    HELD_CHECK_S,
    MAX_EMPTY_LINE_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEADER_BYTES,
    MAX_HEADERS,
    MAX_HELD_BYTES,
    MAX_URL_BYTES,
    UNREAD_BODY_S,
    UNREAD_REFUSAL_S,
    WRITE_BUFFER_BYTES,
)
from banyanseam.server.errors import HeaderTooLarge, HeaderTooSlow, TargetTooLong
from banyanseam.server.hang_up import has_hung_up
from banyanseam.server.splitter import RequestSplitter


class HeldFlow(FlowControl):
    """Flow control that does not resume reading while enough bytes are held."""

    is_held = False

    def resume_reading(self) -> None:
        """Resume reading, unless enough bytes are held."""
        if not self.is_held:
            super().resume_reading()

    def hold(self, is_held: bool) -> None:
        """Pause reading until this is called with False."""
        if is_held == self.is_held:
            return
        self.is_held = is_held
        if is_held:
            self.pause_reading()
        else:
            self.resume_reading()


class LimitedProtocol(HttpToolsProtocol):
    """Bounds what a connection may send, keep in memory and leave unread.

    The parser is given one request at a time: the next one follows when the answer has
    been written. The connection's state is passed to the application as an ASGI
    extension, and the rest of a refused request's body has a time limit.
    """

    def __init__(self, *args: Any, table: ConnectionTable, **kwargs: Any) -> None:
        """Create the protocol with empty counters and stopped timers."""
        super().__init__(*args, **kwargs)
        self._table = table
        self._port = self.server_state
        self._splitter = RequestSplitter()
        self._has_pending = False
        self._is_upgraded = False
        self._header_bytes = 0
        self._header_timer: asyncio.TimerHandle | None = None
        self._connection = Connection()
        self._body_timer: asyncio.TimerHandle | None = None
        self._idle_since_s = 0.0
        self._has_caller_ended = False
        self._is_stopping = False
        self._stop_timer: asyncio.TimerHandle | None = None
        self._held_timer: asyncio.TimerHandle | None = None
        self._unread_bytes = 0

    def connection_made(self, transport: Any) -> None:
        """Start the timer for the first request's header."""
        super().connection_made(transport)
        self.flow = HeldFlow(transport)
        # The byte budget relies on this limit for each answer.
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        if not self._table.add(self._port, self, self.loop.time()):
            transport.abort()
            return
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timers and mark the connection as lost."""
        is_closed_here = exc is None and not self._has_caller_ended
        if is_closed_here and self._splitter.held_bytes:
            self._table.record_closed("unanswered", self.loop.time())
        self._stop_header_timer()
        self._stop_body_timer()
        for timer in (self._stop_timer, self._held_timer):
            if timer is not None:
                timer.cancel()
        self._splitter = RequestSplitter()
        self._table.remove(self._port, self)
        super().connection_lost(exc)
        self._connection.mark_lost()

    def eof_received(self) -> None:
        """Record that the caller has closed its side of the connection."""
        self._has_caller_ended = True
        super().eof_received()

    def abort(self) -> None:
        """Close the connection at once, in favour of others."""
        self.transport.abort()

    def pause_writing(self) -> None:
        """Mark the write buffer as full: the caller reads too slowly for the answer."""
        super().pause_writing()
        self._connection.is_write_blocked = True

    def resume_writing(self) -> None:
        """Mark the write buffer as no longer full."""
        super().resume_writing()
        self._connection.is_write_blocked = False
        self._continue_soon()

    def data_received(self, data: bytes) -> None:
        """Give the parser what it may have, and hold the rest."""
        if self._is_upgraded or self.transport.is_closing():
            return
        self._splitter.add(data)
        self._parse()

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
            self._splitter.begin_body(_read_length(self.headers))
            super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Count the bytes up to the next part of the body anew."""
        self._splitter.continue_body()
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Stop the body timer; the connection may be reused."""
        super().on_message_complete()
        # The application receives nothing more, so that it would not resume reading,
        # and the caller's close would go unnoticed until the answer.
        self.flow.resume_reading()
        self._stop_body_timer()
        self._splitter.end_request()
        if self._is_answering:
            self._table.mark_busy(self._port, self)

    def on_response_complete(self) -> None:
        """Limit the time for the rest of a request body that is no longer read."""
        self._idle_since_s = self.loop.time()
        super().on_response_complete()
        self._table.mark_idle(self._port, self)
        # Every byte resets uvicorn's own timeout, so a slow trickle could keep the
        # connection open indefinitely. Closing at once could lose the sent refusal.
        if self.cycle.more_body and self._body_timer is None:
            self._body_timer = self.loop.call_later(UNREAD_BODY_S, self.transport.close)
        if self._splitter.held_bytes:
            self._continue_soon()
        else:
            self._close_if_stopping()

    def shutdown(self) -> None:
        """Close the connection once each request read on it has its whole answer."""
        self._is_stopping = True
        # What was held behind the last answer may not have been parsed yet.
        self._parse()
        if self._stop_timer is None:
            self.limit_unread()

    def limit_unread(self) -> None:
        """End the connection if its caller takes nothing of its refusals."""
        self._unread_bytes = self.transport.get_write_buffer_size()
        self._stop_timer = self.loop.call_later(UNREAD_REFUSAL_S, self._check_unread)

    def _check_unread(self) -> None:
        has_taken = self.transport.get_write_buffer_size() < self._unread_bytes
        if self._unread_bytes and not has_taken and not self._connection.is_admitted:
            self._table.record_closed("unread", self.loop.time())
            self.transport.abort()
            return
        self.limit_unread()

    def _close_if_stopping(self) -> None:
        if not self._is_stopping or self.transport.is_closing():
            return
        is_held = self._splitter.held_bytes > 0
        if self._is_answering:
            # An answer that has begun does not say any more that its connection ends.
            if not is_held and not self.cycle.response_started:
                self.cycle.keep_alive = False
            return
        if is_held and not self._may_parse:
            return
        self._table.count_closed("stop")
        self.transport.close()

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection, unless it may be idle for longer by now.

        uvicorn's limit is that of the time when the connection was opened, and callers
        use the one in force.
        """
        idle_s = self.loop.time() - self._idle_since_s
        left_s = self.config.timeout_keep_alive - idle_s
        if left_s <= 0:
            self._table.count_closed("idle")
            super().timeout_keep_alive_handler()
            return
        self.timeout_keep_alive_task = self.loop.call_later(
            left_s, self.timeout_keep_alive_handler
        )

    def send_400_response(self, msg: str) -> None:
        """Reject data that is not HTTP; overrides uvicorn's plain 400 response."""
        self._refuse(RequestMalformed("not an HTTP request"))

    @property
    def _is_answering(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    @property
    def _may_parse(self) -> bool:
        """Return whether the parser may be given the next piece."""
        if self._is_upgraded or self.transport.is_closing():
            return False
        if not self._splitter.is_between_requests:
            return True
        return not self._is_answering and not self.flow.write_paused

    def _continue_soon(self) -> None:
        if self._splitter.held_bytes:
            self.loop.call_soon(self._parse)

    def _parse(self) -> None:
        if self.parser is None:
            return
        splitter = self._splitter
        while self._may_parse:
            piece = splitter.take()
            if not piece:
                break
            self._unset_keepalive_if_required()
            if splitter.head_bytes > MAX_HEAD_BYTES:
                self._refuse(HeaderTooLarge())
                break
            self._feed(piece)
        if splitter.empty_line_bytes > MAX_EMPTY_LINE_BYTES:
            self._refuse(RequestMalformed("empty lines instead of a request"))
        self._limit_held()
        self._close_if_stopping()

    def _feed(self, piece: bytes) -> None:
        try:
            self.parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            # The request is answered without the upgrade; what follows is not HTTP.
            self._is_upgraded = True
            if self.cycle is not None:
                self.cycle.keep_alive = False
        except httptools.HttpParserError:
            message = "Invalid HTTP request received."
            self.logger.warning(message)
            self.send_400_response(message)

    def _limit_held(self) -> None:
        splitter = self._splitter
        if self._is_upgraded or self.transport.is_closing():
            splitter.drop()
        else:
            splitter.compact()
            self.flow.hold(splitter.held_bytes > MAX_HELD_BYTES)
            if self.flow.is_held and self._held_timer is None:
                self._check_held()
        pending_bytes = splitter.pending_bytes
        if pending_bytes or self._has_pending:
            self._has_pending = bool(pending_bytes)
            self._table.set_pending(self, pending_bytes, self.loop.time())

    def _check_held(self) -> None:
        """End the connection if its caller has closed it while it is not read."""
        self._held_timer = None
        if not self.flow.is_held or self.transport.is_closing():
            return
        if has_hung_up(self.transport):
            self._has_caller_ended = True
            self.transport.abort()
            return
        self._held_timer = self.loop.call_later(HELD_CHECK_S, self._check_held)

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
        if self._is_reading_body:
            # The application gets the disconnect instead of the rest of the body.
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        # A refusal must not be written into an unfinished answer.
        if not self._is_answering or self._is_reading_body:
            self.transport.write(render_refusal(error))
        self._table.record_closed(error.code, self.loop.time())
        self.transport.close()

    @property
    def _is_reading_body(self) -> bool:
        """Return whether the request has no answer yet and is not whole."""
        cycle = self.cycle
        return self._is_answering and cycle.more_body and not cycle.response_started


def _read_length(headers: list[tuple[bytes, bytes]]) -> int:
    """Return the length of the body; 0 if it is chunked or there is none."""
    return next((int(value) for name, value in headers if name == b"content-length"), 0)


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
