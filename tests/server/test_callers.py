import unittest
from unittest import mock

import anyio
import anyio.lowlevel

from banyanseam.server import budget
from banyanseam.server.callers import CallersPort, make_callers_app
from banyanseam.server.errors import SlowReader
from tests.common import wait_until
from tests.server.test_protocol import running

REQUEST = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n"


class CallersTests(unittest.TestCase):
    def run_pipeline(
        self, pipeline, talk, is_accepting=lambda: True, wait=anyio.lowlevel.checkpoint
    ):
        """Send a request to a port with this pipeline; run `talk` on the stream."""
        port = CallersPort(
            pipeline=pipeline,
            own_routes={},
            budget=budget.ByteBudget(10**6),
            is_accepting=is_accepting,
            wait_until_accepting=wait,
            closes_connections=lambda: False,
        )

        async def run():
            with anyio.fail_after(30):
                async with running(make_callers_app(port)) as number:
                    stream = await anyio.connect_tcp("127.0.0.1", number)
                    await stream.send(REQUEST)
                    await talk(stream)
                    await stream.aclose()

        anyio.run(run)

    def test_a_disconnect_cancels_all_but_a_started_write(self):
        for is_idempotent, is_started, expected in (
            (True, True, ["begun", "ended"]),
            (False, False, ["begun", "ended"]),
            (False, True, ["begun", "whole", "ended"]),
        ):
            steps = []

            async def pipeline(
                exchange, idempotent=is_idempotent, started=is_started, steps=steps
            ):
                exchange.is_idempotent = idempotent
                exchange.upstream_started = started
                steps.append("begun")
                try:
                    await anyio.sleep(0.5)
                    steps.append("whole")
                finally:
                    steps.append("ended")

            async def disconnect(stream, steps=steps):
                await wait_until(lambda: steps)
                await stream.aclose()
                await wait_until(lambda: "ended" in steps)

            with self.subTest(is_idempotent=is_idempotent, is_started=is_started):
                self.run_pipeline(pipeline, disconnect)
                self.assertEqual(steps, expected)

    def test_a_request_is_not_refused_just_before_a_process_has_caught_up(self):
        for status, catches_up in ((b"200", True), (b"503", False)):
            caught_up, answers = [], []

            async def catch_up(caught_up=caught_up, catches_up=catches_up):
                await anyio.sleep(0.05)
                caught_up.extend([True] * catches_up)

            async def pipeline(exchange):
                await exchange.reply.start(200, [])

            async def read_status(stream, answers=answers):
                answers.append((await stream.receive()).split()[1])

            with self.subTest(status):
                self.run_pipeline(
                    pipeline, read_status, lambda found=caught_up: bool(found), catch_up
                )
                self.assertEqual(answers, [status])

    def test_the_answer_to_a_caller_that_does_not_read_is_aborted(self):
        ended = []

        async def pipeline(exchange):
            await exchange.reply.start(200, [])
            try:
                for _ in range(10_000):
                    await exchange.reply.send(b"x" * 10_000)
            except SlowReader as error:
                ended.append(error)
                raise

        floor = mock.patch.object(budget, "MIN_READ_BYTES_PER_S", 10**6)
        with floor, self.assertLogs("uvicorn.error"):
            self.run_pipeline(pipeline, lambda _: wait_until(lambda: ended))
