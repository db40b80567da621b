"""Where the leading part of a prompt is likely to be cached.

Prompts are hashed in the form in which the engines publish their cache events: one
xxh64 over the contents, read out at block ends. The ends lie ever further apart, so
that a short list covers long histories. A prompt that was sent before goes where it was
sent last; an unknown one goes by rendezvous hashing (Thaler and Ravishankar, 1998),
which successive keepers agree on. The load bound in `choose` follows Mirrokni, Thorup
and Zadimoghaddam, "Consistent Hashing with Bounded Loads" (2018).
"""

from collections import OrderedDict
from collections.abc import Iterable

from xxhash import xxh64

from banyanseam.peers.rendezvous import rank
from banyanseam.upstreams.const import (
    BYTES_PER_TOKEN,
    MAX_PREFIX_BLOCKS,
    MAX_PREFIX_ENTRIES,
    PREFIX_BLOCK_BYTES,
    RENDEZVOUS_BLOCK,
)


def list_block_ends() -> tuple[int, ...]:
    """Return the byte offsets at which a prefix is hashed."""
    ends = [PREFIX_BLOCK_BYTES]
    while len(ends) < MAX_PREFIX_BLOCKS:
        step = max(1, len(ends) // 4)
        ends.append(ends[-1] + step * PREFIX_BLOCK_BYTES)
    return tuple(ends)


BLOCK_ENDS = list_block_ends()


def hash_prefix(prompt: bytes) -> tuple[int, ...]:
    """Return the hash of the prompt up to each block end that it reaches."""
    hasher = xxh64()
    hashes = []
    start = 0
    for end in BLOCK_ENDS:
        if end > len(prompt):
            break
        hasher.update(prompt[start:end])
        hashes.append(hasher.intdigest())
        start = end
    return tuple(hashes)


def prefer(prefix: tuple[int, ...], names: Iterable[str]) -> str | None:
    """Return the name that a prompt nobody has sent yet should go to."""
    ranked = rank(names, make_rendezvous_key(prefix))
    return ranked[0] if prefix and ranked else None


def make_rendezvous_key(prefix: tuple[int, ...]) -> bytes:
    """Return a key that later, longer prompts of the same session share."""
    if not prefix:
        return b""
    return prefix[min(RENDEZVOUS_BLOCK, len(prefix) - 1)].to_bytes(8, "big")


class PrefixTable:
    """Where prefixes were sent, the least recently used ones forgotten first."""

    def __init__(self, max_entries: int = MAX_PREFIX_ENTRIES) -> None:
        """Start without any knowledge."""
        self._max_entries = max_entries
        self._entries: OrderedDict[tuple[int, str], None] = OrderedDict()

    def note_sent(self, prefix: tuple[int, ...], upstream: str) -> None:
        """Remember that an upstream was sent a prompt with these leading blocks."""
        for block in prefix:
            self._entries[block, upstream] = None
            self._entries.move_to_end((block, upstream))
        while len(self._entries) > self._max_entries:
            self._entries.popitem(last=False)

    def note_evicted(self, upstream: str, blocks: Iterable[int]) -> None:
        """Forget blocks that an upstream says it dropped."""
        for block in blocks:
            self._entries.pop((block, upstream), None)

    def forget(self, upstream: str) -> None:
        """Forget all of an upstream, whose cache is cold after a failure."""
        stale = [key for key in self._entries if key[1] == upstream]
        for key in stale:
            del self._entries[key]

    def count_cached_tokens(self, prefix: tuple[int, ...], upstream: str) -> int:
        """Return the length of the longest prefix that the upstream was sent."""
        for index in range(len(prefix) - 1, -1, -1):
            if (prefix[index], upstream) in self._entries:
                return BLOCK_ENDS[index] // BYTES_PER_TOKEN
        return 0
