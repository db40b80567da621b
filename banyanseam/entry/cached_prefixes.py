"""Estimate which shared prompt prefixes an engine has in its cache.

Engines evict the least recently used prefix, so a prefix is assumed to be cached until
newer ones have filled the memory available for prefixes.
"""

from collections import OrderedDict


class CachedPrefixes:
    """The prefixes assumed to be cached by one engine, least recently used first."""

    def __init__(self) -> None:
        """Start with an empty cache."""
        self._segments: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def __contains__(self, segment_id: str) -> bool:
        """Return whether a prefix is assumed to be cached."""
        return segment_id in self._segments

    def record_use(self, segment_id: str, tokens: int, memory_tokens: float) -> None:
        """Record a use of a prefix; evict the oldest ones that exceed the memory."""
        self._tokens += tokens - self._segments.pop(segment_id, 0)
        self._segments[segment_id] = tokens
        while self._tokens > memory_tokens and len(self._segments) > 1:
            _, evicted_tokens = self._segments.popitem(last=False)
            self._tokens -= evicted_tokens

    def clear(self) -> None:
        """Remove all prefixes, as the engine may have lost its cache."""
        self._segments.clear()
        self._tokens = 0

    def list_newest(self, count: int) -> list[str]:
        """Return the most recently used prefixes, the newest first."""
        return list(reversed(self._segments))[:count]
