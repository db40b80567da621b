"""Incarnations of upstreams that get no requests because their answers said so."""

from banyanseam.entry.const import MAX_PAUSE_S, UNNOTICED_RESTART_S
from banyanseam.entry.models import Upstream
from banyanseam.entry.upstream_starts import StartKey, make_start_key


class Exclusions:
    """Until when incarnations are excluded, and which have asked for a pause."""

    def __init__(self) -> None:
        """Start without exclusions."""
        self._until_s: dict[StartKey, float] = {}
        # The ends of pauses, and when they were asked for.
        self._pauses: dict[StartKey, tuple[float, float]] = {}

    def exclude(self, upstream: Upstream, until_s: float) -> None:
        """Exclude an incarnation until a time, or a later one that is known."""
        key = make_start_key(upstream)
        self._until_s[key] = max(until_s, self._until_s.get(key, 0.0))

    def record_pause(self, upstream: Upstream, pause_s: float, now_s: float) -> None:
        """Exclude an incarnation that has asked for a pause."""
        until_s = now_s + min(pause_s, MAX_PAUSE_S)
        self._pauses[make_start_key(upstream)] = until_s, now_s
        self.exclude(upstream, until_s)

    def keep_pause(self, before: Upstream, after: Upstream, now_s: float) -> None:
        """Apply a pause that the new incarnation may have asked for to it.

        It may have answered while this process took it for the earlier one.
        """
        until_s, asked_s = self._pauses.get(make_start_key(before), (0.0, 0.0))
        if now_s - asked_s < UNNOTICED_RESTART_S:
            self.exclude(after, until_s)

    def is_excluded(self, upstream: Upstream, now_s: float) -> bool:
        """Return whether an incarnation gets no requests now."""
        return now_s < self._until_s.get(make_start_key(upstream), 0.0)

    def is_known(self, upstream: Upstream) -> bool:
        """Return whether an incarnation was excluded recently."""
        return make_start_key(upstream) in self._until_s

    def prune(self, now_s: float) -> None:
        """Forget the exclusions that have ended."""
        self._until_s = {
            key: until_s for key, until_s in self._until_s.items() if now_s < until_s
        }
        self._pauses = {
            key: pause for key, pause in self._pauses.items() if now_s < pause[0]
        }
