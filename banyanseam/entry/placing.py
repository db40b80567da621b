"""Where a request goes: which upstream here, which other region, or nowhere yet.

Pure functions on plain data. They answer the load that decides the heaviest days: long
shared histories beside many short queries, with each region's peak at another time.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from banyanseam.entry.const import (
    ADMIT_LEFT_SHARE,
    ADMIT_LONG_TARGET_SHARE,
    ADMIT_TARGET_SHARE,
    ATTENTION_MS_PER_MILLION_PAIRS,
    BLUR_MS,
    CHUNK_MS,
    LONG_AHEAD_GROWTH,
    LONG_AHEAD_MS,
    LONG_PREFILL_MS,
    MAX_COUNTED_OUTPUT_TOKENS,
    MAX_WAIT_SHARE,
    MEMORY_SHARE,
    MIN_SHARED_TOKENS,
    PREFILL_TOKENS_PER_MS,
    REREAD_MS_PER_TOKEN,
    ROUND_TRIP_MS,
    SERVICE_MS,
    STEP_MS,
    STEP_MS_PER_RUNNING,
    STRAY_MS,
    TRANSFER_MS_PER_KIB,
    USUAL_OUTPUT_TOKENS,
)
from banyanseam.entry.models import Prompt
from banyanseam.peers.rendezvous import weigh

# Says whether a candidate is believed to keep a shared part.
Kept = Callable[[str, "Candidate"], bool]


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream and what all of its region hold there."""

    upstream_id: str
    region: str
    slots: int
    # 0 where the service is no engine.
    memory_tokens: int
    requests: int
    # How long it will read what it was sent before.
    prefill_ms: float
    held_tokens: int
    # How long it will read the long prompts that are held back for it.
    queued_ms: float = 0.0
    # It may be used only when nothing else is left: cold or in doubt.
    is_reserve: bool = False


@dataclass(frozen=True, slots=True)
class Ask:
    """What a request needs."""

    prompt: Prompt | None
    body_bytes: int
    region: str


@dataclass(frozen=True, slots=True)
class Place:
    """A candidate and how long the request would wait there for its first byte."""

    candidate: Candidate
    wait_ms: float
    # Whether it is believed to keep the shared part.
    is_kept: bool


def find_shared_part(prompt: Prompt | None) -> tuple[str, int]:
    """Return the shared part to steer by and its tokens, or nothing.

    The last part is the request's own or its session's.
    """
    if prompt is None:
        return "", 0
    shared = prompt.parts[:-1]
    tokens = sum(part.tokens for part in shared)
    if not shared or tokens < MIN_SHARED_TOKENS:
        return "", 0
    return shared[-1].part_id, tokens


def choose_homes(part_id: str, candidates: Iterable[Candidate]) -> dict[str, str]:
    """Return the engine of each region where a shared part is kept."""
    homes: dict[str, tuple[int, str]] = {}
    for each in candidates:
        weight = weigh(each.upstream_id, part_id)
        homes[each.region] = max(
            homes.get(each.region, (-1, "")), (weight, each.upstream_id)
        )
    return {region: upstream_id for region, (_, upstream_id) in homes.items()}


def count_memory_tokens(prompt: Prompt | None) -> int:
    """Return what a request takes of an engine's memory beyond its shared part."""
    if prompt is None:
        return 0
    _, shared_tokens = find_shared_part(prompt)
    return prompt.prompt_tokens - shared_tokens + prompt.max_output_tokens


def estimate_prefill_ms(prompt: Prompt | None, *, is_kept: bool) -> float:
    """Return how long an engine reads a prompt that it keeps the shared part of."""
    if prompt is None:
        return 0.0
    _, shared_tokens = find_shared_part(prompt)
    kept_tokens = shared_tokens if is_kept else 0
    tokens = max(0, prompt.prompt_tokens - kept_tokens)
    pairs = tokens * (kept_tokens + tokens / 2)
    attention_ms = pairs / 1e6 * ATTENTION_MS_PER_MILLION_PAIRS
    return tokens / PREFILL_TOKENS_PER_MS + attention_ms


