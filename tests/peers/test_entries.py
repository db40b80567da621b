import unittest
from collections import Counter

from banyanseam.peers.entries import list_entries
from banyanseam.peers.incarnation import Incarnation
from banyanseam.peers.membership import Membership
from banyanseam.peers.rows import Flags, Row, hash_seat
from tests.common import make_config


class EntriesTests(unittest.TestCase):
    def setUp(self):
        self.config = make_config(seats=6)
        self.membership = Membership("gulf-1", "gulf", Incarnation(1))
        self.membership.set_config(self.config, 0.0)
        for seat in self.config.seats:
            self.receive(seat, 1)
        self.membership.record_round_trip("delta-1", 0.1)
        self.membership.record_round_trip("piedmont-1", 0.2)

    def receive(self, seat, counter, flags=Flags.NONE):
        row = Row(hash_seat(seat), 1, counter, flags)
        self.membership.merge_row(row, 0.0)

    def list_for(self, caller):
        return list_entries(self.config, self.membership, caller).entries

    def test_order_is_own_region_then_the_nearest(self):
        regions = [entry.region for entry in self.list_for("a")]
        self.assertEqual(regions, ["gulf"] * 6 + ["delta"] * 2 + ["piedmont"] * 2)

    def test_data_centres_alternate(self):
        centres = [entry.data_centre for entry in self.list_for("a")[:6]]
        self.assertTrue(all(a != b for a, b in zip(centres, centres[1:], strict=False)))

    def test_callers_spread_and_each_list_is_stable(self):
        self.assertEqual(self.list_for("a"), self.list_for("a"))
        firsts = Counter(self.list_for(str(number))[0].seat for number in range(600))
        self.assertEqual(len(firsts), 6)
        self.assertLess(max(firsts.values()), 150)

    def test_leaving_and_gone_seats_are_not_listed(self):
        self.receive("gulf-2", 2, Flags.LEAVING)
        self.assertNotIn("gulf-2", {entry.seat for entry in self.list_for("a")})
        self.membership.advance(60.0)
        self.assertEqual([entry.seat for entry in self.list_for("a")], ["gulf-1"])
        self.membership.set_flag(Flags.LEAVING, on=True)
        self.assertEqual([entry.seat for entry in self.list_for("a")], ["gulf-1"])
