"""Watches the runs of requests for crashes of their upstreams and for whole answers."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Final

import anyio

from banyanseam.entry.const import MAX_EVENTS_BEFORE_CRASH
from banyanseam.entry.crash_suspects import CrashSuspects
from banyanseam.entry.errors import ConnectionBroken
from banyanseam.entry.exchange import Exchange
from banyanseam.entry.fingerprints import make_start_tag
from banyanseam.entry.listed_upstream import ListedUpstream, UnfinishedRun
from banyanseam.entry.models import AnswerHead
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.observe.events import CRASH_RECORDED, SUSPECT_TRIED, log
from banyanseam.pipe.errors import AnswerTruncated
from banyanseam.upstreams.errors import UpstreamTimedOut

# An upstream that fails may do so without having run the request.
MIN_SERVER_ERROR_STATUS: Final = 500


@dataclass(frozen=True, slots=True)
class CrashWatch:
    """Records what the runs of requests tell about requests that crash upstreams."""

    suspects: CrashSuspects
    upstreams: UpstreamList

    def record_trial(self, exchange: Exchange) -> None:
        """Record that a suspected request is about to be sent once more."""
        exchange.trial_crashes = self.suspects.count(exchange.fingerprint)
        forwarding = exchange.forwarding
        self.suspects.record_trial(
            exchange.fingerprint,
            anyio.current_time(),
            is_peers=forwarding is not None and forwarding.is_trial,
        )
        log(
            SUSPECT_TRIED,
            request_id=exchange.head.request_id,
            fingerprint=f"{exchange.fingerprint:016x}",
            crashes=exchange.trial_crashes,
        )

    def is_urgent(self, exchange: Exchange, crashes_before: int) -> bool:
        """Return whether peers must learn at once that the request crashed an upstream.

        One crash is enough to refuse it after the fleet has lost its records.
        """
        if self.suspects.count(exchange.fingerprint) <= crashes_before:
            return False
        return self.suspects.has_earlier_crashes(exchange.service, anyio.current_time())

    def record_answer(self, exchange: Exchange, answer: AnswerHead) -> None:
        """Record that the request was answered in full."""
        exchange.is_answered = True
        now_s = anyio.current_time()
        if answer.status < MIN_SERVER_ERROR_STATUS and not answer.is_surely_not_run:
            self.suspects.record_answer(exchange.fingerprint, now_s)
        if answer.status == 200:
            self.suspects.segments.record_answer(exchange.segment_keys, now_s)

    @contextmanager
    def watch_run(self, exchange: Exchange, listed: ListedUpstream) -> Iterator[None]:
        """Record a crash if the run breaks, or if its silent upstream is then lost.

        An upstream that is silent may be slow, or the caller impatient: such a run
        counts only once the upstream is no longer listed.
        """
        sends = exchange.sends
        try:
            yield
        except (ConnectionBroken, AnswerTruncated):
            self._record_crash(_make_run(exchange), listed)
            raise
        except (UpstreamTimedOut, anyio.get_cancelled_exc_class()):
            is_unfinished = exchange.sends > sends and not exchange.is_answered
            if is_unfinished and self.upstreams.is_lost(listed):
                self._record_crash(_make_run(exchange), listed)
            elif is_unfinished:
                listed.usage.record_unfinished(_make_run(exchange))
            raise

    def record_lost(self, listed: ListedUpstream) -> None:
        """Count a crash for the runs that a lost upstream left unfinished."""
        for run in listed.usage.list_unfinished(anyio.current_time()):
            self._record_crash(run, listed)

    def _record_crash(self, run: UnfinishedRun, listed: ListedUpstream) -> None:
        now_s = anyio.current_time()
        crash = make_start_tag(listed.upstream)
        age_s = now_s - run.ended_s
        self.suspects.record_crash(run.fingerprint, crash, now_s, age_s)
        self.suspects.segments.record_crash(run.segment_keys, crash, now_s)
        log(
            CRASH_RECORDED,
            request_id=run.request_id,
            upstream=listed.upstream.upstream_id,
            fingerprint=f"{run.fingerprint:016x}",
            crashes=self.suspects.count(run.fingerprint),
            segments=len(run.segment_keys),
            silent_ms=round(age_s * 1000),
        )


def _make_run(exchange: Exchange) -> UnfinishedRun:
    # A trial tests the whole request; others may share its segments.
    is_about_to_answer = exchange.events_of_send <= MAX_EVENTS_BEFORE_CRASH
    has_suspects = is_about_to_answer and not exchange.is_trial
    return UnfinishedRun(
        exchange.head.request_id,
        exchange.fingerprint,
        tuple(exchange.segment_keys) if has_suspects else (),
        anyio.current_time(),
    )
