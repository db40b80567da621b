"""Estimate the performance of upstreams from samples of all VMs of the region.

Pure code without I/O; `now_s` is the runtime's clock. It answers the load of a pool
whose engines are faster, slower or less alike than assumed: waits that are estimated
too long refuse callers while there is room, and waits estimated too short queue them
where there is none. It is read by `placing` through `Candidate.performance`.
"""

import math
from collections.abc import Iterable, Mapping
from statistics import median
from typing import Final

from banyanseam.entry.performance.models import (
    INITIAL_FACTORS,
    INITIAL_PERFORMANCE,
    Factors,
    Performance,
    scale_performance,
)
from banyanseam.entry.performance.samples import (
    Measure,
    Run,
    measure_first,
    measure_stream,
)
from banyanseam.entry.performance.window import Window

# Tag of the upstream, measure, value.
SampleRow = tuple[int, int, int]

MIN_FACTOR_PERCENT: Final = 10
MAX_FACTOR_PERCENT: Final = 1000
MAX_START_MS: Final = 1000
MAX_PACE_PERCENT: Final = 100_000
# A service's figure needs this many samples.
MIN_SERVICE_SAMPLES: Final = 6
# Fewer samples of an upstream don't count.
MIN_UPSTREAM_SAMPLES: Final = 4
# An upstream's own samples count against this many of its service's figure.
PRIOR_SAMPLES: Final = 4
# Smaller differences are noise: the initial figures, or the service's, then apply. The
# measured output depends on the load too.
MIN_SERVICE_DIFFERENCE: Final = 1.25
MIN_UPSTREAM_DIFFERENCE: Final = 1.4
MIN_OUTPUT_DIFFERENCE: Final = 1.7
MIN_LOGGED_CHANGE: Final = 1.5
REFRESH_PERIOD_S: Final = 0.5
MAX_UPSTREAMS: Final = 4096
# Samples that wait for the next heartbeat; they come again within a second.
MAX_PENDING_SAMPLES: Final = 6
# Unknown requests before it only make an answer later, so the upper part is left out.
AVERAGED_SHARES: Final[Mapping[Measure, tuple[float, float]]] = {
    Measure.START: (0.1, 0.5),
    Measure.WORK: (0.2, 0.8),
    # The longer ones decide how long a full batch keeps others waiting.
    Measure.OUTPUT: (0.4, 1.0),
    Measure.PACE: (0.2, 0.8),
}


