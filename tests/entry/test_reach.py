import unittest

from hypothesis import given
from hypothesis import strategies as st

from banyanseam.entry.const import PEER_SUSPECT_S, UNREACHABLE_REGION_PEERS
from banyanseam.entry.reach import PeerReach
from tests.entry.common import make_member

PEERS = [make_member(f"10.2.0.{number}", "piedmont") for number in range(1, 5)]


class PeerReachTests(unittest.TestCase):
    def setUp(self):
        self.reach = PeerReach()

    def test_everybody_is_tried_at_first(self):
        self.assertEqual(self.reach.filter_reachable(PEERS, 0.0), PEERS)

    def test_one_that_does_not_answer_is_passed_by_for_a_while(self):
        self.reach.note_failed(PEERS[0], 0.0)
        self.assertEqual(self.reach.filter_reachable(PEERS, 0.5), PEERS[1:])
        self.assertEqual(self.reach.filter_reachable(PEERS, PEER_SUSPECT_S), PEERS)

    def test_a_region_of_which_several_do_not_answer_is_tried_by_one_at_a_time(self):
        for peer in PEERS[:UNREACHABLE_REGION_PEERS]:
            self.reach.note_failed(peer, 0.0)
        self.assertEqual(self.reach.filter_reachable(PEERS, 0.5), [])
        now_s = PEER_SUSPECT_S
        due = self.reach.filter_reachable(PEERS, now_s)
        self.assertEqual(due, PEERS[:UNREACHABLE_REGION_PEERS])
        for peer in due:
            self.reach.note_tried(peer, now_s)
        self.assertEqual(self.reach.filter_reachable(PEERS, now_s), [])

    def test_a_region_that_answers_is_whole_again(self):
        for peer in PEERS[:UNREACHABLE_REGION_PEERS]:
            self.reach.note_failed(peer, 0.0)
        self.reach.note_answered(PEERS[0], PEERS)
        self.assertEqual(self.reach.filter_reachable(PEERS, 0.1), PEERS)

    def test_the_only_one_of_a_region_is_tried_again(self):
        self.reach.note_failed(PEERS[0], 0.0)
        self.assertEqual(self.reach.filter_reachable(PEERS[:1], 0.5), [])
        self.assertEqual(
            self.reach.filter_reachable(PEERS[:1], PEER_SUSPECT_S), PEERS[:1]
        )

    @given(st.lists(st.tuples(st.sampled_from(PEERS), st.floats(0, 0.6)), max_size=40))
    def test_nobody_is_passed_by_for_longer_than_the_term(self, failures):
        now_s = 0.0
        for peer, pause_s in failures:
            now_s += pause_s
            self.reach.note_failed(peer, now_s)
        later_s = now_s + PEER_SUSPECT_S
        self.assertTrue(self.reach.filter_reachable(PEERS, later_s))


if __name__ == "__main__":
    unittest.main()
