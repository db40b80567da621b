"""Choose the upstream for a request, in this region or another.

Pure functions on plain data. They are designed for the heaviest loads: long shared
histories mixed with many short queries, and regions that peak at different times.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from banyanseam.entry.const import (
    ADMIT_LEFT_SHARE,
    ADMIT_LONG_TARGET_SHARE,
    ADMIT_TARGET_SHARE,
    COST_JITTER_MS,
    MAX_COUNTED_OUTPUT_TOKENS,
    MAX_WAIT_SHARE,
    MEMORY_SHARE,
    MIN_SHARED_TOKENS,
    NON_PREFERRED_ENGINE_MS,
    REPEATED_PREFILL_MS_PER_TOKEN,
    ROUND_TRIP_MS,
    TRANSFER_MS_PER_KIB,
)
from banyanseam.entry.models import Prompt
from banyanseam.entry.performance.models import INITIAL_PERFORMANCE, Performance
from banyanseam.entry.scarcity.holding import USUAL_RULE, HoldRule, find_send_share
from banyanseam.peers.rendezvous import weigh

# Returns whether a candidate is assumed to have a shared prefix in its cache.
IsSegmentCached = Callable[[str, "Candidate"], bool]


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream and its load from all processes of its region."""

    upstream_id: str
    region: str
    slots: int
    # 0 if the upstream is not an engine.
    memory_tokens: int
    requests: int
    # Time to prefill the prompts that were already sent to it.
    prefill_ms: float
    held_tokens: int
    # Time to prefill the long prompts that its region's processes hold back for it.
    queued_ms: float = 0.0
    # Cold or suspect: used only if there is no other candidate.
    is_reserve: bool = False
    performance: Performance = INITIAL_PERFORMANCE
    # Version of its software; None if it isn't known.
    software: str | None = None
    # Time on the way to another region, or over another VM, and back.
    network_ms: float = ROUND_TRIP_MS
    # Reached only over another VM of this region.
    is_relayed: bool = False


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """The properties of a request that decide where it can be placed."""

    prompt: Prompt | None
    body_bytes: int
    region: str
    # Whether it is held back for others, and then waits behind what else is.
    hold_rule: HoldRule = USUAL_RULE


@dataclass(frozen=True, slots=True)
class Placement:
    """A candidate and the estimated wait for the first byte there."""

    candidate: Candidate
    wait_ms: float
    # Whether the shared prefix is assumed to be in the candidate's cache.
    is_cached: bool


def find_shared_prefix(prompt: Prompt | None) -> tuple[str, int]:
    """Return the shared prefix used for placement and its tokens, or ("", 0).

    A prefix is identified by its last segment. The prompt's last segment is left out:
    it belongs to this request or its session only.
    """
    if prompt is None:
        return "", 0
    shared = prompt.segments[:-1]
    tokens = sum(segment.tokens for segment in shared)
    if not shared or tokens < MIN_SHARED_TOKENS:
        return "", 0
    return shared[-1].segment_id, tokens


def choose_preferred_engines(
    segment_id: str, candidates: Iterable[Candidate]
) -> dict[str, str]:
    """Return the engine of each region that should cache a shared prefix."""
    preferred: dict[str, tuple[int, str]] = {}
    for each in candidates:
        weight = weigh(each.upstream_id, segment_id)
        preferred[each.region] = max(
            preferred.get(each.region, (-1, "")), (weight, each.upstream_id)
        )
    return {region: upstream_id for region, (_, upstream_id) in preferred.items()}


def count_memory_tokens(prompt: Prompt | None) -> int:
    """Return the engine memory that a request needs beyond its shared prefix."""
    if prompt is None:
        return 0
    _, shared_tokens = find_shared_prefix(prompt)
    return prompt.prompt_tokens - shared_tokens + prompt.max_output_tokens


def estimate_prefill_ms(
    prompt: Prompt | None, performance: Performance, *, is_cached: bool
) -> float:
    """Return the prefill time of a prompt; `is_cached`: its shared prefix is cached."""
    if prompt is None:
        return 0.0
    _, shared_tokens = find_shared_prefix(prompt)
    cached_tokens = shared_tokens if is_cached else 0
    tokens = max(0, prompt.prompt_tokens - cached_tokens)
    pairs = tokens * (cached_tokens + tokens / 2)
    attention_ms = pairs / 1e6 * performance.attention_ms_per_million_pairs
    return tokens / performance.prefill_tokens_per_ms + attention_ms


def estimate_step_ms(candidate: Candidate) -> float:
    """Return the duration of a decode step of an engine's running requests."""
    performance = candidate.performance
    running = min(candidate.requests, candidate.slots)
    return performance.step_ms + performance.step_ms_per_running * running


def estimate_slowdown(candidate: Candidate) -> float:
    """Return how many times longer a prefill takes beside running requests.

    They take a decode step after each prefill chunk.
    """
    if min(candidate.requests, candidate.slots) == 0:
        return 1.0
    return 1 + estimate_step_ms(candidate) / candidate.performance.chunk_ms


