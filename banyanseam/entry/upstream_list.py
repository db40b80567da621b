"""The upstreams that are registered, and how each may be used now."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from banyanseam.entry.cached_prefixes import CachedPrefixes
from banyanseam.entry.const import (
    FAILURES_TO_SUSPECT,
    RETURN_COLD_S,
    SUSPECT_S,
)
from banyanseam.entry.models import Upstream, UpstreamState


@dataclass(slots=True)
class Usage:
    """What this process holds at an upstream and how it fared there."""

    requests: int = 0
    prefill_ms: float = 0.0
    queued_ms: float = 0.0
    memory_tokens: int = 0
    failures_in_row: int = 0
    doubted_until_s: float = 0.0
    cold_sent_s: float = -1e9
    # What the engine keeps of what all VMs of the region have sent it.
    parts: CachedPrefixes = field(default_factory=CachedPrefixes)


@dataclass(slots=True)
class Tracked:
    """An upstream with what is known beside its registration."""

    upstream: Upstream
    cold_until_s: float
    gone_at_s: float | None
    seen_s: float
    usage: Usage = field(default_factory=Usage)


class UpstreamList:
    """All registered upstreams by their id."""

    def __init__(self) -> None:
        """Know none."""
        self.revision = -1
        # When the list was last confirmed by the store, here or at a peer.
        self.fresh_s = -1e9
        self._tracked: dict[str, Tracked] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._returned_s: dict[str, float] = {}
        self._lapses_until_s = -1e9

    def adopt(self, upstreams: Iterable[Upstream], revision: int, now_s: float) -> bool:
        """Take over a listing unless it is older than the last one.

        Return whether it was taken.
        """
        if revision < self.revision:
            return False
        self.revision = revision
        self.fresh_s = now_s
        listed = {each.upstream_id: each for each in upstreams}
        for upstream in listed.values():
            self._note(upstream, now_s)
        if now_s >= self._lapses_until_s:
            for upstream_id in set(self._tracked) - set(listed):
                del self._tracked[upstream_id]
        return True

    def confirm(self, revision: int, now_s: float) -> None:
        """Note that the store still lists what is known."""
        if revision >= self.revision:
            self.revision = revision
            self.fresh_s = now_s

    def retain_lapsed_until(self, until_s: float) -> None:
        """Keep entries that are missing from listings until a time.

        Right after an outage an entry may have lapsed although its upstream lives: its
        owner needs a moment to write it again.
        """
        self._lapses_until_s = until_s

    def set_evacuated(self, data_centres: frozenset[str], now_s: float) -> None:
        """Take data centres out of use, and note those that come back."""
        for data_centre in self._evacuated - data_centres:
            self._returned_s[data_centre] = now_s
        self._evacuated = data_centres

    def list_upstreams(self) -> list[Upstream]:
        """Return every registration, as it was read."""
        return [tracked.upstream for tracked in self._tracked.values()]

    def find(self, upstream_id: str) -> Tracked | None:
        """Return an upstream by its id."""
        return self._tracked.get(upstream_id)

    def list_usable(self, service: str, now_s: float) -> list[Tracked]:
        """Return the upstreams of a service that may get new requests."""
        return [
            tracked
            for tracked in self._tracked.values()
            if tracked.upstream.service == service and self._is_usable(tracked, now_s)
        ]

    def is_cold(self, tracked: Tracked, now_s: float) -> bool:
        """Say whether requests must be paced: just started, returned or in doubt."""
        if now_s < tracked.cold_until_s or now_s < tracked.usage.doubted_until_s:
            return True
        returned_s = self._returned_s.get(tracked.upstream.data_centre)
        return returned_s is not None and now_s - returned_s < RETURN_COLD_S

    def note_failure(self, tracked: Tracked, now_s: float, *, is_connect: bool) -> None:
        """Count a failure; several in a row, or no connection, cast doubt."""
        usage = tracked.usage
        usage.failures_in_row += 1
        if is_connect or usage.failures_in_row >= FAILURES_TO_SUSPECT:
            usage.doubted_until_s = now_s + SUSPECT_S
            usage.cold_sent_s = now_s
            usage.parts.clear()

    def note_success(self, tracked: Tracked) -> None:
        """End the row of failures."""
        tracked.usage.failures_in_row = 0

    def drop(self, upstream_id: str) -> None:
        """Forget an upstream whose address another incarnation has taken."""
        self._tracked.pop(upstream_id, None)

    def _note(self, upstream: Upstream, now_s: float) -> None:
        tracked = self._tracked.get(upstream.upstream_id)
        gone_at_s = None
        if upstream.remaining_ms is not None:
            gone_at_s = now_s + upstream.remaining_ms / 1000
        cold_until_s = now_s + upstream.cold_ms / 1000 if upstream.cold_ms > 0 else 0.0
        if tracked is None or tracked.upstream.started_ms != upstream.started_ms:
            self._tracked[upstream.upstream_id] = Tracked(
                upstream, cold_until_s, gone_at_s, now_s
            )
            return
        if upstream.revision <= tracked.upstream.revision:
            return
        tracked.upstream = upstream
        tracked.cold_until_s = max(tracked.cold_until_s, cold_until_s)
        tracked.gone_at_s = gone_at_s

    def _is_usable(self, tracked: Tracked, now_s: float) -> bool:
        upstream = tracked.upstream
        if upstream.state is not UpstreamState.READY:
            return False
        if upstream.data_centre in self._evacuated:
            return False
        return tracked.gone_at_s is None or now_s < tracked.gone_at_s
