"""The keeper's side: answers entries, polls upstreams, gives room to who waits."""

import math
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, field

import anyio

from banyanseam.config.compiled import Upstream
from banyanseam.errors import BanyanseamError
from banyanseam.observe.events import KEEPER_CHANGED, UPSTREAM_POLL_FAILED, log
from banyanseam.peers.messages import PeerIdentity
from banyanseam.ticks import sleep_until_tick
from banyanseam.upstreams.const import (
    FORGET_PERIOD_S,
    KEEPER_PERIOD_S,
    LOOK_PERIOD_S,
    MAX_GAP_S,
    MAX_POLL_PERIOD_S,
    MAX_POLLS_PER_S,
    MIN_POLL_PERIOD_S,
)
from banyanseam.upstreams.context import Context
from banyanseam.upstreams.errors import NoneUsable, NotKeeper, NoUpstreamAvailable
from banyanseam.upstreams.handovers import Handovers
from banyanseam.upstreams.kept_pool import KeptPool, Placed
from banyanseam.upstreams.messages import (
    Announce,
    Granted,
    Handover,
    LookAtPool,
    PoolSeen,
    Release,
    Renew,
    Reserve,
    Rows,
    UpstreamSeen,
)
from banyanseam.upstreams.models import Demand, LeaseKey, LoadReport, PoolRow
from banyanseam.upstreams.terms import digest_view, make_terms

# Ask an upstream for its load; raise a BanyanseamError when it does not answer.
FetchReport = Callable[[Upstream], Awaitable[LoadReport]]


@dataclass(slots=True)
class Wait:
    """A call that is answered when its request got room or was refused."""

    pool: str
    done: anyio.Event = field(default_factory=anyio.Event)
    result: Placed | BanyanseamError | None = None

    def finish(self, result: Placed | BanyanseamError) -> None:
        """Wake the call."""
        self.result = result
        self.done.set()


