"""Where a request goes: which upstream here, which other region, or nowhere yet.

Pure functions on plain data. They answer the load that decides the heaviest days: long
shared histories beside many short queries, with each region's peak at another time.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from banyanseam.entry.const import (
    MEMORY_SHARE,
    MIN_SHARED_TOKENS,
    PREFILL_TOKENS_PER_MS,
    ROUND_TRIP_MS,
    SERVICE_MS,
    STEP_MS,
    STEP_MS_PER_RUNNING,
    TRANSFER_MS_PER_KIB,
)
from banyanseam.entry.models import Prompt
from banyanseam.peers.rendezvous import weigh


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream and what all of its region hold there."""

    upstream_id: str
    region: str
    slots: int
    # 0 where the service is no engine.
    memory_tokens: int
    requests: int
    prefill_tokens: int
    held_tokens: int
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


def count_prefill_tokens(prompt: Prompt | None, *, is_kept: bool) -> int:
    """Return the prompt tokens that an engine has to read."""
    if prompt is None:
        return 0
    _, shared_tokens = find_shared_part(prompt)
    return prompt.prompt_tokens - (shared_tokens if is_kept else 0)


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
    ahead_tokens = candidate.prefill_tokens + count_prefill_tokens(
        ask.prompt, is_kept=is_kept
    )
    # A request that finds the batch full waits for others to end: as many steps as an
    # answer has tokens, shared by all that run.
    queue_ms = over * step_ms * 60 / max(candidate.slots, 1)
    return away_ms + ahead_tokens / PREFILL_TOKENS_PER_MS + 4 * step_ms + queue_ms


def has_memory(candidate: Candidate, ask: Ask) -> bool:
    """Say whether an engine could hold the request beside what it holds."""
    if candidate.memory_tokens <= 0 or ask.prompt is None:
        return True
    needed = candidate.held_tokens + count_memory_tokens(ask.prompt)
    return needed <= MEMORY_SHARE * candidate.memory_tokens


def choose(candidates: list[Candidate], ask: Ask) -> Place | None:
    """Return the place with the shortest wait, or None if there is no room at all."""
    part_id, _ = find_shared_part(ask.prompt)
    homes = choose_homes(part_id, candidates) if part_id else {}
    places = [
        Place(
            each,
            estimate_wait_ms(
                each, ask, is_kept=homes.get(each.region) == each.upstream_id
            ),
        )
        for each in candidates
        if has_memory(each, ask)
    ]
    if not places:
        return None
    return min(places, key=lambda place: (place.candidate.is_reserve, place.wait_ms))
