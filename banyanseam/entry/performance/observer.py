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
    INITIAL_PERCENT,
    INITIAL_PERFORMANCE,
    Performance,
    scale_performance,
)
from banyanseam.entry.performance.samples import (
    Measure,
    Run,
    measure_first,
    measure_pace,
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
# Work and pace.
MEASURES_TO_DIFFER: Final = 2
# An upstream's own samples count against this many of its service's figure.
PRIOR_SAMPLES: Final = 4
# Smaller differences are noise: the initial figures, or the service's, then apply.
MIN_SERVICE_DIFFERENCE: Final = 1.25
MIN_UPSTREAM_DIFFERENCE: Final = 1.4
MIN_LOGGED_CHANGE: Final = 1.5
REFRESH_PERIOD_S: Final = 0.5
MAX_UPSTREAMS: Final = 4096
# Samples that wait for the next heartbeat; they come again within a second.
MAX_PENDING_SAMPLES: Final = 6
# Requests that this VM does not know of only make an answer later, so the upper part is
# left out.
AVERAGED_SHARES: Final[Mapping[Measure, tuple[float, float]]] = {
    Measure.START: (0.1, 0.5),
    Measure.WORK: (0.05, 0.4),
    Measure.PACE: (0.2, 0.8),
}


class PerformanceObserver:
    """The speed of this region's upstreams, by tag of the upstream."""

    def __init__(self) -> None:
        """Start with the initial performance for every upstream."""
        self._windows: dict[int, dict[Measure, Window]] = {}
        # Durations in percent of the initial ones, by tag and by service.
        self._work_percents: dict[int, int] = {}
        self._performances: dict[int, Performance] = {}
        self.service_percents: dict[str, int] = {}
        # The services' figures as operators know them from the log.
        self._known_percents: dict[str, int] = {}
        self._start_ms: dict[str, float] = {}
        self._services: dict[int, str] = {}
        self._pending: list[SampleRow] = []
        self._refreshed_s = -1e9

    def find(self, tag: int) -> Performance:
        """Return the performance to estimate an upstream's waits with."""
        return self._performances.get(tag, INITIAL_PERFORMANCE)

    def find_work_percent(self, tag: int) -> int:
        """Return an upstream's durations in percent of the initial ones."""
        return self._work_percents.get(tag, INITIAL_PERCENT)

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
        sample = measure_pace(run)
        if sample is not None:
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
            for _ in range(min(len(window), MIN_SERVICE_SAMPLES))
        ]

    def refresh(
        self, services: Mapping[int, str], now_s: float
    ) -> dict[str, tuple[int, int]]:
        """Estimate anew; drop upstreams that are not in `services`, by tag.

        Return the services' figures that have changed by much: before and after.
        """
        # A VM that has just started may get samples before the list of upstreams.
        if not services or now_s - self._refreshed_s < REFRESH_PERIOD_S:
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
        self.service_percents = {
            service: self._estimate_service(service, tags)
            for service, tags in by_service.items()
        }
        paces = {
            service: self._find_median(tags, Measure.PACE)
            for service, tags in by_service.items()
        }
        self._work_percents = {
            tag: self._estimate_upstream(
                tag, self.service_percents[service], paces[service]
            )
            for tag, service in services.items()
        }
        self._performances = {
            tag: scale_performance(percent)
            for tag, percent in self._work_percents.items()
        }
        return self._take_changes()

    def _take_changes(self) -> dict[str, tuple[int, int]]:
        """Return the services that differ much from when they were last returned."""
        changes = {}
        for service, percent in self.service_percents.items():
            before = self._known_percents.get(service, INITIAL_PERCENT)
            if max(percent / before, before / percent) >= MIN_LOGGED_CHANGE:
                changes[service] = before, percent
                self._known_percents[service] = percent
        return changes

    def _estimate_service(self, service: str, tags: list[int]) -> int:
        """Return a service's figure; the last one applies while samples are missing."""
        start_ms = self._find_median(tags, Measure.START)
        if start_ms is not None:
            self._start_ms[service] = start_ms
        work = self._find_median(tags, Measure.WORK)
        if work is None:
            return self.service_percents.get(service, INITIAL_PERCENT)
        return _round(work, INITIAL_PERCENT, MIN_SERVICE_DIFFERENCE)

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
        self, tag: int, service_percent: int, service_pace: float | None
    ) -> int:
        """Return an upstream's figure, nearer to the service's with few samples.

        An upstream that happens to be busier than reported has late first tokens or
        slow streams, one that is slower has both.
        """
        windows = self._windows.get(tag, {})
        logarithms = [
            _find_deviation(windows[measure], measure, typical)
            for measure, typical in (
                (Measure.WORK, service_percent),
                (Measure.PACE, service_pace),
            )
            if typical and len(windows.get(measure, ())) >= MIN_UPSTREAM_SAMPLES
        ]
        deviation = 0.0
        if len(logarithms) == MEASURES_TO_DIFFER and (
            min(logarithms) > 0 or max(logarithms) < 0
        ):
            deviation = min(logarithms, key=abs)
        percent = service_percent * math.exp(deviation)
        return _round(percent, service_percent, MIN_UPSTREAM_DIFFERENCE)


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
