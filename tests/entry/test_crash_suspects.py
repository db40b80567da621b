import math
import unittest

from banyanseam.entry.const import (
    CRASH_REPORT_S,
    CRASHES_TO_REFUSE,
    CRASHES_TO_REFUSE_ANSWERED,
    MAX_CRASH_RECORDS,
    MAX_CRASHES_OF_REQUEST,
    MAX_REPORTED_SUSPECTS,
    REFUSAL_MEMORY_S,
    TRIAL_PAUSES_S,
)
from banyanseam.entry.crash_suspects import CrashSuspects


def exchange_reports(one: CrashSuspects, other: CrashSuspects, now_s: float) -> None:
    """Let each of two VMs apply what the other reports."""
    for source, target in ((one, other), (other, one)):
        for report in source.list_reports(now_s):
            target.apply_report(report, now_s)
        for suspect, age_s in source.list_disproved(now_s):
            target.record_answer(suspect, now_s, age_s)


class CrashSuspectTests(unittest.TestCase):
    def test_a_request_at_two_crashes_is_refused_until_a_trial(self):
        suspects = CrashSuspects()
        suspects.record_crash(1, "e1", 0.0)
        suspects.record_crash(1, "e1", 0.1)
        self.assertIsNone(suspects.find_wait_s(1, 0.2))
        suspects.record_crash(1, "e2", 0.3)
        self.assertAlmostEqual(suspects.find_wait_s(1, 0.4), TRIAL_PAUSES_S[0] - 0.1)
        self.assertEqual(suspects.find_wait_s(1, 0.3 + TRIAL_PAUSES_S[0]), 0)

    # A fleet that had lost its records allowed two crashes and three trials anew.
    def test_one_crash_and_one_late_trial_are_allowed_after_records_were_lost(self):
        suspects = CrashSuspects()
        suspects.has_earlier_crashes = lambda service, _: service == "desk"
        suspects.record_crash(1, "e1", 0.0)
        self.assertIsNone(suspects.find_wait_s(1, 0.0, "pool"))
        pause_s = TRIAL_PAUSES_S[-1]
        self.assertEqual(suspects.find_wait_s(1, 0.0, "desk"), pause_s)
        self.assertEqual(suspects.find_wait_s(1, pause_s, "desk"), 0.0)
        suspects.record_trial(1, pause_s, is_peers=False)
        suspects.record_crash(1, "e2", pause_s)
        self.assertEqual(suspects.find_wait_s(1, pause_s, "desk"), math.inf)
        # One that has been answered since the loss is judged as always.
        suspects.record_answer(2, 0.0)
        suspects.record_crash(2, "e1", 1.0)
        self.assertIsNone(suspects.find_wait_s(2, 1.0, "desk"))

    def test_a_trial_is_followed_by_a_pause_even_without_a_result(self):
        suspects = CrashSuspects()
        for crash in ("e1", "e2"):
            suspects.record_crash(1, crash, 0.0)
        suspects.record_trial(1, 10.0, is_peers=False)
        self.assertEqual(suspects.find_wait_s(1, 10.0), TRIAL_PAUSES_S[1])

    def test_trials_that_crash_more_upstreams_come_to_an_end(self):
        suspects = CrashSuspects()
        now_s, crashes = 0.0, 0
        while (wait_s := suspects.find_wait_s(1, now_s)) is None or wait_s < 1e6:
            if wait_s is not None:
                now_s += wait_s
                suspects.record_trial(1, now_s, is_peers=False)
            suspects.record_crash(1, f"e{crashes}", now_s)
            crashes += 1
        self.assertEqual(crashes, CRASHES_TO_REFUSE + len(TRIAL_PAUSES_S))

    def test_at_most_two_trials_follow_three_crashes_at_once(self):
        suspects = CrashSuspects()
        for crash in ("e1", "e2", "e3"):
            suspects.record_crash(1, crash, 0.0)
        now_s = 0.0
        for number in range(2):
            now_s += suspects.find_wait_s(1, now_s)
            suspects.record_trial(1, now_s, is_peers=False)
            suspects.record_crash(1, f"trial {number}", now_s)
        self.assertEqual(suspects.find_wait_s(1, now_s), math.inf)

    def test_a_request_that_was_ever_answered_is_tried_again_and_again(self):
        suspects = CrashSuspects()
        suspects.record_answer(1, 0.0)
        now_s = 1.0
        for number in range(20):
            now_s += suspects.find_wait_s(1, now_s) or 0.0
            suspects.record_trial(1, now_s, is_peers=False)
            suspects.record_crash(1, f"e{number}", now_s)
        self.assertEqual(suspects.find_wait_s(1, now_s), TRIAL_PAUSES_S[-1])

    def test_a_trial_that_a_peer_forwarded_counts_once(self):
        one, other = CrashSuspects(), CrashSuspects()
        for crash in ("e1", "e2"):
            one.record_crash(1, crash, 0.0)
        exchange_reports(one, other, 0.1)
        one.record_trial(1, 3.0, is_peers=False)
        exchange_reports(one, other, 3.0)
        other.record_trial(1, 3.1, is_peers=True)
        for suspects in (one, other):
            (report,) = suspects.list_reports(3.2)
            self.assertEqual(report.trials, 1)

    def test_a_whole_answer_ends_the_refusal_at_all_vms(self):
        one, other = CrashSuspects(), CrashSuspects()
        for crash in ("e1", "e2"):
            one.record_crash(1, crash, 0.0)
        exchange_reports(one, other, 0.1)
        self.assertIsNotNone(other.find_wait_s(1, 0.1))
        one.record_answer(1, 1.0)
        self.assertIsNone(one.find_wait_s(1, 1.0))
        exchange_reports(one, other, 1.2)
        self.assertIsNone(other.find_wait_s(1, 1.2))

    def test_reports_of_crashes_before_an_answer_do_not_count(self):
        one, other = CrashSuspects(), CrashSuspects()
        for crash in ("e1", "e2"):
            one.record_crash(1, crash, 0.0)
        other.record_answer(1, 1.0)
        exchange_reports(one, other, 2.0)
        self.assertIsNone(other.find_wait_s(1, 2.0))
        self.assertIsNone(one.find_wait_s(1, 2.0))

    def test_a_request_answered_shortly_before_is_refused_after_more_crashes(self):
        one, other = CrashSuspects(), CrashSuspects()
        other.record_answer(1, 1.0)
        for number in range(CRASHES_TO_REFUSE_ANSWERED):
            exchange_reports(one, other, 2.0)
            self.assertIsNone(other.find_wait_s(1, 2.0))
            self.assertIsNone(one.find_wait_s(1, 2.0))
            one.record_crash(1, f"e{number}", 1.5)
        exchange_reports(one, other, 2.0)
        self.assertIsNotNone(other.find_wait_s(1, 2.0))
        self.assertIsNotNone(one.find_wait_s(1, 2.0))

    def test_a_trial_at_one_vm_delays_those_of_others(self):
        one, other = CrashSuspects(), CrashSuspects()
        for crash in ("e1", "e2"):
            one.record_crash(1, crash, 0.0)
        exchange_reports(one, other, 0.1)
        one.record_trial(1, 3.0, is_peers=False)
        exchange_reports(one, other, 3.5)
        wait_s = other.find_wait_s(1, 3.5)
        self.assertAlmostEqual(wait_s, TRIAL_PAUSES_S[1] - 0.5, places=2)

    def test_crashes_that_a_worse_request_explains_do_not_count(self):
        suspects = CrashSuspects()
        for crash in ("e1", "e2"):
            suspects.record_crash(1, crash, 0.0)
            suspects.record_crash(2, crash, 0.0)
        self.assertIsNotNone(suspects.find_wait_s(1, 0.0))
        suspects.record_crash(2, "e3", 2.0)
        self.assertIsNone(suspects.find_wait_s(1, 2.0))
        self.assertIsNotNone(suspects.find_wait_s(2, 2.0))

    def test_repeated_reports_of_peers_expire(self):
        one, other = CrashSuspects(), CrashSuspects()
        one.record_crash(1, "e1", 0.0)
        for step in range(40):
            exchange_reports(one, other, step * 0.25)
        self.assertEqual(one.list_reports(10.0), [])
        self.assertEqual(other.list_reports(10.0), [])
        one.record_answer(1, 11.0)
        for step in range(40):
            exchange_reports(one, other, 11.0 + step * 0.25)
        self.assertEqual(one.list_disproved(11.0 + 2 * CRASH_REPORT_S), [])
        self.assertEqual(other.list_disproved(11.0 + 2 * CRASH_REPORT_S), [])

    def test_a_refused_request_is_forgotten_at_the_same_time_everywhere(self):
        one, other = CrashSuspects(), CrashSuspects()
        for crash in ("e1", "e2"):
            one.record_crash(1, crash, 0.0)
        one.record_refusal(1, 5.0)
        step_s = REFUSAL_MEMORY_S / 100
        for step in range(120):
            now_s = 5.0 + step * step_s
            exchange_reports(one, other, now_s)
            for each in (one, other):
                is_known = each.find_wait_s(1, now_s) is not None
                self.assertEqual(is_known, now_s - 5.0 <= REFUSAL_MEMORY_S)

    def test_a_vm_that_starts_learns_of_all_suspects(self):
        one, other = CrashSuspects(), CrashSuspects()
        one.record_crash(1, "e1", 0.0)
        for crash in ("e1", "e2"):
            one.record_crash(2, crash, 0.0)
        for report in one.list_all_reports(300.0):
            other.apply_report(report, 300.0)
        self.assertEqual([other.count(1), other.count(2)], [1, 2])
        self.assertEqual(other.find_wait_s(2, 300.0), one.find_wait_s(2, 300.0))

    def test_a_vm_that_starts_learns_of_crashes_older_than_the_memory(self):
        one, other = CrashSuspects(), CrashSuspects()
        for crash in ("e1", "e2", "e3"):
            one.record_crash(1, crash, 0.0)
        for now_s in (500.0, 1000.0, 1500.0):
            one.record_refusal(1, now_s)
        for report in one.list_all_reports(1501.0):
            other.apply_report(report, 1501.0)
        self.assertEqual(other.count(1), 3)

    def test_few_crashes_of_a_request_are_remembered(self):
        one, other = CrashSuspects(), CrashSuspects()
        for number in range(3 * MAX_CRASHES_OF_REQUEST):
            one.record_crash(1, f"e{number}", number)
            exchange_reports(one, other, number)
        for suspects in (one, other):
            self.assertEqual(suspects.count(1), MAX_CRASHES_OF_REQUEST)

    def test_a_successful_request_is_cleared(self):
        suspects = CrashSuspects()
        suspects.record_crash(1, "e1", 0.0)
        suspects.record_answer(1, 0.05)
        suspects.record_crash(1, "e2", 0.1)
        self.assertIsNone(suspects.find_wait_s(1, 0.2))

    def test_memory_is_bounded_and_refused_requests_are_kept(self):
        suspects = CrashSuspects()
        for crash in ("e1", "e2"):
            suspects.record_crash(-1, crash, 0.0)
        for number in range(2 * MAX_CRASH_RECORDS):
            suspects.record_crash(number, "e1", 0.0)
            suspects.record_answer(-2 - number, 0.0)
        known = sum(suspects.count(each) for each in range(2 * MAX_CRASH_RECORDS))
        self.assertLessEqual(known, MAX_CRASH_RECORDS)
        self.assertIsNotNone(suspects.find_wait_s(-1, 0.0))
        reports = suspects.list_reports(0.0)
        self.assertEqual(len(reports), MAX_REPORTED_SUSPECTS)
        self.assertEqual(reports[0].suspect, -1)


if __name__ == "__main__":
    unittest.main()
