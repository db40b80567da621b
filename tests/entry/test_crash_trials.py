import unittest

from banyanseam.entry.const import TRIAL_REGION_STEP_S, TRIAL_SPREAD_S
from banyanseam.entry.crash_trials import make_choose_trial_delay

REGIONS = ("gulf", "piedmont", "delta")


class TrialDelayTests(unittest.TestCase):
    def test_vms_of_different_regions_make_trials_one_region_after_the_other(self):
        delays_s = {
            region: [
                make_choose_trial_delay(f"10.{place}.0.{vm}", region, REGIONS)(1, 2)
                for vm in range(20)
            ]
            for place, region in enumerate(REGIONS)
        }
        firsts = sorted(min(each) for each in delays_s.values())
        for found in delays_s.values():
            self.assertLessEqual(max(found) - min(found), TRIAL_SPREAD_S)
        for earlier, later in zip(firsts, firsts[1:], strict=False):
            self.assertGreater(later - earlier, TRIAL_REGION_STEP_S - TRIAL_SPREAD_S)


if __name__ == "__main__":
    unittest.main()
