import unittest

import anyio

from tests.faults.checks import CHECKS, judge
from tests.faults.soak import STEPS, run_soak

SEED = 20261204


class SoakTests(unittest.TestCase):
    def test_all_promises_hold_through_every_kind_of_fault(self):
        print(f"soak seed {SEED}")
        records = anyio.run(run_soak, SEED, 0, 2, STEPS)
        answered = {
            attempt.purpose
            for attempt in records.attempts
            if attempt.status in (200, 201)
        }
        # A check over requests that all failed would show nothing.
        self.assertGreaterEqual(answered, {"chat", "homed", "limited", "booking"})
        broken = judge(records)
        for name in CHECKS:
            with self.subTest(name):
                self.assertEqual(broken.get(name, []), [])
