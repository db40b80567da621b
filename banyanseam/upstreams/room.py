"""The entry's side of room: leases taken, renewed and given back."""

import itertools
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

import anyio

from banyanseam.config.compiled import Upstream
from banyanseam.errors import BanyanseamError
from banyanseam.peers.errors import PeerCallFailed, PeerCallLost, PeerUnreachable
from banyanseam.ticks import sleep_until_tick
from banyanseam.upstreams.const import (
    CALL_RENEW_TIMEOUT_S,
    GRANT_USE_S,
    LOOK_PERIOD_S,
    RESERVE_RETRY_S,
    RESERVE_SLACK_S,
)
from banyanseam.upstreams.context import Context
from banyanseam.upstreams.errors import (
    KeeperChanged,
    NoneUsable,
    NotKeeper,
    NoUpstreamAvailable,
    RequestTooLarge,
)
from banyanseam.upstreams.keeper import Keeper
from banyanseam.upstreams.messages import (
    Announce,
    DescribePool,
    Granted,
    PoolDescription,
    Release,
    Renew,
    RenewalReply,
    Reserve,
)
from banyanseam.upstreams.models import Demand, Grant, Outcome, PoolRow
from banyanseam.upstreams.places import Places
from banyanseam.upstreams.pools import Pool
from banyanseam.upstreams.terms import digest_view

# How leases are renewed at a keeper for some pools.
Send = Callable[[str, list[str]], Awaitable[RenewalReply]]
_ERRORS_BY_CODE = {
    error.code: error for error in (NoUpstreamAvailable, NoneUsable, RequestTooLarge)
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
        context: Context,
        keeper: Keeper,
        places: Places,
        random: Random,
    ) -> None:
        """Hold nothing yet; `keeper` is the one in this process."""
        self._context = context
        self._keeper = keeper
        self._places = places
        self._random = random
        self._numbers = itertools.count(1)
        self._grants: dict[int, Grant] = {}
        self._asks: list[Ask] = []
        self._waiting = 0
        self._announced: dict[str, str] = {}

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
                    if is_new:
                        self._announced.update(dict.fromkeys(pools, keeper))
                        tasks.start_soon(self._renew, keeper, pools, self._announce)
                    elif now_s >= renew_s[keeper]:
                        tasks.start_soon(self._renew, keeper, pools, self._confirm)
                    else:
                        continue
                    renew_s[keeper] = now_s + self._context.read_terms().renew_period_s
                await sleep_until_tick(LOOK_PERIOD_S)

    async def reserve(self, pool: str, demand: Demand, give_up_s: float) -> Grant:
        """Wait for room in a pool of this region.

        Raise NoUpstreamAvailable or RequestTooLarge; nothing was run by then.
        """
        self._waiting += 1
        try:
            return await self._reserve(pool, demand, give_up_s)
        finally:
            self._waiting -= 1

    async def _reserve(self, pool: str, demand: Demand, give_up_s: float) -> Grant:
        while True:
            now_s = anyio.current_time()
            if now_s >= give_up_s:
                raise NoUpstreamAvailable("no keeper answered", retry_after_ms=1000)
            keeper = self._context.find_keeper(pool)
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
        keeper = self._context.find_keeper(grant.pool)
        await self._cast(keeper or grant.keeper, message)

    @property
    def waiting(self) -> int:
        """Return how many requests of this entry wait for room."""
        return self._waiting

    def read_pools(self) -> dict[str, Pool]:
        """Return the pools of this region by name."""
        return self._context.read_pools()

    def find_keeper(self, pool: str) -> str | None:
        """Return the seat that keeps a pool in this daemon's view."""
        return self._context.find_keeper(pool)

    async def look(self, message: DescribePool) -> PoolDescription:
        """Ask a pool's keeper how it stands; nothing is reserved.

        Raise NotKeeper when no live seat keeps the pool, and what the call raises.
        """
        keeper = self._context.find_keeper(message.pool)
        if keeper is None:
            raise NotKeeper(f"no live seat keeps {message.pool}")
        if keeper == self._context.me.seat:
            return await self._keeper.describe_pool(self._context.me, message)
        return await self._context.network.call(
            keeper, message, PoolDescription, CALL_RENEW_TIMEOUT_S
        )

    def is_usable(self, grant: Grant) -> bool:
        """Say whether a grant may still be used; a late one must be given back."""
        upstream = self._context.get_config().upstreams.get(grant.upstream)
        is_gone = upstream is None or upstream.leaving
        is_leaving = grant.upstream in self._context.leaving_upstreams()
        is_late = anyio.current_time() > grant.use_by_s
        return not (is_gone or is_leaving or is_late)

    def get_upstream(self, grant: Grant) -> Upstream:
        """Return the upstream of a usable grant."""
        return self._context.get_config().upstreams[grant.upstream]

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
        self._places.note_rows([PoolRow(*reply.row)], anyio.current_time())
        return grant

    async def _call(self, keeper: str, message: Reserve, patience_s: float) -> Granted:
        if keeper == self._context.me.seat:
            return await self._keeper.reserve(self._context.me, message)
        timeout_s = patience_s + RESERVE_SLACK_S
        with anyio.CancelScope() as scope:
            ask = Ask(message.pool, keeper, scope)
            self._asks.append(ask)
            try:
                return await self._context.network.call(
                    keeper, message, Granted, timeout_s
                )
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
        if keeper == self._context.me.seat:
            self._keeper.release(self._context.me, message)
            return
        try:
            await self._context.network.cast(keeper, message)
        except PeerUnreachable:
            return

    async def _renew(self, keeper: str, pools: list[str], send: Send) -> None:
        try:
            reply = await send(keeper, pools)
        except BanyanseamError:
            for pool in pools:
                self._announced.pop(pool, None)
            return
        rows = [PoolRow(*row) for row in reply.rows]
        self._places.note_rows(rows, anyio.current_time())

    async def _confirm(self, keeper: str, pools: list[str]) -> RenewalReply:
        """Renew by a digest, and announce in full where the keeper knows otherwise."""
        numbers = [
            number for number, grant in self._grants.items() if grant.pool in pools
        ]
        message = Renew(
            digest=digest_view(pools, numbers), period_ms=self._read_period_ms()
        )
        if keeper == self._context.me.seat:
            reply = await self._keeper.renew(self._context.me, message)
        else:
            reply = await self._context.network.call(
                keeper, message, RenewalReply, CALL_RENEW_TIMEOUT_S
            )
        return reply if reply.is_known else await self._announce(keeper, pools)

    async def _announce(self, keeper: str, pools: list[str]) -> RenewalReply:
        leases: dict[str, dict[int, int]] = defaultdict(dict)
        for number, grant in self._grants.items():
            if grant.pool in pools:
                leases[grant.upstream][number] = grant.tokens
        message = Announce(pools=pools, leases=leases, period_ms=self._read_period_ms())
        if keeper == self._context.me.seat:
            return await self._keeper.announce(self._context.me, message)
        return await self._context.network.call(
            keeper, message, RenewalReply, CALL_RENEW_TIMEOUT_S
        )

    def _read_period_ms(self) -> int:
        return round(1000 * self._context.read_terms().renew_period_s)

    def _group_by_keeper(self) -> dict[str, list[str]]:
        groups: dict[str, list[str]] = defaultdict(list)
        keepers = self._context.find_keepers(self._context.read_pools())
        for name, keeper in keepers.items():
            if keeper is not None:
                groups[keeper].append(name)
        return groups


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
