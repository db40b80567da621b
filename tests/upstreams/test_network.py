import socket
import unittest
from contextlib import asynccontextmanager, suppress

import anyio
import anyio.lowlevel
import httpcore

from banyanseam.upstreams.network import connect
from tests.upstreams.test_unframed_answers import reset

CHUNK = bytes(range(256)) * 256


@asynccontextmanager
async def connected():
    """Yield both ends of a connection, the upstream's as a plain socket."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        stream = await connect("127.0.0.1", server.getsockname()[1], 5)
        upstream, _ = server.accept()
    with upstream:
        upstream.setblocking(False)
        yield upstream, stream
        await stream.aclose()


class StreamTests(unittest.TestCase):
    def test_write_times_out_when_the_upstream_does_not_read(self):
        async def run():
            async with connected() as (_, stream):
                with self.assertRaises(httpcore.WriteTimeout):
                    await stream.write(CHUNK * 1000, timeout=0.2)

        anyio.run(run)

    def test_an_upstream_waits_for_a_slow_read_and_nothing_is_lost(self):
        async def run():
            async with connected() as (upstream, stream):
                sent_bytes = 0
                for _ in range(1000):
                    # The event loop may read between two chunks.
                    await anyio.lowlevel.checkpoint()
                    with suppress(BlockingIOError):
                        sent_bytes += upstream.send(CHUNK[sent_bytes % len(CHUNK) :])
                self.assertLess(sent_bytes, 1000 * len(CHUNK) // 2)
                upstream.close()
                received = b""
                while chunk := await stream.read(1, timeout=5):
                    received += chunk
                self.assertEqual(len(received), sent_bytes)
                self.assertTrue((CHUNK * 1000).startswith(received))

        anyio.run(run)

    def test_end_of_stream_differs_from_lost_connection(self):
        async def run():
            async with connected() as (upstream, stream):
                self.assertFalse(stream.get_extra_info("is_readable"))
                upstream.send(b"last")
                upstream.close()
                self.assertTrue(stream.get_extra_info("is_readable"))
                self.assertEqual(await stream.read(9), b"last")
                self.assertEqual(await stream.read(9), b"")
            async with connected() as (_, stream):
                await stream.aclose()
                with self.assertRaises(httpcore.ReadError):
                    await stream.read(9, timeout=1)
                with self.assertRaises(httpcore.WriteError):
                    await stream.write(b"more", timeout=1)

        anyio.run(run)

    def test_an_end_before_all_writes_have_arrived_times_out(self):
        async def run():
            async with connected() as (upstream, stream):
                with self.assertRaises(httpcore.WriteTimeout):
                    await stream.write(CHUNK * 1000, timeout=0.2)
                upstream.shutdown(socket.SHUT_WR)
                with self.assertRaises(httpcore.ReadTimeout):
                    await stream.read(9, timeout=0.2)

        anyio.run(run)

    # A reset right after the end of the stream was taken for an orderly end.
    def test_an_end_of_stream_hides_no_reset_that_is_there_already(self):
        async def run():
            async with connected() as (upstream, stream):
                upstream.send(b"last")
                upstream.shutdown(socket.SHUT_WR)
                reset(upstream)
                self.assertEqual(await stream.read(9), b"last")
                with self.assertRaises(httpcore.ReadError):
                    await stream.read(9, timeout=1)

        for use_uvloop in (False, True):
            with self.subTest(use_uvloop=use_uvloop):
                anyio.run(run, backend_options={"use_uvloop": use_uvloop})
