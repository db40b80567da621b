import importlib
import re
import unittest
from pathlib import Path

PAGE = Path(__file__).resolve().parent.parent / "docs" / "PROMISES.md"
PROMISES = 11
# Rows of the rules of the users' platform; two of them hold two rules each.
RULES = 15
HEADS = ("| Promise ", "| Rule ", "| --- ")


class PromisesTests(unittest.TestCase):
    def test_every_promise_names_tests_that_exist(self):
        lines = PAGE.read_text().splitlines()
        rows = [line for line in lines if line.startswith("| ")]
        rows = [row for row in rows if not row.startswith(HEADS)]
        self.assertEqual(len(rows), PROMISES + RULES)
        for row in rows:
            names = re.findall(r"`(tests\.[a-z_.]+\.[A-Za-z]+\.test_\w+)`", row)
            with self.subTest(row[:60]):
                self.assertTrue(names)
            for name in names:
                module, case, method = name.rsplit(".", 2)
                with self.subTest(name):
                    self.assertTrue(
                        hasattr(getattr(importlib.import_module(module), case), method)
                    )
