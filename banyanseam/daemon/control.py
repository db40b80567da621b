"""What keeps a daemon in touch with the fleet: configuration and membership."""

import random
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from banyanseam.config.compiled import Config
from banyanseam.config.join import choose_join_peers, wait_until_current
from banyanseam.config.readers import make_is_reader
from banyanseam.config.replication import Replicator
from banyanseam.config.store import ConfigStore
from banyanseam.config.watch import ServiceClient, ServiceWatcher
from banyanseam.daemon.lifecycle import Lifecycle, Stage
from banyanseam.observe.events import (
    CONFIG_ADOPTED,
    CONFIG_REJECTED,
    PROCESS_WAS_FROZEN,
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
    """The configuration in force, the members, and the loops that keep them so."""

    def __init__(
        self,
        seat: str,
        region: str,
        incarnation: Incarnation,
        network: Network,
        clients: list[ServiceClient],
        first_peers: list[str],
        freeze_term_s: float,
        boot_clock_s: Callable[[], float],
        chance: random.Random,
    ) -> None:
        """Build the parts on a network; nothing asks yet."""
        self.store = ConfigStore()
        self.membership = Membership(seat, region, incarnation)
        self.lifecycle = Lifecycle()
        self.sections = Sections()
        self.freeze = SuspensionDetector(freeze_term_s, boot_clock_s)
        self.heartbeats = Heartbeats(self.membership, network, self.sections, chance)
        self.replicator = Replicator(
            self.store, network, self.heartbeats.neighbours, self._is_serving
        )
        self.replicator.attach(self.sections)
        is_reader = make_is_reader(self.membership)
        self.watch = ServiceWatcher(
            self.store, clients, is_reader, self._count_seats, chance
        )
        self._incarnation = incarnation
        self._first_peers = first_peers
        self._chance = chance
        self._logged_rejection: str | None = None
        # Since when the configuration in force is so.
        self.adopted_s: float | None = None
        # Set while this process can't yet know what is in force, as when it starts.
        self._catching_up = True
        self._wake_up = anyio.Event()
        self.store.on_adopted(self._take_config)
        self.store.on_changed(self._log_rejection)
        self.watch.on_reachability(self._note_reach)
        self.lifecycle.on_change(lambda _: self._tell_whether_leaving())
        self.membership.on_superseded(_log_superseded)
        self.freeze.on_suspended(self._note_freeze)

    def _count_seats(self) -> int:
        config = self.store.config
        return len(config.seats) if config is not None else 0

    @property
    def accepts_requests(self) -> bool:
        """Say whether new requests may be served here now."""
        return (
            self.lifecycle.state is not Stage.STARTING
            and not self._catching_up
            and self.membership.superseded_by is None
        )

    async def run(self, group: TaskGroup) -> None:
        """Start the loops in a group and return when the daemon may serve."""
        for loop in (self.watch.run, self.replicator.run, self.freeze.run):
            group.start_soon(loop)
        await self._catch_up()
        self._incarnation.mark_final()
        group.start_soon(self._catch_up_after_freezes)

    def begin_serving(self, group: TaskGroup) -> None:
        """Start to beat, once all handlers of this process are registered.

        Peers elect live seats to roles, so a daemon that cannot serve must not beat.
        """
        self.lifecycle.begin_serving()
        group.start_soon(self.heartbeats.run)

    async def _catch_up(self) -> None:
        await wait_until_current(self.store, self.replicator, self._list_join_peers)
        self._catching_up = False
        self._tell_whether_leaving()

    async def _catch_up_after_freezes(self) -> None:
        while True:
            await self._wake_up.wait()
            self._wake_up = anyio.Event()
            await self._catch_up()

    def _list_join_peers(self) -> list[str]:
        membership = self.membership
        return choose_join_peers(
            self.store,
            membership.seat,
            membership.region,
            self._first_peers,
            self._chance,
        )

    def _is_serving(self) -> bool:
        return self.accepts_requests

    def _take_config(self, config: Config) -> None:
        self.adopted_s = anyio.current_time()
        self.membership.set_config(config, self.adopted_s)
        log(CONFIG_ADOPTED, version=config.version)

    def _log_rejection(self) -> None:
        rejection = self.store.rejection
        reason = str(rejection) if rejection is not None else None
        if reason is not None and reason != self._logged_rejection:
            log(CONFIG_REJECTED, version=self.store.newest.version, detail=reason)
        self._logged_rejection = reason

    def _note_freeze(self, now_s: float) -> None:
        # Keys may have been withdrawn meanwhile.
        self._catching_up = True
        self._tell_whether_leaving()
        self._wake_up.set()
        log(PROCESS_WAS_FROZEN, boot_clock_s=round(now_s, 3))

    def _note_reach(self, reaches: bool) -> None:
        self.membership.set_flag(Flags.REACHES_SERVICE, on=reaches)

    def _tell_whether_leaving(self) -> None:
        is_off_the_lists = self.lifecycle.is_stopping or self._catching_up
        self.membership.set_flag(Flags.LEAVING, on=is_off_the_lists)


def _log_superseded(incarnation: int) -> None:
    log(SEAT_SUPERSEDED, newer_incarnation=incarnation)
