"""The keeper: queues reservations, grants leases on upstreams and polls their load."""

import math
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, field

import anyio

from banyanseam.config.compiled import Upstream
from banyanseam.errors import BanyanseamError
from banyanseam.observe.events import (
    ENGINE_RESTARTED,
    KEEPER_CHANGED,
    UPSTREAM_POLL_FAILED,
    log,
)
from banyanseam.peers.messages import PeerIdentity
from banyanseam.ticks import sleep_until_tick
from banyanseam.upstreams.const import (
    FORGET_PERIOD_S,
    KEEPER_CHECK_PERIOD_S,
    KEEPER_PERIOD_S,
    MAX_POLL_PERIOD_S,
    MAX_POLLS_PER_S,
    MIN_POLL_PERIOD_S,
    SUSPENSION_GAP_S,
)
from banyanseam.upstreams.context import Context
from banyanseam.upstreams.errors import (
    NoneUsable,
    NotKeeper,
    NoUpstreamAvailable,
    UpstreamUnreachable,
)
from banyanseam.upstreams.handovers import Handovers
from banyanseam.upstreams.messages import (
    Announce,
    DescribePool,
    Granted,
    Handover,
    PoolDescription,
    Release,
    Renew,
    RenewalReply,
    Reserve,
    UpstreamDescription,
)
from banyanseam.upstreams.models import Demand, LeaseKey, LoadReport, Outcome, PoolRow
from banyanseam.upstreams.pool_scheduler import Placement, PoolScheduler
from banyanseam.upstreams.terms import digest_leases, make_terms

# Fetches the load report of an upstream; raises a BanyanseamError when that fails.
FetchReport = Callable[[Upstream], Awaitable[LoadReport]]


@dataclass(slots=True)
class PendingReservation:
    """A reservation call that waits until its request is placed or refused."""

    pool: str
    done: anyio.Event = field(default_factory=anyio.Event)
    result: Placement | BanyanseamError | None = None

    def finish(self, result: Placement | BanyanseamError) -> None:
        """Set the result and wake the waiting call."""
        self.result = result
        self.done.set()


