import math
import unittest
from dataclasses import replace
from unittest import mock

from banyanseam.entry.const import (
    EXPIRED_ENTRY_GRACE_S,
    FAILURES_TO_SUSPECT,
    FORMER_USAGE_S,
    MAX_PAUSE_S,
    MAX_UNFINISHED_RUNS,
    RETURN_COLD_S,
    SUSPECT_S,
    UNFINISHED_MEMORY_S,
)
from banyanseam.entry.listed_upstream import UnfinishedRun, UpstreamUsage
from banyanseam.entry.models import StorePosition, UpstreamState
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.upstream_starts import StartFinding
from tests.entry.common import make_upstream


def list_ids(upstreams, now_s=0.0):
    usable = upstreams.list_usable("pool", now_s)
    return sorted(each.upstream.upstream_id for each in usable)


class UpstreamListTests(unittest.TestCase):
    def setUp(self):
        self.upstreams = UpstreamList()
        self.upstreams.adopt([make_upstream("e1"), make_upstream("e2")], 10, 0.0)

    def test_an_older_listing_is_ignored(self):
        self.assertFalse(self.upstreams.adopt([], 9, 1.0))
        self.assertEqual(list_ids(self.upstreams), ["e1", "e2"])
        self.assertEqual(self.upstreams.confirmed_s, 0.0)

    def test_a_version_that_the_first_list_lacked_is_known_from_the_next(self):
        """A VM of the release before sent the first one."""
        listed = UpstreamList()
        listed.adopt([make_upstream(software=None)], 10, 0.0)
        self.assertIsNone(listed.find("e1").upstream.software)
        listed.adopt([make_upstream(software="v1")], 10, 1.0)
        self.assertEqual(listed.find("e1").upstream.software, "v1")
        # One of the release before sends a list once more.
        listed.adopt([make_upstream(software=None)], 10, 2.0)
        self.assertEqual(listed.find("e1").upstream.software, "v1")
        self.assertEqual(listed.listing[0].software, "v1")

    def test_leaving_missing_and_evacuated_upstreams_are_not_usable(self):
        leaving = make_upstream("e1", state=UpstreamState.LEAVING, revision=11)
        self.upstreams.adopt([leaving, make_upstream("e2")], 11, 1.0)
        self.assertEqual(list_ids(self.upstreams), ["e2"])
        self.upstreams.set_evacuated(frozenset({"gulf-a"}), 2.0)
        self.assertEqual(list_ids(self.upstreams), [])
        self.upstreams.set_evacuated(frozenset(), 3.0)
        self.upstreams.adopt([leaving], 12, 3.0)
        self.assertEqual(list_ids(self.upstreams), [])

    def test_an_upstream_whose_answers_say_that_it_leaves_gets_nothing_more(self):
        self.upstreams.record_leaving(make_upstream("e1"), 1.0)
        # Its registration still says that it is ready, and may expire and return.
        for revision, listing in ((11, ["e2"]), (12, ["e1", "e2"])):
            found = [make_upstream(each, revision=revision) for each in listing]
            self.upstreams.adopt(found, revision, 2.0)
            self.assertEqual(list_ids(self.upstreams, 30.0), ["e2"])
        restarted = make_upstream(
            "e1", started_ms=2, address="10.9.0.2:80", revision=13
        )
        self.upstreams.adopt([restarted, make_upstream("e2")], 13, 31.0)
        self.assertEqual(list_ids(self.upstreams, 31.0), ["e1", "e2"])

    def test_a_pause_that_a_new_incarnation_asked_for_is_kept(self):
        for asked_s, expected in ((29.5, ["e2"]), (20.0, ["e1", "e2"])):
            with self.subTest(asked_s=asked_s):
                self.setUp()
                self.upstreams.record_pause(make_upstream("e1"), 20.0, asked_s)
                restarted = make_upstream(
                    "e1", started_ms=2, address="10.9.0.2:80", revision=11
                )
                self.upstreams.adopt([restarted, make_upstream("e2")], 11, 30.0)
                self.assertEqual(list_ids(self.upstreams, 31.0), expected)

    def test_upstreams_that_disappear_without_leaving_are_lost(self):
        lost = []
        self.upstreams.on_lost = lambda listed: lost.append(listed.upstream.upstream_id)
        leaving = make_upstream("e2", state=UpstreamState.LEAVING, revision=11)
        self.upstreams.adopt([make_upstream("e1"), leaving], 11, 1.0)
        self.assertEqual(lost, [])
        self.upstreams.adopt([make_upstream("e1")], 12, 1.1)
        self.assertEqual(lost, [], "it was leaving")
        restarted = make_upstream("e1", started_ms=2, revision=13)
        self.upstreams.adopt([restarted], 13, 1.2)
        self.assertEqual(lost, ["e1"], "it started again under its id")
        replacing = make_upstream("e3", started_ms=3, revision=14)
        self.upstreams.adopt([restarted, replacing], 14, 1.3)
        self.assertEqual(lost, ["e1", "e1"], "another one has its address")
        self.upstreams.record_leaving(replacing, 1.4)
        self.upstreams.adopt([], 15, 1.5)
        self.assertEqual(lost, ["e1", "e1"], "its answers said that it was leaving")

    def test_unfinished_runs_are_remembered_for_a_time_and_in_number(self):
        usage = UpstreamUsage()
        for number in range(2 * MAX_UNFINISHED_RUNS):
            usage.record_unfinished(UnfinishedRun(str(number), number, (), 1.0))
        self.assertEqual(len(usage.unfinished), MAX_UNFINISHED_RUNS)
        self.assertEqual(usage.list_unfinished(1.1 + UNFINISHED_MEMORY_S), [])

    def test_an_upstream_that_asks_for_a_pause_gets_it(self):
        self.upstreams.record_pause(make_upstream("e1"), 2.5, 1.0)
        self.upstreams.record_pause(make_upstream("e1"), 0.5, 1.1)
        self.assertEqual(list_ids(self.upstreams, 3.4), ["e2"])
        self.assertEqual(list_ids(self.upstreams, 3.6), ["e1", "e2"])
        self.upstreams.record_pause(make_upstream("e1"), 1e300, 4.0)
        self.assertEqual(list_ids(self.upstreams, 4.1 + MAX_PAUSE_S), ["e1", "e2"])

    def run_until(self, end_s):
        """Record that the process has run all the time."""
        for tenth in range(round(end_s * 10) + 1):
            self.upstreams.record_running(tenth / 10)

    def test_entries_that_expired_in_an_outage_are_retained_for_a_while(self):
        self.run_until(10.0)
        self.upstreams.adopt([], 11, 10.0)
        self.assertEqual(list_ids(self.upstreams), ["e1", "e2"])
        self.upstreams.adopt([make_upstream("e1")], 12, 9.9 + EXPIRED_ENTRY_GRACE_S)
        self.assertEqual(list_ids(self.upstreams), ["e1", "e2"])
        self.upstreams.adopt([make_upstream("e1")], 12, 10.1 + EXPIRED_ENTRY_GRACE_S)
        self.assertEqual(list_ids(self.upstreams), ["e1"])

    def test_what_is_retained_ends_though_the_list_stays_the_same(self):
        self.run_until(10.0)
        self.upstreams.adopt([], 11, 10.0)
        self.upstreams.confirm(StorePosition(0, 11), 10.1 + EXPIRED_ENTRY_GRACE_S)
        self.assertEqual(list_ids(self.upstreams), [])

    def test_a_list_that_is_old_since_the_process_was_suspended_shows_no_outage(self):
        self.run_until(1.0)
        self.upstreams.adopt([make_upstream("e1")], 11, 10.0)
        self.assertEqual(list_ids(self.upstreams), ["e1"])

    def test_peers_get_the_list_as_the_store_has_it(self):
        self.run_until(10.0)
        found = make_upstream("e1")
        self.upstreams.adopt([found], 11, 10.0)
        self.assertEqual(self.upstreams.listing, (found,))

    def test_an_upstream_that_is_listed_again_keeps_its_load_and_limit(self):
        usage = self.upstreams.find("e1").usage
        usage.requests = 5
        usage.pace.set_limit(2.0, 3, 0, 1.0)
        self.upstreams.adopt([make_upstream("e2")], 11, 1.0)
        self.assertIsNone(self.upstreams.find("e1"))
        again = [make_upstream("e1", revision=12), make_upstream("e2")]
        self.upstreams.adopt(again, 12, 3.0)
        self.assertIs(self.upstreams.find("e1").usage, usage)

    def test_a_new_incarnation_resets_usage(self):
        listed = self.upstreams.find("e1")
        listed.usage.requests = 5
        restarted = make_upstream("e1", started_ms=2, cold_ms=3000, revision=11)
        self.upstreams.adopt([restarted], 11, 1.0)
        listed = self.upstreams.find("e1")
        self.assertEqual(listed.usage.requests, 0)
        self.assertTrue(self.upstreams.is_cold(listed, 3.9))
        self.assertFalse(self.upstreams.is_cold(listed, 4.1))

    def test_an_older_start_in_the_list_does_not_replace_one_that_was_found(self):
        before = make_upstream("e1", started_ms=1)
        between = make_upstream("e1", started_ms=2, cold_ms=200, revision=11)
        self.upstreams.warmups_s = {"pool": 3.0}
        self.upstreams.record_start(
            StartFinding(("e1", before.started_ms), 3, 4.0), 4.0
        )
        self.upstreams.adopt([between, make_upstream("e2")], 11, 4.2)
        found = self.upstreams.find("e1")
        self.assertEqual(found.upstream.started_ms, 3)
        self.assertTrue(self.upstreams.is_cold(found, 6.9))

    def test_a_second_restart_is_not_forgotten_while_the_list_shows_the_first_start(
        self,
    ):
        for before_ms, after_ms, at_s in ((1, 2, 1.0), (2, 3, 5.0)):
            finding = StartFinding(("e1", before_ms), after_ms, at_s)
            self.upstreams.record_start(finding, at_s)
        now_s = 2 * FORMER_USAGE_S
        self.upstreams.adopt(self.upstreams.listing, 10, now_s)
        self.assertEqual(self.upstreams.find("e1").upstream.started_ms, 3)

    def test_what_showed_no_restart_is_not_sent_to_peers_for_ever(self):
        self.upstreams.record_start(StartFinding(("e1", 1), 1, 1.0), 1.0)
        self.upstreams.adopt(self.upstreams.listing, 10, 2 * FORMER_USAGE_S)
        self.assertEqual(self.upstreams.starts.list_findings(-math.inf), [])

    def test_an_upstream_that_names_two_starts_by_turns_does_not_stop_the_process(
        self,
    ):
        starts = self.upstreams.starts
        # Ends what would be an endless loop.
        calls = mock.Mock(side_effect=[starts.find_restart] * 20)
        with mock.patch.object(starts, "find_restart", lambda each: calls()(each)):
            for before_ms, after_ms in ((1, 2), (2, 1), (1, 2)):
                finding = StartFinding(("e1", before_ms), after_ms, 1.0)
                self.upstreams.record_start(finding, 1.0)
        self.assertIsNotNone(self.upstreams.find("e1"))

    def test_an_upstream_that_was_replaced_stays_out_while_its_entry_is_listed(self):
        """Its entry expires only after three missed heartbeats."""
        old = make_upstream("e1", address="10.9.0.9:80")
        new = replace(old, started_ms=2, revision=12)
        self.upstreams.drop("e1", 0.0)
        for revision in (11, 12):
            self.upstreams.adopt([old, make_upstream("e2")], revision, revision * 1.0)
            self.assertEqual(list_ids(self.upstreams), ["e2"])
        self.upstreams.adopt([new, make_upstream("e2")], 13, 13.0)
        self.assertEqual(list_ids(self.upstreams), ["e1", "e2"])

    def test_peers_learn_which_upstreams_were_replaced(self):
        peer = UpstreamList()
        peer.adopt([make_upstream("e1"), make_upstream("e2")], 10, 0.0)
        self.upstreams.drop("e1", 1.0)
        for upstream_id, started_ms in self.upstreams.list_replaced(1.0):
            peer.record_replaced(upstream_id, started_ms, 1.5)
        self.assertEqual(list_ids(peer), ["e2"])
        # A report about an older incarnation says nothing about the newer one.
        peer.adopt([make_upstream("e2", started_ms=9, revision=11)], 11, 2.0)
        peer.record_replaced("e2", 1, 2.0)
        self.assertEqual(list_ids(peer), ["e2"])

    def test_of_two_upstreams_with_one_address_the_older_one_is_gone(self):
        older = make_upstream("e1", address="10.9.0.1:80", started_ms=1)
        newer = make_upstream("e3", address="10.9.0.1:80", started_ms=5)
        other = make_upstream("e2", address="10.9.0.2:80")
        self.upstreams.adopt([older, newer, other], 11, 1.0)
        self.assertEqual(list_ids(self.upstreams), ["e2", "e3"])
        # An entry of an unknown service may have any address.
        foreign = make_upstream(
            "e4", address="10.9.0.2:80", service="unknown", started_ms=9
        )
        self.upstreams.adopt([older, newer, other, foreign], 12, 2.0)
        self.assertEqual(list_ids(self.upstreams), ["e2", "e3"])

    def test_a_newer_registration_can_make_an_upstream_cold_again(self):
        cold = make_upstream("e1", cold_ms=2000, revision=11)
        self.upstreams.adopt([cold], 11, 5.0)
        self.assertTrue(self.upstreams.is_cold(self.upstreams.find("e1"), 6.9))

    def test_a_data_centre_that_returns_counts_as_cold(self):
        self.upstreams.set_evacuated(frozenset({"gulf-a"}), 0.0)
        self.upstreams.set_evacuated(frozenset(), 5.0)
        listed = self.upstreams.find("e1")
        self.assertTrue(self.upstreams.is_cold(listed, 5.1))
        self.assertFalse(self.upstreams.is_cold(listed, 5.1 + RETURN_COLD_S))

    def test_an_upstream_is_not_usable_after_its_remaining_time(self):
        leaving_soon = make_upstream("e1", remaining_ms=500, revision=11)
        self.upstreams.adopt([leaving_soon], 11, 1.0)
        self.assertEqual(list_ids(self.upstreams, 1.4), ["e1"])
        self.assertEqual(list_ids(self.upstreams, 1.6), [])

    def test_one_failed_connect_or_several_failures_in_a_row_raise_suspicion(self):
        listed = self.upstreams.find("e1")
        self.upstreams.record_failure(listed, 1.0, is_connect=True)
        self.assertTrue(self.upstreams.is_cold(listed, 1.0 + SUSPECT_S / 2))
        listed = self.upstreams.find("e2")
        for _ in range(FAILURES_TO_SUSPECT - 1):
            self.upstreams.record_failure(listed, 1.0, is_connect=False)
        self.assertFalse(self.upstreams.is_cold(listed, 1.1))
        self.upstreams.record_failure(listed, 1.0, is_connect=False)
        self.assertTrue(self.upstreams.is_cold(listed, 1.1))
        self.upstreams.record_success(listed)
        self.assertEqual(listed.usage.consecutive_failures, 0)


if __name__ == "__main__":
    unittest.main()
