"""Tracks since when a home has a complete record of its keys; does no I/O.

A home that has just started, or has just become the home of a key, has no record of
what another process ran before. It accepts a key as unused only if the key's stamp
proves that it was made after the records began, or if the retention of any use before
then has passed.
"""

import uuid
from dataclasses import dataclass

import uuid6

from banyanseam.idempotency.const import (
    COVERAGE_MARGIN_S,
    MAX_MAPPINGS,
    MAX_STAMP_AHEAD_S,
    RETENTION_S,
)
from banyanseam.idempotency.errors import HomeIsNew, KeyStampedInFuture, NotHome
from banyanseam.idempotency.mapping import Mapping, find_home
from banyanseam.idempotency.models import Scope


def read_stamp(key: str) -> float | None:
    """Return the time stamp of a UUIDv7 key in seconds since the epoch, or None."""
    try:
        parsed = uuid6.UUID(key.rpartition(":")[2])
    except ValueError:
        return None
    if parsed.version != 7 or parsed.variant != uuid.RFC_4122:
        return None
    return parsed.time / 1000


@dataclass(frozen=True, slots=True)
class _Period:
    mapping: Mapping
    since_s: float
    since_wall_s: float


class RecordCoverage:
    """The mappings that were in force in this process, newest last."""

    def __init__(self, seat: str) -> None:
        """Start without a period; `adopt` starts the first one."""
        self.seat = seat
        self._periods: list[_Period] = []
        # An unreachable standby may act for this home until these times.
        self._deferred_s = self._deferred_wall_s = float("-inf")

    @property
    def mapping(self) -> Mapping:
        """Return the mapping in force; raise NotHome before the first one."""
        if not self._periods:
            raise NotHome("no configuration is in force yet")
        return self._periods[-1].mapping

    def adopt(self, mapping: Mapping, now_s: float, wall_s: float) -> None:
        """Put a mapping in force; an equal one changes nothing."""
        if self._periods and self._periods[-1].mapping == mapping:
            return
        self._periods.append(_Period(mapping, now_s, wall_s))
        # Dropping an old period is safe: it only makes this process refuse more keys.
        del self._periods[:-MAX_MAPPINGS]

    def reset_after_suspension(self, now_s: float, wall_s: float) -> None:
        """Accept no key made before now as unused; called after a suspension."""
        if self._periods:
            self._periods = [_Period(self.mapping, now_s, wall_s)]

    def defer(self, term_s: float, now_s: float, wall_s: float) -> None:
        """Accept no key made within a term from now as unused, until `confirm`."""
        self._deferred_s, self._deferred_wall_s = now_s + term_s, wall_s + term_s

    def confirm(self) -> None:
        """End the deferral: no other process acts for this home."""
        self._deferred_s = self._deferred_wall_s = float("-inf")

    def extend(self, covered_s: float, now_s: float, wall_s: float) -> None:
        """Accept keys made since a predecessor's records began, `covered_s` before now.

        The predecessor's mapping must equal the one in force. The deferral ends too, as
        the predecessor has handed over all its records and no other process acts.
        """
        self._periods = [_Period(self.mapping, now_s - covered_s, wall_s - covered_s)]
        self.confirm()

    def covered_s(self, now_s: float) -> float:
        """Return for how long the records have been complete under the current mapping.

        Negative while another process may act for this home.
        """
        return now_s - max(self._periods[-1].since_s, self._deferred_s)

    def check(
        self, scope: Scope, route: str, now_s: float, wall_s: float
    ) -> float | None:
        """Return the stamp of a key that this home may accept as unused.

        Raise NotHome, KeyStampedInFuture or HomeIsNew.
        """
        if find_home(self.mapping, scope, route) != self.seat:
            raise NotHome
        period = self._find_first_period(scope, route)
        stamp_s = read_stamp(scope.key)
        if stamp_s is None:
            since_s = max(period.since_s, self._deferred_s)
            accepted_from_s = since_s + RETENTION_S + COVERAGE_MARGIN_S
            if now_s < accepted_from_s:
                raise HomeIsNew(
                    retry_after_ms=int((accepted_from_s - now_s) * 1000) + 1
                )
            return None
        if stamp_s > wall_s + MAX_STAMP_AHEAD_S:
            raise KeyStampedInFuture
        # A clock that was behind at the start and was corrected since must not move
        # the start into the past.
        since_wall_s = max(
            period.since_wall_s,
            wall_s - (now_s - period.since_s),
            self._deferred_wall_s,
            wall_s - (now_s - self._deferred_s),
        )
        if stamp_s < since_wall_s + COVERAGE_MARGIN_S:
            raise HomeIsNew
        return stamp_s

    def _find_first_period(self, scope: Scope, route: str) -> _Period:
        """Return the first of the consecutive periods with this seat as the home."""
        first = self._periods[-1]
        for period in reversed(self._periods[:-1]):
            if find_home(period.mapping, scope, route) != self.seat:
                break
            first = period
        return first
