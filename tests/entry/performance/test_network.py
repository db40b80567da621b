import unittest

from hypothesis import given
from hypothesis import strategies as st

from banyanseam.entry.const import ROUND_TRIP_MS
from banyanseam.entry.models import Prompt
from banyanseam.entry.performance.network import MIN_CONNECTIONS, NetworkTimes
from banyanseam.entry.performance.window import MAX_WINDOW_SAMPLES, SAMPLE_TERM_S
from banyanseam.entry.placing import PlacementRequest, choose
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.upstreams import UpstreamLoads
from tests.entry.common import make_candidate

REQUEST = PlacementRequest(Prompt(300, 100, ()), 400, "gulf")


def make_times(connect_ms: float) -> NetworkTimes:
    times = NetworkTimes()
    for _ in range(MAX_WINDOW_SAMPLES):
        times.record_forward("delta", connect_ms, 0.0)
    return times


class NetworkTimesTests(unittest.TestCase):
    def test_a_new_connection_costs_a_round_trip_of_its_own(self):
        self.assertAlmostEqual(make_times(110.0).find_ms("delta", 1.0), 220.0)

    def test_a_reused_connection_costs_one_round_trip(self):
        times = make_times(110.0)
        for _ in range(MAX_WINDOW_SAMPLES):
            times.record_forward("delta", None, 1.0)
        self.assertAlmostEqual(times.find_ms("delta", 1.0), 110.0)

    def test_without_recent_connections_the_initial_time_applies(self):
        times = make_times(110.0)
        self.assertEqual(times.find_ms("other", 1.0), ROUND_TRIP_MS)
        self.assertEqual(times.find_ms("delta", SAMPLE_TERM_S + 1), ROUND_TRIP_MS)

    @given(st.lists(st.floats(0, 1e9), max_size=MIN_CONNECTIONS - 1))
    def test_a_few_slow_connections_change_little(self, slow_ms):
        times = make_times(110.0)
        for each in slow_ms:
            times.record_forward("delta", each + 110.0, 1.0)
        self.assertAlmostEqual(times.find_ms("delta", 1.0), 220.0)

    def test_a_query_stays_where_it_starts_sooner(self):
        """The other region seemed 100 ms quicker, and was as much slower."""
        here = make_candidate("e1", prefill_ms=150.0)
        loads = UpstreamLoads(UpstreamList(), "gulf")
        chosen = []
        for network in (NetworkTimes(), make_times(110.0)):
            loads.network = network
            loads.store_region_report(
                "delta", {"pool": [make_candidate("e2", "delta")]}, [], 1.0
            )
            there = loads.list_remote_candidates("delta", "pool", 1.0)
            placement = choose([here, *there], REQUEST, lambda *_: False)
            chosen.append(placement.candidate.region)
        self.assertEqual(chosen, ["delta", "gulf"])


if __name__ == "__main__":
    unittest.main()
