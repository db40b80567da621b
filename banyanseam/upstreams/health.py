"""Decide whether an upstream may be used, by the outcomes of its requests."""

from banyanseam.upstreams.const import (
    FAILURES_TO_EJECT,
    FIRST_PAUSE_S,
    MAX_PAUSE_S,
    PROBE_TERM_S,
)


class Health:
    """A circuit breaker: consecutive failures eject an upstream for a growing pause.

    After the pause, one request at a time probes it; a success restores it. Missed load
    polls in a row also stop requests to it, until a poll is answered.
    """

    def __init__(self) -> None:
        """Start as healthy."""
        self._failures = 0
        self._missed_polls = 0
        self._pause_s = FIRST_PAUSE_S
        self._ejected_until_s: float | None = None
        self._probe_sent_s: float | None = None

    def record_success(self) -> None:
        """Record a request that completed."""
        self._failures = 0
        self._pause_s = FIRST_PAUSE_S
        self._ejected_until_s = None
        self._probe_sent_s = None

    def record_poll(self, *, is_answered: bool) -> None:
        """Record a load poll; a successful one is no evidence that requests succeed."""
        self._missed_polls = 0 if is_answered else self._missed_polls + 1

    def record_failure(self, now_s: float) -> bool:
        """Record a failed request; return whether it ejects the upstream."""
        if self._ejected_until_s is not None and now_s < self._ejected_until_s:
            return False
        self._failures += 1
        if self._ejected_until_s is None and self._failures < FAILURES_TO_EJECT:
            return False
        self._ejected_until_s = now_s + self._pause_s
        self._pause_s = min(MAX_PAUSE_S, 2 * self._pause_s)
        self._probe_sent_s = None
        return True

    def record_sent(self, now_s: float) -> None:
        """Record a request that is being sent; after the pause it is the probe."""
        if self._ejected_until_s is not None:
            self._probe_sent_s = now_s

    def record_unused(self) -> None:
        """Allow another request to probe, since this one was never sent."""
        self._probe_sent_s = None

    def may_send(self, now_s: float) -> bool:
        """Say whether a request may be sent to the upstream now."""
        if self._missed_polls >= FAILURES_TO_EJECT:
            return False
        if self._ejected_until_s is None:
            return True
        if now_s < self._ejected_until_s:
            return False
        return self._probe_sent_s is None or now_s - self._probe_sent_s > PROBE_TERM_S