def estimate_wait_ms(
    candidate: Candidate, request: PlacementRequest, *, is_cached: bool
) -> float:
    """Return the estimated wait for the first byte, in ms."""
    performance = candidate.performance
    network_ms = candidate.network_ms if candidate.is_relayed else 0.0
    if candidate.region != request.region:
        transfer_ms = TRANSFER_MS_PER_KIB * request.body_bytes / 1024
        network_ms = candidate.network_ms + transfer_ms
    excess_requests = max(0, candidate.requests + 1 - candidate.slots)
    if request.prompt is None:
        rounds = candidate.requests / max(candidate.slots, 1)
        return network_ms + performance.call_ms * rounds
    step_ms = estimate_step_ms(candidate)
    own_prefill_ms = estimate_prefill_ms(
        request.prompt, performance, is_cached=is_cached
    )
    backlog_ms = candidate.prefill_ms
    if own_prefill_ms >= request.hold_rule.min_prefill_ms:
        backlog_ms += candidate.queued_ms
    slowdown = estimate_slowdown(candidate)
    # If the batch is full, a request waits until others have finished. Their prompts
    # are prefilled in the meantime, so the longer of the two waits applies.
    usual_decode_ms = performance.output_tokens * (step_ms + performance.chunk_ms / 2)
    slot_wait_ms = usual_decode_ms / max(candidate.slots, 1)
    backlog_ms = max(backlog_ms * slowdown, excess_requests * slot_wait_ms)
    return network_ms + backlog_ms + own_prefill_ms * slowdown + 2 * step_ms


def estimate_own_prefill_ms(placement: Placement, prompt: Prompt | None) -> float:
    """Return the prefill time of a prompt at the place that was chosen for it."""
    performance = placement.candidate.performance
    return estimate_prefill_ms(prompt, performance, is_cached=placement.is_cached)


def is_admitted(
    placement: Placement,
    prompt: Prompt | None,
    target_ms: float,
    left_ms: float,
    hold_rule: HoldRule = USUAL_RULE,
    waited_ms: float = 0.0,
) -> bool:
    """Return whether a request should be queued rather than refused.

    This limits queues when the load exceeds the engines' capacity for many seconds.
    `waited_ms` counts for prompts that are held back for more urgent requests: nothing
    shows how long that goes on.
    """
    share = ADMIT_TARGET_SHARE
    is_long = estimate_own_prefill_ms(placement, prompt) >= hold_rule.min_prefill_ms
    if is_long:
        share = ADMIT_LONG_TARGET_SHARE
    bound_ms = max(share * target_ms, ADMIT_LEFT_SHARE * left_ms)
    if is_long and hold_rule.is_shared:
        bound_ms = share * target_ms - waited_ms
    return placement.wait_ms <= min(bound_ms, MAX_WAIT_SHARE * left_ms)


def may_be_sent(
    placement: Placement,
    prompt: Prompt | None,
    waited_ms: float,
    hold_rule: HoldRule = USUAL_RULE,
    random_share: float = 0.0,
) -> bool:
    """Return whether a request may be sent now, or is held back for shorter ones.

    In the first seconds of a busy day every shared history is prefilled for the first
    time; short queries would otherwise wait behind three such prompts in each engine.
    `random_share` is a random number from 0 to 1.
    """
    share = find_send_share(
        hold_rule,
        estimate_own_prefill_ms(placement, prompt),
        placement.candidate.prefill_ms,
        placement.candidate.queued_ms,
        waited_ms,
    )
    return random_share < share


def estimate_batch_delay_ms(candidate: Candidate, prompt: Prompt | None) -> float:
    """Return the decode time that the other running requests add to the answer."""
    if prompt is None:
        return 0.0
    tokens = min(prompt.max_output_tokens, MAX_COUNTED_OUTPUT_TOKENS)
    running = min(candidate.requests, candidate.slots)
    return tokens * running * candidate.performance.step_ms_per_running


def has_memory(candidate: Candidate, request: PlacementRequest) -> bool:
    """Return whether an engine has enough free memory for the request."""
    if candidate.memory_tokens <= 0 or request.prompt is None:
        return True
    needed = candidate.held_tokens + count_memory_tokens(request.prompt)
    return needed <= MEMORY_SHARE * candidate.memory_tokens


def estimate_costs(
    candidates: list[Candidate],
    request: PlacementRequest,
    is_segment_cached: IsSegmentCached,
) -> list[tuple[float, Placement]]:
    """Return cost, in ms, and placement for each candidate with enough memory.

    If any candidate has the shared prefix cached, prefilling it again at another one
    costs more than the time that it takes.
    """
    segment_id, shared_tokens = find_shared_prefix(request.prompt)
    preferred = choose_preferred_engines(segment_id, candidates) if segment_id else {}
    is_cached_anywhere = any(is_segment_cached(segment_id, each) for each in candidates)
    costs = []
    for each in candidates:
        if not has_memory(each, request):
            continue
        is_cached = bool(segment_id) and is_segment_cached(segment_id, each)
        wait_ms = estimate_wait_ms(each, request, is_cached=is_cached)
        cost_ms = wait_ms + estimate_batch_delay_ms(each, request.prompt)
        if segment_id and not is_cached:
            if is_cached_anywhere:
                cost_ms += REPEATED_PREFILL_MS_PER_TOKEN * shared_tokens
            if preferred[each.region] != each.upstream_id:
                cost_ms += NON_PREFERRED_ENGINE_MS
        costs.append((cost_ms, Placement(each, wait_ms, is_cached)))
    return costs


def choose(
    candidates: list[Candidate],
    request: PlacementRequest,
    is_segment_cached: IsSegmentCached,
    jitter: Callable[[], float] = lambda: 0.0,
) -> Placement | None:
    """Return the cheapest placement, or None if no candidate has enough memory.

    `jitter` returns a random number from 0 to 1, so that processes choose differently
    between candidates of similar cost.
    """
    costs = estimate_costs(candidates, request, is_segment_cached)
    if not costs:
        return None
    jittered = [
        (placement.candidate.is_reserve, cost_ms + COST_JITTER_MS * jitter(), index)
        for index, (cost_ms, placement) in enumerate(costs)
    ]
    return costs[min(jittered)[2]][1]
