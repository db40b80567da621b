"""An in-memory fleet of homes and entries that counts the admitted tokens exactly."""

from collections import Counter
from collections.abc import Callable
from contextlib import asynccontextmanager, contextmanager

import anyio

from banyanseam.config.compile import compile_config
from banyanseam.config.compiled import Config
from banyanseam.peers.errors import PeerUnreachable
from banyanseam.peers.messages import Envelope, encode
from banyanseam.quota.client import QuotaClient
from banyanseam.quota.const import DEFAULT_TIMING
from banyanseam.quota.home import QuotaHome
from tests.common import FakeFabric, FakeNetwork, make_documents

BETWEEN_REGIONS_S = 0.055
WITHIN_REGION_S = 0.0005


class RegionalNetwork(FakeNetwork):
    """A fake network that is slower between regions."""

    async def _carry(self, seat, message):
        self.fabric.kinds[message.kind] += 1
        size = len(encode(Envelope(1, False, message)))
        self.fabric.kind_bytes[message.kind] += size
        peer = await super()._carry(seat, message)
        if region_of(seat) != region_of(self.me.seat):
            await anyio.sleep(BETWEEN_REGIONS_S)
        return peer


def region_of(seat: str) -> str:
    return seat.rsplit("-", 1)[0]


class Seat:
    """One process: its network, home and client, and cancel scopes to kill it."""

    def __init__(self, fleet: "Fleet", name: str, incarnation: int) -> None:
        fabric = fleet.fabric
        network = fabric.join(name, incarnation)
        network.__class__ = RegionalNetwork
        region = region_of(name)

        def is_alive(seat: str) -> bool:
            return seat in fabric.networks and not fabric.is_partitioned(name, seat)

        self.home = QuotaHome(name, region, network, fleet.get_config, is_alive)
        self.client = QuotaClient(
            region, network, self.home, fleet.get_config, is_alive
        )
        self._scopes = set()

    @contextmanager
    def alive(self):
        """Run the block until it ends or this process is killed."""
        with anyio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)

    def kill(self) -> None:
        for scope in self._scopes:
            scope.cancel()

    async def run(self) -> None:
        with self.alive():
            await self.home.run()


class Fleet:
    """All seats of a configuration, and a reference bucket that checks admissions."""

    def __init__(
        self,
        seed: int = 1,
        loss: float = 0,
        rate_tokens_per_s: float = 1000,
        burst_tokens: int = 10_000,
    ) -> None:
        self.fabric = FakeFabric(seed, WITHIN_REGION_S, loss)
        self.fabric.kinds = Counter()
        self.fabric.kind_bytes = Counter()
        self.base, self.overlays = make_documents()
        self.base["organisations"]["acme"] |= {
            "rate_tokens_per_s": rate_tokens_per_s,
            "burst_tokens": burst_tokens,
        }
        self.config = compile_config(1, self.base, self.overlays)
        self.seats: dict[str, Seat] = {}
        self.incarnation = 0
        self.overdrawn_tokens = 0.0
        self._allowed_tokens = float(self.organisation.burst_tokens)
        self._counted_s = 0.0

    @property
    def organisation(self):
        return self.config.organisations["acme"]

    def get_config(self) -> Config:
        return self.config

    def publish(self, change: Callable[[dict], None]) -> None:
        change(self.base)
        self.config = compile_config(self.config.version + 1, self.base, self.overlays)

    def start(self, name: str) -> Seat:
        self.incarnation += 1
        self.seats[name] = Seat(self, name, self.incarnation)
        self.tasks.start_soon(self.seats[name].run)
        return self.seats[name]

    def kill(self, name: str) -> None:
        # Remove the network first, so that later sends of the killed process are lost.
        del self.fabric.networks[name]
        self.seats.pop(name).kill()

    def partition_region(self, region: str) -> None:
        for name in self.config.seats:
            if region_of(name) == region:
                for other in self.config.seats:
                    if region_of(other) != region:
                        self.fabric.partitions.add(frozenset((name, other)))

    @asynccontextmanager
    async def running(self, warm_s: float | None = None):
        """Run every seat; by default wait until all parts are usable and full."""
        async with anyio.create_task_group() as self.tasks:
            for name in self.config.seats:
                self.start(name)
            organisation = self.organisation
            fill_s = organisation.burst_tokens / organisation.rate_tokens_per_s
            full_s = DEFAULT_TIMING.withhold_s + fill_s * 1.1
            await anyio.sleep(full_s if warm_s is None else warm_s)
            self._counted_s = anyio.current_time()
            yield self
            self.tasks.cancel_scope.cancel()

    def count(self, tokens: float) -> None:
        """Charge the reference bucket; an overdraft means tokens admitted wrongly."""
        now_s = anyio.current_time()
        organisation = self.organisation
        self._allowed_tokens = min(
            organisation.burst_tokens,
            self._allowed_tokens
            + organisation.rate_tokens_per_s * (now_s - self._counted_s),
        )
        self._counted_s = now_s
        self._allowed_tokens -= tokens
        self.overdrawn_tokens = max(self.overdrawn_tokens, -self._allowed_tokens)

    async def request(
        self,
        seat: str,
        cost: int,
        patience_s: float,
        used: int | None = None,
        run_s: float = 0,
    ) -> None:
        """Charge, count the true cost at that time, run and settle."""
        if seat not in self.seats:
            raise PeerUnreachable(seat)
        client = self.seats[seat].client
        deadline_s = anyio.current_time() + patience_s
        charge = await client.charge("acme", cost, deadline_s)
        used = cost if used is None else used
        self.count(used)
        await anyio.sleep(run_s)
        await client.settle(charge, used)
