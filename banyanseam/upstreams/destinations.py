"""Choose a request's pool or region by the last summaries of keepers and regions."""

import copy
from collections.abc import Sequence
from dataclasses import replace
from random import Random

import anyio

from banyanseam.upstreams.choose import (
    Destination,
    LocalPool,
    SpilloverLimiter,
    pick_destination,
)
from banyanseam.upstreams.context import Context
from banyanseam.upstreams.errors import (
    AllTried,
    NoUpstreamAllowed,
    NoUpstreamAvailable,
)
from banyanseam.upstreams.models import Demand, PoolRow
from banyanseam.upstreams.pools import Pool
from banyanseam.upstreams.regions import RegionSummaries


class DestinationChooser:
    """The pools of this region and the other regions, with their last summaries."""

    def __init__(self, context: Context, regions: RegionSummaries, rng: Random) -> None:
        """Start without summaries."""
        self._context = context
        self._regions = regions
        self._rng = rng
        self._rows: dict[str, tuple[PoolRow, float]] = {}
        self._limiter: SpilloverLimiter | None = None

    def record_rows(self, rows: Sequence[PoolRow], now_s: float) -> None:
        """Store the pool summaries that a keeper sent."""
        for row in rows:
            self._rows[row.pool] = (row, now_s)

    def mark_unusable(self, pool: str, now_s: float) -> None:
        """Mark a pool as unusable until its keeper sends the next summary."""
        found = self._context.read_pools().get(pool)
        if found is not None:
            row = replace(_assume_row(found), usable=0, free_tokens=0)
            self._rows[pool] = (row, now_s)

    def list_rows(self) -> list[PoolRow]:
        """Return the current summaries of this region's pools, for the heartbeats."""
        now_s = anyio.current_time()
        term_s = self._context.read_terms().row_term_s
        return [
            row
            for row, received_s in self._rows.values()
            if now_s - received_s < term_s
        ]

    def list_served(self, pool: str) -> frozenset[str]:
        """Return the models or services that a pool of this region serves."""
        found = self._context.read_pools().get(pool)
        return found.serves if found else frozenset()

    def choose(
        self,
        serves: str,
        demand: Demand,
        regions: frozenset[str] | None,
        *,
        may_forward: bool,
    ) -> Destination:
        """Return a pool of this region, or another region to forward the request to.

        Raise NoUpstreamAllowed when the model or service is only served in regions that
        are not allowed, AllTried when every allowed upstream has already failed the
        request, and NoUpstreamAvailable when none of them is known to be usable.
        """
        now_s = anyio.current_time()
        if self._limiter is None:
            self._limiter = SpilloverLimiter(now_s)
        destination = self._pick(
            serves, demand, regions, self._limiter, may_forward=may_forward
        )
        if may_forward:
            is_remote = not isinstance(destination, LocalPool)
            self._limiter.record_choice(is_remote=is_remote, now_s=now_s)
        return destination

    def preview(
        self, serves: str, demand: Demand, regions: frozenset[str] | None
    ) -> Destination:
        """Choose by the same rules as `choose`, without counting a request."""
        limiter = copy.deepcopy(self._limiter) or SpilloverLimiter(anyio.current_time())
        return self._pick(serves, demand, regions, limiter, may_forward=True)

    def _pick(
        self,
        serves: str,
        demand: Demand,
        regions: frozenset[str] | None,
        limiter: SpilloverLimiter,
        *,
        may_forward: bool,
    ) -> Destination:
        allowed = self._list_allowed(serves, regions)
        local_region = self._context.region
        if not may_forward:
            allowed &= {local_region}
        if not allowed:
            raise NoUpstreamAllowed(serves)
        if self._have_all_failed(serves, demand, allowed):
            raise AllTried(serves, retry_after_ms=1000)
        now_s = anyio.current_time()
        pools = (
            self._list_pools(serves, demand, now_s) if local_region in allowed else []
        )
        others = [
            summary
            for summary in self._regions.list_summaries(serves, now_s)
            if summary.region in allowed - {local_region} - demand.avoid_regions
        ]
        policy = self._context.get_config().policies[local_region]
        destination = pick_destination(
            pools, others, demand, policy, limiter, self._rng, now_s
        )
        if destination is None:
            raise NoUpstreamAvailable(serves, retry_after_ms=1000)
        return destination

    def _have_all_failed(self, serves: str, demand: Demand, regions: set[str]) -> bool:
        return bool(demand.avoid) and all(
            upstream.name in demand.avoid
            for upstream in self._context.get_config().upstreams.values()
            if serves in upstream.serves and upstream.region in regions
        )

    def _list_allowed(self, serves: str, regions: frozenset[str] | None) -> set[str]:
        return {
            upstream.region
            for upstream in self._context.get_config().upstreams.values()
            if serves in upstream.serves
            and (regions is None or upstream.region in regions)
        }

    def _list_pools(self, serves: str, demand: Demand, now_s: float) -> list[PoolRow]:
        """Return the pools of `serves`; those without a fresh row count as free."""
        rows = []
        term_s = self._context.read_terms().row_term_s
        for name, pool in self._context.read_pools().items():
            if serves not in pool.serves:
                continue
            if all(each.name in demand.avoid for each in pool.upstreams):
                continue
            row, received_s = self._rows.get(name, (None, 0.0))
            if row is None or now_s - received_s > term_s:
                row = _assume_row(pool)
            if row.usable:
                rows.append(row)
        return rows


def _assume_row(pool: Pool) -> PoolRow:
    return PoolRow(
        pool=pool.name,
        free_tokens=sum(each.memory_tokens for each in pool.upstreams),
        largest_free_tokens=max(each.memory_tokens for each in pool.upstreams),
        wait_ms=0,
        queued=0,
        usable=len(pool.upstreams),
        decode_tokens_per_s=sum(each.decode_tokens_per_s for each in pool.upstreams),
        prefill_tokens_per_s=max(each.prefill_tokens_per_s for each in pool.upstreams),
    )
