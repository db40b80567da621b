import unittest

import anyio

from banyanseam.entry.errors import SlowerThanOthers
from banyanseam.entry.moving import Progress
from banyanseam.entry.sending import run_beside
from banyanseam.upstreams.errors import UpstreamFailed
from tests.common import run_mocked


async def parts_with_pauses(pauses_s):
    for pause_s in pauses_s:
        await anyio.sleep(pause_s)
        yield b"part"


class ProgressTests(unittest.TestCase):
    def test_a_body_is_read_to_its_end(self):
        async def run():
            progress = Progress(anyio.current_time())
            body = parts_with_pauses((1, 2))
            parts = []
            while (part := await progress.read(body)) is not None:
                parts.append((part, progress.last_s - began_s))
            return parts

        async def timed():
            nonlocal began_s
            began_s = anyio.current_time()
            return await run()

        began_s = 0.0
        self.assertEqual(run_mocked(timed), [(b"part", 1.0), (b"part", 3.0)])

    def test_a_read_that_waits_ends_when_it_is_stopped(self):
        async def run():
            progress = Progress(anyio.current_time())
            began_s = anyio.current_time()

            async def stop():
                await anyio.sleep(1)
                progress.stop()

            async def read():
                await progress.read(parts_with_pauses((60,)))

            with self.assertRaises(SlowerThanOthers):
                await run_beside(read(), stop)
            return anyio.current_time() - began_s

        self.assertEqual(run_mocked(run), 1.0)

    def test_what_is_being_passed_on_is_not_cut(self):
        """A stop while a part goes out takes effect at the next read."""

        async def run():
            progress = Progress(anyio.current_time())
            body = parts_with_pauses((0, 0))
            passed = []

            async def pass_on():
                while (part := await progress.read(body)) is not None:
                    await anyio.sleep(5)
                    passed.append(part)

            async def stop():
                await anyio.sleep(1)
                progress.stop()

            with self.assertRaises(SlowerThanOthers):
                await run_beside(pass_on(), stop)
            return passed

        self.assertEqual(run_mocked(run), [b"part"])


class RunBesideTests(unittest.TestCase):
    def test_what_the_main_part_raises_comes_through_as_it_is(self):
        async def fail():
            await anyio.sleep(1)
            raise UpstreamFailed("e1")

        async def watch():
            await anyio.sleep_forever()

        async def run():
            await run_beside(fail(), watch)

        with self.assertRaises(UpstreamFailed):
            run_mocked(run)


if __name__ == "__main__":
    unittest.main()
