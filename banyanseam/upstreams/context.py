"""State that one process shares between its pool keeper and its request routing."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from banyanseam.config.compiled import Config
from banyanseam.peers.contract import Network
from banyanseam.peers.messages import PeerIdentity
from banyanseam.upstreams.pools import Pool, find_keeper, list_pools
from banyanseam.upstreams.terms import SMALL_REGION, Terms, choose_terms


@dataclass(slots=True)
class Context:
    """This process's identity, region and network, and its view of the fleet.

    `leaving_upstreams` returns the upstreams that the list of VMs reports as leaving
    or gone.
    """

    me: PeerIdentity
    region: str
    network: Network
    get_config: Callable[[], Config]
    alive_seats: Callable[[str], list[str]]
    leaving_upstreams: Callable[[], Iterable[str]] = tuple
    _pools: dict[str, Pool] = field(default_factory=dict, init=False)
    _seats: frozenset[str] = field(default_factory=frozenset, init=False)
    _terms: Terms = field(default=SMALL_REGION, init=False)
    _version: int | None = field(default=None, init=False)
    # Cached keepers by pool, valid while the live seats equal `_alive`.
    _keepers: dict[str, str | None] = field(default_factory=dict, init=False)
    _alive: list[str] = field(default_factory=list, init=False)

    def read_pools(self) -> dict[str, Pool]:
        """Return the pools of this region in the configuration in force."""
        self._refresh()
        return self._pools

    def read_seats(self) -> frozenset[str]:
        """Return the region's published seats."""
        self._refresh()
        return self._seats

    def read_terms(self) -> Terms:
        """Return the lease terms for a region of this size."""
        self._refresh()
        return self._terms

    def find_keeper(self, pool: str) -> str | None:
        """Return the live seat that is a pool's keeper in this process's view."""
        return self.find_keepers([pool])[pool]

    def find_keepers(self, pools: Iterable[str]) -> dict[str, str | None]:
        """Return the keepers of several pools by one snapshot of the live seats."""
        alive = self.alive_seats(self.region)
        if alive != self._alive:
            self._alive = list(alive)
            self._keepers = {}
        for pool in pools:
            if pool not in self._keepers:
                self._keepers[pool] = find_keeper(pool, alive)
        return {pool: self._keepers[pool] for pool in pools}

    def _refresh(self) -> None:
        config = self.get_config()
        if config.version == self._version:
            return
        self._pools = list_pools(config, self.region)
        self._seats = frozenset(seat.name for seat in config.seats_of(self.region))
        self._terms = choose_terms(len(self._seats))
        self._keepers = {}
        self._version = config.version
