"""Upstreams in trouble send bytes that are no answer, without end or very slowly."""

import tracemalloc
import unittest
from collections.abc import Callable, Iterator
from itertools import count
from types import SimpleNamespace

import anyio
from anyio.abc import SocketStream

from banyanseam.entry.answers import relay_answer
from banyanseam.entry.const import MAX_HEAD_BYTES
from banyanseam.entry.errors import ConnectionBroken
from banyanseam.entry.event_stream import MAX_EVENT_BYTES, EventSplitter
from banyanseam.entry.exchange import Reply
from banyanseam.entry.moving import Progress
from banyanseam.entry.sending import OutgoingRequest, send
from banyanseam.errors import BanyanseamError
from banyanseam.pipe.errors import AnswerMalformed
from banyanseam.server.budget import ByteBudget
from banyanseam.server.const import CHUNK_BYTES
from banyanseam.upstreams.const import READ_AHEAD_BYTES
from banyanseam.upstreams.errors import UpstreamTimedOut
from tests.common import run_with_mock_clock
from tests.entry.common import make_exchange

TIMEOUT_S = 1.0
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"
# What the upstream may have sent when the connection was closed: the limits, what is
# read ahead, and what the sockets of both sides hold.
SOCKET_BYTES = 8 * 1024 * 1024


def make_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


# The start of an answer, what follows it for ever, and the error of the request.
HEADS: dict[str, tuple[bytes, bytes]] = {
    "a status line": (b"HTTP/1.1 200 ", b"x" * 1000),
    "a header line": (OK + b"a: ", b"x" * 1000),
    "header lines": (OK, b"a: b\r\n" * 200),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n" * 50),
    "no HTTP": (b"", b"\x00\xff" * 500),
}
BODIES: dict[str, tuple[bytes, bytes]] = {
    "one event": (CHUNKED + make_chunk(b"data: "), make_chunk(b"x" * 1000)),
    "comments": (CHUNKED, make_chunk(b": ping\n\n" * 100)),
    "blank events": (CHUNKED, make_chunk(b"\n\n" * 100)),
    "comments after an event": (
        CHUNKED + make_chunk(b"id: 1\ndata: a\n\n"),
        make_chunk(b": ping\n\n" * 100),
    ),
}


class EndlessUpstream:
    """Accepts one connection and sends until it is closed."""

    def __init__(self, start: bytes, rest: bytes, pause_s: float) -> None:
        self.sent_bytes = 0
        self.is_closed = anyio.Event()
        self._start, self._rest, self._pause_s = start, rest, pause_s

    async def serve(self, stream: SocketStream) -> None:
        async with stream:
            try:
                await stream.receive()
                for part in self._iterate_parts():
                    await stream.send(part)
                    self.sent_bytes += len(part)
                    await anyio.sleep(self._pause_s)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                self.is_closed.set()

    def _iterate_parts(self) -> Iterator[bytes]:
        yield self._start or self._rest
        for number in count():
            if not self._pause_s:
                yield self._rest
            else:
                place = number % len(self._rest)
                yield self._rest[place : place + 1]


async def request(port: int) -> None:
    """Send a request for a stream and relay its answer to nobody."""
    outgoing = OutgoingRequest(
        f"127.0.0.1:{port}", "POST", b"/x", [(b"host", b"a")], b"{}", 1.0, TIMEOUT_S
    )

    async def discard(_: dict) -> None:
        return

    async with send(outgoing, lambda: None) as incoming:
        exchange = make_exchange(
            anyio.current_time(), reply=Reply(discard, lambda: False)
        )
        answer = SimpleNamespace(status=incoming.status, headers=[], is_framed=True)
        progress = Progress(anyio.current_time())
        await relay_answer(exchange, answer, incoming, progress, ByteBudget(0))


class EndlessAnswerTests(unittest.TestCase):
    def run_case(
        self, start: bytes, rest: bytes, pause_s: float = 0.0
    ) -> tuple[BanyanseamError | None, EndlessUpstream, int]:
        """Return the request's error, the upstream and the memory at its peak."""

        async def run():
            upstream = EndlessUpstream(start, rest, pause_s)
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            caught = None
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, upstream.serve)
                tracemalloc.start()
                try:
                    with anyio.move_on_after(3 * TIMEOUT_S):
                        await request(port)
                except BanyanseamError as error:
                    caught = error
                finally:
                    _, peak_bytes = tracemalloc.get_traced_memory()
                    tracemalloc.stop()
                with anyio.fail_after(10):
                    await upstream.is_closed.wait()
                tasks.cancel_scope.cancel()
            return caught, upstream, peak_bytes

        return anyio.run(run)

    def check_bounded(self, cases, errors: tuple[type[Exception], ...]) -> None:
        for name, (start, rest) in cases.items():
            with self.subTest(name):
                error, upstream, peak_bytes = self.run_case(start, rest)
                self.assertIsInstance(error, errors)
                limit = MAX_HEAD_BYTES + MAX_EVENT_BYTES + READ_AHEAD_BYTES
                self.assertLess(upstream.sent_bytes, limit + SOCKET_BYTES)
                self.assertLess(peak_bytes, 10 * limit)

    def test_an_endless_head_ends_the_connection(self):
        self.check_bounded(HEADS, (ConnectionBroken,))

    def test_an_endless_body_without_events_ends_the_connection(self):
        self.check_bounded(BODIES, (AnswerMalformed,))

    def test_a_head_that_comes_byte_by_byte_times_out(self):
        for name, (start, rest) in HEADS.items():
            if name == "no HTTP":
                continue
            with self.subTest(name):
                error, _, _ = self.run_case(start, rest, pause_s=0.05)
                self.assertIsInstance(error, UpstreamTimedOut)


