"""Histograms per organisation and class, in bounded memory.

There are two windows. The older one is dropped when the newer one reaches its full
length, so that the figures are recent. In each window a class has histograms of all
organisations together, with two significant digits, and each organisation has coarse
ones with one digit, created on first use. When the coarse ones reach the byte limit,
an idle one is evicted and merged into the `(other)` series of its class. If none is
idle, values of new organisations are recorded in that series. No count is lost, only
its organisation, and a large number of organisations cannot cause an eviction with
every request.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final, Literal, NamedTuple

from hdrh.histogram import HdrHistogram

Measure = Literal["first_token_ms", "duration_ms", "queue_wait_ms"]

LOWEST_MS: Final = 1
HIGHEST_MS: Final = 600_000
COUNT_BYTES: Final = 4
TOTAL_DIGITS: Final = 2
ORGANISATION_DIGITS: Final = 1
# Memory of one coarse histogram, including its Python objects.
ORGANISATION_HISTOGRAM_BYTES: Final = 2500
MAX_ORGANISATION_BYTES: Final = 4_000_000
WINDOW_S: Final = 1800.0
# How long a histogram must be unused before it may be evicted.
IDLE_S: Final = 600.0
# The series of organisations without a histogram of their own.
OTHER_ORGANISATIONS: Final = "(other)"
PERCENTILES: Final = (50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0)


class SeriesKey(NamedTuple):
    """Identifies a histogram; None as the organisation means the total of all.

    It is a tuple for fast lookup: each request looks up several.
    """

    organisation: str | None
    request_class: str
    measure: Measure


@dataclass(frozen=True, slots=True)
class Series:
    """Summary of a histogram, in the unit of its measure."""

    organisation: str | None
    request_class: str
    measure: Measure
    count: int
    mean: float
    percentiles: dict[float, int]


def _make_histogram(digits: int) -> HdrHistogram:
    return HdrHistogram(LOWEST_MS, HIGHEST_MS, digits, word_size=COUNT_BYTES)


def _clamp(value_ms: float) -> int:
    return min(max(round(value_ms), LOWEST_MS), HIGHEST_MS)


@dataclass(slots=True)
class OrganisationHistogram:
    """An organisation's histogram and when it was last used."""

    histogram: HdrHistogram
    used_s: float


@dataclass(slots=True)
class Window:
    """The histograms of one time window."""

    started_s: float
    totals: dict[SeriesKey, HdrHistogram] = field(default_factory=dict)
    # Least recently used first.
    by_organisation: OrderedDict[SeriesKey, OrganisationHistogram] = field(
        default_factory=OrderedDict
    )

    def find(self, key: SeriesKey) -> HdrHistogram | None:
        """Return the histogram for the key, if this window has one."""
        entry = self.by_organisation.get(key)
        return entry.histogram if entry else self.totals.get(key)


class Histograms:
    """Records measurements and lists them; the caller passes the time."""

    def __init__(
        self, now_s: float, max_organisation_bytes: int = MAX_ORGANISATION_BYTES
    ) -> None:
        """Start empty; the byte limit applies to each of the two windows."""
        self._max_per_window = max(
            1, max_organisation_bytes // ORGANISATION_HISTOGRAM_BYTES
        )
        self._current = Window(now_s)
        self._previous = Window(now_s)
        # Histograms contain reference cycles, so a dropped one stays in memory until
        # the next full garbage collection; they are reused instead.
        self._reusable: list[HdrHistogram] = []

    def record(
        self,
        organisation: str | None,
        request_class: str,
        measure: Measure,
        value_ms: float,
        now_s: float,
    ) -> None:
        """Record a value, clamped to the range of the histogram."""
        self._rotate(now_s)
        value = _clamp(value_ms)
        total_key = SeriesKey(None, request_class, measure)
        self._get_total(total_key, TOTAL_DIGITS).record_value(value)
        if organisation is None:
            return
        key = SeriesKey(organisation, request_class, measure)
        self._get_organisation_histogram(key, now_s).record_value(value)

    def window_s(self, now_s: float) -> float:
        """Return the length of time that the figures cover."""
        return now_s - self._previous.started_s

    def list_keys(
        self, organisation: str | None, request_class: str | None
    ) -> list[SeriesKey]:
        """Return the recorded keys.

        None as `organisation` selects the totals, None as `request_class` every class.
        """
        keys = set(self._previous.totals) | set(self._previous.by_organisation)
        keys |= set(self._current.totals) | set(self._current.by_organisation)
        return sorted(
            (
                key
                for key in keys
                if key.organisation == organisation
                and request_class in (None, key.request_class)
            ),
            key=lambda key: (key.request_class, key.measure),
        )

    def list_organisations(self) -> list[str]:
        """Return the organisations that have series, `(other)` included."""
        keys = {
            key.organisation
            for window in (self._previous, self._current)
            for key in (*window.totals, *window.by_organisation)
        }
        return sorted(name for name in keys if name is not None)

    def read(self, key: SeriesKey) -> Series:
        """Return the summary of both windows merged."""
        merged = _make_histogram(TOTAL_DIGITS)
        for window in (self._previous, self._current):
            histogram = window.find(key)
            if histogram is not None:
                merged.add(histogram)
        values = merged.get_percentile_to_value_dict(list(PERCENTILES))
        return Series(
            organisation=key.organisation,
            request_class=key.request_class,
            measure=key.measure,
            count=merged.get_total_count(),
            mean=merged.get_mean_value(),
            percentiles=values,
        )

    def iterate(
        self, organisation: str | None, request_class: str | None
    ) -> Iterator[Series]:
        """Yield series one at a time, so that a server can pause in between."""
        for key in self.list_keys(organisation, request_class):
            yield self.read(key)

    def _rotate(self, now_s: float) -> None:
        if now_s - self._current.started_s < WINDOW_S:
            return
        self._reusable = [
            one.histogram for one in self._previous.by_organisation.values()
        ]
        self._previous = self._current
        self._current = Window(now_s)

    def _get_total(self, key: SeriesKey, digits: int) -> HdrHistogram:
        found = self._current.totals.get(key)
        if found is None:
            found = self._current.totals[key] = _make_histogram(digits)
        return found

    def _get_organisation_histogram(self, key: SeriesKey, now_s: float) -> HdrHistogram:
        by_organisation = self._current.by_organisation
        found = by_organisation.get(key)
        if found is not None:
            found.used_s = now_s
            by_organisation.move_to_end(key)
            return found.histogram
        if len(by_organisation) >= self._max_per_window and not self._evict_idle(now_s):
            return self._get_other(key)
        histogram = self._allocate()
        by_organisation[key] = OrganisationHistogram(histogram, now_s)
        return histogram

    def _allocate(self) -> HdrHistogram:
        if not self._reusable:
            return _make_histogram(ORGANISATION_DIGITS)
        recycled = self._reusable.pop()
        recycled.reset()
        return recycled

    def _evict_idle(self, now_s: float) -> bool:
        key, oldest = next(iter(self._current.by_organisation.items()))
        if now_s - oldest.used_s < IDLE_S:
            return False
        self._get_other(key).add(oldest.histogram)
        self._reusable.append(oldest.histogram)
        del self._current.by_organisation[key]
        return True

    def _get_other(self, key: SeriesKey) -> HdrHistogram:
        other = SeriesKey(OTHER_ORGANISATIONS, key.request_class, key.measure)
        return self._get_total(other, ORGANISATION_DIGITS)
