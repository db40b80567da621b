"""Memory budget for the request and answer data that this process buffers.

Request bodies are rejected early when their share is full. Answers wait instead, which
applies backpressure to their upstreams. When memory is short, the answer with the
slowest reader is aborted, so that a few slow readers cannot block the others.
"""

from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager

import anyio

from banyanseam.pipe.errors import BodyTooLarge
from banyanseam.server.const import (
    ABORT_PAUSE_S,
    BODY_SHARE,
    CHUNK_BYTES,
    MAX_BLOCKED_S,
    MIN_READ_BYTES_PER_S,
    PATIENCE_UNDER_PRESSURE_S,
    READ_UNDER_PRESSURE_BYTES_PER_S,
    RETRY_AFTER_MS,
    STREAM_BYTES,
)
from banyanseam.server.errors import BudgetExhausted, SlowReader

Send = Callable[[bytes], Awaitable[None]]
# Returns whether a send could block on the reader now.
MayWait = Callable[[], bool]


class Reservation:
    """Memory reserved for a body, which grows as the body arrives."""

    def __init__(self, budget: "ByteBudget", limit_bytes: int) -> None:
        """Begin with nothing reserved; the body may grow to `limit_bytes`."""
        self.held_bytes = 0
        self._budget = budget
        self._limit_bytes = limit_bytes

    def grow_to(self, size_bytes: int) -> None:
        """Reserve memory up to this size; raise BodyTooLarge or BudgetExhausted."""
        if size_bytes > self._limit_bytes:
            raise BodyTooLarge(f"more than {self._limit_bytes} bytes")
        more_bytes = size_bytes - self.held_bytes
        if more_bytes > 0:
            self._budget.acquire_for_body(more_bytes)
            self.held_bytes = size_bytes

    def release(self) -> None:
        """Release the memory; the end of the context does it too."""
        self._budget.release_body(self.held_bytes)
        self.held_bytes = 0


class StreamWindow:
    """An answer that is sent in chunks to a reader that may be slow."""

    def __init__(self, send: Send, may_wait: MayWait) -> None:
        """Begin with nothing sent."""
        self.is_aborted = False
        self._send = send
        self._may_wait = may_wait
        self._sent_bytes = 0.0
        self._blocked_s = 0.0
        self._blocked_since_s: float | None = None
        self._scope = anyio.CancelScope()

    async def send(self, data: bytes) -> None:
        """Send data, waiting for the reader.

        Raise SlowReader when the reader is slower than MIN_READ_BYTES_PER_S, or is the
        slowest one while other requests wait for memory.
        """
        for start in range(0, len(data), CHUNK_BYTES):
            await self._send_chunk(data[start : start + CHUNK_BYTES])

    def abort(self) -> None:
        """Abort the stream, at once if a send is blocked on the reader."""
        self.is_aborted = True
        self._scope.cancel()

    def measure(self, now_s: float) -> tuple[float, float]:
        """Return the time blocked on the reader and the reader's bytes per second."""
        since_s = now_s if self._blocked_since_s is None else self._blocked_since_s
        blocked_s = self._blocked_s + now_s - since_s
        return blocked_s, self._sent_bytes / max(blocked_s, 1e-6)

    async def _send_chunk(self, chunk: bytes) -> None:
        if self.is_aborted:
            raise SlowReader
        if self._may_wait():
            await self._wait_and_send(chunk)
        else:
            # Without a timer, which would cost more than the send itself.
            await self._send(chunk)
        self._sent_bytes += len(chunk)

    async def _wait_and_send(self, chunk: bytes) -> None:
        began_s = self._blocked_since_s = anyio.current_time()
        self._scope = anyio.CancelScope(
            deadline=began_s + STREAM_BYTES / MIN_READ_BYTES_PER_S
        )
        with self._scope:
            await self._send(chunk)
        self._blocked_since_s = None
        if self._scope.cancelled_caught:
            raise SlowReader
        self._blocked_s += anyio.current_time() - began_s
        if self._blocked_s > MAX_BLOCKED_S:
            self._blocked_s /= 2
            self._sent_bytes /= 2


