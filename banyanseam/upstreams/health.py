"""Whether an upstream is to be used, by how its requests end."""

from banyanseam.upstreams.const import (
    FAILURES_TO_EJECT,
    FIRST_PAUSE_S,
    MAX_PAUSE_S,
    PROBE_TERM_S,
)


class Health:
    """Consecutive failures eject an upstream for a pause that grows.

    After the pause one request at a time probes it; a success restores it.
    """

    def __init__(self) -> None:
        """Start as healthy."""
        self._failures = 0
        self._missed_polls = 0
        self._pause_s = FIRST_PAUSE_S
        self._ejected_until_s: float | None = None
        self._probe_sent_s: float | None = None

    def note_success(self) -> None:
        """Count a request that was answered in full."""
        self._failures = 0
        self._pause_s = FIRST_PAUSE_S
        self._ejected_until_s = None
        self._probe_sent_s = None

    def note_poll(self, *, is_answered: bool) -> None:
        """Count a poll; an answered one proves nothing about requests."""
        self._missed_polls = 0 if is_answered else self._missed_polls + 1

    def note_failure(self, now_s: float) -> bool:
        """Count a failure; return whether it ejects the upstream."""
        if self._ejected_until_s is not None and now_s < self._ejected_until_s:
            return False
        self._failures += 1
        if self._ejected_until_s is None and self._failures < FAILURES_TO_EJECT:
            return False
        self._ejected_until_s = now_s + self._pause_s
        self._pause_s = min(MAX_PAUSE_S, 2 * self._pause_s)
        self._probe_sent_s = None
        return True

    def note_sent(self, now_s: float) -> None:
        """Count a request that goes there; it probes when the pause is over."""
        if self._ejected_until_s is not None:
            self._probe_sent_s = now_s

    def note_unused(self) -> None:
        """Let another request probe, since this one was never sent."""
        self._probe_sent_s = None

    def may_send(self, now_s: float) -> bool:
        """Say whether a request may go there now."""
        if self._missed_polls >= FAILURES_TO_EJECT:
            return False
        if self._ejected_until_s is None:
            return True
        if now_s < self._ejected_until_s:
            return False
        return self._probe_sent_s is None or now_s - self._probe_sent_s > PROBE_TERM_S
