"""Guards the callers' port against any bytes, in any pieces, at any pause."""

import asyncio
import unittest
from contextlib import suppress
from functools import partial
from unittest.mock import patch

import uvicorn
from hypothesis import given, settings
from hypothesis import strategies as st
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from banyanseam.pipe.errors import CallerGone
from banyanseam.server import connections
from banyanseam.server.callers import read_body
from banyanseam.server.connections import ConnectionTable
from banyanseam.server.const import MAX_HEAD_BYTES, MAX_HELD_BYTES, PIECE_BYTES
from banyanseam.server.protocol import LimitedProtocol
from banyanseam.server.reply import send_body

RECEIVE_BYTES = 64 * 1024
MAX_CONNECTIONS = 4
GET = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
FRAGMENTS = (
    GET,
    b"\r\n",
    b"\n",
    b"\r",
    b"\0",
    b"GET / HTTP/1.1\r\n",
    b"GET /" + b"a" * 9000,
    b"a: b\r\n" * 40,
    b"a" * 20_000,
    b"\r\n" * 2000,
    b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\n",
    b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n",
    b"CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n",
    b"GET / HTTP/1.1\r\nupgrade: websocket\r\nconnection: upgrade\r\n\r\n",
    b"5\r\nhello\r\n",
    b"0\r\n\r\n",
    b"0\r\nx: y\r\n\r\n",
    b"1;a=b\r\n",
)


class FakeTransport:
    """Passes on what was received, unless reading is paused, and keeps what is sent."""

    def __init__(self) -> None:
        self.receive_bytes = RECEIVE_BYTES
        self.sent = bytearray()
        self.waiting = bytearray()
        self.is_reading = True
        self.is_closed = False
        self.protocol: LimitedProtocol | None = None

    def get_extra_info(self, name: str) -> object:
        return None

    def set_write_buffer_limits(self, high: int) -> None:
        pass

    def pause_reading(self) -> None:
        self.is_reading = False

    def resume_reading(self) -> None:
        self.is_reading = True

    def is_closing(self) -> bool:
        return self.is_closed

    def write(self, data: bytes) -> None:
        if not self.is_closed:
            self.sent += data

    def close(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            self.protocol.loop.call_soon(self.protocol.connection_lost, None)

    abort = close

    def deliver(self, data: bytes = b"") -> None:
        self.waiting += data
        if self.waiting and self.is_reading and not self.is_closed:
            received = bytes(self.waiting[: self.receive_bytes])
            del self.waiting[: self.receive_bytes]
            self.protocol.data_received(received)

    def end(self) -> None:
        """Let the other side close: seen only behind all bytes, and while reading."""
        while self.waiting and self.is_reading and not self.is_closed:
            self.deliver()
        if self.is_reading and not self.waiting and not self.is_closed:
            self.protocol.eof_received()
            self.close()


async def echo(scope, receive, send):
    with suppress(CallerGone):
        body = await read_body(receive)
        await send_body(send, 200, b"<" + body + b">", [])


async def answer_at_once(scope, receive, send):
    await send_body(send, 200, b"<>", [])


class Port:
    """A port with a table of connections and an application."""

    def __init__(self, app) -> None:
        self.config = uvicorn.Config(
            app, lifespan="off", log_config=None, ws="none", proxy_headers=False
        )
        self.state = ServerState()
        self.table = ConnectionTable(lambda: MAX_CONNECTIONS, 4 * RECEIVE_BYTES)
        self.failures: list[object] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: self.failures.append(context)
        )

    def connect(self, make_protocol=None) -> FakeTransport:
        transport = FakeTransport()
        make_protocol = make_protocol or partial(LimitedProtocol, table=self.table)
        transport.protocol = make_protocol(
            config=self.config, server_state=self.state, app_state={}
        )
        transport.protocol.connection_made(transport)
        return transport


async def let_run(turns: int = 5) -> None:
    for _ in range(turns):
        await asyncio.sleep(0)


def split(data: bytes, sizes: list[int]) -> list[bytes]:
    pieces = []
    for size in sizes:
        pieces.append(data[:size])
        data = data[size:]
    return [*pieces, data]


