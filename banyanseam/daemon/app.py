"""The daemon: join the fleet, serve callers, and stop after a drain."""

import gc
import signal
from typing import Final

import anyio
from anyio.abc import TaskGroup

from banyanseam.daemon.components import DaemonComponents
from banyanseam.daemon.lifecycle import drain, leave
from banyanseam.daemon.operations import make_operations
from banyanseam.daemon.serving import ServingComponents, make_serving_components
from banyanseam.observe.events import DAEMON_READY, DAEMON_STOPPED, DRAIN_STARTED, log
from banyanseam.observe.logs import Logs
from banyanseam.peers.entries import ENTRIES_VALIDITY_MS
from banyanseam.server.budget import ByteBudget
from banyanseam.server.callers import AsgiApp, CallersPort, make_callers_app
from banyanseam.server.connections import make_connection_table
from banyanseam.server.operators import make_operators_app
from banyanseam.server.own_routes import (
    make_entries_route,
    make_health_route,
    make_tickets_route,
)
from banyanseam.server.serve import EmbeddedServer, make_server
from banyanseam.settings import Settings

# Time for callers to read the rest of answers that have ended.
CLOSE_LIMIT_S: Final = 10.0


class Daemon(DaemonComponents):
    """One daemon process at its seat, the configured addresses of an entry VM."""

    def __init__(self, settings: Settings, logs: Logs) -> None:
        """Build the parts that do not need a configuration."""
        super().__init__(settings, logs)
        self._superseded = anyio.Event()
        self._connections = make_connection_table()
        self.view.membership.on_superseded(lambda _: self._superseded.set())

    async def run(self) -> None:
        """Serve until a planned stop ends or a newer process takes over the seat."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_signals)
            operators = make_server(
                make_operators_app(make_operations(self)),
                self.settings.operators_address,
                self._connections,
            )
            tasks.start_soon(operators.serve)
            callers = await self._start_serving(tasks)
            if callers is not None:
                await self._wait_for_end()
                with anyio.move_on_after(CLOSE_LIMIT_S):
                    await callers.close()
                await leave(self.lifecycle, self._hand_over)
            operators.should_exit = True
            tasks.cancel_scope.cancel()
        log(DAEMON_STOPPED)

    async def _start_serving(self, tasks: TaskGroup) -> EmbeddedServer | None:
        """Return the callers' server, or None if a stop was requested first."""
        if not await self._join(tasks):
            return None
        policy = self.view.get_config().policies[self.settings.region]
        self.budget = ByteBudget(policy.byte_budget)
        self.serving = make_serving_components(self.view, self.quota, tasks)
        app = self._make_callers_app(self.serving, self.budget)
        callers = make_server(app, self.settings.callers_address, self._connections)
        self.serving.start(tasks)
        tasks.start_soon(callers.serve)
        await callers.listening.wait()
        # The objects created so far live as long as the process. A garbage collection
        # that traversed them all would stall every request for tens of milliseconds.
        gc.collect()
        gc.freeze()
        self.view.control.begin_serving(tasks)
        log(DAEMON_READY, incarnation=self.view.incarnation.number)
        return callers

    async def _join(self, tasks: TaskGroup) -> bool:
        async with anyio.create_task_group() as joining:

            async def cancel_on_drain() -> None:
                await self.drain_requested.wait()
                joining.cancel_scope.cancel()

            joining.start_soon(cancel_on_drain)
            await self.view.join(tasks)
            joining.cancel_scope.cancel()
        return not self.drain_requested.is_set()

    async def _wait_for_end(self) -> None:
        async with anyio.create_task_group() as endings:

            async def drain_when_requested() -> None:
                await self.drain_requested.wait()
                log(DRAIN_STARTED)
                gossip_timing = self.view.membership.gossip_timing
                await drain(
                    self.lifecycle,
                    ENTRIES_VALIDITY_MS,
                    spread_s=gossip_timing.leave_propagation_s,
                )
                endings.cancel_scope.cancel()

            async def finish_when_superseded() -> None:
                await self._superseded.wait()
                # The seat's address belongs to the newer process, so this one only
                # finishes the requests that are already running.
                self.lifecycle.begin_drain()
                self.lifecycle.begin_closing()
                await self.lifecycle.wait_idle()
                endings.cancel_scope.cancel()

            endings.start_soon(drain_when_requested)
            endings.start_soon(finish_when_superseded)

    async def _hand_over(self) -> None:
        await self.quota.home.return_loans()
        if self.serving is not None and not self._superseded.is_set():
            await self.serving.idempotency.stop()

    def _make_callers_app(
        self, serving: ServingComponents, budget: ByteBudget
    ) -> AsgiApp:
        control = self.view.control
        routes = {
            "/v1/entries": make_entries_route(self.list_entries),
            "/v1/tickets": make_tickets_route(
                self.view.get_config, serving.idempotency.ticket_issuer
            ),
            "/health/live": make_health_route(lambda: True),
            "/health/ready": make_health_route(lambda: self.is_ready),
        }
        port = CallersPort(
            pipeline=serving.pipelines.from_callers,
            own_routes=routes,
            budget=budget,
            is_accepting=lambda: control.accepts_requests,
            wait_until_accepting=control.wait_until_caught_up,
            closes_connections=lambda: self.lifecycle.closes_connections,
        )
        return make_callers_app(port)

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self.begin_drain()
