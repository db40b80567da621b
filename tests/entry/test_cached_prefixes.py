import unittest

from banyanseam.entry.cached_prefixes import CachedPrefixes


class CachedPrefixesTests(unittest.TestCase):
    def test_the_least_recently_used_is_evicted(self):
        prefixes = CachedPrefixes()
        for segment_id in ("a", "b"):
            prefixes.record_use(segment_id, 40, 100)
        prefixes.record_use("a", 40, 100)
        prefixes.record_use("c", 40, 100)
        self.assertIn("a", prefixes)
        self.assertNotIn("b", prefixes)
        self.assertEqual(prefixes.list_newest(1), ["c"])

    def test_a_prefix_larger_than_the_memory_counts_while_it_is_the_newest(self):
        prefixes = CachedPrefixes()
        prefixes.record_use("a", 200, 100)
        self.assertIn("a", prefixes)
        prefixes.record_use("b", 10, 100)
        self.assertNotIn("a", prefixes)

    def test_a_restart_clears_the_cache(self):
        prefixes = CachedPrefixes()
        prefixes.record_use("a", 40, 100)
        prefixes.clear()
        self.assertNotIn("a", prefixes)
        prefixes.record_use("b", 100, 100)
        self.assertIn("b", prefixes)


if __name__ == "__main__":
    unittest.main()
