"""Checks what a process does when the store comes back from a copy."""

import unittest
from unittest import mock

import anyio

from banyanseam.observe.events import STORE_RESTORED
from tests.entry.test_store_watcher import MAX_CATCH_UP_S, run_scenario

# How long the store is away.
AWAY_S = 1.0


async def restore(setup, copy, *writes):
    """Let the store be away and come back from a copy, with these values written."""
    setup.store.is_failing = True
    await anyio.sleep(AWAY_S)
    setup.store.restore(copy)
    for key, value in writes:
        setup.store.put(key, value)
    setup.store.is_failing = False


class RestoredStoreTests(unittest.TestCase):
    def test_a_return_from_a_copy_is_logged_once(self):
        async def scenario(setup):
            copy = setup.store.copy()
            setup.store.put("other")
            await anyio.sleep(1)
            with mock.patch("banyanseam.entry.values.log") as log:
                await restore(setup, copy)
                await anyio.sleep(5)
            found = [each for each in log.mock_calls if each.args[0] is STORE_RESTORED]
            expected = {
                "era": 1,
                "era_before": 0,
                "revision": 1,
                "revision_before": 2,
            }
            self.assertEqual(found, [mock.call(STORE_RESTORED, **expected)])

        run_scenario(scenario)

    def test_no_change_is_missed_below_a_revision_that_was_given_out_again(self):
        """A watch from such a revision gets no 410, and only what came after it."""
        for rewritten in (0, 2, 3, 5):
            with self.subTest(rewritten=rewritten):
                self.check_missed_change(rewritten)

    def check_missed_change(self, rewritten):
        async def scenario(setup):
            copy = setup.store.copy()
            for _ in range(3):
                setup.store.put("other")
            await anyio.sleep(1)
            others = [("other", b"")] * rewritten
            await restore(setup, copy, ("op/config", b"7"), *others)
            await anyio.sleep(MAX_CATCH_UP_S)
            self.assertEqual(setup.values.version, 7)

        run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
