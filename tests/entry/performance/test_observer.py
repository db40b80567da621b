import unittest

from hypothesis import given
from hypothesis import strategies as st

from banyanseam.entry.models import Prompt
from banyanseam.entry.performance.models import (
    INITIAL_PERFORMANCE,
    find_work_percent,
    scale_performance,
)
from banyanseam.entry.performance.observer import (
    MAX_FACTOR_PERCENT,
    MAX_PENDING_SAMPLES,
    MIN_FACTOR_PERCENT,
    PerformanceObserver,
)
from banyanseam.entry.performance.recorder import RunRecorder
from banyanseam.entry.performance.samples import Measure, Run, measure_first
from banyanseam.entry.performance.window import SAMPLE_TERM_S
from banyanseam.entry.placing import Placement
from tests.entry.common import make_candidate

SERVICES = {1: "pool", 2: "pool", 3: "pool"}
ROWS = st.lists(
    st.tuples(st.integers(0, 5), st.integers(-1, 5), st.integers(-(10**9), 10**9)),
    max_size=80,
)


def observe(
    rows: list[tuple[int, int, int]], now_s: float = 0.0
) -> PerformanceObserver:
    observer = PerformanceObserver()
    observer.record_peer_samples(rows, now_s)
    observer.refresh(SERVICES, now_s)
    return observer


def list_work(tag: int, percent: int, count: int) -> list[tuple[int, int, int]]:
    """Return samples by which an upstream's first tokens and streams are that slow."""
    return [
        (tag, int(Measure.WORK), percent),
        (tag, int(Measure.PACE), percent),
    ] * count


class ObserverTests(unittest.TestCase):
    @given(ROWS)
    def test_figures_and_state_stay_bounded_whatever_arrives(self, rows):
        observer = observe(rows)
        for tag in SERVICES:
            percent = observer.find_work_percent(tag)
            self.assertGreaterEqual(percent, MIN_FACTOR_PERCENT)
            self.assertLessEqual(percent, MAX_FACTOR_PERCENT)
        self.assertLessEqual({row[0] for row in observer.list_samples()}, set(SERVICES))

    @given(st.integers(12, 900))
    def test_it_converges_to_what_all_upstreams_show(self, percent):
        rows = [row for tag in SERVICES for row in list_work(tag, percent, 20)]
        figure = observe(rows).find_work_percent(1)
        if 80 <= percent <= 125:
            self.assertEqual(figure, 100)
        else:
            self.assertEqual(figure, percent)

    @given(st.lists(st.sampled_from([1, 10**6]), max_size=4))
    def test_outliers_do_not_move_it(self, outliers):
        rows = [row for tag in SERVICES for row in list_work(tag, 40, 20)]
        rows += [(1, int(Measure.WORK), value) for value in outliers]
        self.assertAlmostEqual(observe(rows).find_work_percent(1), 40, delta=4)

    def test_figures_near_the_initial_ones_change_nothing(self):
        rows = [row for tag in SERVICES for row in list_work(tag, 115, 20)]
        self.assertIs(observe(rows).find(1), INITIAL_PERFORMANCE)

    def test_an_unlike_upstream_has_a_figure_of_its_own(self):
        rows = list_work(1, 100, 20) + list_work(2, 100, 20) + list_work(3, 40, 20)
        observer = observe(rows)
        self.assertEqual(observer.find_work_percent(1), 100)
        self.assertAlmostEqual(observer.find_work_percent(3), 45, delta=5)

    def test_late_first_tokens_alone_do_not_make_an_upstream_slow(self):
        """It was busier than reported, and its streams are as quick as the others."""
        rows = list_work(1, 100, 20) + list_work(2, 100, 20)
        rows += [(3, int(Measure.WORK), 400), (3, int(Measure.PACE), 95)] * 20
        self.assertEqual(observe(rows).find_work_percent(3), 100)

    def test_without_samples_an_upstream_returns_to_its_service(self):
        observer = observe([row for tag in (1, 2) for row in list_work(tag, 200, 20)])
        observer.record_peer_samples(list_work(3, 40, 20), 0.0)
        observer.refresh(SERVICES, 1.0)
        self.assertLess(observer.find_work_percent(3), 100)
        observer.refresh(SERVICES, SAMPLE_TERM_S + 2)
        self.assertEqual(observer.find_work_percent(3), 200)

    def test_upstreams_that_are_gone_are_dropped(self):
        observer = observe(list_work(1, 50, 9))
        observer.refresh({2: "pool"}, 9.0)
        self.assertEqual(observer.list_samples(), [])
        self.assertIs(observer.find(1), INITIAL_PERFORMANCE)

    def test_a_vm_that_starts_takes_its_peers_figures(self):
        rows = [row for tag in SERVICES for row in list_work(tag, 25, 20)]
        newcomer = observe(observe(rows).list_samples())
        self.assertEqual(newcomer.find_work_percent(1), 25)

    def test_one_change_is_logged_once(self):
        observer = PerformanceObserver()
        rows = [row for tag in SERVICES for row in list_work(tag, 25, 20)]
        observer.record_peer_samples(rows, 0.0)
        self.assertEqual(observer.refresh(SERVICES, 0.0), {"pool": (100, 25)})
        self.assertEqual(observer.refresh(SERVICES, 1.0), {})

    def test_samples_for_peers_are_bounded(self):
        observer = PerformanceObserver()
        for _ in range(30):
            record_call(observer, 0.09)
        self.assertEqual(len(observer.take_samples()), MAX_PENDING_SAMPLES)
        self.assertEqual(observer.take_samples(), [])

    def test_the_duration_of_calls_is_learned(self):
        observer = PerformanceObserver()
        for _ in range(20):
            record_call(observer, 0.09)
        observer.refresh({1: "desk"}, 2.0)
        self.assertAlmostEqual(observer.find(1).call_ms, 90.0)


def record_call(observer: PerformanceObserver, duration_s: float) -> None:
    candidate = make_candidate(slots=6, memory_tokens=0)
    recorder = RunRecorder(observer, 1, Placement(candidate, 0.0, False), None)
    recorder.record_write(1.0)
    recorder.record_first(1.0 + duration_s)


class SampleTests(unittest.TestCase):
    def measure(self, first_ms: float, **load: object) -> object:
        prompt = Prompt(8000, 100, ())
        placement = Placement(make_candidate(**load), 0.0, False)
        run = Run(placement, prompt, 0.0, first_ms / 1000, first_ms / 1000)
        return measure_first(run, 9.0)

    def test_cold_and_suspect_upstreams_give_no_samples(self):
        self.assertIsNone(self.measure(500.0, is_reserve=True))

    def test_a_prompt_behind_others_counts_only_if_it_was_quick(self):
        for load in ({"requests": 64}, {"requests": 3, "prefill_ms": 300.0}):
            with self.subTest(load):
                self.assertIsNone(self.measure(900.0, **load))
                measure, percent = self.measure(60.0, **load)
                self.assertIs(measure, Measure.WORK)
                self.assertLess(percent, 40)

    def test_an_idle_engine_as_assumed_gives_the_initial_figure(self):
        own_ms = 8000 / 37.9 + 8000 * 4000 / 1e6 * 0.248
        _, percent = self.measure(own_ms + 9.0)
        self.assertAlmostEqual(percent, 100.0)

    @given(st.integers(10, 1000))
    def test_reported_figures_give_the_same_performance(self, percent):
        self.assertEqual(find_work_percent(scale_performance(percent)), percent)


if __name__ == "__main__":
    unittest.main()
