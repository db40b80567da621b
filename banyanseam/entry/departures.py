"""Upstreams that have gone, in case a restored store lists them again."""

from collections.abc import Iterable, Iterator

from banyanseam.entry.const import RETURN_MEMORY_S
from banyanseam.entry.models import Upstream, UpstreamState


class Departures:
    """The incarnations that were removed recently, as they were last registered."""

    def __init__(self) -> None:
        """Start without departures."""
        self._gone: dict[tuple[str, int], tuple[Upstream, float]] = {}

    def record(self, upstream: Upstream, now_s: float) -> None:
        """Record that an incarnation is gone, and forget those of long ago."""
        self._gone = {
            key: (each, at_s)
            for key, (each, at_s) in self._gone.items()
            if now_s - at_s < RETURN_MEMORY_S
        }
        self._gone[upstream.upstream_id, upstream.started_ms] = upstream, now_s

    def list_recent(self, now_s: float) -> Iterator[Upstream]:
        """Return the incarnations that went recently."""
        for upstream, at_s in self._gone.values():
            if at_s > now_s - RETURN_MEMORY_S:
                yield upstream

    def list_times(self) -> Iterable[tuple[Upstream, float]]:
        """Return the incarnations that are remembered, and when each went."""
        return self._gone.values()


def is_outdated(upstream: Upstream, known: Upstream) -> bool:
    """Return whether a registration from a copy is older than the known one.

    A later incarnation has started later, and one that leaves is never ready again.
    """
    if upstream.started_ms != known.started_ms:
        return upstream.started_ms < known.started_ms
    is_ready = upstream.state is UpstreamState.READY
    return is_ready and known.state is UpstreamState.LEAVING
