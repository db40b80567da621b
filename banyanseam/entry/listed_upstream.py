"""An upstream in use: its registration, and what this process has sent to it."""

from collections import deque
from dataclasses import dataclass, field

from banyanseam.entry.brittle import BrittlePlaces
from banyanseam.entry.cached_prefixes import CachedPrefixes
from banyanseam.entry.const import (
    MAX_RECENT_SENDS,
    MAX_UNFINISHED_RUNS,
    RECENT_SENDS_S,
    UNFINISHED_MEMORY_S,
)
from banyanseam.entry.limit_pace import LimitPace
from banyanseam.entry.models import Upstream


@dataclass(frozen=True, slots=True)
class UnfinishedRun:
    """A request that an upstream got and did not answer in full."""

    request_id: str
    fingerprint: int
    # The prompt segments that the upstream was about to answer with.
    segment_keys: tuple[int, ...]
    ended_s: float


@dataclass(slots=True)
class UpstreamUsage:
    """This process's own load on an upstream, and its recent failures there."""

    requests: int = 0
    prefill_ms: float = 0.0
    queued_ms: float = 0.0
    memory_tokens: int = 0
    consecutive_failures: int = 0
    suspected_until_s: float = 0.0
    failed_s: float = -1e9
    cold_sent_s: float = -1e9
    # When the last requests were sent.
    sent_s: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_RECENT_SENDS))
    pace: LimitPace = field(default_factory=LimitPace)
    brittle: BrittlePlaces = field(default_factory=BrittlePlaces)
    # Prefix segments cached by the engine, from the requests of all VMs of the region.
    cached_segments: CachedPrefixes = field(default_factory=CachedPrefixes)
    # Recent runs that ended in silence, with the caller or at their deadline.
    unfinished: list[UnfinishedRun] = field(default_factory=list)

    def record_unfinished(self, run: UnfinishedRun) -> None:
        """Record a run that this process gave up, and drop old ones."""
        recent = self.list_unfinished(run.ended_s)[1 - MAX_UNFINISHED_RUNS :]
        self.unfinished = [*recent, run]

    def count_recent_sends(self, now_s: float) -> int:
        """Return how many requests were sent recently, at most MAX_RECENT_SENDS."""
        return sum(now_s - sent_s <= RECENT_SENDS_S for sent_s in self.sent_s)

    def list_unfinished(self, now_s: float) -> list[UnfinishedRun]:
        """Return the runs that were given up recently."""
        return [
            each
            for each in self.unfinished
            if now_s - each.ended_s <= UNFINISHED_MEMORY_S
        ]


@dataclass(slots=True)
class ListedUpstream:
    """An upstream with its derived state and this process's usage."""

    upstream: Upstream
    cold_until_s: float
    stops_at_s: float | None
    seen_s: float
    usage: UpstreamUsage = field(default_factory=UpstreamUsage)
    # The store's era in which the registration was listed first.
    era: int = 0
