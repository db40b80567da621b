"""What the keeper and the entry of one process both work with."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from banyanseam.config.compiled import Config
from banyanseam.peers.contract import Network
from banyanseam.peers.messages import PeerIdentity
from banyanseam.upstreams.pools import Pool, find_keeper, list_pools


@dataclass(slots=True)
class Context:
    """This process's place, and its present view of the fleet.

    `leaving_upstreams` returns what the list of VMs says to be leaving or gone.
    """

    me: PeerIdentity
    region: str
    network: Network
    get_config: Callable[[], Config]
    alive_seats: Callable[[str], list[str]]
    leaving_upstreams: Callable[[], Iterable[str]] = tuple
    _pools: dict[str, Pool] = field(default_factory=dict, init=False)
    _pools_version: int | None = field(default=None, init=False)

    def read_pools(self) -> dict[str, Pool]:
        """Return the pools of this region in the configuration in force."""
        config = self.get_config()
        if config.version != self._pools_version:
            self._pools = list_pools(config, self.region)
            self._pools_version = config.version
        return self._pools

    def find_keeper(self, pool: str) -> str | None:
        """Return the live seat that keeps a pool in this process's view."""
        return find_keeper(pool, self.alive_seats(self.region))
