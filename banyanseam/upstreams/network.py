"""Network streams for httpcore with little overhead per read and write.

httpcore's own streams start a cancel scope with a timer for each read, and yield to
the event loop once more for each write, even if nothing has to wait.
"""

import asyncio
import fcntl
import select
import sys
import termios
from collections.abc import Callable
from typing import Any, Final

import anyio
import httpcore

from banyanseam.upstreams.const import READ_AHEAD_BYTES

# How often an answer that has ended is checked until its request has arrived.
ARRIVAL_PERIOD_S: Final = 0.01

# Every read of the event loop goes here first and is copied at once. Reads into a
# buffer of the loop's own would be four times as large.
_received = memoryview(bytearray(READ_AHEAD_BYTES))


class UpstreamStream(asyncio.BufferedProtocol, httpcore.AsyncNetworkStream):
    """A connection to an upstream; at most one read or write may wait at a time."""

    def __init__(self) -> None:
        """Start unconnected; asyncio calls `connection_made` once connected."""
        # Called once, just before the next byte is written.
        self.before_write: Callable[[], None] | None = None
        # While set, reading fails once this many bytes have been read in total.
        self._max_read_bytes: int | None = None
        self._read_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._read_buffer = bytearray()
        self._is_at_end = False
        self._is_lost = False
        self._is_write_paused = False
        self._waiter: asyncio.Future[None] | None = None

    def limit_reads(self, max_bytes: int | None) -> None:
        """Fail reads once this many more bytes have been read; None lifts the limit."""
        self._max_read_bytes = None
        if max_bytes is not None:
            self._max_read_bytes = self._read_bytes + max_bytes

    def set_option(self, level: int, option: int, value: int) -> None:
        """Set an option of the connected socket."""
        self._transport.get_extra_info("socket").setsockopt(level, option, value)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the event loop puts what it receives."""
        return _received

    def buffer_updated(self, nbytes: int) -> None:
        """Buffer data for the next read; pause reading beyond READ_AHEAD_BYTES."""
        self._read_buffer += _received[:nbytes]
        if len(self._read_buffer) > READ_AHEAD_BYTES:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Record the end of the stream; return True to leave closing to the user."""
        self._is_at_end = True
        self._wake()
        return True

    def connection_lost(self, _: Exception | None) -> None:
        """Record the loss and wake the waiting read or write."""
        self._is_lost = True
        self._wake()

    def pause_writing(self) -> None:
        """Make writes wait while the buffer is full, until the upstream reads."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Wake a waiting write."""
        self._is_write_paused = False
        self._wake()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the buffered data, empty at the end once all writes have arrived.

        Raise ReadTimeout, ReadError, or RemoteProtocolError above the limit of reads.
        More than `max_bytes` may be returned, as the buffer is bounded already.
        """
        limit_bytes = self._max_read_bytes
        if limit_bytes is not None and self._read_bytes >= limit_bytes:
            raise httpcore.RemoteProtocolError("the answer's head is too long")
        if not self._can_read():
            await self._wait(self._can_read, timeout, httpcore.ReadTimeout)
        if not self._read_buffer:
            await self._confirm_end(timeout)
            return b""
        data = bytes(self._read_buffer)
        self._read_bytes += len(data)
        self._read_buffer.clear()
        if len(data) > READ_AHEAD_BYTES and not self._is_lost:
            self._transport.resume_reading()
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send data; raise WriteTimeout or WriteError."""
        if not buffer:
            return
        if self.before_write is not None:
            self.before_write()
            self.before_write = None
        if not self._is_lost:
            self._transport.write(buffer)
        if not self._can_write():
            await self._wait(self._can_write, timeout, httpcore.WriteTimeout)
        if self._is_lost:
            raise httpcore.WriteError

    async def aclose(self) -> None:
        """Abort the connection, if it was made."""
        if self._transport is not None:
            self._transport.abort()

    def get_extra_info(self, info: str) -> Any:
        """Return whether an idle connection is readable; other info is None."""
        return self._is_readable() if info == "is_readable" else None

    def _can_read(self) -> bool:
        return bool(self._read_buffer) or self._is_at_end or self._is_lost

    def _can_write(self) -> bool:
        return not self._is_write_paused or self._is_lost

    def _is_readable(self) -> bool:
        if self._can_read() or self._transport.is_closing():
            return True
        # The kernel may have an end of stream that the event loop has not read yet.
        return self._poll(select.POLLIN)

    def _poll(self, events: int) -> bool:
        """Return whether the socket has one of the events, an error or a reset."""
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket"), events)
        return bool(poll.poll(0))

    async def _confirm_end(self, timeout_s: float | None) -> None:
        """Return once all writes have arrived; raise ReadError after a reset.

        An upstream that closes while a request is on its way resets the connection
        after the end of the stream. The event loop no longer reads after that end, so
        it does not report the reset. A reset that comes later still is not waited for:
        every sound answer without a length would come later too.
        """
        has_arrived = False
        try:
            async with asyncio.timeout(timeout_s):
                while not has_arrived:
                    # Checked first, so that a reset in between is noticed.
                    has_arrived = self._has_arrived()
                    if not self._is_at_end or self._is_reset():
                        raise httpcore.ReadError
                    if not has_arrived:
                        await asyncio.sleep(ARRIVAL_PERIOD_S)
        except TimeoutError as error:
            raise httpcore.ReadTimeout from error

    def _is_reset(self) -> bool:
        return self._is_lost or self._transport.is_closing() or self._poll(0)

    def _has_arrived(self) -> bool:
        """Return whether the upstream's host has acknowledged all that was written."""
        if self._is_lost or self._transport.is_closing():
            return False
        if self._transport.get_write_buffer_size():
            return False
        connected = self._transport.get_extra_info("socket")
        unacknowledged = fcntl.ioctl(connected.fileno(), termios.TIOCOUTQ, bytes(4))
        return not int.from_bytes(unacknowledged, sys.byteorder)

    async def _wait(
        self,
        is_done: Callable[[], bool],
        timeout_s: float | None,
        timeout: type[httpcore.TimeoutException],
    ) -> None:
        loop = asyncio.get_running_loop()
        timer = None
        if timeout_s is not None:
            timer = loop.call_later(timeout_s, self._expire, timeout)
        try:
            while not is_done():
                self._waiter = loop.create_future()
                await self._waiter
        finally:
            self._waiter = None
            if timer is not None:
                timer.cancel()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _expire(self, timeout: type[httpcore.TimeoutException]) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(timeout())


async def connect(host: str, port: int, timeout_s: float) -> UpstreamStream:
    """Open a TCP connection; raise ConnectTimeout or ConnectError."""
    stream = UpstreamStream()
    loop = asyncio.get_running_loop()
    try:
        with anyio.fail_after(timeout_s):
            await loop.create_connection(lambda: stream, host, port)
    except TimeoutError as error:
        await stream.aclose()
        raise httpcore.ConnectTimeout from error
    except OSError as error:
        raise httpcore.ConnectError from error
    except BaseException:
        await stream.aclose()
        raise
    return stream
