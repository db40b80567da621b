import unittest

from banyanseam.entry.const import (
    CRASH_MEMORY_S,
    CRASH_REPORT_S,
    MAX_REPORTED_SEGMENTS,
    SEGMENT_CRASHES_TO_REFUSE,
    SOUND_MEMORY_S,
)
from banyanseam.entry.crash_suspects import CrashSuspects
from banyanseam.entry.segment_suspects import SegmentSuspects, make_segment_keys
from tests.entry.common import make_prompt

DEADLY, SHARED, SESSION = 1, 2, 3
CRASHES = tuple(f"crash-{number}" for number in range(SEGMENT_CRASHES_TO_REFUSE))


def make_refusing() -> SegmentSuspects:
    """Return suspects that refuse one segment, beside one that is sound."""
    suspects = SegmentSuspects()
    suspects.record_answer([SHARED], 0.0)
    for crash in CRASHES:
        suspects.record_crash([SHARED, DEADLY], crash, 1.0)
    return suspects


class SegmentSuspectTests(unittest.TestCase):
    def test_only_the_segment_without_any_whole_answer_is_refused(self):
        suspects = make_refusing()
        self.assertIsNotNone(suspects.find_refused([SHARED, DEADLY], 2.0))
        self.assertIsNone(suspects.find_refused([SHARED, SESSION], 2.0))

    def test_fewer_crashes_or_one_crash_seen_by_many_refuse_nothing(self):
        suspects = SegmentSuspects()
        for crash in (*CRASHES[:-1], *CRASHES[:-1]):
            suspects.record_crash([DEADLY], crash, 0.0)
        self.assertIsNone(suspects.find_refused([DEADLY], 0.0))

    # A fleet that had lost its records allowed as many crashes as on its first day.
    def test_fewer_crashes_refuse_a_segment_after_records_were_lost(self):
        suspects = SegmentSuspects()
        suspects.record_crash([1, 2], "e1", 0.0)
        self.assertIsNone(suspects.find_refused([1, 2], 0.0, lambda: True))
        suspects.record_answer([1], 0.1)
        suspects.record_crash([1, 2], "e2", 0.2)
        self.assertIsNone(suspects.find_refused([1, 2], 0.3))
        self.assertEqual(suspects.find_refused([1, 2], 0.3, lambda: True), 2)

    def test_a_whole_answer_after_the_crashes_ends_the_refusal(self):
        suspects = make_refusing()
        suspects.record_answer([DEADLY], 2.0)
        self.assertIsNone(suspects.find_refused([DEADLY], 2.0))
        self.assertEqual(suspects.list_disproved(0.0), [SHARED, DEADLY])

    def test_crashes_that_a_worse_segment_explains_do_not_count(self):
        suspects = SegmentSuspects()
        for crash in CRASHES:
            suspects.record_crash([SESSION, DEADLY], crash, 0.0)
        suspects.record_crash([DEADLY], "another", 0.0)
        self.assertIsNotNone(suspects.find_refused([DEADLY], 0.0))
        self.assertIsNone(suspects.find_refused([SESSION], 0.0))

    def test_a_bystander_of_such_crashes_is_not_refused(self):
        suspects = CrashSuspects()
        for crash in CRASHES:
            suspects.record_crash(9, crash, 0.0)
        self.assertIsNotNone(suspects.find_wait_s(9, 0.0))
        for crash in CRASHES:
            suspects.segments.record_crash([DEADLY], crash, 0.0)
        self.assertIsNone(suspects.find_wait_s(9, 0.0))

    def test_a_refusal_lasts_while_such_requests_come(self):
        suspects = make_refusing()
        for now_s in range(0, 3600, 300):
            self.assertIsNotNone(suspects.find_refused([DEADLY], now_s))
        self.assertIsNone(suspects.find_refused([DEADLY], 3600 + 600.0))

    def test_a_few_crashes_are_forgotten(self):
        suspects = SegmentSuspects()
        for crash in CRASHES[:-1]:
            suspects.record_crash([DEADLY], crash, 0.0)
        suspects.record_crash([DEADLY], CRASHES[-1], CRASH_MEMORY_S + 1)
        suspects.record_crash([DEADLY], "another", CRASH_MEMORY_S + 2)
        self.assertIsNone(suspects.find_refused([DEADLY], CRASH_MEMORY_S + 2))

    def test_peers_agree_and_their_reports_end(self):
        """A VM without own answers with the shared segment does not refuse it."""
        suspects = [SegmentSuspects() for _ in range(3)]
        suspects[0].record_answer([SHARED], 0.0)
        for crash in CRASHES:
            suspects[1].record_crash([SHARED, DEADLY], crash, 0.0)
        for step in range(80):
            now_s = step * 0.25
            for source in suspects:
                crashes = source.list_crashes(now_s - CRASH_REPORT_S)
                disproved = source.list_disproved(now_s - CRASH_REPORT_S)
                for target in suspects:
                    for key, crash in crashes:
                        target.record_crash([key], crash, now_s)
                    target.record_disproved(disproved, now_s)
        for each in suspects:
            self.assertIsNotNone(each.find_refused([DEADLY], now_s))
            self.assertIsNone(each.find_refused([SHARED], now_s))
            self.assertEqual(each.list_disproved(now_s - CRASH_REPORT_S), [])

    def test_a_proof_is_valid_for_a_time_only(self):
        suspects = SegmentSuspects()
        suspects.record_answer([DEADLY], 0.0)
        for crash in CRASHES:
            suspects.record_crash([DEADLY], crash, SOUND_MEMORY_S + 1)
        self.assertIsNotNone(suspects.find_refused([DEADLY], SOUND_MEMORY_S + 1))

    def test_reports_are_bounded_and_name_the_worst_first(self):
        suspects = SegmentSuspects()
        for key in range(10, 10 + 2 * MAX_REPORTED_SEGMENTS):
            suspects.record_crash([key], CRASHES[0], 0.0)
        for crash in CRASHES:
            suspects.record_crash([DEADLY], crash, 0.0)
        reported = suspects.list_crashes(0.0)
        self.assertEqual({key for key, _ in reported[: len(CRASHES)]}, {DEADLY})
        self.assertLessEqual(len({key for key, _ in reported}), MAX_REPORTED_SEGMENTS)

    def test_the_last_segment_is_no_suspect(self):
        self.assertEqual(len(make_segment_keys(make_prompt())), 1)
        self.assertEqual(make_segment_keys(None), [])


if __name__ == "__main__":
    unittest.main()
