import unittest
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace

import anyio

from banyanseam.upstreams.client import UpstreamClient, UpstreamRequest
from banyanseam.upstreams.const import MAX_ANSWER_HEAD_BYTES
from banyanseam.upstreams.errors import (
    UpstreamFailed,
    UpstreamRefused,
    UpstreamTimedOut,
    UpstreamUnreachable,
)
from banyanseam.upstreams.reports import make_fetch_report, read_report
from tests.common import make_config
from tests.entry.test_endless_answers import HEADS, SOCKET_BYTES, EndlessUpstream

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n"


class RawServer:
    """Sends the next raw answer to each request, then closes the connection."""

    def __init__(self, *answers: bytes | None, keeps_open: bool = False) -> None:
        self.answers = list(answers)
        self.keeps_open = keeps_open
        self.connections = 0
        self.requests: list[bytes] = []

    async def handle(self, stream) -> None:
        self.connections += 1
        async with stream:
            while self.answers:
                answer = self.answers[0]
                if answer == b"close at once":
                    self.answers.pop(0)
                    return
                try:
                    self.requests.append(await stream.receive())
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                self.answers.pop(0)
                if answer is None:
                    await anyio.sleep_forever()
                await stream.send(answer)
                if not self.keeps_open:
                    return

    @asynccontextmanager
    async def run(self):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        engine = make_config().upstreams["gulf-engine-1"]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self.handle)
            yield replace(engine, address=f"127.0.0.1:{port}")
            tasks.cancel_scope.cancel()
        await listener.aclose()


def make_request(*, is_idempotent: bool = False, **fields) -> UpstreamRequest:
    return UpstreamRequest(
        request_id="r1",
        method="POST",
        target="/orders",
        headers=[(b"authorization", b"Bearer secret"), (b"x-other", b"1")],
        body=b"{}",
        is_idempotent=is_idempotent,
        **{"read_timeout_s": 5.0, **fields},
    )


async def send(client, upstream, request) -> bytes:
    """Return the whole body; raise as the client does."""
    body = b""
    async with client.open(upstream, request, lambda: None) as answer:
        async for chunk in answer.body:
            body += chunk
    return body


