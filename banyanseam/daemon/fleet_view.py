"""What this process knows of its fleet: links, members, configuration."""

import random

import anyio
import httpcore
from anyio.abc import TaskGroup

from banyanseam.config.compiled import Config
from banyanseam.config.errors import NotReady
from banyanseam.config.join import choose_join_peers, wait_until_current
from banyanseam.config.readers import make_is_reader
from banyanseam.config.service import make_source
from banyanseam.config.spread import Spread
from banyanseam.config.store import Store
from banyanseam.config.watch import Watch
from banyanseam.daemon.const import FREEZE_TERM_S
from banyanseam.observe.events import CONFIG_ADOPTED, CONFIG_REJECTED, log
from banyanseam.peers.heartbeat import Heartbeats
from banyanseam.peers.incarnation import (
    FreezeDetector,
    Incarnation,
    read_boot_clock_s,
)
from banyanseam.peers.membership import Membership
from banyanseam.peers.network import PeerNetwork
from banyanseam.peers.rows import Flags
from banyanseam.peers.sections import Sections
from banyanseam.settings import Settings


class FleetView:
    """The parts that every role of the daemon stands on."""

    def __init__(self, settings: Settings, chance: random.Random) -> None:
        """Build the parts; nothing listens or asks yet."""
        self.settings = settings
        self.chance = chance
        self.is_serving = False
        self.incarnation = Incarnation()
        self.store = Store()
        self.membership = Membership(settings.seat, settings.region, self.incarnation)
        self.network = PeerNetwork(
            settings.seat,
            self.incarnation,
            settings.fleet_secret.get_secret_value().encode(),
            self._find_peer_address,
            self.membership.hear_of_own_seat,
            settings.peers_tls,
        )
        self.sections = Sections()
        self.heartbeats = Heartbeats(
            self.membership, self.network, self.sections, chance
        )
        self.spread = Spread(
            self.store,
            self.network,
            self.heartbeats.neighbours,
            lambda: self.is_serving,
        )
        self.freezes = FreezeDetector(FREEZE_TERM_S, read_boot_clock_s)
        self.service_pool = httpcore.AsyncConnectionPool()
        self.watch = Watch(
            self.store,
            [
                make_source(self.service_pool, address)
                for address in settings.config_service_addresses
            ],
            make_is_reader(self.membership),
            chance,
        )
        self.store.on_adopted(self._note_adopted)
        self.store.on_changed(self._note_changed)

    def get_config(self) -> Config:
        """Return the configuration in force; raise NotReady."""
        if self.store.config is None:
            raise NotReady
        return self.store.config

    async def join(self, tasks: TaskGroup) -> None:
        """Listen to peers and return once a configuration is safe to serve by."""
        listening = anyio.Event()
        tasks.start_soon(self.network.run, self.settings.peers_address, listening)
        await listening.wait()
        tasks.start_soon(self.watch.run)
        tasks.start_soon(self.spread.run)
        await wait_until_current(self.store, self.spread, self._list_join_peers)

    def start(self, tasks: TaskGroup) -> None:
        """Begin to beat; from here on this process never takes another number."""
        self.incarnation.settle()
        self.is_serving = True
        tasks.start_soon(self.heartbeats.run)
        tasks.start_soon(self.freezes.run)

    def _list_join_peers(self) -> list[str]:
        return choose_join_peers(
            self.store,
            self.settings.seat,
            self.settings.region,
            self.settings.first_peers,
            self.chance,
        )

    def _find_peer_address(self, seat: str) -> str | None:
        override = self.settings.peer_address_overrides.get(seat)
        if override is not None:
            return override
        found = self.store.config.seats.get(seat) if self.store.config else None
        return found.peers_address if found else None

    def _note_adopted(self, config: Config) -> None:
        self.membership.set_config(config, anyio.current_time())
        log(CONFIG_ADOPTED, version=config.version)

    def _note_changed(self) -> None:
        reaches = self.watch.reaches_service
        self.membership.set_flag(Flags.REACHES_SERVICE, on=reaches)
        rejection = self.store.rejection
        if rejection is not None:
            log(
                CONFIG_REJECTED,
                version=self.store.newest.version,
                json_path=rejection.json_path,
                detail=rejection.detail,
            )
