"""Choose the upstream, and before it the pool or region, for a request.

A keeper picks among the upstreams of its pool, since only it tracks their leases. An
entry daemon picks between the pools of its region and other regions by the last
summaries that their keepers sent. Because there are many entries, each compares only
two sampled pools and the one that the prompt's prefix hashes to, so that they do not
all send to the best pool at the same time (Mitzenmacher, "The Power of Two Choices",
2001).
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from banyanseam.config.compiled import Policy
from banyanseam.peers.rendezvous import rank
from banyanseam.upstreams.const import (
    BYTES_PER_TOKEN,
    HYSTERESIS,
    LIGHT_LOAD_SHARE,
    LOAD_BOUND,
    MAX_DECODE_STEP_S,
    RAMP_S,
    ROUND_TRIP_BETWEEN_REGIONS_S,
    SHARE_HALF_LIFE_S,
)
from banyanseam.upstreams.decay import DecayingSum
from banyanseam.upstreams.models import Demand, PoolRow
from banyanseam.upstreams.prefix import make_rendezvous_key


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream with enough free memory, according to its keeper."""

    name: str
    memory_tokens: int
    held_tokens: int
    # Prompt tokens sent to it and not yet prefilled, corrected for its report's lag.
    queued_tokens: int
    running: int
    decode_tokens_per_s: float
    prefill_tokens_per_s: float
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class RegionSummary:
    """The pools of another region that serve one model or service, summed up."""

    region: str
    free_tokens: int
    largest_free_tokens: int
    wait_ms: int
    prefill_tokens_per_s: float
    # Since when the region's summaries have arrived without interruption.
    reachable_since_s: float


@dataclass(frozen=True, slots=True)
class LocalPool:
    """The decision to use a pool of this region."""

    pool: str


@dataclass(frozen=True, slots=True)
class RemoteRegion:
    """The decision to forward to a daemon of another region."""

    region: str


Destination = LocalPool | RemoteRegion


def estimate_start_s(candidate: Candidate, demand: Demand) -> float:
    """Return the estimated time to the first token.

    It is the time to prefill the queued prompts and this one, plus one decode step,
    which every running request lengthens.
    """
    uncached = max(0, demand.prompt_tokens - candidate.cached_tokens)
    ahead = candidate.queued_tokens + uncached
    step_s = (candidate.running + 1) / candidate.decode_tokens_per_s
    return ahead / candidate.prefill_tokens_per_s + step_s


def pick_upstream(
    candidates: Sequence[Candidate],
    demand: Demand,
    pool_load: float,
    pool_decode_tokens_per_s: float,
    preferred: str | None,
) -> Candidate | None:
    """Return the upstream for a request, or None when no candidate can take it.

    The upstream with the longest cached prefix, or the preferred one for an unknown
    prompt, is tried first, then the others by the estimated start of the request. The
    first that is idle, or whose load stays within `LOAD_BOUND` times the pool's mean,
    is chosen; if there is none, the one that holds the fewest tokens. `pool_load` is
    the number of tokens held in the whole pool. Candidates whose decode steps would
    become too long are left out.
    """
    candidates = [each for each in candidates if _keeps_steps_short(each, demand)]
    if not candidates:
        return None
    ordered = sorted(candidates, key=lambda each: estimate_start_s(each, demand))
    warmest = max(candidates, key=lambda each: each.cached_tokens)
    if warmest.cached_tokens:
        ordered.insert(0, warmest)
    elif preferred is not None:
        ordered.sort(key=lambda each: each.name != preferred)
    mean_per_rate = (pool_load + demand.tokens) / pool_decode_tokens_per_s
    for candidate in ordered:
        bound = LOAD_BOUND * mean_per_rate * candidate.decode_tokens_per_s
        if candidate.cached_tokens:
            # A load below half of the memory is no reason to leave a warm cache,
            # whatever the mean load is.
            bound = max(bound, LIGHT_LOAD_SHARE * candidate.memory_tokens)
        if candidate.running == 0 or candidate.held_tokens + demand.tokens <= bound:
            return candidate
    return min(candidates, key=lambda each: each.held_tokens)


def _keeps_steps_short(candidate: Candidate, demand: Demand) -> bool:
    """Say whether decode steps stay short with one more request.

    A larger batch raises no throughput, and requests queued inside an engine are not
    subject to the fair order.
    """
    step_s = (candidate.running + 1) / candidate.decode_tokens_per_s
    is_decoded = demand.max_output_tokens > 0
    return not is_decoded or candidate.running == 0 or step_s <= MAX_DECODE_STEP_S