class ClientTests(unittest.TestCase):
    def test_each_failure_says_whether_a_byte_was_written(self):
        truncated = b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nhalf"
        refused = (
            b"HTTP/1.1 503 no\r\nx-not-started: true\r\nretry-after: 2\r\n"
            b"content-length: 0\r\n\r\n"
        )
        crossed = OK + b"x-request-id: r2\r\n\r\nok"
        old_refusal = refused.replace(b"retry-after: 2", b"x-request-id: r2")
        cases = {
            "closed after reading": (b"", UpstreamFailed),
            "closed at accept": (b"close at once", UpstreamFailed),
            "silent": (None, UpstreamTimedOut),
            "truncated body": (truncated, UpstreamFailed),
            "no HTTP": (b"what?\r\n\r\n", UpstreamFailed),
            "refused": (refused, UpstreamRefused),
            "crossed": (crossed, UpstreamFailed),
            "refusal of another request": (old_refusal, UpstreamFailed),
        }
        for name, (answer, error) in cases.items():

            async def run(answer=answer, error=error) -> None:
                started = []
                async with RawServer(answer).run() as upstream:
                    client = UpstreamClient()
                    request = make_request(read_timeout_s=0.5)
                    with self.assertRaises(error) as caught:
                        async with client.open(
                            upstream, request, lambda: started.append(1)
                        ) as received:
                            async for _ in received.body:
                                pass
                    await client.aclose()
                self.assertEqual(started, [1])
                self.assertEqual(caught.exception.not_run, error is UpstreamRefused)

            with self.subTest(name):
                anyio.run(run)

    # Reported by another operator: a 200 with an empty body, framed as whole.
    def test_a_head_that_stops_at_any_byte_is_no_answer(self):
        head = OK + b"x-request-id: r1\r\n\r\n"

        async def run() -> None:
            parts = [head[:end] for end in range(1, len(head))]
            async with RawServer(*parts).run() as upstream:
                client = UpstreamClient()
                for part in parts:
                    with self.subTest(part=part), self.assertRaises(UpstreamFailed):
                        await send(client, upstream, make_request())
                await client.aclose()

        anyio.run(run)

    # Reported by another operator: a head without end exhausted the memory.
    def test_an_endless_head_ends_the_connection(self):
        for name, (start, rest) in HEADS.items():

            async def run(start=start, rest=rest) -> int:
                endless = EndlessUpstream(start, rest, 0.0)
                server = RawServer()
                server.handle = endless.serve
                async with server.run() as upstream:
                    client = UpstreamClient()
                    with anyio.fail_after(5.0), self.assertRaises(UpstreamFailed):
                        await send(client, upstream, make_request())
                    await client.aclose()
                    with anyio.fail_after(5.0):
                        await endless.is_closed.wait()
                return endless.sent_bytes

            with self.subTest(name):
                self.assertLess(anyio.run(run), MAX_ANSWER_HEAD_BYTES + SOCKET_BYTES)

    def test_unreachable_means_that_nothing_was_written(self):
        async def run() -> None:
            started = []
            async with RawServer().run() as upstream:
                pass
            client = UpstreamClient()
            with self.assertRaises(UpstreamUnreachable) as caught:
                async with client.open(
                    upstream, make_request(), lambda: started.append(1)
                ):
                    pass
            self.assertTrue(caught.exception.not_run)
            self.assertEqual(started, [])

        anyio.run(run)

    def test_call_that_may_not_be_repeated_gets_a_fresh_connection(self):
        async def run(is_idempotent: bool) -> int:
            answer = OK + b"\r\nok"
            server = RawServer(answer, answer, answer, keeps_open=True)
            async with server.run() as upstream:
                client = UpstreamClient()
                for _ in range(3):
                    request = make_request(is_idempotent=is_idempotent)
                    self.assertEqual(await send(client, upstream, request), b"ok")
                await client.aclose()
            return server.connections

        self.assertEqual(anyio.run(run, False), 3)
        self.assertEqual(anyio.run(run, True), 1)

    def test_idle_connections_of_a_peak_are_reused(self):
        count = 20

        async def run() -> int:
            server = RawServer(*[OK + b"\r\nok"] * 2 * count, keeps_open=True)
            async with server.run() as upstream:
                client = UpstreamClient()
                request = make_request(is_idempotent=True)

                async def hold(opened: list, all_open: anyio.Event) -> None:
                    async with client.open(upstream, request, lambda: None) as answer:
                        opened.append(answer)
                        if len(opened) == count:
                            all_open.set()
                        await all_open.wait()
                        async for _ in answer.body:
                            pass

                for _ in range(2):
                    opened, all_open = [], anyio.Event()
                    async with anyio.create_task_group() as tasks:
                        for _ in range(count):
                            tasks.start_soon(hold, opened, all_open)
                await client.aclose()
            return server.connections

        self.assertEqual(anyio.run(run), count)

    def test_one_idle_connection_of_a_lost_process_fails_not_all(self):
        async def run() -> int:
            process = "old"

            async def handle(stream) -> None:
                accepted_by = process
                # Like a machine that restarted, it resets a connection that it does not
                # know only when something arrives on it.
                async with stream:
                    async for _ in stream:
                        if accepted_by != process:
                            return
                        await stream.send(OK + b"\r\nok")

            server = RawServer()
            server.handle = handle
            failures = 0
            async with server.run() as upstream:
                client = UpstreamClient()
                request = make_request(is_idempotent=True)
                async with AsyncExitStack() as stack:
                    for _ in range(4):
                        opened = client.open(upstream, request, lambda: None)
                        answer = await stack.enter_async_context(opened)
                        async for _ in answer.body:
                            pass
                process = "new"
                for _ in range(6):
                    try:
                        await send(client, upstream, request)
                    except UpstreamFailed:
                        failures += 1
                await client.aclose()
            return failures

        self.assertEqual(anyio.run(run), 1)

    def test_caller_credentials_are_not_forwarded(self):
        async def run() -> None:
            server = RawServer(OK + b"\r\nok")
            async with server.run() as upstream:
                await send(UpstreamClient(), upstream, make_request())
            (request,) = server.requests
            self.assertNotIn(b"secret", request)
            self.assertIn(b"x-other: 1", request)
            self.assertIn(b"x-request-id: r1", request)

        anyio.run(run)

    def test_load_report_is_read_or_refused(self):
        body = (
            b'{"held_tokens":5,"queued_tokens":1,"running":2,"leaving":true,'
            b'"as_of_ms_ago":300,"incarnation":"7f3a"}'
        )

        async def run(answer: bytes):
            async with RawServer(answer).run() as upstream:
                return await make_fetch_report(UpstreamClient())(upstream)

        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n"
        report = anyio.run(run, head % len(body) + body)
        self.assertEqual((report.held_tokens, report.leaving), (5, True))
        self.assertEqual(report.incarnation, "7f3a")
        for bad in (b"[]", b'{"held_tokens":-1}', b"\xff"):
            with self.subTest(bad), self.assertRaises(UpstreamFailed):
                read_report(bad, 10.0)
        self.assertAlmostEqual(read_report(body, 10.0).as_of_s, 9.7)


if __name__ == "__main__":
    unittest.main()