class PerformanceObserver:
    """The speed of this region's upstreams, by tag of the upstream."""

    def __init__(self) -> None:
        """Start with the initial performance for every upstream."""
        self._windows: dict[int, dict[Measure, Window]] = {}
        self._factors: dict[int, Factors] = {}
        self._performances: dict[int, Performance] = {}
        self.service_factors: dict[str, Factors] = {}
        # The services' figures as operators know them from the log.
        self._known_factors: dict[str, Factors] = {}
        self._start_ms: dict[str, float] = {}
        self._services: dict[int, str] = {}
        self._pending: list[SampleRow] = []
        self._refreshed_s = -1e9

    def find(self, tag: int) -> Performance:
        """Return the performance to estimate an upstream's waits with."""
        return self._performances.get(tag, INITIAL_PERFORMANCE)

    def find_factors(self, tag: int) -> Factors:
        """Return an upstream's durations relative to the initial performance."""
        return self._factors.get(tag, INITIAL_FACTORS)

    def record_first(self, tag: int, run: Run) -> None:
        """Record a first token, or the answer of a service without engines."""
        start_ms = self._start_ms.get(
            self._services.get(tag, ""), 2 * INITIAL_PERFORMANCE.step_ms
        )
        sample = measure_first(run, start_ms)
        if sample is not None:
            self._record_own(tag, *sample, run.first_s)

    def record_stream(self, tag: int, run: Run) -> None:
        """Record a stream that has ended."""
        for sample in measure_stream(run):
            self._record_own(tag, *sample, run.last_s)

    def _record_own(
        self, tag: int, measure: Measure, value: float, now_s: float
    ) -> None:
        row = (tag, int(measure), round(value))
        self._record_row(row, now_s)
        # The other VMs have samples of the start themselves.
        if measure is not Measure.START and len(self._pending) < MAX_PENDING_SAMPLES:
            self._pending.append(row)

    def record_peer_samples(self, rows: Iterable[SampleRow], now_s: float) -> None:
        """Record samples of another VM of the region; unknown measures are ignored."""
        for row in rows:
            self._record_row(row, now_s)

    def _record_row(self, row: SampleRow, now_s: float) -> None:
        tag, number, value = row
        if number not in AVERAGED_SHARES:
            return
        if tag not in self._windows and len(self._windows) >= MAX_UPSTREAMS:
            return
        windows = self._windows.setdefault(tag, {})
        window = windows.setdefault(Measure(number), Window())
        window.record(_limit(Measure(number), value), now_s)

    def take_samples(self) -> list[SampleRow]:
        """Return this VM's samples since the last call, for the region's other VMs."""
        pending, self._pending = self._pending, []
        return pending

    def list_samples(self) -> list[SampleRow]:
        """Return some samples of each measure, for a VM that has just started."""
        return [
            (tag, int(measure), round(_average(window, measure)))
            for tag, windows in self._windows.items()
            for measure, window in windows.items()
            for _ in range(min(len(window), MIN_UPSTREAM_SAMPLES))
        ]

    def refresh(
        self, services: Mapping[int, str], now_s: float
    ) -> dict[str, tuple[Factors, Factors]]:
        """Estimate anew; drop upstreams that are not in `services`, by tag.

        Return the services' figures that have changed by much: before and after.
        """
        if now_s - self._refreshed_s < REFRESH_PERIOD_S:
            return {}
        self._refreshed_s = now_s
        self._services = dict(services)
        for tag in self._windows.keys() - services.keys():
            del self._windows[tag]
        for windows in self._windows.values():
            for window in windows.values():
                window.drop_old(now_s)
        by_service: dict[str, list[int]] = {}
        for tag, service in services.items():
            by_service.setdefault(service, []).append(tag)
        self.service_factors = {
            service: self._estimate_service(service, tags)
            for service, tags in by_service.items()
        }
        paces = {
            service: self._find_median(tags, Measure.PACE)
            for service, tags in by_service.items()
        }
        self._factors = {
            tag: self._estimate_upstream(
                tag, self.service_factors[service], paces[service]
            )
            for tag, service in services.items()
        }
        self._performances = {
            tag: scale_performance(factors) for tag, factors in self._factors.items()
        }
        return self._take_changes()

    def _take_changes(self) -> dict[str, tuple[Factors, Factors]]:
        """Return the services that differ much from when they were last returned."""
        changes = {}
        for service, factors in self.service_factors.items():
            before = self._known_factors.get(service, INITIAL_FACTORS)
            if _differ_much(before, factors):
                changes[service] = before, factors
                self._known_factors[service] = factors
        return changes

    def _estimate_service(self, service: str, tags: list[int]) -> Factors:
        """Return a service's figure; the last one applies while samples are missing."""
        known = self.service_factors.get(service, INITIAL_FACTORS)
        start_ms = self._find_median(tags, Measure.START)
        if start_ms is not None:
            self._start_ms[service] = start_ms
        work = self._find_median(tags, Measure.WORK)
        output = self._find_median(tags, Measure.OUTPUT)
        return Factors(
            known.work_percent
            if work is None
            else _round(work, 100, MIN_SERVICE_DIFFERENCE),
            known.output_percent
            if output is None
            else _round(output, 100, MIN_OUTPUT_DIFFERENCE),
        )

    def _find_median(self, tags: list[int], measure: Measure) -> float | None:
        """Return the median of the upstreams' averages, None with few samples."""
        windows = [
            window
            for tag in tags
            if (window := self._windows.get(tag, {}).get(measure)) is not None
            and len(window)
        ]
        if sum(map(len, windows)) < MIN_SERVICE_SAMPLES:
            return None
        return median(_average(window, measure) for window in windows)

    def _estimate_upstream(
        self, tag: int, service: Factors, service_pace: float | None
    ) -> Factors:
        """Return an upstream's figures, nearer to the service's with few samples.

        An upstream that happens to be busier than reported has late first tokens or
        slow streams, one that is slower has both. Under load, few prompts find little
        to wait for; then the streams alone have to tell.
        """
        windows = self._windows.get(tag, {})
        logarithms = [
            _find_deviation(windows[measure], measure, typical)
            for measure, typical in (
                (Measure.WORK, service.work_percent),
                (Measure.PACE, service_pace),
            )
            if typical and len(windows.get(measure, ())) >= MIN_UPSTREAM_SAMPLES
        ]
        deviation = 0.0
        if logarithms and (min(logarithms) > 0 or max(logarithms) < 0):
            deviation = min(logarithms, key=abs)
        percent = service.work_percent * math.exp(deviation)
        return Factors(
            _round(percent, service.work_percent, MIN_UPSTREAM_DIFFERENCE),
            service.output_percent,
        )


def _differ_much(before: Factors, after: Factors) -> bool:
    work = after.work_percent / before.work_percent
    output = after.output_percent / before.output_percent
    return max(work, 1 / work, output, 1 / output) >= MIN_LOGGED_CHANGE


def _find_deviation(window: Window, measure: Measure, typical: float) -> float:
    """Return the logarithm of an upstream's figure against its service's."""
    ratio = max(_average(window, measure), 1.0) / typical
    return math.log(ratio) * len(window) / (len(window) + PRIOR_SAMPLES)


def _round(percent: float, prior_percent: int, min_difference: float) -> int:
    """Return a bounded whole percent, or the prior if the difference is small."""
    ratio = percent / prior_percent
    if 1 / min_difference <= ratio <= min_difference:
        return prior_percent
    return round(min(max(percent, MIN_FACTOR_PERCENT), MAX_FACTOR_PERCENT))


def _average(window: Window, measure: Measure) -> float:
    return window.average(*AVERAGED_SHARES[measure])


def _limit(measure: Measure, value: float) -> float:
    if measure is Measure.START:
        return min(max(value, 0.0), MAX_START_MS)
    if measure is Measure.PACE:
        return min(max(value, 1.0), MAX_PACE_PERCENT)
    return min(max(value, MIN_FACTOR_PERCENT), MAX_FACTOR_PERCENT)