class Keeper:
    """Schedules the pools whose keeper is this daemon, and polls their upstreams."""

    def __init__(
        self,
        context: Context,
        fetch_report: FetchReport,
    ) -> None:
        """Register the message handlers; `run` does the periodic work."""
        self._context = context
        self._fetch_report = fetch_report
        self._schedulers: dict[str, PoolScheduler] = {}
        self._pending: dict[LeaseKey, PendingReservation] = {}
        self._polled_s: dict[str, float] = {}
        self._polling: set[str] = set()
        # Upstreams whose last poll failed, so that only the first failure is logged.
        self._failed_polls: set[str] = set()
        # Upstreams that failed or refused a request since they were last polled.
        self._failed_requests: set[str] = set()
        self._handovers = Handovers(context)
        context.network.handle_call(Reserve, self.reserve)
        context.network.handle_call(Renew, self.renew)
        context.network.handle_call(DescribePool, self.describe_pool)
        context.network.handle_call(Announce, self.announce)
        context.network.handle_cast(Release, self.release)
        context.network.handle_cast(Handover, self.take_over)

    async def run(self) -> None:
        """Update pools, send handovers and poll upstreams until cancelled."""
        last_pass_s = anyio.current_time()
        next_forget_s = last_pass_s + FORGET_PERIOD_S
        async with anyio.create_task_group() as tasks:
            while True:
                now_s = anyio.current_time()
                if now_s - last_pass_s > SUSPENSION_GAP_S:
                    self.restart()
                last_pass_s = now_s
                self._update_pools(now_s)
                self._handovers.send(tasks)
                for upstream in self._list_due_polls(now_s):
                    tasks.start_soon(self._poll, upstream)
                if now_s >= next_forget_s:
                    next_forget_s = now_s + FORGET_PERIOD_S
                    for scheduler in self._schedulers.values():
                        scheduler.queue.drop_idle_counters()
                has_waiting = any(
                    len(scheduler.queue) for scheduler in self._schedulers.values()
                )
                await sleep_until_tick(
                    KEEPER_PERIOD_S if has_waiting else KEEPER_CHECK_PERIOD_S
                )

    def restart(self) -> None:
        """Start the learning period again, as after a suspension of the process.

        During the suspension another daemon may have granted leases as the keeper.
        """
        for scheduler in self._schedulers.values():
            scheduler.restart(anyio.current_time())

    async def reserve(self, identity: PeerIdentity, message: Reserve) -> Granted:
        """Wait for free capacity and grant a lease; raise if none frees up in time."""
        now_s = anyio.current_time()
        scheduler = self._get_scheduler(message.pool, now_s)
        key = LeaseKey(identity.seat, identity.incarnation, message.lease)
        demand = Demand(
            organisation=message.organisation,
            weight=message.weight,
            prompt_tokens=message.prompt_tokens,
            max_output_tokens=message.max_output_tokens,
            prefix=tuple(message.prefix),
            avoid=frozenset(message.avoid),
        )
        scheduler.enqueue(key, demand, now_s + message.patience_ms / 1000, now_s)
        pending = self._pending[key] = PendingReservation(message.pool)
        self._dispatch(scheduler, now_s)
        try:
            await pending.done.wait()
        except BaseException:
            scheduler.cancel(key, anyio.current_time())
            raise
        finally:
            del self._pending[key]
        if not isinstance(pending.result, Placement):
            raise pending.result
        return Granted(
            upstream=pending.result.upstream,
            cached_tokens=pending.result.cached_tokens,
            waited_ms=round(1000 * (anyio.current_time() - now_s)),
            row=scheduler.summarise(anyio.current_time()).pack(),
        )

    def release(self, identity: PeerIdentity, message: Release) -> None:
        """Release a lease or leave the queue, then serve the next waiting requests."""
        scheduler = self._schedulers.get(message.pool)
        if scheduler is None:
            return
        now_s = anyio.current_time()
        key = LeaseKey(identity.seat, identity.incarnation, message.lease)
        if message.upstream:
            scheduler.release(
                key, message.upstream, message.outcome, message.output_tokens, now_s
            )
            if message.outcome not in (Outcome.COMPLETED, Outcome.STOPPED):
                self._failed_requests.add(message.upstream)
        else:
            scheduler.cancel(key, now_s)
            if key in self._pending:
                self._pending[key].finish(
                    NotKeeper("the entry daemon cancelled the reservation")
                )
        self._dispatch(scheduler, now_s)

    def take_over(self, identity: PeerIdentity, message: Handover) -> None:
        """Store a handover and take over its leases once this daemon is the keeper.

        The message may arrive before this daemon's own view makes it the keeper.
        """
        now_s = anyio.current_time()
        self._handovers.receive(message, now_s)
        self._update_pools(now_s)

    async def renew(self, identity: PeerIdentity, message: Renew) -> RenewalReply:
        """Renew an entry's leases if both sides hold the same set of them.

        The sets differ if a message was lost or crossed this one, or if the two
        daemons disagree on who is the keeper of a pool.
        """
        now_s = anyio.current_time()
        terms = make_terms(message.period_ms / 1000)
        process = (identity.seat, identity.incarnation)
        numbers = [
            number
            for scheduler in self._schedulers.values()
            for number in scheduler.list_numbers(*process)
        ]
        is_known = message.digest == digest_leases(self._schedulers, numbers)
        if is_known:
            for scheduler in self._schedulers.values():
                scheduler.renew(*process, now_s, terms)
        return self._make_reply(is_known=is_known)

    async def announce(self, identity: PeerIdentity, message: Announce) -> RenewalReply:
        """Apply the full list of an entry's leases on the pools that it names."""
        now_s = anyio.current_time()
        terms = make_terms(message.period_ms / 1000)
        process = (identity.seat, identity.incarnation)
        if any(name not in self._schedulers for name in message.pools):
            self._update_pools(now_s)
        for name in message.pools:
            if name in self._schedulers:
                self._schedulers[name].announce(*process, message.leases, now_s, terms)
        return self._make_reply(is_known=True)

    async def describe_pool(
        self, identity: PeerIdentity, message: DescribePool
    ) -> PoolDescription:
        """Return a pool's status and how a request would fare, without granting it."""
        now_s = anyio.current_time()
        scheduler = self._get_scheduler(message.pool, now_s)
        demand = Demand(
            organisation=message.organisation,
            weight=message.weight,
            prompt_tokens=message.prompt_tokens,
            max_output_tokens=message.max_output_tokens,
        )
        wait_s, refusal = 0.0, None
        try:
            wait_s = scheduler.check_admission(
                demand, now_s + message.patience_ms / 1000, now_s
            )
        except BanyanseamError as error:
            refusal = error
        return PoolDescription(
            queued=len(scheduler.queue),
            wait_ms=round(1000 * wait_s),
            refused_code=_get_caller_code(refusal),
            refused_detail=refusal.detail if refusal else None,
            upstreams=[
                UpstreamDescription(**asdict(one))
                for one in scheduler.list_states(now_s)
            ],
        )

    def list_rows(self) -> list[PoolRow]:
        """Return the summaries of the pools whose keeper is this daemon."""
        now_s = anyio.current_time()
        return [scheduler.summarise(now_s) for scheduler in self._schedulers.values()]

    def _make_reply(self, *, is_known: bool) -> RenewalReply:
        return RenewalReply(
            is_known=is_known, rows=[row.pack() for row in self.list_rows()]
        )

    def _update_pools(self, now_s: float) -> None:
        """Add and drop pools to match the configuration and the live seats."""
        context = self._context
        pools = context.read_pools()
        seats = context.read_seats()
        leaving = frozenset(context.leaving_upstreams())
        keepers = context.find_keepers(pools)
        for name, pool in pools.items():
            if keepers[name] != context.me.seat:
                self._drop_pool(name)
            elif name not in self._schedulers:
                log(KEEPER_CHANGED, pool=name, is_mine=True)
                self._schedulers[name] = PoolScheduler(pool, seats, now_s)
            if name in self._schedulers:
                leases = self._handovers.pop_received(name, now_s)
                self._schedulers[name].take_over(leases, now_s)
        for name in list(self._schedulers):
            if name not in pools:
                self._drop_pool(name)
                continue
            scheduler = self._schedulers[name]
            scheduler.update(pools[name], seats, leaving, now_s)
            self._dispatch(scheduler, now_s)

    def _drop_pool(self, name: str) -> None:
        if name not in self._schedulers:
            return
        log(KEEPER_CHANGED, pool=name, is_mine=False)
        scheduler = self._schedulers.pop(name)
        self._handovers.prepare(name, scheduler.list_leases())
        for pending in self._pending.values():
            if pending.pool == name and pending.result is None:
                pending.finish(NotKeeper(name))

    def _get_scheduler(self, name: str, now_s: float) -> PoolScheduler:
        if name not in self._schedulers:
            self._update_pools(now_s)
        if name not in self._schedulers:
            raise NotKeeper(name)
        return self._schedulers[name]

    def _dispatch(self, scheduler: PoolScheduler, now_s: float) -> None:
        placed, refused = scheduler.dispatch(now_s)
        for placement in placed:
            pending = self._pending.get(placement.key)
            if pending is None or pending.result is not None:
                scheduler.cancel(placement.key, now_s)
                continue
            pending.finish(placement)
        for refusal in refused:
            if refusal.key in self._pending:
                self._pending[refusal.key].finish(refusal.error)

    def _list_due_polls(self, now_s: float) -> list[Upstream]:
        reported = {
            name: (scheduler.tracked[name], scheduler.seats)
            for scheduler in self._schedulers.values()
            for name, upstream in scheduler.upstreams.items()
            if upstream.is_model
        }
        period_s = len(reported) / MAX_POLLS_PER_S
        period_s = min(MAX_POLL_PERIOD_S, max(MIN_POLL_PERIOD_S, period_s))
        due = []
        for name, (tracked, seats) in reported.items():
            # Leases granted by another keeper are visible in load reports only, so poll
            # at the fast rate while another keeper is possible.
            is_idle_and_undisputed = (
                tracked.ledger.is_idle and tracked.ledger.is_undisputed(seats, now_s)
            )
            may_poll_slowly = is_idle_and_undisputed and name not in self._failed_polls
            interval_s = MAX_POLL_PERIOD_S if may_poll_slowly else period_s
            if name in self._failed_requests:
                interval_s = MIN_POLL_PERIOD_S
            is_due = now_s >= self._polled_s.get(name, -math.inf) + interval_s
            if is_due and name not in self._polling:
                self._polled_s[name] = now_s
                self._failed_requests.discard(name)
                due.append(tracked.upstream)
        return due

    async def _poll(self, upstream: Upstream) -> None:
        self._polling.add(upstream.name)
        report = None
        is_unreachable = False
        try:
            report = await self._fetch_report(upstream)
            self._failed_polls.discard(upstream.name)
        except BanyanseamError as error:
            is_unreachable = isinstance(error, UpstreamUnreachable)
            if upstream.name not in self._failed_polls:
                log(UPSTREAM_POLL_FAILED, upstream=upstream.name, code=error.code)
            self._failed_polls.add(upstream.name)
        finally:
            self._polling.discard(upstream.name)
        now_s = anyio.current_time()
        for scheduler in self._schedulers.values():
            published = scheduler.upstreams.get(upstream.name)
            # Another address was published while this one was polled.
            if published is not None and published.address == upstream.address:
                if scheduler.observe(upstream.name, report, now_s):
                    log(ENGINE_RESTARTED, upstream=upstream.name)
                if is_unreachable:
                    scheduler.record_unreachable(upstream.name)
                self._dispatch(scheduler, now_s)


def _get_caller_code(refusal: BanyanseamError | None) -> str | None:
    """Return the error code that the caller would receive."""
    if isinstance(refusal, NoneUsable):
        return NoUpstreamAvailable.code
    return refusal.code if refusal else None
