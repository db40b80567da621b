import unittest
from dataclasses import replace

from banyanseam.entry.unreached.const import REPORT_HEARTBEATS
from banyanseam.entry.unreached.reports import (
    UnreachedReport,
    UnreachedReports,
    make_service_tag,
)
from tests.entry.common import make_member

POOL = make_service_tag("pool")
PEER = make_member("10.1.0.2", heartbeat_count=100)


class UnreachedReportTests(unittest.TestCase):
    def test_a_report_that_nobody_renews_becomes_invalid(self):
        reports = UnreachedReports()
        reports.record(PEER, UnreachedReport(100, (POOL,)))
        for age, has_way in ((0, False), (REPORT_HEARTBEATS, True)):
            member = replace(PEER, heartbeat_count=100 + age)
            self.assertEqual(reports.has_way(member, "pool"), has_way)
            relayed = reports.list_reports(make_member(), [member])
            self.assertEqual(bool(relayed), not has_way)

    def test_a_report_that_is_passed_on_late_does_not_replace_a_later_one(self):
        reports = UnreachedReports()
        reports.record(PEER, UnreachedReport(100, (POOL,)))
        reports.record(PEER, UnreachedReport(99, ()))
        self.assertFalse(reports.has_way(PEER, "pool"))

    def test_a_restarted_peer_is_not_judged_by_its_predecessors_report(self):
        reports = UnreachedReports()
        reports.record(PEER, UnreachedReport(100, (POOL,)))
        restarted = replace(PEER, incarnation=2, heartbeat_count=1)
        self.assertTrue(reports.has_way(restarted, "pool"))
        reports.record(restarted, UnreachedReport(1, (POOL,)))
        self.assertFalse(reports.has_way(restarted, "pool"))

    def test_a_report_stays_invalid_when_the_next_process_has_counted_as_far(self):
        reports = UnreachedReports()
        reports.record(PEER, UnreachedReport(100, (POOL,)))
        restarted = replace(PEER, incarnation=2, heartbeat_count=1)
        # A peer may still pass on the predecessor's report.
        reports.record(restarted, UnreachedReport(100, (POOL,)))
        later = replace(restarted, heartbeat_count=100)
        self.assertTrue(reports.has_way(later, "pool"))

    def test_an_upstream_is_unreached_by_all_only_if_each_peer_names_it(self):
        other = make_member("10.1.0.3", heartbeat_count=5)
        reports = UnreachedReports()
        reports.record(PEER, UnreachedReport(100, (), (1, 2)))
        self.assertEqual(reports.list_unreached_by_all([PEER, other]), set())
        reports.record(other, UnreachedReport(5, (), (2, 3)))
        self.assertEqual(reports.list_unreached_by_all([PEER, other]), {2})
        self.assertEqual(reports.list_unreached_by_all([]), set())


if __name__ == "__main__":
    unittest.main()