def render_request(body: bytes | None, chunk_bytes: int | None) -> bytes:
    if body is None:
        return GET
    head = b"POST / HTTP/1.1\r\nhost: a\r\n"
    if chunk_bytes is None:
        return head + b"content-length: %d\r\n\r\n%s" % (len(body), body)
    parts = [body[i : i + chunk_bytes] for i in range(0, len(body), chunk_bytes)]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return head + b"transfer-encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


bodies = st.none() | st.text("ab\r\n0", max_size=40).map(str.encode)
requests = st.tuples(bodies, st.none() | st.integers(1, 9))
sizes = st.lists(st.integers(0, 50), max_size=20)
data = st.lists(st.sampled_from(FRAGMENTS) | st.binary(max_size=40), max_size=12)


class UntrustedBytesTests(unittest.TestCase):
    @given(st.lists(requests, min_size=1, max_size=6), sizes)
    def test_requests_ahead_are_answered_in_order_however_they_are_split(
        self, made, sizes
    ):
        async def scenario():
            port = Port(echo)
            transport = port.connect()
            ahead = b"\r\n".join(render_request(*each) for each in made)
            for piece in split(ahead, sizes):
                transport.deliver(piece)
                await asyncio.sleep(0)
            await let_run(60)
            answers = transport.sent.count(b"HTTP/1.1 200 ")
            self.assertEqual(answers, len(made))
            expected = [b"<" + (body or b"") + b">" for body, _ in made]
            position = 0
            for body in expected:
                position = transport.sent.index(b"\r\n\r\n" + body, position) + 1
            self.assertEqual(port.failures, [])

        asyncio.run(scenario())

    @settings(max_examples=300)
    @given(data, sizes, st.lists(st.sampled_from("ywr"), max_size=20), st.booleans())
    def test_any_bytes_keep_little_memory_and_leave_the_port_serving(
        self, parts, sizes, pauses, reads_bodies
    ):
        async def scenario():
            port = Port(echo if reads_bodies else answer_at_once)
            transport = port.connect()
            pieces = split(b"".join(parts), sizes)
            for index, piece in enumerate(pieces):
                transport.deliver(piece)
                pause = pauses[index] if index < len(pauses) else "y"
                if pause == "w":
                    transport.protocol.pause_writing()
                elif pause == "r":
                    transport.protocol.resume_writing()
                else:
                    await asyncio.sleep(0)
                pending = transport.protocol._splitter.pending_bytes
                most = MAX_HELD_BYTES + RECEIVE_BYTES + MAX_HEAD_BYTES + PIECE_BYTES
                self.assertLessEqual(pending, most)
                self.assertEqual(len(transport.protocol.pipeline), 0)
            await let_run()
            other = port.connect()
            other.deliver(GET)
            await let_run()
            self.assertIn(b"HTTP/1.1 200 ", other.sent)
            transport.close()
            other.close()
            await let_run(20)
            self.assertEqual(port.failures, [])
            self.assertEqual((port.table.count(), port.table.pending_bytes), (0, 0))

        # Uvicorn logs what an application raises.
        with self.assertNoLogs("uvicorn.error", "ERROR"):
            asyncio.run(scenario())

    def test_requests_ahead_wait_while_their_answers_are_unread(self):
        async def scenario():
            port = Port(answer_at_once)
            # Without the limits, every request that has arrived is started or queued.
            unlimited = port.connect(HttpToolsProtocol)
            unlimited.protocol.pause_writing()
            unlimited.deliver(GET * 200)
            self.assertEqual(len(unlimited.protocol.pipeline), 199)
            unlimited.close()
            await let_run()
            transport = port.connect()
            transport.protocol.pause_writing()
            for _ in range(100):
                transport.deliver(GET * 200)
                await asyncio.sleep(0)
            self.assertFalse(transport.is_reading)
            held_bytes = transport.protocol._splitter.held_bytes
            self.assertLessEqual(held_bytes, MAX_HELD_BYTES + RECEIVE_BYTES)
            self.assertEqual(transport.sent.count(b"HTTP/1.1 "), 0)
            self.assertIsNone(transport.protocol.cycle)
            transport.protocol.resume_writing()
            while transport.waiting or transport.protocol._splitter.held_bytes:
                transport.deliver()
                await asyncio.sleep(0)
            await let_run()
            self.assertEqual(transport.sent.count(b"HTTP/1.1 200 "), 20_000)
            self.assertEqual(port.failures, [])

        asyncio.run(scenario())

    def test_heads_without_end_are_refused(self):
        cases = {
            b" 431 ": b"GET / HTTP/1.1\r\nx: " + b"a" * 60_000,
            b" 414 ": b"GET /" + b"a" * 9000,
            b" 400 ": b"\r\n" * 2000,
        }

        async def scenario():
            port = Port(echo)
            for status, data in cases.items():
                transport = port.connect()
                transport.deliver(data)
                with self.subTest(status):
                    self.assertTrue(transport.is_closed)
                    self.assertIn(status, transport.sent)
                    self.assertIn(b'"not_run":true', transport.sent)
            chunked = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n"
            for data in (b"0\r\nx: ", b"0\r\n" + b"x: b\r\n" * 200, b"1;"):
                transport = port.connect()
                transport.deliver(chunked)
                await let_run()
                transport.deliver(data + b"a" * 60_000)
                with self.subTest(data[:6]):
                    self.assertIn(b" 431 ", transport.sent)
                    await let_run()
                    self.assertEqual(transport.sent.count(b"HTTP/1.1 "), 1)
            self.assertEqual(port.failures, [])

        asyncio.run(scenario())


