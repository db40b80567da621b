"""The entry's side: where to send a request, and room there."""

import itertools
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

import anyio

from banyanseam.config.compiled import Config, Upstream
from banyanseam.errors import BanyanseamError
from banyanseam.peers.contract import Network
from banyanseam.peers.errors import PeerCallFailed, PeerCallLost, PeerUnreachable
from banyanseam.peers.messages import PeerIdentity
from banyanseam.upstreams.choose import LocalPool, Place, Spill, pick_place
from banyanseam.upstreams.const import (
    CALL_RENEW_TIMEOUT_S,
    GRANT_USE_S,
    KEEPER_PERIOD_S,
    RENEW_PERIOD_S,
    RESERVE_RETRY_S,
    RESERVE_SLACK_S,
    ROW_TERM_S,
)
from banyanseam.upstreams.errors import (
    KeeperChanged,
    NotKeeper,
    NoUpstreamAllowed,
    NoUpstreamAvailable,
    RequestTooLarge,
)
from banyanseam.upstreams.keeper import Keeper
from banyanseam.upstreams.messages import Granted, Release, Renew, Reserve, Row, Rows
from banyanseam.upstreams.models import Demand, Grant, Outcome, PoolRow
from banyanseam.upstreams.pools import Pool, find_keeper, list_pools
from banyanseam.upstreams.regions import Regions

_ERRORS_BY_CODE = {
    error.code: error for error in (NoUpstreamAvailable, RequestTooLarge)
}


@dataclass(slots=True, eq=False)
class Ask:
    """A call that waits for room at a keeper."""

    pool: str
    keeper: str
    scope: anyio.CancelScope


