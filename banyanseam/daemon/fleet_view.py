"""This process's peer links and its view of the fleet."""

import random

import anyio
import httpcore
from anyio.abc import TaskGroup

from banyanseam.config.compiled import Config
from banyanseam.config.errors import NotReady
from banyanseam.config.service_client import make_service_client
from banyanseam.daemon.const import SUSPENSION_TERM_S
from banyanseam.daemon.control import Control
from banyanseam.peers.incarnation import Incarnation, read_boot_clock_s
from banyanseam.peers.network import PeerNetwork
from banyanseam.peers.vm_list import VmListReader
from banyanseam.settings import Settings


class FleetView:
    """Peer network, configuration and membership, used by all parts of the daemon."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Build the parts, without listening or sending anything."""
        self.settings = settings
        self.rng = rng
        self.incarnation = Incarnation()
        self.network = PeerNetwork(
            settings.seat,
            self.incarnation,
            settings.fleet_secret.get_secret_value().encode(),
            self._find_peer_address,
            self._on_own_seat_reported,
            settings.peers_tls,
        )
        pool = httpcore.AsyncConnectionPool()
        self.control = Control(
            settings.seat,
            settings.region,
            self.incarnation,
            self.network,
            [
                make_service_client(pool, each)
                for each in settings.config_service_addresses
            ],
            list(settings.first_peers),
            SUSPENSION_TERM_S,
            read_boot_clock_s,
            rng,
        )
        self.vm_list: VmListReader | None = None
        if settings.vm_list_address is not None:
            self.vm_list = VmListReader(
                settings.vm_list_address,
                self.control.membership.set_platform_list,
                rng,
            )
        self.store = self.control.store
        self.membership = self.control.membership
        self.sections = self.control.sections

    def get_config(self) -> Config:
        """Return the configuration in force; raise NotReady if there is none."""
        if self.store.config is None:
            raise NotReady
        return self.store.config

    async def join(self, tasks: TaskGroup) -> None:
        """Accept links of peers; return once the configuration is current."""
        listening = anyio.Event()
        tasks.start_soon(self.network.run, self.settings.peers_address, listening)
        await listening.wait()
        if self.vm_list is not None:
            tasks.start_soon(self.vm_list.run)
        await self.control.run(tasks)

    def find_region(self, seat: str) -> str | None:
        """Return a seat's region, or None if the seat is not configured."""
        found = self.get_config().seats.get(seat)
        return found.region if found else None

    def list_staying(self, region: str) -> list[str]:
        """Return a region's live seats; omit leaving ones unless all are leaving."""
        membership = self.membership
        live = membership.alive_seats(region)
        # When all leave at once, as when a small region is replaced, all are returned,
        # so that the region keeps serving.
        return [seat for seat in live if not membership.is_leaving(seat)] or live

    def list_leaving_vms(self) -> frozenset[str]:
        """Return the VMs, upstreams included, that the platform lists as leaving."""
        return self.vm_list.leaving if self.vm_list is not None else frozenset()

    def _find_peer_address(self, seat: str) -> str | None:
        override = self.settings.peer_address_overrides.get(seat)
        if override is not None:
            return override
        found = self.store.config.seats.get(seat) if self.store.config else None
        return found.peers_address if found else None

    def _on_own_seat_reported(self, newest_incarnation: int) -> None:
        self.membership.handle_own_seat_incarnation(newest_incarnation)
