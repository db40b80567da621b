"""Simulate a model engine's continuous batching, prefix cache and memory use."""

import hashlib
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from xxhash import xxh64

BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 16
BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN
MAX_CACHE_EVENTS = 10_000
# One cache event in this many is lost, because real engines lose some as well.
LOST_EVENT_EVERY = 10


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """Speeds, capacities, delays and retention times of an engine."""

    decode_tokens_per_s: float = 1000.0
    stream_tokens_per_s: float = 50.0
    prefill_tokens_per_s: float = 10_000.0
    prefill_chunk_tokens: int = 2048
    memory_tokens: int = 100_000
    cache_tokens: int = 50_000
    max_batch: int = 64
    max_in_flight: int = 256
    load_lag_ms: int = 200
    cache_event_lag_ms: int = 500
    keep_output_ms: int = 60_000
    disconnect_grace_ms: int = 1000


@dataclass(slots=True, eq=False)
class Run:
    """One execution of a request and its progress."""

    request_id: str
    prompt: bytes
    max_tokens: int
    priority: int
    blocks: list[str]
    cached_tokens: int = 0
    prefilled_tokens: int = 0
    generated_tokens: int = 0
    started_s: float = 0.0
    finished_s: float | None = None
    is_running: bool = False
    is_cancelled: bool = False
    readers: int = 0
    unread_since_s: float = 0.0
    progress: anyio.Event = field(default_factory=anyio.Event)

    @property
    def prompt_tokens(self) -> int:
        """Return the size of the prompt in tokens, rounded up."""
        return -(-len(self.prompt) // BYTES_PER_TOKEN)

    @property
    def held_tokens(self) -> int:
        """Return how many tokens of the engine's memory this run occupies."""
        return self.prompt_tokens + self.generated_tokens

    def wake(self) -> None:
        """Wake the readers of this run so that they check its progress."""
        self.progress.set()
        self.progress = anyio.Event()


def hash_blocks(prompt: bytes) -> list[str]:
    """Return, for each complete block, the xxh64 of the prompt up to its end."""
    hasher = xxh64()
    hashes = []
    for end in range(BLOCK_BYTES, len(prompt) + 1, BLOCK_BYTES):
        hasher.update(prompt[end - BLOCK_BYTES : end])
        hashes.append(hasher.hexdigest())
    return hashes


def hash_prompt(prompt: bytes) -> str:
    """Return the SHA-256 by which tests identify a prompt."""
    return hashlib.sha256(prompt).hexdigest()


class PrefixCache:
    """Hashes of prefilled prompt blocks, ordered from least to most recently used."""

    def __init__(self, cache_tokens: int) -> None:
        """Start with an empty cache."""
        self.max_blocks = cache_tokens // BLOCK_TOKENS
        self.blocks: OrderedDict[str, None] = OrderedDict()
        self.events: deque[dict[str, object]] = deque(maxlen=MAX_CACHE_EVENTS)
        self.event_count = 0

    def count_cached_tokens(self, blocks: list[str]) -> int:
        """Return the length of the longest cached prefix; mark its blocks as used."""
        cached_blocks = 0
        for block in blocks:
            if block not in self.blocks:
                break
            self.blocks.move_to_end(block)
            cached_blocks += 1
        return cached_blocks * BLOCK_TOKENS

    def add(self, blocks: list[str], now_s: float) -> None:
        """Store a prompt's blocks, evicting the least recently used."""
        added = [block for block in blocks if block not in self.blocks]
        for block in blocks:
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        evicted = []
        while len(self.blocks) > self.max_blocks:
            evicted.append(self.blocks.popitem(last=False)[0])
        if added or evicted:
            self._record(added, evicted, now_s)

    def clear(self) -> None:
        """Drop all blocks, as a crash does."""
        self.blocks.clear()

    def _record(self, added: list[str], evicted: list[str], now_s: float) -> None:
        self.event_count += 1
        if self.event_count % LOST_EVENT_EVERY == 0:
            return
        self.events.append(
            {
                "number": self.event_count,
                "at_s": now_s,
                "added": added,
                "evicted": evicted,
            }
        )


class Batch:
    """Continuous batching: a step decodes a token per run and prefills a chunk."""

    def __init__(self, limits: EngineLimits, on_crash: Callable[[], None]) -> None:
        """Start empty; `on_crash` is called when memory runs out."""
        self.limits = limits
        self.on_crash = on_crash
        self.cache = PrefixCache(limits.cache_tokens)
        self.running: list[Run] = []
        self.queued: list[Run] = []
        self.work_available = anyio.Event()
        self.is_suspended = False

    @property
    def held_tokens(self) -> int:
        """Return how many tokens of memory all running requests occupy."""
        return sum(run.held_tokens for run in self.running)

    @property
    def queued_tokens(self) -> int:
        """Return the prompt tokens of running and queued runs yet to be prefilled."""
        return sum(
            run.prompt_tokens - run.prefilled_tokens
            for run in self.running + self.queued
        )

    def add(self, run: Run) -> None:
        """Queue a run; a lower priority number is served first."""
        self.queued.append(run)
        self.queued.sort(key=lambda queued: queued.priority)
        self.work_available.set()

    def drop_all(self) -> None:
        """Cancel all runs and clear the cache, as a crash does."""
        for run in self.running + self.queued:
            run.is_cancelled = True
            run.finished_s = anyio.current_time()
            run.wake()
        self.running.clear()
        self.queued.clear()
        self.cache.clear()

    async def compute(self) -> None:
        """Run batch steps until cancelled."""
        next_step_s = anyio.current_time()
        while True:
            if self.is_suspended or not (self.running or self.queued):
                self.work_available = anyio.Event()
                await self.work_available.wait()
                next_step_s = anyio.current_time()
                continue
            self._admit()
            if self.held_tokens > self.limits.memory_tokens:
                self.on_crash()
                continue
            prefilled = self._prefill()
            decoding = [run for run in self.running if _is_prefilled(run)]
            next_step_s += self._step_time_s(prefilled, len(decoding))
            await anyio.sleep_until(max(next_step_s, anyio.current_time()))
            self._decode(decoding)

    def _admit(self) -> None:
        while self.queued and len(self.running) < self.limits.max_batch:
            run = self.queued.pop(0)
            run.is_running = True
            run.cached_tokens = self.cache.count_cached_tokens(run.blocks)
            run.prefilled_tokens = run.cached_tokens
            self.running.append(run)

    def _prefill(self) -> int:
        budget = self.limits.prefill_chunk_tokens
        for run in self.running:
            chunk = min(budget, run.prompt_tokens - run.prefilled_tokens)
            if chunk <= 0:
                continue
            run.prefilled_tokens += chunk
            budget -= chunk
            if _is_prefilled(run):
                self.cache.add(run.blocks, anyio.current_time())
        return self.limits.prefill_chunk_tokens - budget

    def _step_time_s(self, prefilled: int, decoding: int) -> float:
        prefill_s = prefilled / self.limits.prefill_tokens_per_s
        decode_s = max(
            1 / self.limits.stream_tokens_per_s,
            decoding / self.limits.decode_tokens_per_s,
        )
        return prefill_s + (decode_s if decoding else 0)

    def _decode(self, decoding: list[Run]) -> None:
        for run in decoding:
            if not run.is_cancelled:
                run.generated_tokens += 1
            if run.is_cancelled or run.generated_tokens >= run.max_tokens:
                run.finished_s = anyio.current_time()
            run.wake()
        for run in self.running:
            if run.is_cancelled and run.finished_s is None:
                run.finished_s = anyio.current_time()
                run.wake()
        self.running = [run for run in self.running if run.finished_s is None]
        self.queued = [run for run in self.queued if not run.is_cancelled]


def _is_prefilled(run: Run) -> bool:
    return run.prefilled_tokens >= run.prompt_tokens