class Room:
    """The leases that this daemon holds as an entry."""

    def __init__(
        self,
        me: PeerIdentity,
        region: str,
        network: Network,
        get_config: Callable[[], Config],
        alive_seats: Callable[[str], list[str]],
        keeper: Keeper,
        regions: Regions,
        random: Random,
        leaving_upstreams: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        """Hold nothing yet; `keeper` is the one in this process."""
        self.me = me
        self.region = region
        self._network = network
        self._get_config = get_config
        self._alive_seats = alive_seats
        self._keeper = keeper
        self._regions = regions
        self._random = random
        self._leaving_upstreams = leaving_upstreams
        self._numbers = itertools.count(1)
        self._grants: dict[int, Grant] = {}
        self._asks: list[Ask] = []
        self._rows: dict[str, tuple[PoolRow, float]] = {}
        self._announced: dict[str, str] = {}
        self._pools: dict[str, Pool] = {}
        self._pools_version: int | None = None
        self._spill: Spill | None = None

    async def run(self) -> None:
        """Renew leases until cancelled, at once where the keeper changed."""
        renew_s: dict[str, float] = {}
        async with anyio.create_task_group() as tasks:
            while True:
                now_s = anyio.current_time()
                groups = self._group_by_keeper()
                self._drop_asks(groups)
                for keeper, pools in groups.items():
                    is_new = any(self._announced.get(pool) != keeper for pool in pools)
                    if is_new or now_s >= renew_s.get(keeper, 0.0):
                        renew_s[keeper] = now_s + RENEW_PERIOD_S
                        self._announced.update(dict.fromkeys(pools, keeper))
                        tasks.start_soon(self._renew, keeper, pools)
                await anyio.sleep(KEEPER_PERIOD_S)

    def choose_place(
        self,
        serves: str,
        demand: Demand,
        regions: frozenset[str] | None,
        *,
        may_forward: bool,
    ) -> Place:
        """Return a pool of this region or another region to forward to.

        Raise NoUpstreamAllowed when what serves this lies only where the request may
        not go, NoUpstreamAvailable when nothing that it may use is known to work.
        """
        config = self._get_config()
        now_s = anyio.current_time()
        allowed = {
            upstream.region
            for upstream in config.upstreams.values()
            if serves in upstream.serves
            and (regions is None or upstream.region in regions)
        }
        if not may_forward:
            allowed &= {self.region}
        if not allowed:
            raise NoUpstreamAllowed(serves)
        pools = []
        if self.region in allowed:
            pools = self._list_rows(serves, demand, now_s)
        others = [
            summary
            for summary in self._regions.list_summaries(serves, now_s)
            if summary.region in allowed - {self.region}
        ]
        if self._spill is None:
            self._spill = Spill(now_s)
        policy = config.policies[self.region]
        place = pick_place(
            pools, others, demand, policy, self._spill, self._random, now_s
        )
        if place is None:
            raise NoUpstreamAvailable(serves, retry_after_ms=1000)
        self._spill.note(is_remote=not isinstance(place, LocalPool), now_s=now_s)
        return place

    async def reserve(self, pool: str, demand: Demand, give_up_s: float) -> Grant:
        """Wait for room in a pool of this region.

        Raise NoUpstreamAvailable or RequestTooLarge; nothing was run by then.
        """
        while True:
            now_s = anyio.current_time()
            if now_s >= give_up_s:
                raise NoUpstreamAvailable("no keeper answered", retry_after_ms=1000)
            keeper = find_keeper(pool, self._alive_seats(self.region))
            number = next(self._numbers)
            if keeper is not None:
                grant = await self._ask(keeper, pool, number, demand, give_up_s)
                if grant is not None:
                    return grant
            await anyio.sleep(RESERVE_RETRY_S * (1 + self._random.random()))

    async def release(
        self, grant: Grant, outcome: Outcome, output_tokens: int = 0
    ) -> None:
        """Give room back; a lost message is made good by the next renewal."""
        self._grants.pop(grant.lease, None)
        message = Release(
            pool=grant.pool,
            lease=grant.lease,
            upstream=grant.upstream,
            outcome=outcome,
            output_tokens=output_tokens,
        )
        # A keeper that took over since knows the lease from its announcement.
        keeper = find_keeper(grant.pool, self._alive_seats(self.region))
        await self._cast(keeper or grant.keeper, message)

    def is_usable(self, grant: Grant) -> bool:
        """Say whether a grant may still be used; a late one must be given back."""
        upstream = self._get_config().upstreams.get(grant.upstream)
        is_gone = upstream is None or upstream.leaving
        is_leaving = grant.upstream in self._leaving_upstreams()
        is_late = anyio.current_time() > grant.use_by_s
        return not (is_gone or is_leaving or is_late)

    def get_upstream(self, grant: Grant) -> Upstream:
        """Return the upstream of a usable grant."""
        return self._get_config().upstreams[grant.upstream]

    def list_rows(self) -> list[PoolRow]:
        """Return what is known of this region's pools, for the heartbeats."""
        now_s = anyio.current_time()
        return [
            row for row, seen_s in self._rows.values() if now_s - seen_s < ROW_TERM_S
        ]

    async def _ask(
        self, keeper: str, pool: str, number: int, demand: Demand, give_up_s: float
    ) -> Grant | None:
        """Return a grant, or None when another keeper should be asked."""
        asked_s = anyio.current_time()
        message = _make_reserve(pool, number, demand, give_up_s - asked_s)
        is_settled = True
        try:
            reply = await self._call(keeper, message, give_up_s - asked_s)
        except (PeerUnreachable, NotKeeper):
            return None
        except PeerCallFailed as error:
            _raise_final(error)
            return None
        except (NoUpstreamAvailable, RequestTooLarge):
            raise
        except (PeerCallLost, KeeperChanged):
            is_settled = False
            return None
        except BaseException:
            is_settled = False
            raise
        finally:
            if not is_settled:
                # The keeper may still hold a place or room for this request.
                with anyio.move_on_after(RESERVE_SLACK_S, shield=True):
                    await self._leave_queue(keeper, pool, number)
        grant = Grant(
            lease=number,
            pool=pool,
            upstream=reply.upstream,
            keeper=keeper,
            tokens=demand.tokens,
            cached_tokens=reply.cached_tokens,
            use_by_s=asked_s + reply.waited_ms / 1000 + GRANT_USE_S,
        )
        self._grants[number] = grant
        return grant

    async def _call(self, keeper: str, message: Reserve, patience_s: float) -> Granted:
        if keeper == self.me.seat:
            return await self._keeper.reserve(self.me, message)
        timeout_s = patience_s + RESERVE_SLACK_S
        with anyio.CancelScope() as scope:
            ask = Ask(message.pool, keeper, scope)
            self._asks.append(ask)
            try:
                return await self._network.call(keeper, message, Granted, timeout_s)
            finally:
                self._asks.remove(ask)
        raise KeeperChanged(message.pool)

    def _drop_asks(self, groups: dict[str, list[str]]) -> None:
        """End the calls to former keepers; a frozen one would answer none of them."""
        for ask in self._asks:
            if ask.pool not in groups.get(ask.keeper, ()):
                ask.scope.cancel()

    async def _leave_queue(self, keeper: str, pool: str, number: int) -> None:
        message = Release(
            pool=pool,
            lease=number,
            upstream="",
            outcome=Outcome.UNUSED,
            output_tokens=0,
        )
        await self._cast(keeper, message)

    async def _cast(self, keeper: str, message: Release) -> None:
        if keeper == self.me.seat:
            self._keeper.release(self.me, message)
            return
        try:
            await self._network.cast(keeper, message)
        except PeerUnreachable:
            return

    async def _renew(self, keeper: str, pools: list[str]) -> None:
        leases: dict[str, dict[int, int]] = defaultdict(dict)
        for number, grant in self._grants.items():
            if grant.pool in pools:
                leases[grant.upstream][number] = grant.tokens
        message = Renew(pools=pools, leases=leases)
        try:
            if keeper == self.me.seat:
                reply = await self._keeper.renew(self.me, message)
            else:
                reply = await self._network.call(
                    keeper, message, Rows, CALL_RENEW_TIMEOUT_S
                )
        except BanyanseamError:
            for pool in pools:
                self._announced.pop(pool, None)
            return
        now_s = anyio.current_time()
        for row in reply.rows:
            self._rows[row.pool] = (_read_row(row), now_s)

    def _group_by_keeper(self) -> dict[str, list[str]]:
        self._read_pools()
        live_seats = self._alive_seats(self.region)
        groups: dict[str, list[str]] = defaultdict(list)
        for name in self._pools:
            keeper = find_keeper(name, live_seats)
            if keeper is not None:
                groups[keeper].append(name)
        return groups

    def _read_pools(self) -> None:
        config = self._get_config()
        if config.version != self._pools_version:
            self._pools = list_pools(config, self.region)
            self._pools_version = config.version

    def _list_rows(self, serves: str, demand: Demand, now_s: float) -> list[PoolRow]:
        """Return the pools that serve this; one not yet heard of counts as free."""
        self._read_pools()
        rows = []
        for name, pool in self._pools.items():
            if serves not in pool.serves:
                continue
            if all(each.name in demand.avoid for each in pool.upstreams):
                continue
            row, seen_s = self._rows.get(name, (None, 0.0))
            if row is None or now_s - seen_s > ROW_TERM_S:
                row = _assume_row(pool)
            if row.usable:
                rows.append(row)
        return rows


def _make_reserve(pool: str, number: int, demand: Demand, patience_s: float) -> Reserve:
    return Reserve(
        pool=pool,
        lease=number,
        organisation=demand.organisation,
        weight=demand.weight,
        prompt_tokens=demand.prompt_tokens,
        max_output_tokens=demand.max_output_tokens,
        prefix=list(demand.prefix),
        avoid=sorted(demand.avoid),
        patience_ms=max(0, int(1000 * patience_s)),
    )


def _raise_final(error: PeerCallFailed) -> None:
    """Raise what the keeper raised when asking another one would not help."""
    kind = _ERRORS_BY_CODE.get(error.peer_code)
    if kind is not None:
        raise kind(error.detail, retry_after_ms=error.retry_after_ms) from error


def _read_row(row: Row) -> PoolRow:
    return PoolRow(**row.model_dump())


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
