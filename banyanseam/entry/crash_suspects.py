"""Detect requests that were running each time an upstream crashed.

A request that crashes each upstream which runs it can't be told from one that merely
ran beside it, until one of them runs again. A suspect is therefore refused, except for
a few trials far apart, and a whole answer ends the suspicion at all VMs.
"""

import math
import random
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from banyanseam.entry.const import (
    CRASH_REPORT_S,
    CRASHES_BEFORE_LIMIT,
    CRASHES_TO_REFUSE,
    CRASHES_TO_REFUSE_AFTER_LOSS,
    CRASHES_TO_REFUSE_ANSWERED,
    MAX_CRASH_RECORDS,
    MAX_CRASHES_OF_REQUEST,
    MAX_REPORTED_SUSPECTS,
    MAX_SOUND_REQUESTS,
    MAX_SUSPECTS_IN_FULL_STATE,
    REFUSAL_MEMORY_S,
    SOUND_MEMORY_S,
    TRIAL_PAUSES_AFTER_LOSS_S,
    TRIAL_PAUSES_S,
)
from banyanseam.entry.crash_trials import ChooseTrialDelay
from banyanseam.entry.earlier_crashes import HasEarlierCrashes
from banyanseam.entry.segment_suspects import SegmentSuspects


@dataclass(frozen=True, slots=True)
class SuspectReport:
    """A suspected request as peers report it, with ages instead of times.

    The ages are those of the last evidence, of the last trial if there was one, and of
    each crash.
    """

    suspect: int
    seen_age_s: float
    trials: int
    tried_age_s: float | None
    crash_ages_s: tuple[tuple[str, float], ...]


@dataclass(slots=True)
class _Suspicion:
    """Crashes of upstreams while a request was running there, with their times."""

    # When the request last crashed an upstream, was tried or was refused, at any VM.
    seen_s: float
    tried_s: float = -math.inf
    trials: int = 0
    crashes: dict[str, float] = field(default_factory=dict)

    @property
    def is_certain(self) -> bool:
        return len(self.crashes) >= CRASHES_TO_REFUSE


