"""The daemon: join the fleet, serve until told to stop."""

import random
import signal

import anyio
from anyio.abc import TaskGroup

from banyanseam.daemon.fleet_view import FleetView
from banyanseam.daemon.operations import make_operations
from banyanseam.daemon.serving import Serving, make_serving
from banyanseam.observe.events import DAEMON_READY, DAEMON_STOPPED, log
from banyanseam.server.callers import Asgi, make_callers_app
from banyanseam.server.operator_models import DrainReply, EntriesReply, Entry
from banyanseam.server.operators import make_operators_app
from banyanseam.server.own_routes import (
    make_entries_route,
    make_health_route,
    make_tickets_route,
)
from banyanseam.server.serve import EmbeddedServer, make_server
from banyanseam.settings import Settings


class Daemon:
    """One process at one seat."""

    def __init__(self, settings: Settings) -> None:
        """Build what does not need a configuration."""
        self.settings = settings
        self.view = FleetView(settings, random.Random())
        self.started_s = anyio.current_time()
        self.is_draining = False
        self.serving: Serving | None = None
        self.stopping = anyio.Event()
        self.view.membership.on_superseded(lambda _: self.stopping.set())

    @property
    def is_ready(self) -> bool:
        """Say whether callers are served."""
        return self.serving is not None and not self.stopping.is_set()

    async def run(self) -> None:
        """Serve until told to stop."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_signals)
            operators = make_server(
                make_operators_app(make_operations(self)),
                self.settings.operators_address,
            )
            tasks.start_soon(operators.serve)
            callers = await self._start_serving(tasks)
            await self.stopping.wait()
            callers.should_exit = operators.should_exit = True
            tasks.cancel_scope.cancel()
        log(DAEMON_STOPPED)

    async def _start_serving(self, tasks: TaskGroup) -> EmbeddedServer:
        view = self.view
        await view.join(tasks)
        view.incarnation.settle()
        serving = make_serving(view, tasks)
        callers = make_server(
            self._make_callers_app(serving), self.settings.callers_address
        )
        serving.start(tasks)
        view.start(tasks)
        tasks.start_soon(callers.serve)
        await callers.listening.wait()
        self.serving = serving
        log(DAEMON_READY, incarnation=view.incarnation.number)
        return callers

    def list_entries(self, caller: bytes) -> EntriesReply:
        """Return the daemons to use, best first."""
        seats = self.view.get_config().seats.values()
        entries = [
            Entry(seat=seat.name, region=seat.region, address=seat.callers_address)
            for seat in seats
        ]
        return EntriesReply(entries=entries, validity_ms=5000)

    def begin_drain(self) -> DrainReply:
        """Begin a planned stop."""
        self.stopping.set()
        return DrainReply(state="draining", validity_ms=0, in_flight=0, queued=0)

    def _make_callers_app(self, serving: Serving) -> Asgi:
        routes = {
            "/v1/entries": make_entries_route(self.list_entries),
            "/v1/tickets": make_tickets_route(
                self.view.get_config, serving.idempotency.desk
            ),
            "/health/live": make_health_route(lambda: True),
            "/health/ready": make_health_route(lambda: self.is_ready),
        }
        return make_callers_app(
            lambda: self.is_ready, routes, serving.pipelines.from_callers
        )

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self.stopping.set()
