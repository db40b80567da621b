"""Which shared prompt parts an engine is believed to keep.

What was read there last is kept until newer parts have filled the memory that is left
for them: engines drop what was used least recently.
"""

from collections import OrderedDict


class KeptParts:
    """The parts that one engine keeps, the least recently used first."""

    def __init__(self) -> None:
        """Believe in nothing yet."""
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def __contains__(self, part_id: str) -> bool:
        """Say whether a part is believed to be kept."""
        return part_id in self._parts

    def note(self, part_id: str, tokens: int, memory_tokens: float) -> None:
        """Count a part as used now; the oldest yield beyond the memory for parts."""
        self._tokens += tokens - self._parts.pop(part_id, 0)
        self._parts[part_id] = tokens
        while self._tokens > memory_tokens and len(self._parts) > 1:
            _, dropped_tokens = self._parts.popitem(last=False)
            self._tokens -= dropped_tokens

    def clear(self) -> None:
        """Forget everything, as after a restart."""
        self._parts.clear()
        self._tokens = 0

    def list_newest(self, count: int) -> list[str]:
        """Return the parts that were used last, the newest first."""
        return list(reversed(self._parts))[:count]
