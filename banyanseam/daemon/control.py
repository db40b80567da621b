"""Connection of a daemon to its fleet: configuration and membership."""

import random
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from banyanseam.config.compiled import Config
from banyanseam.config.join import choose_join_peers, wait_until_current
from banyanseam.config.readers import make_is_reader
from banyanseam.config.replication import Replicator
from banyanseam.config.store import ConfigStore
from banyanseam.config.versions import era_of, revision_of
from banyanseam.config.watch import ServiceClient, ServiceWatcher
from banyanseam.daemon.const import CATCH_UP_PATIENCE_S
from banyanseam.daemon.lifecycle import Lifecycle, Stage
from banyanseam.observe.events import (
    CONFIG_ADOPTED,
    CONFIG_REJECTED,
    PROCESS_WAS_SUSPENDED,
    SEAT_SUPERSEDED,
    log,
)
from banyanseam.peers.contract import Network
from banyanseam.peers.heartbeat import Heartbeats
from banyanseam.peers.incarnation import Incarnation, SuspensionDetector
from banyanseam.peers.membership import Membership
from banyanseam.peers.rows import Flags
from banyanseam.peers.sections import Sections


class Control:
    """Holds configuration and membership, and the loops that keep them current."""

    def __init__(
        self,
        seat: str,
        region: str,
        incarnation: Incarnation,
        network: Network,
        clients: list[ServiceClient],
        first_peers: list[str],
        suspension_term_s: float,
        boot_clock_s: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Build the parts on the given peer network, without sending anything."""
        self.store = ConfigStore()
        self.membership = Membership(seat, region, incarnation)
        self.lifecycle = Lifecycle()
        self.sections = Sections()
        self.suspension_detector = SuspensionDetector(suspension_term_s, boot_clock_s)
        self.heartbeats = Heartbeats(self.membership, network, self.sections, rng)
        self.replicator = Replicator(
            self.store, network, self.heartbeats.neighbours, self._is_serving
        )
        self.replicator.attach(self.sections)
        is_reader = make_is_reader(self.membership)
        self.watch = ServiceWatcher(
            self.store, clients, is_reader, self._count_seats, rng
        )
        self._incarnation = incarnation
        self._first_peers = first_peers
        self._rng = rng
        self._logged_reason: str | None = None
        # When the configuration in force was adopted.
        self.adopted_s: float | None = None
        # True while the configuration may be outdated: after a start or a suspension.
        self._catching_up = True
        self._caught_up = anyio.Event()
        self._suspension_detected = anyio.Event()
        self.store.on_adopted(self._apply_config)
        self.store.on_changed(self._log_rejection)
        self.watch.on_reachability(self._set_service_reachable)
        self.lifecycle.on_change(lambda _: self._update_leaving_flag())
        self.membership.on_superseded(_log_superseded)
        self.suspension_detector.on_suspended(self._handle_suspension)

    def _count_seats(self) -> int:
        config = self.store.config
        return len(config.seats) if config is not None else 0

    @property
    def accepts_requests(self) -> bool:
        """Return whether this process may serve new requests now."""
        return (
            self.lifecycle.state is not Stage.STARTING
            and not self._catching_up
            and self.membership.superseded_by is None
        )

    async def wait_until_caught_up(self) -> None:
        """Wait while the configuration may be outdated, for CATCH_UP_PATIENCE_S."""
        if self._catching_up:
            with anyio.move_on_after(CATCH_UP_PATIENCE_S):
                await self._caught_up.wait()

    async def run(self, group: TaskGroup) -> None:
        """Start the loops in a task group; return once the configuration is current."""
        for loop in (self.watch.run, self.replicator.run, self.suspension_detector.run):
            group.start_soon(loop)
        await self._catch_up()
        self._incarnation.mark_final()
        group.start_soon(self._catch_up_after_suspensions)

    def begin_serving(self, group: TaskGroup) -> None:
        """Start heartbeats, once all handlers of this process are registered.

        Peers assign roles to live seats, so a daemon that cannot serve must not send
        heartbeats.
        """
        self.lifecycle.begin_serving()
        group.start_soon(self.heartbeats.run)

    async def _catch_up(self) -> None:
        await wait_until_current(self.store, self.replicator, self._list_join_peers)
        self._catching_up = False
        self._caught_up.set()
        self._update_leaving_flag()

    async def _catch_up_after_suspensions(self) -> None:
        while True:
            await self._suspension_detected.wait()
            self._suspension_detected = anyio.Event()
            await self._catch_up()

    def _list_join_peers(self) -> list[str]:
        membership = self.membership
        return choose_join_peers(
            self.store,
            membership.seat,
            membership.region,
            self._first_peers,
            self._rng,
        )

    def _is_serving(self) -> bool:
        return self.accepts_requests

    def _apply_config(self, config: Config) -> None:
        self.adopted_s = anyio.current_time()
        self.membership.set_config(config, self.adopted_s)
        version = config.version
        log(CONFIG_ADOPTED, version=revision_of(version), era=era_of(version))

    def _log_rejection(self) -> None:
        rejection = self.store.rejection
        reason = str(rejection) if rejection is not None else None
        if reason is not None and reason != self._logged_reason:
            version = self.store.newest.version
            log(
                CONFIG_REJECTED,
                version=revision_of(version),
                era=era_of(version),
                detail=reason,
            )
        self._logged_reason = reason

    def _handle_suspension(self, now_s: float) -> None:
        # API keys may have been withdrawn during the suspension, so no request is
        # accepted until the configuration is current again.
        if not self._catching_up:
            self._catching_up = True
            self._caught_up = anyio.Event()
        self._update_leaving_flag()
        self._suspension_detected.set()
        log(PROCESS_WAS_SUSPENDED, boot_clock_s=round(now_s, 3))

    def _set_service_reachable(self, reachable: bool) -> None:
        self.membership.set_flag(Flags.REACHES_SERVICE, on=reachable)

    def _update_leaving_flag(self) -> None:
        is_unlisted = self.lifecycle.is_stopping or self._catching_up
        self.membership.set_flag(Flags.LEAVING, on=is_unlisted)


def _log_superseded(incarnation: int) -> None:
    log(SEAT_SUPERSEDED, newer_incarnation=incarnation)
