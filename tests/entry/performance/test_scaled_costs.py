import unittest

from banyanseam.entry.const import FORWARDED_PREFILL_MS
from banyanseam.entry.performance.models import scale_performance
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.upstreams import UpstreamLoads
from tests.entry.common import make_candidate


class ScaledCostTests(unittest.TestCase):
    def test_forwarded_requests_take_less_time_on_faster_engines(self):
        for work_percent in (25, 100, 200):
            loads = UpstreamLoads(UpstreamList(), "gulf")
            performance = scale_performance(work_percent)
            report = {"pool": [make_candidate("e1", "delta", performance=performance)]}
            loads.store_region_report("delta", report, [], 0.0)
            loads.forwarded["delta"] = 2
            (found,) = loads.list_remote_candidates("delta", "pool", 0.0)
            with self.subTest(work_percent=work_percent):
                expected_ms = 2 * FORWARDED_PREFILL_MS * work_percent / 100
                self.assertAlmostEqual(found.prefill_ms, expected_ms)


if __name__ == "__main__":
    unittest.main()
