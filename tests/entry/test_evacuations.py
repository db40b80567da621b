"""Checks which evacuations are in force after the store has come back from a copy."""

import unittest

from banyanseam.entry.evacuations import Evacuations
from banyanseam.entry.models import Listing, PublishedValue, StorePosition
from tests.common import run_with_mock_clock
from tests.entry.test_store_watcher import WatcherSetup


class EvacuationTests(unittest.TestCase):
    def test_an_evacuation_begun_anew_is_in_force_for_a_vm_that_resumes_later(self):
        evacuations = Evacuations()
        evacuations.adopt({"gulf-a": 40}, StorePosition(0, 40), 0.0)
        evacuations.adopt({}, StorePosition(0, 50), 2.0)
        # The copy had revision 30; the VM was suspended for 10 s.
        evacuations.record_return(15.0)
        evacuations.adopt({"gulf-a": 38}, StorePosition(1, 39), 15.0)
        self.assertEqual(evacuations.in_force, {"gulf-a"})

    def list_values(self, revision, at, era):
        key = "out/gulf-a"
        return Listing({key: PublishedValue(key, b"", revision)}, at, era)

    def test_an_evacuation_of_an_earlier_era_is_adopted_after_a_peer_without_any(self):
        """By a VM that has started, and that the store turns away."""

        async def run():
            own, fresh, known = (WatcherSetup().values for _ in range(3))
            known.apply_listing(self.list_values(12, 20, 1), 0.0)
            known.record_position(StorePosition(2, 15), 1.0)
            known.apply_listing(self.list_values(12, 15, 2), 1.0)
            # The region's list of upstreams.
            own.record_position(StorePosition(2, 40), 8.0)
            for peer in (fresh, known):
                own.apply_message(peer.to_message(), "10.1.0.2", 8.0)
            self.assertEqual(own.evacuated, {"gulf-a"})

        run_with_mock_clock(run)

    def test_an_evacuation_that_was_written_again_is_adopted_from_a_peer(self):
        """By a VM that the store turns away after it has listed the copy."""

        async def run():
            own, peer = (WatcherSetup().values for _ in range(2))
            for each in (own, peer):
                each.record_position(StorePosition(1, 20), 0.0)
                each.apply_listing(self.list_values(12, 20, 1), 0.0)
            own.record_position(StorePosition(2, 10), 5.0)
            own.apply_listing(Listing({}, 10, 2), 5.0)
            peer.record_position(StorePosition(2, 14), 6.0)
            peer.apply_listing(self.list_values(11, 14, 2), 6.0)
            own.apply_message(peer.to_message(), "10.1.0.2", 6.5)
            own.update_evacuations(10.0)
            self.assertEqual(own.evacuated, {"gulf-a"})

        run_with_mock_clock(run)


if __name__ == "__main__":
    unittest.main()
