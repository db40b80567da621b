import unittest

from banyanseam.entry.const import CRASH_MEMORY_S, MAX_CRASH_RECORDS
from banyanseam.entry.crash_suspects import CrashSuspects, fingerprint


class CrashSuspectTests(unittest.TestCase):
    def test_a_request_at_two_crashes_is_refused_for_a_time(self):
        suspects = CrashSuspects()
        suspects.record_crash(1, "e1", 0.0)
        suspects.record_crash(1, "e1", 0.1)
        self.assertFalse(suspects.is_refused(1, 0.2))
        suspects.record_crash(1, "e2", 0.3)
        self.assertTrue(suspects.is_refused(1, 0.4))
        self.assertFalse(suspects.is_refused(1, 0.4 + CRASH_MEMORY_S))

    def test_repeated_reports_of_peers_expire(self):
        one, other = CrashSuspects(), CrashSuspects()
        one.record_crash(1, "e1", 0.0)
        for step in range(40):
            now_s = step * 0.25
            for source, target in ((one, other), (other, one)):
                for suspect, upstream_id in source.list_recent(now_s - 5.0):
                    target.record_crash(suspect, upstream_id, now_s)
        self.assertEqual(one.list_recent(5.0), [])
        self.assertEqual(other.list_recent(5.5), [])

    def test_a_successful_request_is_cleared(self):
        suspects = CrashSuspects()
        suspects.record_crash(1, "e1", 0.0)
        suspects.clear(1)
        suspects.record_crash(1, "e2", 0.1)
        self.assertFalse(suspects.is_refused(1, 0.2))

    def test_memory_is_bounded(self):
        suspects = CrashSuspects()
        for number in range(2 * MAX_CRASH_RECORDS):
            suspects.record_crash(number, "e1", 0.0)
        self.assertLessEqual(len(suspects.list_recent(0.0)), MAX_CRASH_RECORDS)

    def test_a_fingerprint_tells_requests_apart(self):
        one = fingerprint("acme", "POST", b"/a", b"x")
        self.assertEqual(one, fingerprint("acme", "POST", b"/a", b"x"))
        self.assertNotEqual(one, fingerprint("other", "POST", b"/a", b"x"))
        self.assertNotEqual(one, fingerprint("acme", "POST", b"/a", b"y"))


if __name__ == "__main__":
    unittest.main()
