"""Guards against faults that break a promise only while they overlap.

Every kind of fault starts in turn on one fleet under traffic; each promise is then
checked on the records of callers and upstreams.
"""

import unittest

import anyio

from tests.faults.checks import CHECKS, find_violations
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
        # If all requests had failed, the checks would prove nothing.
        self.assertGreaterEqual(answered, {"chat", "homed", "limited", "booking"})
        violations = find_violations(records)
        for name in CHECKS:
            with self.subTest(name):
                self.assertEqual(violations.get(name, []), [])
