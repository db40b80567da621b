"""Guards against promises in docs/PROMISES.md that no existing test covers.

Someone renames or removes a test that the page names, or adds a row without one.
"""

import importlib
import re
import unittest
from pathlib import Path

PAGE = Path(__file__).resolve().parent.parent / "docs" / "PROMISES.md"
PROMISE_ROWS = 12
# Rows for the rules of the users' platform; two rows cover two rules each.
RULE_ROWS = 17
HEADER_PREFIXES = ("| Promise ", "| Rule ", "| --- ")


class PromisesTests(unittest.TestCase):
    def test_every_promise_names_tests_that_exist(self):
        lines = PAGE.read_text().splitlines()
        rows = [line for line in lines if line.startswith("| ")]
        rows = [row for row in rows if not row.startswith(HEADER_PREFIXES)]
        self.assertEqual(len(rows), PROMISE_ROWS + RULE_ROWS)
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