class ConnectionLimitTests(unittest.TestCase):
    def test_idle_connections_make_room_and_requests_are_kept(self):
        async def scenario():
            port = Port(echo)
            busy = port.connect()
            busy.deliver(GET)
            self.assertTrue(busy.protocol.cycle)
            opened = [port.connect() for _ in range(2 * MAX_CONNECTIONS)]
            await let_run(1)
            self.assertIn(b"HTTP/1.1 200 ", busy.sent)
            self.assertFalse(busy.is_closed)
            kept = [each for each in opened if not each.is_closed]
            self.assertEqual(kept, opened[-MAX_CONNECTIONS + 1 :])
            last = port.connect()
            last.deliver(GET)
            await let_run()
            self.assertIn(b"HTTP/1.1 200 ", last.sent)

        asyncio.run(scenario())

    def test_a_crowd_at_one_port_leaves_the_connections_of_others(self):
        async def scenario():
            crowded, quiet = Port(echo), Port(echo)
            quiet.table = crowded.table
            first = quiet.connect()
            opened = [crowded.connect() for _ in range(20)]
            self.assertFalse(first.is_closed)
            second = quiet.connect()
            self.assertFalse(second.is_closed)
            self.assertEqual(
                sum(not each.is_closed for each in opened), MAX_CONNECTIONS - 2
            )

        asyncio.run(scenario())

    def test_no_request_is_closed_for_a_new_connection(self):
        async def scenario():
            port = Port(echo)
            started = [port.connect() for _ in range(MAX_CONNECTIONS)]
            for transport in started:
                transport.deliver(GET)
            self.assertTrue(port.connect().is_closed)
            await let_run()
            for transport in started:
                self.assertIn(b"HTTP/1.1 200 ", transport.sent)

        asyncio.run(scenario())

    def test_the_connection_with_the_most_unread_bytes_is_closed_first(self):
        async def scenario():
            port = Port(echo)
            small, large = port.connect(), port.connect()
            port.table.max_pending_bytes = 30_000
            head = b"GET / HTTP/1.1\r\nx: "
            small.deliver(head + b"a" * 10_000)
            large.deliver(head + b"a" * 25_000)
            self.assertTrue(large.is_closed)
            self.assertFalse(small.is_closed)
            self.assertEqual(port.table.closed, {"memory": 1})

        asyncio.run(scenario())

    def test_the_limit_follows_memory_sockets_and_the_system(self):
        cases = [
            ((None, None), 20_000, 4000),
            ((300 << 20, 3900), 20_000, 2400),
            ((300 << 20, 200), 20_000, 150),
            ((None, None), 200, 150),
        ]
        for (memory_bytes, sockets), descriptors, expected in cases:
            with (
                self.subTest(memory_bytes=memory_bytes, sockets=sockets),
                patch.object(
                    connections.resource, "getrlimit", lambda _, n=descriptors: (n, n)
                ),
            ):
                table = connections.make_connection_table(memory_bytes, sockets)
                self.assertEqual(table._read_max_connections(), expected)


if __name__ == "__main__":
    unittest.main()
