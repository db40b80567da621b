"""Histograms of each organisation and class, in bounded memory.

Two windows are kept and the older is dropped when the newer has run for its length,
so that what is shown is recent. In a window each class has exact totals over all
organisations; an organisation has coarse histograms of its own, made when first
needed. When those reach the byte limit, an idle one makes room and is added to the
class's `other` series; while none is idle, newcomers count there themselves. Counts
are thus never lost, only whose they were, and a crowd cannot make histograms come
and go with every request.
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
# What one coarse histogram takes, with its objects.
ORGANISATION_HISTOGRAM_BYTES: Final = 2500
MAX_ORGANISATION_BYTES: Final = 4_000_000
WINDOW_S: Final = 1800.0
# How long a histogram must be unused before it makes room for another.
IDLE_S: Final = 600.0
# The series of organisations that lost their own place.
OTHER: Final = "(other)"
PERCENTILES: Final = (50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0)


class SeriesKey(NamedTuple):
    """What a histogram is about; no organisation means all of them.

    It is a tuple because each request looks several up.
    """

    organisation: str | None
    request_class: str
    measure: Measure


@dataclass(frozen=True, slots=True)
class Series:
    """One histogram's figures, in the unit of its measure."""

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
class OwnHistogram:
    """An organisation's histogram and when it was last used."""

    histogram: HdrHistogram
    used_s: float


@dataclass(slots=True)
class Window:
    """The histograms of one stretch of time."""

    started_s: float
    totals: dict[SeriesKey, HdrHistogram] = field(default_factory=dict)
    # Least recently used first.
    own: OrderedDict[SeriesKey, OwnHistogram] = field(default_factory=OrderedDict)

    def find(self, key: SeriesKey) -> HdrHistogram | None:
        """Return a histogram of this window."""
        own = self.own.get(key)
        return own.histogram if own else self.totals.get(key)


class Histograms:
    """Records measures and lists them; holds no clock of its own."""

    def __init__(
        self, now_s: float, max_organisation_bytes: int = MAX_ORGANISATION_BYTES
    ) -> None:
        """Start empty; the limit holds for each of the two windows."""
        self._max_own = max(1, max_organisation_bytes // ORGANISATION_HISTOGRAM_BYTES)
        self._current = Window(now_s)
        self._previous = Window(now_s)
        # Histograms refer to themselves in a circle, so one that is let go stays in
        # memory until the collector's next full pass; they are used again instead.
        self._spare: list[HdrHistogram] = []

    def record(
        self,
        organisation: str | None,
        request_class: str,
        measure: Measure,
        value_ms: float,
        now_s: float,
    ) -> None:
        """Count a value; one beyond the range counts as the range's end."""
        self._rotate(now_s)
        value = _clamp(value_ms)
        total_key = SeriesKey(None, request_class, measure)
        self._find_total(total_key, TOTAL_DIGITS).record_value(value)
        if organisation is None:
            return
        key = SeriesKey(organisation, request_class, measure)
        self._find_own(key, now_s).record_value(value)

    def window_s(self, now_s: float) -> float:
        """Return the length of the time that the figures cover."""
        return now_s - self._previous.started_s

    def list_keys(
        self, organisation: str | None, request_class: str | None
    ) -> list[SeriesKey]:
        """Return what is held; None stands for totals and for every class."""
        keys = set(self._previous.totals) | set(self._previous.own)
        keys |= set(self._current.totals) | set(self._current.own)
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
            for key in (*window.totals, *window.own)
        }
        return sorted(name for name in keys if name is not None)

    def read(self, key: SeriesKey) -> Series:
        """Return the figures of both windows together."""
        merged = _make_histogram(TOTAL_DIGITS)
        for window in (self._previous, self._current):
            part = window.find(key)
            if part is not None:
                merged.add(part)
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
        """Yield series one at a time, so that a server may pause between them."""
        for key in self.list_keys(organisation, request_class):
            yield self.read(key)

    def _rotate(self, now_s: float) -> None:
        if now_s - self._current.started_s < WINDOW_S:
            return
        self._spare = [one.histogram for one in self._previous.own.values()]
        self._previous = self._current
        self._current = Window(now_s)

    def _find_total(self, key: SeriesKey, digits: int) -> HdrHistogram:
        found = self._current.totals.get(key)
        if found is None:
            found = self._current.totals[key] = _make_histogram(digits)
        return found

    def _find_own(self, key: SeriesKey, now_s: float) -> HdrHistogram:
        own = self._current.own
        found = own.get(key)
        if found is not None:
            found.used_s = now_s
            own.move_to_end(key)
            return found.histogram
        if len(own) >= self._max_own and not self._make_room(now_s):
            return self._find_other(key)
        fresh = self._take_fresh()
        own[key] = OwnHistogram(fresh, now_s)
        return fresh

    def _take_fresh(self) -> HdrHistogram:
        if not self._spare:
            return _make_histogram(ORGANISATION_DIGITS)
        used = self._spare.pop()
        used.reset()
        return used

    def _make_room(self, now_s: float) -> bool:
        key, oldest = next(iter(self._current.own.items()))
        if now_s - oldest.used_s < IDLE_S:
            return False
        self._find_other(key).add(oldest.histogram)
        self._spare.append(oldest.histogram)
        del self._current.own[key]
        return True

    def _find_other(self, key: SeriesKey) -> HdrHistogram:
        other = SeriesKey(OTHER, key.request_class, key.measure)
        return self._find_total(other, ORGANISATION_DIGITS)
