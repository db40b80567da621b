"""Estimate which upstreams have the prefix of a prompt in their cache.

Prompts are hashed in the form in which the engines publish their cache events: one
running xxh64 over the contents, sampled at block ends. The blocks grow in length, so
that a short list covers long conversations. A prompt goes first to the upstream that
was sent its longest known prefix; an unknown prompt is placed by rendezvous hashing
(Thaler and Ravishankar, 1998), on which successive keepers agree. The load bound in
`choose` follows Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded
Loads" (2018).
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


def pick_by_rendezvous(prefix: tuple[int, ...], names: Iterable[str]) -> str | None:
    """Return the name that rendezvous hashing assigns to an unknown prompt."""
    ranked = rank(names, make_rendezvous_key(prefix))
    return ranked[0] if prefix and ranked else None


def make_rendezvous_key(prefix: tuple[int, ...]) -> bytes:
    """Return a hash key that later, longer prompts of the same session share."""
    if not prefix:
        return b""
    return prefix[min(RENDEZVOUS_BLOCK, len(prefix) - 1)].to_bytes(8, "big")


class PrefixTable:
    """An LRU table of the prefixes that were sent to each upstream."""

    def __init__(self, max_entries: int = MAX_PREFIX_ENTRIES) -> None:
        """Start empty."""
        self._max_entries = max_entries
        self._entries: OrderedDict[tuple[int, str], None] = OrderedDict()

    def record_sent(self, prefix: tuple[int, ...], upstream: str) -> None:
        """Record that a prompt with these leading blocks was sent to an upstream."""
        for block in prefix:
            self._entries[block, upstream] = None
            self._entries.move_to_end((block, upstream))
        while len(self._entries) > self._max_entries:
            self._entries.popitem(last=False)

    def record_evicted(self, upstream: str, blocks: Iterable[int]) -> None:
        """Remove blocks that an upstream reported as evicted."""
        for block in blocks:
            self._entries.pop((block, upstream), None)

    def forget(self, upstream: str) -> None:
        """Remove all blocks of an upstream, whose cache is assumed lost with it."""
        stale = [key for key in self._entries if key[1] == upstream]
        for key in stale:
            del self._entries[key]

    def count_cached_tokens(self, prefix: tuple[int, ...], upstream: str) -> int:
        """Return the estimated length of the longest prefix that an upstream caches."""
        for index in range(len(prefix) - 1, -1, -1):
            if (prefix[index], upstream) in self._entries:
                return BLOCK_ENDS[index] // BYTES_PER_TOKEN
        return 0
