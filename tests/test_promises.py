import importlib
import re
import unittest
from pathlib import Path

PAGE = Path(__file__).resolve().parent.parent / "docs" / "PROMISES.md"
PROMISES = 11


class PromisesTests(unittest.TestCase):
    def test_every_promise_names_tests_that_exist(self):
        lines = PAGE.read_text().splitlines()
        rows = [line for line in lines if line.startswith("| ")][2:]
        self.assertEqual(len(rows), PROMISES)
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
