"""Checks how crashes are inferred from the starts of upstreams and VMs."""

import unittest
from dataclasses import replace

from banyanseam.entry.const import REFUSAL_MEMORY_S
from banyanseam.entry.earlier_crashes import OBSERVED_S, EarlierCrashes
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.peers.incarnation import INCARNATION_RANDOM_BITS
from tests.entry.common import make_member, make_members, make_upstream

DAY_MS = 86_400_000
NOW_MS = 1_800_000_000_000


class EarlierCrashesTests(unittest.TestCase):
    def find(self, *ages_s, peer_age_s=None, now_s=0.0, observed_s=0.0, **fields):
        """Return the verdict of a new VM on upstreams of these ages."""
        members = make_members()
        incarnation = NOW_MS << INCARNATION_RANDOM_BITS
        members.me = replace(members.me, incarnation=incarnation)
        if peer_age_s is not None:
            started_ms = NOW_MS - round(peer_age_s * 1000)
            incarnation = started_ms << INCARNATION_RANDOM_BITS
            members.merge([make_member("10.1.0.9", incarnation=incarnation)], now_s)
        upstreams = UpstreamList()
        listing = [
            make_upstream(
                f"e{number}", started_ms=NOW_MS - round(age_s * 1000), **fields
            )
            for number, age_s in enumerate(ages_s)
        ]
        upstreams.adopt(listing, 1, 0.0)
        earlier = EarlierCrashes(members, upstreams, 0.0)
        earlier.observe(observed_s)
        return earlier.are_probable("pool", now_s)

    def test_upstreams_that_started_again_shortly_before_all_vms_count(self):
        old_s = DAY_MS / 1000
        cases = {
            "two of five": ((old_s, old_s, old_s, 2.0, 1.0), True),
            "one after the VMs": ((old_s, 2.0, -3.0), True),
            "one only": ((old_s, old_s, 2.0), False),
            "all together with the VMs": ((2.0, 2.1, 3.0, 2.5), False),
            "long before": ((old_s, 2 * REFUSAL_MEMORY_S, 2 * REFUSAL_MEMORY_S), False),
            "long after the VMs": ((old_s, -8.0, -9.0), False),
        }
        for name, (ages_s, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(self.find(*ages_s), expected)

    def test_a_peer_that_was_running_has_records(self):
        old_s = DAY_MS / 1000
        self.assertTrue(self.find(old_s, 9.0, 8.0, peer_age_s=1.0))
        self.assertFalse(self.find(old_s, 9.0, 8.0, peer_age_s=100.0))

    def test_other_services_and_late_observations_do_not_count(self):
        old_s = DAY_MS / 1000
        self.assertFalse(self.find(old_s, 2.0, 1.0, service="desk"))
        self.assertFalse(self.find(old_s, 2.0, 1.0, observed_s=OBSERVED_S + 1))

    def test_a_fleet_relies_on_its_own_records_after_a_while(self):
        old_s = DAY_MS / 1000
        self.assertTrue(self.find(old_s, 2.0, 1.0, now_s=REFUSAL_MEMORY_S - 1))
        self.assertFalse(self.find(old_s, 2.0, 1.0, now_s=REFUSAL_MEMORY_S + 1))

    def test_upstreams_without_a_start_time_do_not_count(self):
        upstreams = UpstreamList()
        upstreams.adopt([make_upstream("e1"), make_upstream("e2")], 1, 0.0)
        earlier = EarlierCrashes(make_members(), upstreams, 0.0)
        earlier.observe(0.0)
        self.assertFalse(earlier.are_probable("pool", 0.0))


if __name__ == "__main__":
    unittest.main()