class CrashSuspects:
    """Records which upstreams crashed while a request was running there.

    Each `suspect` is the fingerprint of a request.
    """

    def __init__(self, choose_trial_delay: ChooseTrialDelay = lambda *_: 0.0) -> None:
        """Start without records."""
        self.segments = SegmentSuspects()
        # Whether crashes of a service's upstreams are probably not recorded.
        self.has_earlier_crashes: HasEarlierCrashes = lambda *_: False
        self._choose_trial_delay = choose_trial_delay
        self._suspicions: OrderedDict[int, _Suspicion] = OrderedDict()
        # When requests were last answered in full, the oldest answer first.
        self._answered_s: OrderedDict[int, float] = OrderedDict()
        # When the answer to a suspected request began to be reported to peers.
        self._disproved_s: dict[int, float] = {}

    def record_crash(
        self, suspect: int, crash: str, now_s: float, age_s: float = 0.0
    ) -> None:
        """Record a crash of an upstream while the request was running there.

        `crash` identifies the incarnation of the upstream that crashed. A repeated
        report of the same crash does not extend the record's lifetime.
        """
        self._record_crashes(suspect, {crash: now_s - age_s}, now_s - age_s, now_s)

    def record_answer(self, suspect: int, now_s: float, age_s: float = 0.0) -> None:
        """Record a whole answer: the request did not cause the crashes before it."""
        at_s = now_s - age_s
        self._answered_s[suspect] = max(at_s, self._answered_s.get(suspect, -math.inf))
        self._answered_s.move_to_end(suspect)
        while len(self._answered_s) > MAX_SOUND_REQUESTS:
            self._answered_s.popitem(last=False)
        suspicion = self._suspicions.get(suspect)
        if suspicion is None:
            return
        later = {
            crash: each for crash, each in suspicion.crashes.items() if each > at_s
        }
        if len(later) < len(suspicion.crashes):
            self._disproved_s[suspect] = now_s
        suspicion.crashes = later
        if not later:
            del self._suspicions[suspect]

    def find_wait_s(
        self, suspect: int, now_s: float, service: str = ""
    ) -> float | None:
        """Return how long this VM refuses the request; None if it doesn't.

        At 0 the request may be tried once. Crashes that were caused by a refused
        prompt segment, or by a request with more crashes, do not count. Fewer crashes
        are needed while earlier ones of the service are probably not remembered.
        """
        self._drop_expired(suspect, now_s)
        suspicion = self._suspicions.get(suspect)
        if suspicion is None:
            return None
        is_new = suspect not in self._answered_s
        is_after_loss = is_new and self.has_earlier_crashes(service, now_s)
        if not suspicion.is_certain and not is_after_loss:
            return None
        crashes = self._list_unexplained(suspicion)
        if is_after_loss:
            needed, pauses_s = CRASHES_TO_REFUSE_AFTER_LOSS, TRIAL_PAUSES_AFTER_LOSS_S
        else:
            was_answered = self._was_answered(suspect, now_s)
            needed = CRASHES_TO_REFUSE_ANSWERED if was_answered else CRASHES_TO_REFUSE
            pauses_s = TRIAL_PAUSES_S
        if len(crashes) < needed:
            return None
        trials = suspicion.trials
        crashes_without_trial = len(suspicion.crashes) - trials
        if trials >= _count_permitted_trials(crashes_without_trial, len(pauses_s)):
            if is_new:
                return math.inf
            trials = len(pauses_s) - 1
        last_s = max(suspicion.tried_s, *(suspicion.crashes[each] for each in crashes))
        delay_s = self._choose_trial_delay(suspect, suspicion.trials)
        return max(0.0, last_s + pauses_s[trials] + delay_s - now_s)

    def record_trial(self, suspect: int, now_s: float, *, is_peers: bool) -> None:
        """Record that a suspected request is sent once more.

        The peer that has forwarded a request for a trial counts it itself.
        """
        suspicion = self._suspicions.get(suspect)
        if suspicion is None:
            return
        suspicion.tried_s = suspicion.seen_s = now_s
        if not is_peers:
            suspicion.trials += 1

    def record_refusal(self, suspect: int, now_s: float) -> None:
        """Record that the request still comes, and so must be remembered."""
        suspicion = self._suspicions.get(suspect)
        if suspicion is not None:
            suspicion.seen_s = now_s

    def count(self, suspect: int) -> int:
        """Return the number of known crashes while the request was running."""
        suspicion = self._suspicions.get(suspect)
        return 0 if suspicion is None else len(suspicion.crashes)

    def list_reports(self, now_s: float) -> list[SuspectReport]:
        """Return the suspects with recent evidence, the most crashes first.

        One of the others that are refused follows, for VMs that were cut off or
        suspended while their crashes were recent.
        """
        recent, others = [], []
        for suspect in list(self._suspicions):
            self._drop_expired(suspect, now_s)
            each = self._suspicions.get(suspect)
            if each is not None and now_s - each.seen_s <= CRASH_REPORT_S:
                recent.append(suspect)
            elif each is not None and each.is_certain:
                others.append(suspect)
        reports = self._make_reports(recent, now_s, MAX_REPORTED_SUSPECTS)
        if others:
            reports += self._make_reports([random.choice(others)], now_s, 1)
        return reports

    def list_all_reports(self, now_s: float) -> list[SuspectReport]:
        """Return all suspects for a VM that has just started, the worst first."""
        known = [
            suspect
            for suspect, each in self._suspicions.items()
            if now_s - each.seen_s <= REFUSAL_MEMORY_S
        ]
        return self._make_reports(known, now_s, MAX_SUSPECTS_IN_FULL_STATE)

    def apply_report(self, report: SuspectReport, now_s: float) -> None:
        """Add a peer's evidence against a request."""
        crashes = {crash: now_s - age_s for crash, age_s in report.crash_ages_s}
        seen_s = now_s - report.seen_age_s
        self._record_crashes(report.suspect, crashes, seen_s, now_s)
        suspicion = self._suspicions.get(report.suspect)
        if suspicion is None:
            return
        suspicion.seen_s = max(suspicion.seen_s, seen_s)
        suspicion.trials = max(suspicion.trials, report.trials)
        if report.tried_age_s is not None:
            suspicion.tried_s = max(suspicion.tried_s, now_s - report.tried_age_s)

    def list_disproved(self, now_s: float) -> list[tuple[int, float]]:
        """Return suspected requests that were answered, with the age of the answer."""
        self._disproved_s = {
            suspect: since_s
            for suspect, since_s in self._disproved_s.items()
            if now_s - since_s <= CRASH_REPORT_S and suspect in self._answered_s
        }
        return [
            (suspect, now_s - self._answered_s[suspect])
            for suspect in list(self._disproved_s)[-MAX_REPORTED_SUSPECTS:]
        ]

    def _record_crashes(
        self, suspect: int, crashes: dict[str, float], seen_s: float, now_s: float
    ) -> None:
        if self._was_answered(suspect, now_s):
            self._disproved_s.setdefault(suspect, now_s)
        answered_s = self._answered_s.get(suspect, -math.inf)
        self._drop_expired(suspect, now_s)
        known = self._suspicions.get(suspect)
        new = {
            crash: at_s
            for crash, at_s in crashes.items()
            if at_s >= answered_s and (known is None or crash not in known.crashes)
        }
        if not new:
            return
        suspicion = self._suspicions.setdefault(suspect, _Suspicion(seen_s))
        suspicion.seen_s = max(suspicion.seen_s, seen_s)
        latest = sorted((suspicion.crashes | new).items(), key=lambda item: item[1])
        suspicion.crashes = dict(latest[-MAX_CRASHES_OF_REQUEST:])
        self._suspicions.move_to_end(suspect)
        while len(self._suspicions) > MAX_CRASH_RECORDS:
            self._evict_one()

    def _make_reports(
        self, suspects: Iterable[int], now_s: float, limit: int
    ) -> list[SuspectReport]:
        found = [(each, self._suspicions[each]) for each in suspects]
        # Each heartbeat reports others of those with equally many crashes.
        random.shuffle(found)
        found.sort(key=lambda item: -len(item[1].crashes))
        return [
            SuspectReport(
                suspect,
                now_s - each.seen_s,
                each.trials,
                None if each.tried_s == -math.inf else now_s - each.tried_s,
                tuple((crash, now_s - at_s) for crash, at_s in each.crashes.items()),
            )
            for suspect, each in found[:limit]
        ]

    def _list_unexplained(self, suspicion: _Suspicion) -> set[str]:
        crashes = set(suspicion.crashes)
        worse = [
            each.crashes
            for each in self._suspicions.values()
            if each.is_certain and len(each.crashes) > len(crashes)
        ]
        return crashes.difference(*worse) - self.segments.explain(crashes)

    def _was_answered(self, suspect: int, now_s: float) -> bool:
        return now_s - self._answered_s.get(suspect, -math.inf) < SOUND_MEMORY_S

    def _evict_one(self) -> None:
        evicted = next(
            (each for each, found in self._suspicions.items() if not found.is_certain),
            next(iter(self._suspicions)),
        )
        del self._suspicions[evicted]

    def _drop_expired(self, suspect: int, now_s: float) -> None:
        suspicion = self._suspicions.get(suspect)
        if suspicion is not None and now_s - suspicion.seen_s > REFUSAL_MEMORY_S:
            del self._suspicions[suspect]


def _count_permitted_trials(crashes_without_trial: int, most: int) -> int:
    return most if crashes_without_trial < CRASHES_BEFORE_LIMIT else most - 1
