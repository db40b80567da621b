"""Brings the engines of this region to the state desired by the configuration.

One engine at a time is changed, so that the others keep serving, and loads share the
region's part of the weight store's rate. An engine's state is read before each order,
so that a daemon that takes over continues where the last one stopped.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

import anyio

from banyanseam.config.compiled import Config, Upstream
from banyanseam.errors import BanyanseamError
from banyanseam.observe.events import (
    ENGINE_CONVERGED,
    LOAD_OVERDUE,
    ORDER_FAILED,
    ORDER_SENT,
    log,
)
from banyanseam.orders.const import (
    CHANGE_PERIOD_S,
    CHECK_PERIOD_S,
    LOAD_TIME_ALLOWANCE_S,
    LOAD_TIME_FACTOR,
    RETRY_PAUSE_S,
)
from banyanseam.orders.errors import EngineFull
from banyanseam.orders.leader_election import LeaderElection
from banyanseam.orders.models import EngineState, Order, Progress
from banyanseam.orders.plan import is_loading, plan_next


class Engines(Protocol):
    """Interface of `EngineClient`, which tests replace by a fake."""

    read_state: Callable[[Upstream], Awaitable[EngineState]]
    send_order: Callable[[Upstream, Order, int, float], Awaitable[None]]


@dataclass(slots=True)
class EngineProgress:
    """Progress of one engine towards its desired state."""

    progress: Progress = "not seen"
    # The engine's state is not read before this time.
    next_check_s: float = float("-inf")
    is_full: bool = False
    order: Order | None = None
    # The code of the last failure, until a call succeeds.
    failure: str | None = None
    load_due_s: float | None = None


class Orderer:
    """Gives orders to engines while this seat is the leader."""

    def __init__(
        self,
        region: str,
        election: LeaderElection,
        engines: Engines,
        get_config: Callable[[], Config],
        is_serving: Callable[[], bool],
    ) -> None:
        """Set up; `run` gives the orders."""
        self.election = election
        self.progress_by_engine: dict[str, EngineProgress] = {}
        self.region = region
        self._engines = engines
        self._get_config = get_config
        self._is_serving = is_serving
        self._version = 0

    async def run(self) -> None:
        """Check all engines periodically, until cancelled."""
        while True:
            await self.check_engines()
            await anyio.sleep(CHANGE_PERIOD_S)

    async def check_engines(self) -> None:
        """Read the state of each engine that is due, and give its next order."""
        config = self._get_config()
        upstreams = self.list_engines(config)
        if not upstreams:
            self.progress_by_engine.clear()
            return
        self.election.advance(anyio.current_time())
        if not self._is_serving() or self.election.leader is None:
            return
        self._apply_config(config, upstreams)
        for upstream in upstreams:
            engine = self.progress_by_engine[upstream.name]
            if not self._may_order(upstream):
                # Another seat may change the engine, so its last state may be old.
                self.progress_by_engine[upstream.name] = EngineProgress("held back")
            elif engine.progress == "held back":
                engine.progress = "not seen"
        for upstream in upstreams:
            engine = self.progress_by_engine[upstream.name]
            is_due = anyio.current_time() >= engine.next_check_s
            if is_due and self._may_order(upstream):
                await self._check_engine(config, upstream, engine)

    def list_engines(self, config: Config) -> list[Upstream]:
        """Return the engines of this region that take orders, in order of name."""
        return sorted(
            (
                upstream
                for upstream in config.upstreams.values()
                if upstream.region == self.region
                and upstream.desired is not None
                and not upstream.leaving
            ),
            key=lambda upstream: upstream.name,
        )

    def _apply_config(self, config: Config, upstreams: list[Upstream]) -> None:
        previous = self.progress_by_engine
        self.progress_by_engine = {
            one.name: previous.get(one.name, EngineProgress()) for one in upstreams
        }
        if config.version != self._version:
            self._version = config.version
            for engine in self.progress_by_engine.values():
                engine.next_check_s = float("-inf")

    def _may_change(self, engine: EngineProgress) -> bool:
        """Return whether this seat sees no other engine that is being changed.

        A seat that takes over reads the state of every engine that it may give orders
        to before it changes one.
        """
        others = [one for one in self.progress_by_engine.values() if one is not engine]
        return not any(one.progress in ("changing", "not seen") for one in others)

    def _may_order(self, upstream: Upstream) -> bool:
        return self.election.may_order(
            anyio.current_time(), checks_fencing=upstream.checks_fencing
        )

    async def _check_engine(
        self, config: Config, upstream: Upstream, engine: EngineProgress
    ) -> None:
        try:
            state = await self._engines.read_state(upstream)
            engine.failure = None
            await self._send_next_order(config, upstream, engine, state)
        except EngineFull as error:
            self._record_failure(upstream, engine, error)
            if not engine.is_full:
                # The next check first unloads models that are not desired.
                engine.is_full = True
                engine.next_check_s = anyio.current_time() + CHANGE_PERIOD_S
        except BanyanseamError as error:
            self._record_failure(upstream, engine, error)

    async def _send_next_order(
        self,
        config: Config,
        upstream: Upstream,
        engine: EngineProgress,
        state: EngineState,
    ) -> None:
        order = plan_next(upstream.desired, state, is_full=engine.is_full)
        if order is None and not is_loading(state):
            self._record_done(upstream, engine)
            return
        now_s = anyio.current_time()
        engine.next_check_s = now_s + CHANGE_PERIOD_S
        if order is None:
            self._check_load(upstream, engine)
            return
        if not self._may_change(engine):
            engine.progress = "waiting"
            return
        # The leader may have changed while the engine's state was read.
        if not self._may_order(upstream):
            return
        rate_bytes_per_s = config.weight_bytes_per_s[upstream.region]
        await self._engines.send_order(
            upstream, order, config.version, rate_bytes_per_s
        )
        engine.progress, engine.order = "changing", order
        engine.load_due_s = None
        if order.kind == "load_model":
            load_s = LOAD_TIME_FACTOR * order.weight_bytes / rate_bytes_per_s
            engine.load_due_s = now_s + load_s + LOAD_TIME_ALLOWANCE_S
        log(
            ORDER_SENT,
            upstream=upstream.name,
            kind=order.kind,
            model=order.model,
            model_version=order.version,
            fencing=config.version,
        )

    def _check_load(self, upstream: Upstream, engine: EngineProgress) -> None:
        """Set a loading engine to changing, or to failed once its load is overdue."""
        now_s = anyio.current_time()
        if engine.load_due_s is None:
            # This seat did not record an order for this load, so its size is unknown.
            engine.load_due_s = now_s + LOAD_TIME_ALLOWANCE_S
        if now_s < engine.load_due_s:
            engine.progress = "changing"
            return
        if engine.progress != "failed":
            log(LOAD_OVERDUE, upstream=upstream.name)
        # As it has failed, the other engines need not wait for it.
        engine.progress = "failed"
        engine.next_check_s = now_s + RETRY_PAUSE_S

    def _record_done(self, upstream: Upstream, engine: EngineProgress) -> None:
        if engine.progress in ("changing", "failed"):
            log(ENGINE_CONVERGED, upstream=upstream.name)
        engine.progress, engine.order = "as desired", None
        engine.is_full, engine.load_due_s = False, None
        engine.next_check_s = anyio.current_time() + CHECK_PERIOD_S

    def _record_failure(
        self, upstream: Upstream, engine: EngineProgress, error: BanyanseamError
    ) -> None:
        log(ORDER_FAILED, upstream=upstream.name, code=error.code, detail=error.detail)
        engine.progress, engine.failure = "failed", error.code
        engine.next_check_s = anyio.current_time() + RETRY_PAUSE_S
