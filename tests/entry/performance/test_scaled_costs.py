import unittest

from banyanseam.entry.const import COST_JITTER_MS, FORWARDED_PREFILL_MS
from banyanseam.entry.models import Prompt
from banyanseam.entry.performance.models import scale_performance
from banyanseam.entry.placing import PlacementRequest, choose
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.upstreams import UpstreamLoads
from tests.entry.common import make_candidate

REQUEST = PlacementRequest(Prompt(300, 100, ()), 400, "gulf")


def choose_beside_busier(work_percent: int, backlog_ms: float) -> str:
    """Return the choice if the idle engine draws the whole jitter, the other none."""
    performance = scale_performance(work_percent)
    idle = make_candidate("idle", performance=performance)
    busier = make_candidate("busier", prefill_ms=backlog_ms, performance=performance)
    draws = iter((1.0, 0.0))
    placement = choose(
        [idle, busier], REQUEST, lambda *_: False, jitter=lambda: next(draws)
    )
    return placement.candidate.upstream_id


class ScaledCostTests(unittest.TestCase):
    def test_a_backlog_counts_for_more_on_faster_engines(self):
        """The jitter is about what other processes add, which takes less time there."""
        backlog_ms = COST_JITTER_MS / 2
        self.assertEqual(choose_beside_busier(100, backlog_ms), "busier")
        self.assertEqual(choose_beside_busier(25, backlog_ms), "idle")

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