class Keeper:
    """The pools that this daemon keeps at present."""

    def __init__(
        self,
        context: Context,
        fetch_report: FetchReport,
    ) -> None:
        """Answer entries from now on; `run` does the rest."""
        self._context = context
        self._fetch_report = fetch_report
        self._kept: dict[str, KeptPool] = {}
        self._waits: dict[LeaseKey, Wait] = {}
        self._polled_s: dict[str, float] = {}
        self._polling: set[str] = set()
        # Upstreams whose last poll failed, so that only the first one is logged.
        self._silent: set[str] = set()
        self._handovers = Handovers(context)
        context.network.handle_call(Reserve, self.reserve)
        context.network.handle_call(Renew, self.renew)
        context.network.handle_call(LookAtPool, self.look)
        context.network.handle_call(Announce, self.hear)
        context.network.handle_cast(Release, self.release)
        context.network.handle_cast(Handover, self.take_over)

    async def run(self) -> None:
        """Keep pools until cancelled."""
        looked_s = anyio.current_time()
        forget_s = looked_s + FORGET_PERIOD_S
        async with anyio.create_task_group() as tasks:
            while True:
                now_s = anyio.current_time()
                if now_s - looked_s > MAX_GAP_S:
                    self.restart()
                looked_s = now_s
                self._look(now_s)
                self._handovers.send(tasks)
                for upstream in self._list_due(now_s):
                    tasks.start_soon(self._poll, upstream)
                if now_s >= forget_s:
                    forget_s = now_s + FORGET_PERIOD_S
                    for kept in self._kept.values():
                        kept.queue.forget_idle()
                is_waited_for = any(len(kept.queue) for kept in self._kept.values())
                await sleep_until_tick(
                    KEEPER_PERIOD_S if is_waited_for else LOOK_PERIOD_S
                )

    def restart(self) -> None:
        """Trust nothing that was known before a freeze."""
        for kept in self._kept.values():
            kept.restart(anyio.current_time())

    async def reserve(self, identity: PeerIdentity, message: Reserve) -> Granted:
        """Answer when there is room; raise when there will be none in time."""
        now_s = anyio.current_time()
        kept = self._find_kept(message.pool, now_s)
        key = LeaseKey(identity.seat, identity.incarnation, message.lease)
        demand = Demand(
            organisation=message.organisation,
            weight=message.weight,
            prompt_tokens=message.prompt_tokens,
            max_output_tokens=message.max_output_tokens,
            prefix=tuple(message.prefix),
            avoid=frozenset(message.avoid),
        )
        kept.ask(key, demand, now_s + message.patience_ms / 1000, now_s)
        wait = self._waits[key] = Wait(message.pool)
        self._dispatch(kept, now_s)
        try:
            await wait.done.wait()
        except BaseException:
            kept.withdraw(key, anyio.current_time())
            raise
        finally:
            del self._waits[key]
        if not isinstance(wait.result, Placed):
            raise wait.result
        return Granted(
            upstream=wait.result.upstream,
            cached_tokens=wait.result.cached_tokens,
            waited_ms=round(1000 * (anyio.current_time() - now_s)),
            row=kept.summarise(anyio.current_time()).pack(),
        )

    def release(self, identity: PeerIdentity, message: Release) -> None:
        """Take room back and hand it on."""
        kept = self._kept.get(message.pool)
        if kept is None:
            return
        now_s = anyio.current_time()
        key = LeaseKey(identity.seat, identity.incarnation, message.lease)
        if message.upstream:
            kept.release(
                key, message.upstream, message.outcome, message.output_tokens, now_s
            )
        else:
            kept.withdraw(key, now_s)
            if key in self._waits:
                self._waits[key].finish(NotKeeper("the entry left the queue"))
        self._dispatch(kept, now_s)

    def take_over(self, identity: PeerIdentity, message: Handover) -> None:
        """Take what the keeper before held; views of who keeps may differ shortly."""
        now_s = anyio.current_time()
        self._handovers.receive(message, now_s)
        self._look(now_s)

    async def renew(self, identity: PeerIdentity, message: Renew) -> Rows:
        """Renew an entry's leases if this keeper knows of just those.

        They differ where a message was lost or crossed this one, and where the two
        daemons disagree on who keeps what.
        """
        now_s = anyio.current_time()
        terms = make_terms(message.period_ms / 1000)
        process = (identity.seat, identity.incarnation)
        numbers = [
            number
            for kept in self._kept.values()
            for number in kept.list_numbers(*process)
        ]
        is_known = message.digest == digest_view(self._kept, numbers)
        if is_known:
            for kept in self._kept.values():
                kept.renew(*process, now_s, terms)
        return self._make_rows(is_known=is_known)

    async def hear(self, identity: PeerIdentity, message: Announce) -> Rows:
        """Take the full list of an entry's leases on the pools that it names."""
        now_s = anyio.current_time()
        terms = make_terms(message.period_ms / 1000)
        process = (identity.seat, identity.incarnation)
        if any(name not in self._kept for name in message.pools):
            self._look(now_s)
        for name in message.pools:
            if name in self._kept:
                self._kept[name].announce(*process, message.leases, now_s, terms)
        return self._make_rows(is_known=True)

    async def look(self, identity: PeerIdentity, message: LookAtPool) -> PoolSeen:
        """Say how a pool stands and what a request would get; nothing is granted."""
        now_s = anyio.current_time()
        kept = self._find_kept(message.pool, now_s)
        demand = Demand(
            organisation=message.organisation,
            weight=message.weight,
            prompt_tokens=message.prompt_tokens,
            max_output_tokens=message.max_output_tokens,
        )
        wait_s, refusal = 0.0, None
        try:
            wait_s = kept.check(demand, now_s + message.patience_ms / 1000, now_s)
        except BanyanseamError as error:
            refusal = error
        return PoolSeen(
            queued=len(kept.queue),
            wait_ms=round(1000 * wait_s),
            refused_code=_tell_code(refusal),
            refused_detail=refusal.detail if refusal else None,
            upstreams=[UpstreamSeen(**asdict(one)) for one in kept.list_states(now_s)],
        )

    def list_rows(self) -> list[PoolRow]:
        """Return the summaries of the pools kept here."""
        now_s = anyio.current_time()
        return [kept.summarise(now_s) for kept in self._kept.values()]

    def _make_rows(self, *, is_known: bool) -> Rows:
        return Rows(is_known=is_known, rows=[row.pack() for row in self.list_rows()])

    def _look(self, now_s: float) -> None:
        """Take up and put down pools as configuration and live seats say."""
        context = self._context
        pools = context.read_pools()
        seats = context.read_seats()
        leaving = frozenset(context.leaving_upstreams())
        keepers = context.find_keepers(pools)
        for name, pool in pools.items():
            if keepers[name] != context.me.seat:
                self._put_down(name)
            elif name not in self._kept:
                log(KEEPER_CHANGED, pool=name, is_mine=True)
                self._kept[name] = KeptPool(pool, seats, now_s)
            if name in self._kept:
                leases = self._handovers.take(name, now_s)
                self._kept[name].take_over(leases, now_s)
        for name in list(self._kept):
            if name not in pools:
                self._put_down(name)
                continue
            kept = self._kept[name]
            kept.update(pools[name], seats, leaving, now_s)
            self._dispatch(kept, now_s)

    def _put_down(self, name: str) -> None:
        if name not in self._kept:
            return
        log(KEEPER_CHANGED, pool=name, is_mine=False)
        kept = self._kept.pop(name)
        self._handovers.prepare(name, kept.list_leases())
        for wait in self._waits.values():
            if wait.pool == name and wait.result is None:
                wait.finish(NotKeeper(name))

    def _find_kept(self, name: str, now_s: float) -> KeptPool:
        if name not in self._kept:
            self._look(now_s)
        if name not in self._kept:
            raise NotKeeper(name)
        return self._kept[name]

    def _dispatch(self, kept: KeptPool, now_s: float) -> None:
        placed, refused = kept.dispatch(now_s)
        for each in placed:
            wait = self._waits.get(each.key)
            if wait is None or wait.result is not None:
                kept.withdraw(each.key, now_s)
                continue
            wait.finish(each)
        for each in refused:
            if each.key in self._waits:
                self._waits[each.key].finish(each.error)

    def _list_due(self, now_s: float) -> list[Upstream]:
        reported = {
            name: (kept.kept[name], kept.seats)
            for kept in self._kept.values()
            for name, upstream in kept.upstreams.items()
            if upstream.is_model
        }
        period_s = len(reported) / MAX_POLLS_PER_S
        period_s = min(MAX_POLL_PERIOD_S, max(MIN_POLL_PERIOD_S, period_s))
        due = []
        for name, (kept, seats) in reported.items():
            # What another keeper may be granting shows in the reports alone.
            is_calm = kept.held.is_idle and kept.held.is_undisputed(seats, now_s)
            is_slow = is_calm and name not in self._silent
            pause_s = MAX_POLL_PERIOD_S if is_slow else period_s
            is_due = now_s >= self._polled_s.get(name, -math.inf) + pause_s
            if is_due and name not in self._polling:
                self._polled_s[name] = now_s
                due.append(kept.upstream)
        return due

    async def _poll(self, upstream: Upstream) -> None:
        self._polling.add(upstream.name)
        report = None
        try:
            report = await self._fetch_report(upstream)
            self._silent.discard(upstream.name)
        except BanyanseamError as error:
            if upstream.name not in self._silent:
                log(UPSTREAM_POLL_FAILED, upstream=upstream.name, code=error.code)
            self._silent.add(upstream.name)
        finally:
            self._polling.discard(upstream.name)
        now_s = anyio.current_time()
        for kept in self._kept.values():
            if upstream.name in kept.upstreams:
                kept.observe(upstream.name, report, now_s)
                self._dispatch(kept, now_s)


def _tell_code(refusal: BanyanseamError | None) -> str | None:
    """Return the code that a caller would see in the end."""
    if isinstance(refusal, NoneUsable):
        return NoUpstreamAvailable.code
    return refusal.code if refusal else None
