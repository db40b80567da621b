import unittest

from banyanseam.entry.const import FLEET_TERM_S, PEER_TERM_S, REMOTE_PEER_TERM_S
from tests.entry.common import make_member, make_members


class MembersTests(unittest.TestCase):
    def test_a_peer_is_alive_while_its_heartbeat_count_grows_through_any_relay(self):
        members = make_members()
        members.merge([make_member("10.1.0.2", heartbeat_count=1)], 0.0)
        members.merge([make_member("10.1.0.2", heartbeat_count=2)], PEER_TERM_S - 0.1)
        self.assertEqual(len(members.list_alive(PEER_TERM_S + 0.1)), 1)
        # A stale row that is still being relayed doesn't count as a sign of life.
        members.merge([make_member("10.1.0.2", heartbeat_count=2)], 2 * PEER_TERM_S)
        self.assertEqual(members.list_alive(2 * PEER_TERM_S + 0.1), [])

    def test_peers_of_other_regions_have_a_longer_term(self):
        members = make_members()
        members.merge([make_member("10.2.0.1", "piedmont")], 0.0)
        self.assertEqual(len(members.list_alive(REMOTE_PEER_TERM_S - 0.1)), 1)
        self.assertEqual(members.list_alive(REMOTE_PEER_TERM_S + 0.1), [])

    def test_a_newer_incarnation_replaces_the_older_at_once(self):
        members = make_members()
        members.merge(
            [make_member("10.1.0.2", incarnation=1, heartbeat_count=900)], 0.0
        )
        fresh = make_member(
            "10.1.0.2", incarnation=2, heartbeat_count=1, is_serving=False
        )
        members.merge([fresh], 0.1)
        self.assertEqual(members.find("10.1.0.2"), fresh)
        members.merge(
            [make_member("10.1.0.2", incarnation=1, heartbeat_count=901)], 0.2
        )
        self.assertEqual(members.find("10.1.0.2"), fresh)

    def test_a_process_restarted_after_a_clock_step_back_is_adopted(self):
        members = make_members()
        members.merge(
            [make_member("10.1.0.2", incarnation=9000, heartbeat_count=50)], 0.0
        )
        restarted = make_member("10.1.0.2", incarnation=7000, heartbeat_count=1)
        members.merge([restarted], PEER_TERM_S / 2)
        self.assertEqual(members.find("10.1.0.2").incarnation, 9000)
        for heartbeat_count in range(2, 6):
            now_s = PEER_TERM_S + heartbeat_count / 4
            members.merge(
                [
                    make_member(
                        "10.1.0.2", incarnation=7000, heartbeat_count=heartbeat_count
                    )
                ],
                now_s,
            )
        self.assertEqual(members.find("10.1.0.2").incarnation, 7000)
        self.assertEqual(len(members.list_alive(now_s)), 1)

    def test_rows_about_this_process_are_ignored(self):
        members = make_members()
        members.merge(
            [make_member("10.1.0.1", heartbeat_count=10**9, is_serving=False)], 0.0
        )
        self.assertEqual(len(members.list_serving(0.0, "gulf")), 1)

    def test_leaving_and_starting_peers_do_not_serve(self):
        members = make_members()
        members.merge([make_member("10.1.0.2", is_serving=False)], 0.0)
        serving = members.list_serving(0.0, "gulf")
        self.assertEqual([each.ip for each in serving], ["10.1.0.1"])
        accepting = members.list_accepting(0.0)
        self.assertEqual(len(accepting), 2)

    def test_silent_peers_count_until_the_fleet_term_ends(self):
        members = make_members()
        members.merge([make_member("10.1.0.2"), make_member("10.2.0.1", "delta")], 0.0)
        self.assertEqual(members.count_recent(FLEET_TERM_S - 1), 3)
        self.assertEqual(members.count_recent(FLEET_TERM_S - 1, "gulf"), 2)
        self.assertEqual(members.count_recent(FLEET_TERM_S + 1), 1)

    def test_rank_counts_live_serving_peers(self):
        members = make_members("10.1.0.5")
        members.merge([make_member("10.1.0.1"), make_member("10.1.0.9")], 0.0)
        self.assertEqual(members.rank_in_region(0.0), 1)
        self.assertEqual(members.rank_in_region(PEER_TERM_S + 1), 0)


if __name__ == "__main__":
    unittest.main()
