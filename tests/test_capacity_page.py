"""Guards against constants in docs/CAPACITY.md that differ from the code.

Someone changes a constant that the capacity was computed from, and not the page.
"""

import re
import unittest
from importlib import import_module
from pathlib import Path

PAGE = Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"
HEADER = "| constant | value | module |"
ROW = re.compile(r"^\| `(\w+)` \| ([\d.]+) \| `([\w.]+)` \|$")
REQUIRED_CONSTANTS = {
    "HEARTBEAT_PERIOD_S",
    "RING_FANOUT",
    "FULL_MESH_SEATS",
    "READERS_PER_REGION",
    "POLL_CALLS_PER_S",
    "POLL_FLOOR_S",
    "WATCH_MS",
    "LEASE_TERM_S",
    "LOAN_TERM_S",
    "RENEW_PERIOD_S",
    "MAX_POLLS_PER_S",
    "MAX_POOL_UPSTREAMS",
    "HOMES_PER_REGION",
    "MEMORY_BYTES",
}


def read_rows():
    _, _, table = PAGE.read_text().partition(HEADER + "\n")
    lines = table.partition("\n\n")[0].splitlines()[1:]
    return [ROW.fullmatch(line) for line in lines]


class CapacityPageTests(unittest.TestCase):
    def test_constants_of_the_page_are_those_of_the_code(self):
        rows = read_rows()
        self.assertNotIn(None, rows)
        self.assertLessEqual(REQUIRED_CONSTANTS, {row[1] for row in rows})
        for name, value, module in (row.groups() for row in rows):
            with self.subTest(constant=name):
                self.assertEqual(float(value), getattr(import_module(module), name))


if __name__ == "__main__":
    unittest.main()
