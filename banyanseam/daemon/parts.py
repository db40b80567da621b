"""What a daemon is made of, as those see it that describe and operate it."""

import random

import anyio

from banyanseam.daemon.fleet_view import FleetView
from banyanseam.daemon.quota_parts import make_quota_parts
from banyanseam.daemon.serving import Serving
from banyanseam.observe.logs import Logs
from banyanseam.peers.entries import Entries, list_entries
from banyanseam.server.budget import ByteBudget
from banyanseam.settings import Settings


class DaemonParts:
    """The parts of one process at one seat, and the wish that it ends."""

    def __init__(self, settings: Settings, logs: Logs) -> None:
        """Build what does not need a configuration."""
        self.settings = settings
        self.logs = logs
        self.started_s = anyio.current_time()
        self.view = FleetView(settings, random.Random())
        self.quota = make_quota_parts(self.view)
        self.lifecycle = self.view.control.lifecycle
        self.serving: Serving | None = None
        self.budget: ByteBudget | None = None
        self.drain_wanted = anyio.Event()

    @property
    def is_ready(self) -> bool:
        """Say whether new requests should come here."""
        return self.lifecycle.is_ready and self.view.control.accepts_requests

    def begin_drain(self) -> None:
        """Ask for a planned stop; safe to repeat."""
        self.drain_wanted.set()

    def list_entries(self, caller: str) -> Entries:
        """Return the daemons that a caller should use, best first."""
        return list_entries(self.view.get_config(), self.view.membership, caller)
