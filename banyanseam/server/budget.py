"""One budget of bytes for all that this process holds for callers and upstreams.

Bodies of requests are refused early when their share is full. Answers wait instead,
which slows their upstreams down; under pressure the slowest reader is
ended, so that a few slow readers cannot stop the others.
"""

from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager

import anyio

from banyanseam.pipe.errors import BodyTooLarge
from banyanseam.server.const import (
    BODY_SHARE,
    CHUNK_BYTES,
    END_PAUSE_S,
    MIN_READ_BYTES_PER_S,
    PATIENCE_UNDER_PRESSURE_S,
    READ_UNDER_PRESSURE_BYTES_PER_S,
    RECENT_BLOCKED_S,
    RETRY_AFTER_MS,
    STREAM_BYTES,
)
from banyanseam.server.errors import BudgetExhausted, SlowReader

Send = Callable[[bytes], Awaitable[None]]
# Says whether sending may wait now for the reader.
MayWait = Callable[[], bool]


class Reservation:
    """A body's part of the budget, which grows as the body arrives."""

    def __init__(self, budget: "ByteBudget", limit_bytes: int) -> None:
        """Begin empty; the body may grow to `limit_bytes`."""
        self.held_bytes = 0
        self._budget = budget
        self._limit_bytes = limit_bytes

    def grow_to(self, size_bytes: int) -> None:
        """Cover a body of this size; raise BodyTooLarge or BudgetExhausted."""
        if size_bytes > self._limit_bytes:
            raise BodyTooLarge(f"more than {self._limit_bytes} bytes")
        more_bytes = size_bytes - self.held_bytes
        if more_bytes > 0:
            self._budget.take_for_body(more_bytes)
            self.held_bytes = size_bytes


class StreamWindow:
    """One answer on its way to a reader that may be slow."""

    def __init__(self, send: Send, may_wait: MayWait) -> None:
        """Begin with nothing sent."""
        self.is_ended = False
        self._send = send
        self._may_wait = may_wait
        self._sent_bytes = 0.0
        self._blocked_s = 0.0
        self._blocked_since_s: float | None = None
        self._scope = anyio.CancelScope()

    async def send(self, data: bytes) -> None:
        """Pass data on, waiting for the reader.

        Raise SlowReader when the reader falls below MIN_READ_BYTES_PER_S, or is the
        slowest while others lack memory.
        """
        for start in range(0, len(data), CHUNK_BYTES):
            await self._send_chunk(data[start : start + CHUNK_BYTES])

    def end(self) -> None:
        """End the stream, at once if it waits for its reader."""
        self.is_ended = True
        self._scope.cancel()

    def measure(self, now_s: float) -> tuple[float, float]:
        """Return how long it waited for its reader, and the reader's bytes per s."""
        since_s = now_s if self._blocked_since_s is None else self._blocked_since_s
        blocked_s = self._blocked_s + now_s - since_s
        return blocked_s, self._sent_bytes / max(blocked_s, 1e-6)

    async def _send_chunk(self, chunk: bytes) -> None:
        if self.is_ended:
            raise SlowReader
        if self._may_wait():
            await self._wait_and_send(chunk)
        else:
            # Without the timer, which would cost more than the sending.
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
        if self._blocked_s > RECENT_BLOCKED_S:
            self._blocked_s /= 2
            self._sent_bytes /= 2


class ByteBudget:
    """The bytes that this process holds, and who waits for some."""

    def __init__(self, limit_bytes: int) -> None:
        """Begin with nothing held."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.body_bytes = 0
        self.peak_bytes = 0
        self.ended_readers = 0
        self._streams: set[StreamWindow] = set()
        self._waiters: deque[tuple[int, anyio.Event]] = deque()
        self._next_end_s = 0.0

    @contextmanager
    def reserve_body(
        self, declared_bytes: int | None, limit_bytes: int
    ) -> Iterator[Reservation]:
        """Hold a body's memory while the context is open.

        `declared_bytes` is the length that the request announces, if any. Raise
        BodyTooLarge or BudgetExhausted before anything was read.
        """
        reservation = Reservation(self, limit_bytes)
        try:
            reservation.grow_to(declared_bytes or 0)
            yield reservation
        finally:
            self.body_bytes -= reservation.held_bytes
            self._give_back(reservation.held_bytes)

    @asynccontextmanager
    async def hold(self, size_bytes: int) -> AsyncIterator[None]:
        """Hold memory while the context is open, waiting for it first."""
        await self.take(size_bytes)
        try:
            yield
        finally:
            self._give_back(size_bytes)

    @asynccontextmanager
    async def open_stream(
        self, send: Send, may_wait: MayWait = lambda: True
    ) -> AsyncIterator[StreamWindow]:
        """Give a window for one answer while the context is open.

        All that it may hold is taken beforehand: streams that each held a part and
        waited for more would wait for one another.
        """
        async with self.hold(STREAM_BYTES):
            stream = StreamWindow(send, may_wait)
            self._streams.add(stream)
            try:
                yield stream
            finally:
                self._streams.discard(stream)

    def take_for_body(self, size_bytes: int) -> None:
        """Take memory for a body at once; raise BudgetExhausted."""
        # Bodies must leave room for answers, for only answers let bodies go.
        body_bytes = self.body_bytes + size_bytes
        has_room = self.held_bytes + size_bytes <= self.limit_bytes
        if body_bytes > self.limit_bytes * BODY_SHARE or not has_room:
            raise BudgetExhausted(retry_after_ms=RETRY_AFTER_MS)
        self.body_bytes = body_bytes
        self._add(size_bytes)

    async def take(self, size_bytes: int) -> None:
        """Take memory, waiting for others to give some back."""
        if not self._waiters and self._fits(size_bytes):
            self._add(size_bytes)
            return
        turn = anyio.Event()
        waiter = (size_bytes, turn)
        self._waiters.append(waiter)
        try:
            while not turn.is_set():
                with anyio.move_on_after(PATIENCE_UNDER_PRESSURE_S / 4):
                    await turn.wait()
                if not turn.is_set():
                    self._end_slowest()
        except BaseException:
            if turn.is_set():
                self._give_back(size_bytes)
            else:
                self._waiters.remove(waiter)
                self._wake()
            raise

    def _fits(self, size_bytes: int) -> bool:
        # What is larger than the whole budget passes alone.
        return not self.held_bytes or self.held_bytes + size_bytes <= self.limit_bytes

    def _add(self, size_bytes: int) -> None:
        self.held_bytes += size_bytes
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    def _give_back(self, size_bytes: int) -> None:
        self.held_bytes -= size_bytes
        self._wake()

    def _wake(self) -> None:
        while self._waiters and self._fits(self._waiters[0][0]):
            size_bytes, turn = self._waiters.popleft()
            self._add(size_bytes)
            turn.set()

    def _end_slowest(self) -> None:
        now_s = anyio.current_time()
        if now_s < self._next_end_s:
            return
        rates = {
            stream: (rate, -blocked_s)
            for stream in self._streams
            if not stream.is_ended
            for blocked_s, rate in [stream.measure(now_s)]
            if blocked_s >= PATIENCE_UNDER_PRESSURE_S
            and rate < READ_UNDER_PRESSURE_BYTES_PER_S
        }
        if rates:
            min(rates, key=rates.__getitem__).end()
            self.ended_readers += 1
            self._next_end_s = now_s + END_PAUSE_S
