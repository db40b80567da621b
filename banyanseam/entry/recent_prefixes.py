"""Shared prompt prefixes that a region's engines used lately, for other regions.

It answers load that moves from region to region with many more prefixes than one report
can list: each report names the latest uses, and receivers add them up.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

# Prefixes that were not used for longer may have been evicted.
MEMORY_S: Final = 10.0
MAX_PREFIXES: Final = 4096


class RecentPrefixes:
    """Ids of prefixes, the least recently used first."""

    def __init__(self) -> None:
        """Start without prefixes."""
        self._used_s: OrderedDict[str, float] = OrderedDict()

    def __contains__(self, segment_id: str) -> bool:
        """Return whether a prefix is among them."""
        return segment_id in self._used_s

    def record_uses(self, segment_ids: Iterable[str], now_s: float) -> None:
        """Add prefixes as used now, the latest last, and forget old ones."""
        for segment_id in segment_ids:
            self._used_s[segment_id] = now_s
            self._used_s.move_to_end(segment_id)
        while self._used_s:
            oldest_s = next(iter(self._used_s.values()))
            is_recent = now_s - oldest_s <= MEMORY_S
            if is_recent and len(self._used_s) <= MAX_PREFIXES:
                return
            self._used_s.popitem(last=False)

    def list_newest(self, count: int, now_s: float) -> list[str]:
        """Return the latest prefixes that are not too old, the newest last."""
        self.record_uses((), now_s)
        return list(self._used_s)[-count:]
