import unittest

from hypothesis import given
from hypothesis import strategies as st

from banyanseam.entry.const import PEER_SUSPECT_S, UNREACHABLE_REGION_PEERS
from banyanseam.entry.reach import PeerReachability
from tests.entry.common import make_member

PEERS = [make_member(f"10.2.0.{number}", "piedmont") for number in range(1, 5)]


class PeerReachabilityTests(unittest.TestCase):
    def setUp(self):
        self.reachability = PeerReachability()

    def test_all_peers_are_reachable_at_first(self):
        self.assertEqual(self.reachability.filter_reachable(PEERS, 0.0), PEERS)

    def test_an_unreachable_peer_is_skipped_until_its_retry_is_due(self):
        self.reachability.record_unreachable(PEERS[0], 0.0)
        self.assertEqual(self.reachability.filter_reachable(PEERS, 0.5), PEERS[1:])
        self.assertEqual(
            self.reachability.filter_reachable(PEERS, PEER_SUSPECT_S), PEERS
        )

    def test_each_peer_of_an_unreachable_region_gets_one_attempt_at_a_time(self):
        for peer in PEERS[:UNREACHABLE_REGION_PEERS]:
            self.reachability.record_unreachable(peer, 0.0)
        self.assertEqual(self.reachability.filter_reachable(PEERS, 0.5), [])
        now_s = PEER_SUSPECT_S
        due = self.reachability.filter_reachable(PEERS, now_s)
        self.assertEqual(due, PEERS[:UNREACHABLE_REGION_PEERS])
        for peer in due:
            self.reachability.record_attempt(peer, now_s)
        self.assertEqual(self.reachability.filter_reachable(PEERS, now_s), [])

    def test_one_answer_makes_the_whole_region_reachable(self):
        for peer in PEERS[:UNREACHABLE_REGION_PEERS]:
            self.reachability.record_unreachable(peer, 0.0)
        self.reachability.record_reachable(PEERS[0], PEERS)
        self.assertEqual(self.reachability.filter_reachable(PEERS, 0.1), PEERS)

    def test_the_only_peer_of_a_region_is_retried(self):
        self.reachability.record_unreachable(PEERS[0], 0.0)
        self.assertEqual(self.reachability.filter_reachable(PEERS[:1], 0.5), [])
        self.assertEqual(
            self.reachability.filter_reachable(PEERS[:1], PEER_SUSPECT_S), PEERS[:1]
        )

    @given(st.lists(st.tuples(st.sampled_from(PEERS), st.floats(0, 0.6)), max_size=40))
    def test_some_peer_is_retried_at_the_latest_after_the_retry_delay(self, failures):
        now_s = 0.0
        for peer, pause_s in failures:
            now_s += pause_s
            self.reachability.record_unreachable(peer, now_s)
        later_s = now_s + PEER_SUSPECT_S
        self.assertTrue(self.reachability.filter_reachable(PEERS, later_s))


if __name__ == "__main__":
    unittest.main()
