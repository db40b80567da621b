"""Guards against faults of the entry daemon that show only while events overlap."""

import unittest

import anyio

from tests.faults.entry_soak import PATHS, find_violations, run_soak

SEED = 20261205
DURATION_S = 40.0
VMS = 6


class EntrySoakTests(unittest.TestCase):
    def test_overlapping_signals_and_changes_break_no_promise(self):
        print(f"soak seed {SEED}")
        options = {"use_uvloop": True}
        records = anyio.run(run_soak, SEED, DURATION_S, VMS, backend_options=options)
        served = {each.path for each in records.attempts if each.status == 200}
        # If all requests had failed, the checks would prove nothing.
        self.assertEqual(served, set(PATHS))
        self.assertTrue(records.exits)
        self.assertTrue(records.removed_s)
        self.assertEqual(find_violations(records), [])


if __name__ == "__main__":
    unittest.main()
