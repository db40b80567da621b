import gc
import random
import tracemalloc
import unittest

from banyanseam.observe.histograms import (
    OTHER_ORGANISATIONS,
    WINDOW_S,
    Histograms,
    SeriesKey,
)

CLASSES = ("quick", "long", "service")
MEASURES = ("first_token_ms", "duration_ms", "queue_wait_ms")


class HistogramTests(unittest.TestCase):
    def test_percentiles_are_near_the_values(self):
        histograms = Histograms(0)
        for value_ms in range(1, 1001):
            histograms.record("acme", "quick", "duration_ms", value_ms, 1)
        for organisation, tolerance in ((None, 0.02), ("acme", 0.1)):
            key = SeriesKey(organisation, "quick", "duration_ms")
            series = histograms.read(key)
            self.assertEqual(series.count, 1000)
            for percentile in (50, 90, 99):
                expected = percentile * 10
                self.assertAlmostEqual(
                    series.percentiles[percentile], expected, delta=expected * tolerance
                )

    def test_values_beyond_the_range_are_counted(self):
        histograms = Histograms(0)
        for value_ms in (-1, 0, 0.2, 10**9):
            histograms.record(None, "quick", "duration_ms", value_ms, 1)
        (series,) = histograms.iterate(None, None)
        self.assertEqual(series.count, 4)

    def test_memory_is_bounded_and_no_count_is_lost(self):
        rng = random.Random(7)
        limit_bytes = 400_000
        gc.collect()
        tracemalloc.start()
        histograms = Histograms(0, limit_bytes)
        for number in range(2 * 670):
            now_s = number
            for request_class in CLASSES:
                for measure in MEASURES:
                    histograms.record(
                        f"organisation-{number % 670}",
                        request_class,
                        measure,
                        rng.expovariate(1 / 300),
                        now_s,
                    )
        gc.collect()
        held_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        totals_bytes = len(CLASSES) * len(MEASURES) * 12_000
        self.assertLess(held_bytes, limit_bytes + totals_bytes)
        for key in histograms.list_keys(None, None):
            counted = sum(
                histograms.read(SeriesKey(name, key.request_class, key.measure)).count
                for name in histograms.list_organisations()
            )
            self.assertEqual(counted, histograms.read(key).count)
        self.assertIn(OTHER_ORGANISATIONS, histograms.list_organisations())

    def test_old_values_expire(self):
        histograms = Histograms(0)
        key = SeriesKey(None, "quick", "duration_ms")
        for at_s, count in ((1, 1), (WINDOW_S, 2), (2 * WINDOW_S, 2)):
            histograms.record("acme", "quick", "duration_ms", 5, at_s)
            self.assertEqual(histograms.read(key).count, count)
        self.assertEqual(histograms.window_s(2 * WINDOW_S), WINDOW_S)


if __name__ == "__main__":
    unittest.main()
