import unittest

from hypothesis import given
from hypothesis import strategies as st

from banyanseam.entry.recent_prefixes import MAX_PREFIXES, MEMORY_S, RecentPrefixes


class RecentPrefixesTests(unittest.TestCase):
    def test_reports_add_up_to_more_than_one_can_list(self):
        own, known = RecentPrefixes(), RecentPrefixes()
        for second in range(8):
            own.record_uses([f"{second}-{n}" for n in range(60)], second)
            known.record_uses(own.list_newest(64, second), second)
        for second in range(8):
            for number in range(60):
                self.assertIn(f"{second}-{number}", known)

    def test_the_latest_uses_are_listed_whichever_engine_made_them(self):
        own = RecentPrefixes()
        own.record_uses([f"h{number}" for number in range(300)], 0.0)
        own.record_uses(["h7"], 1.0)
        self.assertEqual(own.list_newest(2, 1.0), ["h299", "h7"])

    def test_a_prefix_that_is_not_used_is_forgotten(self):
        known = RecentPrefixes()
        known.record_uses(["old", "used"], 0.0)
        known.record_uses(["used"], MEMORY_S)
        known.record_uses([], MEMORY_S + 0.1)
        self.assertNotIn("old", known)
        self.assertIn("used", known)

    @given(st.lists(st.tuples(st.integers(0, 9000), st.floats(0, 1)), max_size=80))
    def test_the_memory_is_bounded(self, uses):
        known, now_s = RecentPrefixes(), 0.0
        for first, pause_s in uses:
            now_s += pause_s
            known.record_uses([f"h{first + n}" for n in range(500)], now_s)
        self.assertLessEqual(len(known.list_newest(10**6, now_s)), MAX_PREFIXES)


if __name__ == "__main__":
    unittest.main()
