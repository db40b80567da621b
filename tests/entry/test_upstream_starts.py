import unittest

from banyanseam.entry.const import FORMER_USAGE_S
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.upstream_starts import StartFinding
from tests.entry.common import make_upstream

WARMUP_S = 3.0


class UpstreamStartsTests(unittest.TestCase):
    def setUp(self):
        self.upstreams = UpstreamList()
        self.upstreams.warmups_s = {"pool": WARMUP_S}
        self.upstreams.adopt([make_upstream("e1")], 10, 0.0)

    def record(self, found_ms, at_s, listed_ms=1):
        finding = StartFinding(("e1", listed_ms), found_ms, at_s)
        return self.upstreams.record_start(finding, at_s)

    def test_the_latest_finding_counts_in_whatever_order_they_arrive(self):
        self.assertTrue(self.record(None, 2.0))
        self.assertFalse(self.record(1, 1.5))
        self.assertTrue(self.upstreams.starts.is_held(make_upstream("e1")))
        self.assertTrue(self.record(1, 2.5))
        self.assertFalse(self.upstreams.starts.is_held(make_upstream("e1")))

    def test_a_restart_is_cold_from_when_it_was_found_and_stays_known(self):
        self.record(2, 1.0)
        self.assertFalse(self.record(None, 2.0))
        # The list shows the new start late, or an old copy of it again.
        for revision, now_s in ((11, 1.5), (12, 1.0 + FORMER_USAGE_S + 1)):
            self.upstreams.adopt([make_upstream("e1")], revision, now_s)
            found = self.upstreams.find("e1")
            self.assertEqual(found.upstream.started_ms, 2)
            self.assertAlmostEqual(found.cold_until_s, 1.0 + WARMUP_S, 2)

    def test_an_incarnation_that_the_list_lacks_stays_held(self):
        self.record(2, 1.0)
        restarted = self.upstreams.find("e1").upstream
        self.upstreams.starts.hold(restarted)
        self.upstreams.adopt([make_upstream("e1")], 11, 1.5)
        self.assertTrue(self.upstreams.starts.is_held(restarted))
        for revision in (12, 13):
            self.upstreams.adopt([], revision, 2.0 + FORMER_USAGE_S)
        self.assertFalse(self.upstreams.starts.is_held(restarted))


if __name__ == "__main__":
    unittest.main()
