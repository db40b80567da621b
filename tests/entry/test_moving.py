import unittest
from types import SimpleNamespace
from unittest import mock

import anyio

from banyanseam.entry.errors import SlowerThanOthers
from banyanseam.entry.moving import MovePolicy, Progress
from banyanseam.entry.placing import Placement
from banyanseam.entry.sending import run_with_watch
from banyanseam.upstreams.errors import UpstreamFailed
from tests.common import run_with_mock_clock
from tests.entry.common import make_candidate, make_members, make_route
from tests.entry.test_choosing import make_exchange


async def chunks_with_pauses(pauses_s):
    for pause_s in pauses_s:
        await anyio.sleep(pause_s)
        yield b"part"


class ProgressTests(unittest.TestCase):
    def test_a_body_is_read_to_its_end(self):
        async def run():
            progress = Progress(anyio.current_time())
            body = chunks_with_pauses((1, 2))
            chunks = []
            while (chunk := await progress.read(body)) is not None:
                progress.record_event(anyio.current_time())
                chunks.append((chunk, progress.last_s - started_s))
            return chunks

        async def timed():
            nonlocal started_s
            started_s = anyio.current_time()
            return await run()

        started_s = 0.0
        self.assertEqual(run_with_mock_clock(timed), [(b"part", 1.0), (b"part", 3.0)])

    def test_a_read_that_waits_ends_when_it_is_stopped(self):
        async def run():
            progress = Progress(anyio.current_time())
            started_s = anyio.current_time()

            async def stop():
                await anyio.sleep(1)
                progress.stop()

            async def read():
                await progress.read(chunks_with_pauses((60,)))

            with self.assertRaises(SlowerThanOthers):
                await run_with_watch(read(), stop)
            return anyio.current_time() - started_s

        self.assertEqual(run_with_mock_clock(run), 1.0)

    def test_a_chunk_being_relayed_is_not_interrupted(self):
        """A stop while a chunk is being relayed takes effect at the next read."""

        async def run():
            progress = Progress(anyio.current_time())
            body = chunks_with_pauses((0, 0))
            relayed = []

            async def relay_body():
                while (chunk := await progress.read(body)) is not None:
                    await anyio.sleep(5)
                    relayed.append(chunk)

            async def stop():
                await anyio.sleep(1)
                progress.stop()

            with self.assertRaises(SlowerThanOthers):
                await run_with_watch(relay_body(), stop)
            return relayed

        self.assertEqual(run_with_mock_clock(run), [b"part"])


class StalledStreamTests(unittest.TestCase):
    def test_a_stream_moves_after_two_of_its_routes_longest_pauses(self):
        async def measure_s(max_pause_ms):
            exchange = make_exchange(
                anyio.current_time(), route=make_route(max_pause_ms=max_pause_ms)
            )
            exchange.reply = SimpleNamespace(is_started=True)
            policy = MovePolicy(
                make_members(),
                mock.Mock(),
                SimpleNamespace(try_spend=lambda *_: True),
                lambda *_: [make_candidate("e2")],
            )
            tried = Placement(make_candidate("e1"), 0.0, is_cached=False)
            progress = Progress(anyio.current_time())
            with anyio.fail_after(60):
                await policy.stop_stalled_stream(exchange, tried, progress)
            return anyio.current_time() - progress.last_s

        for max_pause_ms in (300, 400, 2000):
            with self.subTest(max_pause_ms):
                silent_s = run_with_mock_clock(measure_s, max_pause_ms)
                self.assertAlmostEqual(silent_s, 2 * max_pause_ms / 1000, delta=0.11)


class RunWithWatchTests(unittest.TestCase):
    def test_errors_of_the_main_task_are_raised_unchanged(self):
        async def fail():
            await anyio.sleep(1)
            raise UpstreamFailed("e1")

        async def watch():
            await anyio.sleep_forever()

        async def run():
            await run_with_watch(fail(), watch)

        with self.assertRaises(UpstreamFailed):
            run_with_mock_clock(run)


if __name__ == "__main__":
    unittest.main()
