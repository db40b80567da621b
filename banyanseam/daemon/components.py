"""Parts of a daemon that its status, diagnostics and operators' operations use."""

import random

import anyio

from banyanseam.daemon.fleet_view import FleetView
from banyanseam.daemon.quota_components import make_quota_components
from banyanseam.daemon.serving import ServingComponents
from banyanseam.observe.logs import Logs
from banyanseam.peers.entries import Entries, list_entries
from banyanseam.server.budget import ByteBudget
from banyanseam.settings import Settings


class DaemonComponents:
    """The parts of one daemon process, and the event that requests its stop."""

    def __init__(self, settings: Settings, logs: Logs) -> None:
        """Build the parts that do not need a configuration."""
        self.settings = settings
        self.logs = logs
        self.started_s = anyio.current_time()
        self.view = FleetView(settings, random.Random())
        self.quota = make_quota_components(self.view)
        self.lifecycle = self.view.control.lifecycle
        self.serving: ServingComponents | None = None
        self.budget: ByteBudget | None = None
        self.drain_requested = anyio.Event()

    @property
    def is_ready(self) -> bool:
        """Return whether new requests should be sent here."""
        return self.lifecycle.is_ready and self.view.control.accepts_requests

    def begin_drain(self) -> None:
        """Request a planned stop; repeated calls have no effect."""
        self.drain_requested.set()

    def list_entries(self, caller: str) -> Entries:
        """Return the daemons that a caller should use, best first."""
        return list_entries(self.view.get_config(), self.view.membership, caller)