class PlainAnswerTests(unittest.TestCase):
    def relay(
        self,
        size_bytes: int,
        budget: ByteBudget,
        on_message: Callable[[], None] = lambda: None,
    ) -> list[dict]:
        """Return the messages by which an answer is relayed."""

        async def run():
            sent = []

            async def record(message: dict) -> None:
                sent.append(message)
                on_message()

            async def chunks():
                for _ in range(size_bytes // 1024):
                    yield b"x" * 1024

            exchange = SimpleNamespace(
                route=SimpleNamespace(is_stream=False),
                reply=Reply(record, lambda: False),
            )
            answer = SimpleNamespace(
                status=200, headers=[], length_bytes=size_bytes, is_framed=True
            )
            incoming = SimpleNamespace(body=chunks())
            await relay_answer(exchange, answer, incoming, Progress(0.0), budget)
            return sent

        return run_with_mock_clock(run)

    def test_answers_are_relayed_in_parts_if_too_much_is_buffered(self):
        size_bytes = 64 * 1024
        for budget_bytes, is_buffered in ((10**6, True), (4096, False)):
            with self.subTest(budget_bytes=budget_bytes):
                budget = ByteBudget(budget_bytes)
                sent = self.relay(size_bytes, budget)
                bodies = [each["body"] for each in sent[1:]]
                self.assertEqual(sum(map(len, bodies)), size_bytes)
                self.assertEqual(len(bodies) == 1, is_buffered)
                self.assertEqual(budget.held_bytes, 0)

    def test_an_answer_that_is_not_buffered_holds_no_memory(self):
        budget = ByteBudget(4096)
        held_bytes = []
        self.relay(64 * 1024, budget, lambda: held_bytes.append(budget.held_bytes))
        self.assertGreater(max(held_bytes), 0)
        self.assertEqual(held_bytes[-1], 0)

    def test_a_long_answer_is_written_in_parts(self):
        bodies = [each["body"] for each in self.relay(2**20, ByteBudget(10**7))[1:]]
        self.assertEqual(sum(map(len, bodies)), 2**20)
        self.assertLessEqual(max(map(len, bodies)), CHUNK_BYTES)


class StalledStreamTests(unittest.TestCase):
    def find_last_event_s(self, chunks: Callable) -> float:
        """Return how long before the end of a stream its last event arrived."""

        async def run():
            async def discard(_: dict) -> None:
                return

            exchange = make_exchange(
                anyio.current_time(), reply=Reply(discard, lambda: False)
            )
            progress = Progress(anyio.current_time())
            answer = SimpleNamespace(status=200, headers=[], is_framed=True)
            incoming = SimpleNamespace(body=chunks())
            await relay_answer(exchange, answer, incoming, progress, ByteBudget(0))
            return anyio.current_time() - progress.last_s

        return run_with_mock_clock(run)

    def test_a_byte_now_and_then_is_no_progress(self):
        async def stall():
            yield b"id: 1\ndata: a\n\n"
            for _ in range(4):
                await anyio.sleep(0.5)
                yield b": ping\n\n"
            for part in (b"id: 2", b"\ndata", b": b\n"):
                await anyio.sleep(0.5)
                yield part
            yield b": \n"
            await anyio.sleep(0.5)
            yield b"\n"

        # The second event becomes whole only with the last byte.
        self.assertEqual(self.find_last_event_s(stall), 0.0)
        self.assertGreater(self.find_last_event_s(self.comments_only), 1.9)

    async def comments_only(self):
        yield b"id: 1\ndata: a\n\n"
        for _ in range(4):
            await anyio.sleep(0.5)
            yield b": ping\n\n"

    def test_slow_but_sound_events_are_progress(self):
        async def events():
            for number in range(1, 5):
                await anyio.sleep(0.7)
                yield b"id: %d\ndata: a\n\n" % number

        self.assertEqual(self.find_last_event_s(events), 0.0)

    def test_keep_alive_comments_between_events_are_allowed(self):
        splitter = EventSplitter()
        for number in range(50):
            splitter.feed(b": ping\n\n" * 1000)
            splitter.feed(b"id: %d\ndata: a\n\n" % number)


if __name__ == "__main__":
    unittest.main()
