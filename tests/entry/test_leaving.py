import unittest

from banyanseam.entry.const import LAST_LEAVE_S, LEAVE_S, MAX_LEAVE_SHARE
from banyanseam.entry.leaving import Leaving
from banyanseam.entry.members import Members
from tests.entry.common import make_member

GRACE_S = 8.0
BEGAN_S = 100.0
REGIONS = {"gulf-a": "gulf", "piedmont-a": "piedmont"}


class LeavingTests(unittest.TestCase):
    def setUp(self):
        me = make_member("10.1.0.5", is_serving=False)
        self.members = Members(me, REGIONS)
        self.leaving = Leaving(self.members, GRACE_S, BEGAN_S)

    def merge(self, ip, now_s, *, region="gulf", count=1, **state):
        member = make_member(ip, region, heartbeat_count=count, **state)
        self.members.merge([member], now_s)

    def find_end_s(self, now_s):
        return round(now_s + self.leaving.find_left_s(now_s) - BEGAN_S, 3)

    def test_a_vm_beside_others_leaves_as_soon_as_callers_know(self):
        self.merge("10.1.0.1", BEGAN_S)
        self.assertEqual(self.find_end_s(BEGAN_S + 1.0), LEAVE_S)

    def test_a_lone_vm_does_not_delay_its_own_return(self):
        self.merge("10.2.0.1", BEGAN_S, region="piedmont")
        self.assertEqual(self.find_end_s(BEGAN_S + 1.0), LEAVE_S)

    def test_the_last_vm_stays_until_callers_know_of_another(self):
        self.merge("10.1.0.1", BEGAN_S - 2.0, is_serving=False, is_accepting=False)
        self.assertEqual(self.find_end_s(BEGAN_S + 1.5), 1.5 + LAST_LEAVE_S)
        self.assertFalse(self.leaving.is_extended(BEGAN_S + 1.5))
        self.merge("10.1.0.1", BEGAN_S + 1.6, count=2)
        self.merge("10.1.0.1", BEGAN_S + 3.1, count=3)
        self.assertEqual(self.find_end_s(BEGAN_S + 3.2), 1.5 + LAST_LEAVE_S)
        self.assertTrue(self.leaving.is_extended(BEGAN_S + 3.2))

    def test_the_last_vm_leaves_time_for_its_last_requests(self):
        self.merge("10.1.0.1", BEGAN_S - 2.0, is_serving=False, is_accepting=False)
        latest_s = MAX_LEAVE_SHARE * GRACE_S
        self.assertEqual(self.find_end_s(BEGAN_S + latest_s - 0.1), latest_s)
        self.assertLess(self.leaving.find_left_s(BEGAN_S + latest_s + 0.1), 0)

    def test_of_several_leaving_vms_one_stays(self):
        for ip, since_s, stays in (
            ("10.1.0.1", -2.0, True),
            ("10.1.0.9", -2.0, True),
            ("10.1.0.1", 0.5, True),
            ("10.1.0.9", 0.5, False),
            ("10.1.0.1", 1.5, False),
            ("10.1.0.9", 1.5, False),
        ):
            with self.subTest(ip, since_s=since_s):
                self.setUp()
                self.merge(ip, BEGAN_S - 3.0)
                self.merge(ip, BEGAN_S + since_s, count=2, is_serving=False)
                now_s = BEGAN_S + 1.6
                self.merge(ip, now_s, count=3, is_serving=False)
                expected_s = 1.6 + LAST_LEAVE_S if stays else LEAVE_S
                self.assertEqual(self.find_end_s(now_s), expected_s)


if __name__ == "__main__":
    unittest.main()
