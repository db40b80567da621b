"""Reserve, renew and release leases for the requests of an entry daemon."""

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
    GRANT_VALIDITY_S,
    KEEPER_CHECK_PERIOD_S,
    RESERVE_RETRY_S,
    RESERVE_SLACK_S,
)
from banyanseam.upstreams.context import Context
from banyanseam.upstreams.destinations import DestinationChooser
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
from banyanseam.upstreams.pools import Pool
from banyanseam.upstreams.terms import digest_leases

# Sends a renewal for some pools to a keeper and returns its reply.
Send = Callable[[str, list[str]], Awaitable[RenewalReply]]
_ERRORS_BY_CODE = {
    error.code: error for error in (NoUpstreamAvailable, NoneUsable, RequestTooLarge)
}


@dataclass(slots=True, eq=False)
class PendingReservation:
    """A reservation call that is waiting for the reply of another daemon's keeper."""

    pool: str
    keeper: str
    scope: anyio.CancelScope


class LeaseClient:
    """Reserves, renews and releases the leases of this daemon's requests."""

    def __init__(
        self,
        context: Context,
        keeper: Keeper,
        destinations: DestinationChooser,
        rng: Random,
    ) -> None:
        """Start without leases; `keeper` is the one in this process."""
        self._context = context
        self._keeper = keeper
        self._destinations = destinations
        self._rng = rng
        self._numbers = itertools.count(1)
        self._grants: dict[int, Grant] = {}
        self._pending_calls: list[PendingReservation] = []
        self._waiting = 0
        self._announced: dict[str, str] = {}

    async def run(self) -> None:
        """Renew leases until cancelled, immediately where the keeper changed."""
        renew_s: dict[str, float] = {}
        async with anyio.create_task_group() as tasks:
            while True:
                now_s = anyio.current_time()
                groups = self._group_by_keeper()
                self._cancel_stale_calls(groups)
                for keeper, pools in groups.items():
                    is_new = any(self._announced.get(pool) != keeper for pool in pools)
                    if is_new:
                        self._announced.update(dict.fromkeys(pools, keeper))
                        tasks.start_soon(self._renew, keeper, pools, self._announce)
                    elif now_s >= renew_s[keeper]:
                        tasks.start_soon(
                            self._renew, keeper, pools, self._renew_by_digest
                        )
                    else:
                        continue
                    renew_s[keeper] = now_s + self._context.read_terms().renew_period_s
                await sleep_until_tick(KEEPER_CHECK_PERIOD_S)

    async def reserve(self, pool: str, demand: Demand, deadline_s: float) -> Grant:
        """Wait for a lease on an upstream of a pool in this region.

        Raise NoUpstreamAvailable or RequestTooLarge, and NoneUsable if the
        configuration no longer has the pool; the request has not run then.
        """
        self._waiting += 1
        try:
            return await self._reserve(pool, demand, deadline_s)
        finally:
            self._waiting -= 1

    async def _reserve(self, pool: str, demand: Demand, deadline_s: float) -> Grant:
        while True:
            now_s = anyio.current_time()
            if now_s >= deadline_s:
                raise NoUpstreamAvailable("no keeper answered", retry_after_ms=1000)
            if pool not in self._context.read_pools():
                # A new configuration has removed the pool: choose another or a region.
                raise NoneUsable(pool, retry_after_ms=1000)
            keeper = self._context.find_keeper(pool)
            number = next(self._numbers)
            if keeper is not None:
                grant = await self._request_grant(
                    keeper, pool, number, demand, deadline_s
                )
                if grant is not None:
                    return grant
            await anyio.sleep(RESERVE_RETRY_S * (1 + self._rng.random()))

    async def release(
        self, grant: Grant, outcome: Outcome, output_tokens: int = 0
    ) -> None:
        """Release a lease; if the message is lost, the next renewal omits the lease."""
        self._grants.pop(grant.lease, None)
        message = Release(
            pool=grant.pool,
            lease=grant.lease,
            upstream=grant.upstream,
            outcome=outcome,
            output_tokens=output_tokens,
        )
        # A keeper that has taken over since knows the lease from an announcement.
        keeper = self._context.find_keeper(grant.pool)
        await self._send_release(keeper or grant.keeper, message)

    @property
    def waiting(self) -> int:
        """Return the number of this entry's requests that are waiting for a lease."""
        return self._waiting

    def read_pools(self) -> dict[str, Pool]:
        """Return the pools of this region by name."""
        return self._context.read_pools()

    def find_keeper(self, pool: str) -> str | None:
        """Return the seat that is a pool's keeper in this daemon's membership view."""
        return self._context.find_keeper(pool)

    async def describe_pool(self, message: DescribePool) -> PoolDescription:
        """Query the state of a pool from its keeper, without a reservation.

        Raise NotKeeper when the pool has no live keeper, and the errors of the call.
        """
        keeper = self._context.find_keeper(message.pool)
        if keeper is None:
            raise NotKeeper(f"no live seat is the keeper of {message.pool}")
        if keeper == self._context.me.seat:
            return await self._keeper.describe_pool(self._context.me, message)
        return await self._context.network.call(
            keeper, message, PoolDescription, CALL_RENEW_TIMEOUT_S
        )

    def is_usable(self, grant: Grant) -> bool:
        """Say whether a grant may still be used; if not, it must be released."""
        upstream = self._context.get_config().upstreams.get(grant.upstream)
        is_removed = upstream is None or upstream.leaving
        is_leaving = grant.upstream in self._context.leaving_upstreams()
        is_late = anyio.current_time() > grant.use_by_s
        return not (is_removed or is_leaving or is_late)

    def get_upstream(self, grant: Grant) -> Upstream:
        """Return the upstream of a usable grant."""
        return self._context.get_config().upstreams[grant.upstream]

    async def _request_grant(
        self, keeper: str, pool: str, number: int, demand: Demand, deadline_s: float
    ) -> Grant | None:
        """Return a grant, or None if the pool's current keeper should be tried next."""
        sent_s = anyio.current_time()
        message = _make_reserve(pool, number, demand, deadline_s - sent_s)
        is_settled = True
        try:
            reply = await self._call_reserve(keeper, message, deadline_s - sent_s)
        except (PeerUnreachable, NotKeeper):
            return None
        except PeerCallFailed as error:
            _raise_if_final(error)
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
                # The keeper may still have queued this request or hold a lease for it.
                with anyio.move_on_after(RESERVE_SLACK_S, shield=True):
                    await self._cancel_reservation(keeper, pool, number)
        grant = Grant(
            lease=number,
            pool=pool,
            upstream=reply.upstream,
            keeper=keeper,
            tokens=demand.tokens,
            cached_tokens=reply.cached_tokens,
            use_by_s=sent_s + reply.waited_ms / 1000 + GRANT_VALIDITY_S,
        )
        self._grants[number] = grant
        self._destinations.record_rows([PoolRow(*reply.row)], anyio.current_time())
        return grant

    async def _call_reserve(
        self, keeper: str, message: Reserve, patience_s: float
    ) -> Granted:
        if keeper == self._context.me.seat:
            return await self._keeper.reserve(self._context.me, message)
        timeout_s = patience_s + RESERVE_SLACK_S
        with anyio.CancelScope() as scope:
            pending = PendingReservation(message.pool, keeper, scope)
            self._pending_calls.append(pending)
            try:
                return await self._context.network.call(
                    keeper, message, Granted, timeout_s
                )
            finally:
                self._pending_calls.remove(pending)
        raise KeeperChanged(message.pool)

    def _cancel_stale_calls(self, groups: dict[str, list[str]]) -> None:
        """Cancel the calls to former keepers; a suspended one would never reply."""
        for pending in self._pending_calls:
            if pending.pool not in groups.get(pending.keeper, ()):
                pending.scope.cancel()

    async def _cancel_reservation(self, keeper: str, pool: str, number: int) -> None:
        message = Release(
            pool=pool,
            lease=number,
            upstream="",
            outcome=Outcome.UNUSED,
            output_tokens=0,
        )
        await self._send_release(keeper, message)

    async def _send_release(self, keeper: str, message: Release) -> None:
        if keeper == self._context.me.seat:
            self._keeper.release(self._context.me, message)
            return
        try:
            await self._context.network.cast(keeper, message)
        except (PeerUnreachable, PeerCallLost):
            return

    async def _renew(self, keeper: str, pools: list[str], send: Send) -> None:
        try:
            reply = await send(keeper, pools)
        except BanyanseamError:
            for pool in pools:
                self._announced.pop(pool, None)
            return
        rows = [PoolRow(*row) for row in reply.rows]
        self._destinations.record_rows(rows, anyio.current_time())

    async def _renew_by_digest(self, keeper: str, pools: list[str]) -> RenewalReply:
        """Renew by a digest; announce in full if the keeper's leases differ."""
        numbers = [
            number for number, grant in self._grants.items() if grant.pool in pools
        ]
        message = Renew(
            digest=digest_leases(pools, numbers), period_ms=self._read_period_ms()
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


def _raise_if_final(error: PeerCallFailed) -> None:
    """Raise the keeper's error again if another attempt would not help."""
    kind = _ERRORS_BY_CODE.get(error.peer_code)
    if kind is not None:
        raise kind(error.detail, retry_after_ms=error.retry_after_ms) from error
