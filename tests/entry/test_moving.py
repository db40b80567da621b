import unittest

import anyio

from banyanseam.entry.errors import SlowerThanOthers
from banyanseam.entry.moving import Progress
from banyanseam.entry.sending import run_with_watch
from banyanseam.upstreams.errors import UpstreamFailed
from tests.common import run_with_mock_clock


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