def estimate_wait_ms(candidate: Candidate, ask: Ask, *, is_kept: bool) -> float:
    """Return how long until the first byte would come, in ms."""
    away_ms = 0.0
    if candidate.region != ask.region:
        away_ms = ROUND_TRIP_MS + TRANSFER_MS_PER_KIB * ask.body_bytes / 1024
    over = max(0, candidate.requests + 1 - candidate.slots)
    if ask.prompt is None:
        turns = candidate.requests / max(candidate.slots, 1)
        return away_ms + SERVICE_MS * turns
    running = min(candidate.requests, candidate.slots)
    step_ms = STEP_MS + STEP_MS_PER_RUNNING * running
    reading_ms = estimate_prefill_ms(ask.prompt, is_kept=is_kept)
    ahead_ms = candidate.prefill_ms
    if reading_ms >= LONG_PREFILL_MS:
        ahead_ms += candidate.queued_ms
    # Those that run take a step after each chunk that is read.
    slowdown = 1 + step_ms / CHUNK_MS if running else 1.0
    # A request that finds the batch full waits until others have ended. Their prompts
    # are read in that time, so that the longer of the two waits holds.
    turn_ms = USUAL_OUTPUT_TOKENS * (step_ms + CHUNK_MS / 2) / max(candidate.slots, 1)
    ahead_ms = max(ahead_ms * slowdown, over * turn_ms)
    return away_ms + ahead_ms + reading_ms * slowdown + 2 * step_ms


def is_admitted(
    place: Place, prompt: Prompt | None, target_ms: float, left_ms: float
) -> bool:
    """Say whether a request should wait for its place rather than be refused.

    It answers a load beyond what the engines can do for many seconds.
    """
    share = ADMIT_TARGET_SHARE
    if estimate_prefill_ms(prompt, is_kept=place.is_kept) >= LONG_PREFILL_MS:
        share = ADMIT_LONG_TARGET_SHARE
    bound_ms = max(share * target_ms, ADMIT_LEFT_SHARE * left_ms)
    return place.wait_ms <= min(bound_ms, MAX_WAIT_SHARE * left_ms)


def is_its_turn(place: Place, prompt: Prompt | None, waited_ms: float) -> bool:
    """Say whether a request may be sent now, or is held back for shorter ones.

    It answers the first seconds of a busy day: every history is read for the first
    time, and short questions would wait behind three of them in each engine.
    """
    reading_ms = estimate_prefill_ms(prompt, is_kept=place.is_kept)
    if reading_ms < LONG_PREFILL_MS:
        return True
    allowed_ms = LONG_AHEAD_MS + LONG_AHEAD_GROWTH * waited_ms
    return place.candidate.prefill_ms <= allowed_ms


def estimate_pace_ms(candidate: Candidate, prompt: Prompt | None) -> float:
    """Return what the others that run there add to the time of the whole answer."""
    if prompt is None:
        return 0.0
    tokens = min(prompt.max_output_tokens, MAX_COUNTED_OUTPUT_TOKENS)
    running = min(candidate.requests, candidate.slots)
    return tokens * running * STEP_MS_PER_RUNNING


def has_memory(candidate: Candidate, ask: Ask) -> bool:
    """Say whether an engine could hold the request beside what it holds."""
    if candidate.memory_tokens <= 0 or ask.prompt is None:
        return True
    needed = candidate.held_tokens + count_memory_tokens(ask.prompt)
    return needed <= MEMORY_SHARE * candidate.memory_tokens


def weigh_places(
    candidates: list[Candidate], ask: Ask, kept: Kept
) -> list[tuple[float, Place]]:
    """Return each candidate with room, and what going there costs, in ms.

    The cost of reading a shared part again is more than the time that it takes.
    """
    part_id, shared_tokens = find_shared_part(ask.prompt)
    homes = choose_homes(part_id, candidates) if part_id else {}
    is_kept_anywhere = any(kept(part_id, each) for each in candidates)
    weighed = []
    for each in candidates:
        if not has_memory(each, ask):
            continue
        is_kept = bool(part_id) and kept(part_id, each)
        wait_ms = estimate_wait_ms(each, ask, is_kept=is_kept)
        cost_ms = wait_ms + estimate_pace_ms(each, ask.prompt)
        if part_id and not is_kept:
            if is_kept_anywhere:
                cost_ms += REREAD_MS_PER_TOKEN * shared_tokens
            if homes[each.region] != each.upstream_id:
                cost_ms += STRAY_MS
        weighed.append((cost_ms, Place(each, wait_ms, is_kept)))
    return weighed


def choose(
    candidates: list[Candidate],
    ask: Ask,
    kept: Kept,
    blur: Callable[[], float] = lambda: 0.0,
) -> Place | None:
    """Return the place that costs the least, or None if there is no room at all.

    `blur` gives a random number from 0 to 1 by which costs that are alike are told
    apart, another way in each process.
    """
    weighed = weigh_places(candidates, ask, kept)
    if not weighed:
        return None
    blurred = [
        (place.candidate.is_reserve, cost_ms + BLUR_MS * blur(), index)
        for index, (cost_ms, place) in enumerate(weighed)
    ]
    return weighed[min(blurred)[2]][1]
