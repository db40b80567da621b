"""Checks what a process does when the store comes back from a copy."""

import unittest
from unittest import mock

import anyio

from banyanseam.entry.messages import ValuesMessage
from banyanseam.observe.events import STORE_RESTORED
from tests.entry.test_store_watcher import MAX_CATCH_UP_S, run_scenario

PEER = "10.1.0.2"
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

    def test_an_evacuation_after_a_return_is_in_force_though_its_revision_is_lower(
        self,
    ):
        async def scenario(setup):
            copy = setup.store.copy()
            for _ in range(9):
                setup.store.put("other")
            await anyio.sleep(1)
            await restore(setup, copy)
            await anyio.sleep(1)
            setup.store.put("out/gulf-a")
            await anyio.sleep(MAX_CATCH_UP_S)
            self.assertEqual(setup.values.evacuated, {"gulf-a"})
            setup.store.drop("out/gulf-a")
            await anyio.sleep(0.1)
            self.assertEqual(setup.values.evacuated, set())

        run_scenario(scenario)


class PeerTests(unittest.TestCase):
    """What a VM that has seen the return and one that has not tell each other."""

    def test_an_evacuation_of_a_later_era_is_adopted_from_a_peer(self):
        async def scenario(setup):
            for _ in range(99):
                setup.store.put("other")
            await anyio.sleep(1)
            self.adopt(setup, ["gulf-a"], 1, 50)
            self.assertEqual(setup.values.evacuated, {"gulf-a"})
            self.adopt(setup, [], 0, 99)
            self.adopt(setup, [], 1, 49)
            self.assertEqual(setup.values.evacuated, {"gulf-a"})

        run_scenario(scenario)

    def test_an_evacuation_of_an_earlier_era_is_not_adopted_from_a_peer(self):
        """Nor one of a VM of the release before, which names no era."""
        for era in (0, None):
            with self.subTest(era=era):
                self.check_earlier_era(era)

    def check_earlier_era(self, era):
        async def scenario(setup):
            copy = setup.store.copy()
            setup.store.put("other")
            await anyio.sleep(1)
            await restore(setup, copy)
            await anyio.sleep(MAX_CATCH_UP_S)
            self.adopt(setup, ["gulf-a"], era, 99)
            self.assertEqual(setup.values.evacuated, set())

        run_scenario(scenario)

    def test_an_evacuation_is_adopted_from_the_release_before_until_a_return(self):
        async def scenario(setup):
            self.adopt(setup, ["gulf-a"], None, 99)
            self.assertEqual(setup.values.evacuated, {"gulf-a"})

        run_scenario(scenario)

    def adopt(self, setup, evacuated, era, revision):
        message = ValuesMessage(
            config=b"1",
            evacuated=evacuated,
            evacuation_revision=revision,
            evacuation_era=era,
        )
        setup.values.apply_message(message, PEER, anyio.current_time())


if __name__ == "__main__":
    unittest.main()
