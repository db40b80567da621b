import unittest

from banyanseam.entry.const import FLEET_TERM_S, PEER_TERM_S, REMOTE_PEER_TERM_S
from tests.entry.common import make_member, make_members


class MemberTests(unittest.TestCase):
    def test_a_peer_lives_while_its_number_grows_whoever_brings_it(self):
        members = make_members()
        members.merge([make_member("10.1.0.2", beat=1)], 0.0)
        members.merge([make_member("10.1.0.2", beat=2)], PEER_TERM_S - 0.1)
        self.assertEqual(len(members.list_alive(PEER_TERM_S + 0.1)), 1)
        # Old rows that are still passed around keep nobody alive.
        members.merge([make_member("10.1.0.2", beat=2)], 2 * PEER_TERM_S)
        self.assertEqual(members.list_alive(2 * PEER_TERM_S + 0.1), [])

    def test_another_region_is_given_more_time(self):
        members = make_members()
        members.merge([make_member("10.2.0.1", "piedmont")], 0.0)
        self.assertEqual(len(members.list_alive(REMOTE_PEER_TERM_S - 0.1)), 1)
        self.assertEqual(members.list_alive(REMOTE_PEER_TERM_S + 0.1), [])

    def test_a_new_process_replaces_the_old_one_at_once(self):
        members = make_members()
        members.merge([make_member("10.1.0.2", incarnation=1, beat=900)], 0.0)
        fresh = make_member("10.1.0.2", incarnation=2, beat=1, is_serving=False)
        members.merge([fresh], 0.1)
        self.assertEqual(members.find("10.1.0.2"), fresh)
        members.merge([make_member("10.1.0.2", incarnation=1, beat=901)], 0.2)
        self.assertEqual(members.find("10.1.0.2"), fresh)

    def test_a_process_that_starts_after_its_clock_was_set_back_is_heard(self):
        members = make_members()
        members.merge([make_member("10.1.0.2", incarnation=9000, beat=50)], 0.0)
        back = make_member("10.1.0.2", incarnation=7000, beat=1)
        members.merge([back], PEER_TERM_S / 2)
        self.assertEqual(members.find("10.1.0.2").incarnation, 9000)
        for beat in range(2, 6):
            now_s = PEER_TERM_S + beat / 4
            members.merge([make_member("10.1.0.2", incarnation=7000, beat=beat)], now_s)
        self.assertEqual(members.find("10.1.0.2").incarnation, 7000)
        self.assertEqual(len(members.list_alive(now_s)), 1)

    def test_nobody_speaks_for_this_process(self):
        members = make_members()
        members.merge([make_member("10.1.0.1", beat=10**9, is_serving=False)], 0.0)
        self.assertEqual(len(members.list_serving(0.0, "gulf")), 1)

    def test_leaving_and_starting_peers_do_not_serve(self):
        members = make_members()
        members.merge([make_member("10.1.0.2", is_serving=False)], 0.0)
        serving = members.list_serving(0.0, "gulf")
        self.assertEqual([each.ip for each in serving], ["10.1.0.1"])
        accepting = members.list_accepting(0.0)
        self.assertEqual(len(accepting), 2)

    def test_silent_peers_count_for_a_while_where_limits_are_divided(self):
        members = make_members()
        members.merge([make_member("10.1.0.2"), make_member("10.2.0.1", "delta")], 0.0)
        self.assertEqual(members.count_recent(FLEET_TERM_S - 1), 3)
        self.assertEqual(members.count_recent(FLEET_TERM_S - 1, "gulf"), 2)
        self.assertEqual(members.count_recent(FLEET_TERM_S + 1), 1)

    def test_rank_is_by_those_that_serve(self):
        members = make_members("10.1.0.5")
        members.merge([make_member("10.1.0.1"), make_member("10.1.0.9")], 0.0)
        self.assertEqual(members.rank_in_region(0.0), 1)
        self.assertEqual(members.rank_in_region(PEER_TERM_S + 1), 0)


if __name__ == "__main__":
    unittest.main()