class SpilloverLimiter:
    """Limits the share of requests sent to other regions, with hysteresis."""

    def __init__(self, now_s: float) -> None:
        """Start with no requests counted."""
        self._remote = DecayingSum(SHARE_HALF_LIFE_S, now_s)
        self._all = DecayingSum(SHARE_HALF_LIFE_S, now_s)
        self._is_spilling = False

    def record_choice(self, *, is_remote: bool, now_s: float) -> None:
        """Count one request."""
        self._all.add(1, now_s)
        self._remote.add(is_remote, now_s)

    def is_under_cap(self, cap: float, now_s: float) -> bool:
        """Say whether the cap on the remote share allows one more remote request."""
        limit = max(1.0, cap * (self._all.read(now_s) + 1))
        return self._remote.read(now_s) + 1 <= limit

    def reaches_margin(self, gain_s: float, margin_s: float) -> bool:
        """Say whether a gain reaches the margin, which is lower while spilling over."""
        needed_s = margin_s * HYSTERESIS if self._is_spilling else margin_s
        self._is_spilling = gain_s >= needed_s
        return self._is_spilling


def pick_destination(
    pools: Sequence[PoolRow],
    regions: Sequence[RegionSummary],
    demand: Demand,
    policy: Policy,
    limiter: SpilloverLimiter,
    rng: Random,
    now_s: float,
) -> Destination | None:
    """Return the pool or region for a request, or None when neither serves it.

    `pools` are those of this region that are allowed and have a usable upstream,
    `regions` the allowed others. Without such a pool, the cap and margin do not apply,
    since the alternative is to refuse a request that another region can serve.
    """
    pool = _sample_pool(pools, demand, rng)
    ramped_up = [each for each in regions if _is_ramped_up(each, rng, now_s)]
    remote = min(
        ramped_up,
        key=lambda each: estimate_remote_s(each, demand, policy),
        default=None,
    )
    if remote is None:
        remote_is_last_resort = pool is None and bool(regions)
        if remote_is_last_resort:
            return RemoteRegion(rng.choice(regions).region)
        return LocalPool(pool.pool) if pool else None
    if pool is None:
        return RemoteRegion(remote.region)
    local_s = estimate_pool_s(pool, demand)
    gain_s = local_s - estimate_remote_s(remote, demand, policy)
    reaches_margin = limiter.reaches_margin(gain_s, policy.remote_margin_ms / 1000)
    if reaches_margin and limiter.is_under_cap(policy.remote_share_cap, now_s):
        return RemoteRegion(remote.region)
    return LocalPool(pool.pool)


def estimate_pool_s(row: PoolRow, demand: Demand) -> float:
    """Return a local pool's wait and prefill time, with nothing cached there."""
    return row.wait_ms / 1000 + demand.prompt_tokens / row.prefill_tokens_per_s


def estimate_remote_s(region: RegionSummary, demand: Demand, policy: Policy) -> float:
    """Return the wait, round trip, transfer time and prefill time on a cold cache."""
    # With an empty queue the reported wait is 0, even if this request exceeds the free
    # memory and would have to wait.
    if demand.tokens > region.largest_free_tokens and region.wait_ms == 0:
        return math.inf
    transfer_s = demand.tokens * BYTES_PER_TOKEN / policy.link_bytes_per_s
    prefill_s = demand.prompt_tokens / region.prefill_tokens_per_s
    return region.wait_ms / 1000 + ROUND_TRIP_BETWEEN_REGIONS_S + transfer_s + prefill_s


def _sample_pool(
    pools: Sequence[PoolRow], demand: Demand, rng: Random
) -> PoolRow | None:
    if not pools:
        return None
    sampled = rng.sample(list(pools), min(2, len(pools)))
    best = min(sampled, key=lambda row: (row.wait_ms, -row.free_tokens))
    if not demand.prefix:
        return best
    key = make_rendezvous_key(demand.prefix)
    first = rank([row.pool for row in pools], key)[0]
    affine = next(row for row in pools if row.pool == first)
    saved_s = demand.prompt_tokens / affine.prefill_tokens_per_s
    return affine if affine.wait_ms <= best.wait_ms + 1000 * saved_s else best


def _is_ramped_up(region: RegionSummary, rng: Random, now_s: float) -> bool:
    """Say whether to consider a region, at random with a probability that grows to 1.

    A region that is reachable again gets few requests at first, as its caches are cold.
    """
    return rng.random() * RAMP_S <= now_s - region.reachable_since_s
