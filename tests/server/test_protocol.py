import json
import unittest
from contextlib import asynccontextmanager
from unittest.mock import patch

import anyio

from banyanseam.server import connections, protocol, serve
from banyanseam.server.connection import CONNECTION
from banyanseam.server.connections import make_connection_table
from banyanseam.server.reply import send_body
from banyanseam.server.serve import make_server

LONG_BODY = b"x" * 8_000_000


async def answer(scope, receive, send):
    await send_body(send, 200, b"ok", [])


async def stream(scope, receive, send):
    await send({"type": "http.response.start", "status": 200, "headers": []})
    more = {"type": "http.response.body", "body": b"part", "more_body": True}
    await send(more)
    await anyio.sleep(0.2)
    await send({"type": "http.response.body", "body": b"rest"})


async def answer_at_length(scope, receive, send):
    await send_body(send, 200, LONG_BODY, [])


@asynccontextmanager
async def running(app):
    async with running_server(app) as (_, port):
        yield port


@asynccontextmanager
async def running_server(app):
    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as free:
        port = free.extra(anyio.abc.SocketAttribute.local_port)
    server = make_server(app, f"127.0.0.1:{port}", make_connection_table())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        await server.listening.wait()
        yield server, port
        server.should_exit = True


async def exchange(port, *pieces):
    received = b""
    async with await anyio.connect_tcp("127.0.0.1", port) as connection:
        for piece in pieces:
            await connection.send(piece)
            # The server reads the pieces one after the other.
            await anyio.sleep(0.05)
        try:
            while True:
                received += await connection.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return received


class ProtocolTests(unittest.TestCase):
    def run_async(self, scenario):
        async def bounded():
            with anyio.fail_after(30):
                await scenario()

        anyio.run(bounded)

    def test_too_large_and_too_slow_requests_are_refused_with_their_codes(self):
        start = b"GET / HTTP/1.1\r\nhost: a\r\n"
        cases = {
            "request.target_too_long": b"GET /" + b"a" * 9000 + b" HTTP/1.1\r\n",
            "request.header_too_large": start + b"x: " + b"a" * 40_000 + b"\r\n\r\n",
            "request.header_too_slow": start,
            "request.malformed": b"\x00 no HTTP\r\n\r\n",
        }

        async def scenario():
            with patch.object(protocol, "HEADER_TIMEOUT_S", 0.2):
                async with running(answer) as port:
                    for code, data in cases.items():
                        reply = await exchange(port, data)
                        with self.subTest(code):
                            problem = json.loads(reply.partition(b"\r\n\r\n")[2])
                            self.assertEqual(problem["code"], code)
                            self.assertTrue(problem["not_run"])

        self.run_async(scenario)

    def test_a_connection_is_kept_for_the_idle_time_that_is_in_force(self):
        """Callers reuse connections for longer once a longer idle time is published."""

        async def scenario():
            async with running_server(answer) as (server, port):
                server.config.timeout_keep_alive = 0.2
                async with await anyio.connect_tcp("127.0.0.1", port) as connection:
                    await connection.send(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
                    await connection.receive()
                    server.config.timeout_keep_alive = 0.6
                    await anyio.sleep(0.4)
                    await connection.send(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
                    self.assertIn(b"200 OK", await connection.receive())
                    began_s = anyio.current_time()
                    with self.assertRaises(anyio.EndOfStream):
                        while True:
                            await connection.receive()
                    idle_s = anyio.current_time() - began_s
                    self.assertAlmostEqual(idle_s, 0.6, delta=0.15)

        self.run_async(scenario)

    def test_no_unfinished_request_delays_a_stop(self):
        """What follows an answer that is read slowly may be no whole request."""
        get = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"

        async def scenario():
            for rest in (b"\r\n", b"GET / HTTP/1.1\r\nhost"):
                async with running_server(answer_at_length) as (server, port):
                    connection = await anyio.connect_tcp("127.0.0.1", port)
                    await connection.send(get + rest)
                    await anyio.sleep(0.1)
                    server.should_exit = True
                    await anyio.sleep(0.1)
                    received = b""
                    with self.subTest(rest), anyio.fail_after(3):
                        with self.assertRaises(anyio.EndOfStream):
                            while True:
                                received += await connection.receive(1_000_000)
                        self.assertTrue(received.endswith(LONG_BODY))
                    await connection.aclose()

        self.run_async(scenario)

    def test_a_stop_closes_no_connection_on_which_a_whole_request_was_read(self):
        get = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"

        async def scenario():
            async def answer_before_stop(scope, receive, send):
                await answer(scope, receive, send)
                # Nothing else runs in between.
                for connection in tuple(server.server_state.connections):
                    connection.shutdown()

            async with running_server(answer_before_stop) as (server, port):
                reply = await exchange(port, get + get)
                self.assertEqual(reply.count(b"HTTP/1.1 200 OK"), 2)
                self.assertEqual(reply.count(b"connection: close"), 1)

        self.run_async(scenario)

    # While more bytes are held than are read on, the caller's close was not seen.
    def test_the_close_of_a_caller_that_sent_far_ahead_is_seen(self):
        post = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 90000\r\n\r\n"
        get = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"

        async def scenario():
            started, gone = anyio.Event(), anyio.Event()

            async def wait(scope, receive, send):
                ended = anyio.Event()
                with scope["extensions"][CONNECTION].watch(ended.set):
                    started.set()
                    await ended.wait()
                gone.set()

            for ahead in (post + b"x" * 40_000, get * 2000):
                started, gone = anyio.Event(), anyio.Event()
                async with running(wait) as port:
                    connection = await anyio.connect_tcp("127.0.0.1", port)
                    await connection.send(get + ahead)
                    await started.wait()
                    await anyio.sleep(0.3)
                    self.assertFalse(gone.is_set())
                    await connection.aclose()
                    with self.subTest(ahead[:4]), anyio.fail_after(1):
                        await gone.wait()

        async def bounded():
            with anyio.fail_after(10):
                await scenario()

        for use_uvloop in (False, True):
            with self.subTest(use_uvloop=use_uvloop):
                anyio.run(bounded, backend_options={"use_uvloop": use_uvloop})

    def test_idle_connections_up_to_the_limit_make_no_request_fail(self):
        async def scenario():
            with (
                patch.object(connections, "MAX_CONNECTIONS", 3),
                # The limit was this module's too, and counted all as requests.
                patch.object(serve, "MAX_CONNECTIONS", 3, create=True),
            ):
                async with running(answer) as port:
                    crowd = [await anyio.connect_tcp("127.0.0.1", port) for _ in "abc"]
                    get = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
                    reply = await exchange(port, get)
                    for connection in crowd:
                        await connection.aclose()
            self.assertTrue(reply.startswith(b"HTTP/1.1 200 OK"), reply)

        self.run_async(scenario)

    def test_a_refusal_is_never_written_into_an_answer(self):
        get = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
        large = b"GET / HTTP/1.1\r\nx: " + b"a" * 40_000 + b"\r\n\r\n"

        async def scenario():
            async with running(stream) as port:
                for bad in (large, b"\x00 no HTTP\r\n\r\n"):
                    reply = await exchange(port, get, bad)
                    with self.subTest(bad[:10]):
                        # The refusal follows the whole answer to the first request.
                        answer, _, refusal = reply[1:].partition(b"HTTP/1.1 ")
                        self.assertTrue(answer.endswith(b"rest\r\n0\r\n\r\n"))
                        self.assertTrue(refusal.startswith(b"4"))
                        self.assertEqual(reply.count(b"HTTP/1.1 "), 2)

        self.run_async(scenario)
