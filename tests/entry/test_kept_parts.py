import unittest

from banyanseam.entry.kept_parts import KeptParts


class KeptPartsTests(unittest.TestCase):
    def test_the_least_recently_used_yields(self):
        parts = KeptParts()
        for part_id in ("a", "b"):
            parts.note(part_id, 40, 100)
        parts.note("a", 40, 100)
        parts.note("c", 40, 100)
        self.assertIn("a", parts)
        self.assertNotIn("b", parts)
        self.assertEqual(parts.list_newest(1), ["c"])

    def test_a_part_larger_than_the_memory_is_believed_while_it_is_the_newest(self):
        parts = KeptParts()
        parts.note("a", 200, 100)
        self.assertIn("a", parts)
        parts.note("b", 10, 100)
        self.assertNotIn("a", parts)

    def test_a_restart_forgets(self):
        parts = KeptParts()
        parts.note("a", 40, 100)
        parts.clear()
        self.assertNotIn("a", parts)
        parts.note("b", 100, 100)
        self.assertIn("b", parts)


if __name__ == "__main__":
    unittest.main()