class ByteBudget:
    """Accounts for the buffered bytes of this process; waiters are served in order."""

    def __init__(self, limit_bytes: int) -> None:
        """Begin with nothing allocated."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.body_bytes = 0
        self.peak_bytes = 0
        self.aborted_streams = 0
        self._streams: set[StreamWindow] = set()
        self._waiters: deque[tuple[int, anyio.Event]] = deque()
        self._next_abort_s = 0.0

    @contextmanager
    def reserve_body(
        self, declared_bytes: int | None, limit_bytes: int
    ) -> Iterator[Reservation]:
        """Hold a body's memory while the context is open.

        `declared_bytes` is the request's Content-Length, if any. Raise BodyTooLarge or
        BudgetExhausted before anything is read.
        """
        reservation = Reservation(self, limit_bytes)
        try:
            reservation.grow_to(declared_bytes or 0)
            yield reservation
        finally:
            reservation.release()

    @asynccontextmanager
    async def hold(self, size_bytes: int) -> AsyncIterator[None]:
        """Wait until memory is available and hold it while the context is open."""
        await self.acquire(size_bytes)
        try:
            yield
        finally:
            self._release(size_bytes)

    @asynccontextmanager
    async def open_stream(
        self, send: Send, may_wait: MayWait = lambda: True
    ) -> AsyncIterator[StreamWindow]:
        """Provide a window for one answer while the context is open.

        Its maximum memory is acquired up front: streams that held some memory while
        waiting for more could deadlock.
        """
        async with self.hold(STREAM_BYTES):
            stream = StreamWindow(send, may_wait)
            self._streams.add(stream)
            try:
                yield stream
            finally:
                self._streams.discard(stream)

    def acquire_for_body(self, size_bytes: int) -> None:
        """Acquire memory for a body without waiting; raise BudgetExhausted."""
        # Bodies must leave memory for answers: a body is released only by its answer.
        body_bytes = self.body_bytes + size_bytes
        fits = self.held_bytes + size_bytes <= self.limit_bytes
        if body_bytes > self.limit_bytes * BODY_SHARE or not fits:
            raise BudgetExhausted(retry_after_ms=RETRY_AFTER_MS)
        self.body_bytes = body_bytes
        self._allocate(size_bytes)

    def release_body(self, size_bytes: int) -> None:
        """Release memory that was acquired for a body."""
        self.body_bytes -= size_bytes
        self._release(size_bytes)

    async def acquire(self, size_bytes: int) -> None:
        """Acquire memory; while too little is free, wait and abort slow answers."""
        if not self._waiters and self._fits(size_bytes):
            self._allocate(size_bytes)
            return
        granted = anyio.Event()
        waiter = (size_bytes, granted)
        self._waiters.append(waiter)
        try:
            while not granted.is_set():
                with anyio.move_on_after(PATIENCE_UNDER_PRESSURE_S / 4):
                    await granted.wait()
                if not granted.is_set():
                    self._abort_slowest()
        except BaseException:
            if granted.is_set():
                self._release(size_bytes)
            else:
                self._waiters.remove(waiter)
                self._grant_waiters()
            raise

    def _fits(self, size_bytes: int) -> bool:
        # A size above the whole budget is granted when nothing else is allocated.
        return not self.held_bytes or self.held_bytes + size_bytes <= self.limit_bytes

    def _allocate(self, size_bytes: int) -> None:
        self.held_bytes += size_bytes
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    def _release(self, size_bytes: int) -> None:
        self.held_bytes -= size_bytes
        self._grant_waiters()

    def _grant_waiters(self) -> None:
        while self._waiters and self._fits(self._waiters[0][0]):
            size_bytes, granted = self._waiters.popleft()
            self._allocate(size_bytes)
            granted.set()

    def _abort_slowest(self) -> None:
        now_s = anyio.current_time()
        if now_s < self._next_abort_s:
            return
        rates = {
            stream: (rate, -blocked_s)
            for stream in self._streams
            if not stream.is_aborted
            for blocked_s, rate in [stream.measure(now_s)]
            if blocked_s >= PATIENCE_UNDER_PRESSURE_S
            and rate < READ_UNDER_PRESSURE_BYTES_PER_S
        }
        if rates:
            min(rates, key=rates.__getitem__).abort()
            self.aborted_streams += 1
            self._next_abort_s = now_s + ABORT_PAUSE_S
