"""Measure the cost of lease renewals in a region of full size.

The daemon's keepers and lease clients run over an in-memory network on the mock clock.
Bytes are counted at both ends, and include 50 a message for frames and TCP.

Run: python -m bench.renewals
"""

import random
import time
from collections import Counter
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from banyanseam.config.compile import compile_config
from banyanseam.config.compiled import Config, Upstream
from banyanseam.errors import BanyanseamError
from banyanseam.peers.messages import Envelope, Message, PeerIdentity, encode
from banyanseam.upstreams.context import Context
from banyanseam.upstreams.destinations import DestinationChooser
from banyanseam.upstreams.keeper import Keeper
from banyanseam.upstreams.lease_client import LeaseClient
from banyanseam.upstreams.models import Demand, LoadReport, Outcome
from banyanseam.upstreams.pools import find_keeper
from banyanseam.upstreams.regions import RegionSummaries
from bench.results import Figure, append
from tests.common import FakeFabric, FakeNetwork, make_documents, run_with_mock_clock

SEED = 1
SEATS = 57
MODELS = 13
UPSTREAMS = 100
REQUESTS_PER_S_AND_SEAT = 9.7
STREAMS_PER_SEAT = 163
SETTLE_S = 30.0
MEASURED_S = 12.0
PATIENCE_S = 5.0
FRAME_BYTES = 50
CONTROL_KINDS = {"upstreams.renew", "upstreams.announce", "upstreams.rows"}


@dataclass
class MessageCount:
    """Messages and bytes by kind, and control bytes by seat in both directions."""

    messages: Counter = field(default_factory=Counter)
    size_bytes: Counter = field(default_factory=Counter)
    control_bytes: Counter = field(default_factory=Counter)

    def record(self, sender: str, receiver: str, message: Message) -> None:
        """Count one message."""
        sent_bytes = len(encode(Envelope(1000, False, message))) + FRAME_BYTES
        self.messages[message.kind] += 1
        self.size_bytes[message.kind] += sent_bytes
        if message.kind in CONTROL_KINDS:
            self.control_bytes[sender] += sent_bytes
            self.control_bytes[receiver] += sent_bytes


class CountingNetwork(FakeNetwork):
    """An in-memory network that counts its messages."""

    count: MessageCount

    async def _carry(self, seat: str, message: Message) -> FakeNetwork | None:
        """Count a message and deliver it."""
        self.count.record(self.me.seat, seat, message)
        return await super()._carry(seat, message)


class Region:
    """The daemons of one region, whose engines always have free capacity."""

    def __init__(self, seats: int) -> None:
        """Compile a region of models with up to eight engines each."""
        base, overlays = make_documents(("gulf",), seats)
        del base["routes"]["clinic"]
        engine = overlays["gulf"]["upstreams"]["gulf-engine-1"]
        overlays["gulf"]["upstreams"] = {
            f"gulf-engine-{number}": {
                **engine,
                "serves": [f"model-{number % MODELS}"],
                "address": f"127.0.0.1:{40_000 + number}",
                "memory_tokens": 1_000_000,
                "max_in_flight": 1_000,
            }
            for number in range(UPSTREAMS)
        }
        self.config: Config = compile_config(1, base, overlays)
        self.seats = [seat.name for seat in self.config.seats_of("gulf")]
        self.fabric = FakeFabric(SEED)
        self.count = MessageCount()
        self.lease_clients: dict[str, LeaseClient] = {}
        self.refused = 0

    async def start(self, tasks: TaskGroup) -> None:
        """Start every daemon and wait until the keepers are undisputed."""
        for seat in self.seats:
            network = CountingNetwork(self.fabric, PeerIdentity(seat, 1))
            network.count = self.count
            self.fabric.networks[seat] = network
            context = Context(
                me=network.me,
                region="gulf",
                network=network,
                get_config=lambda: self.config,
                alive_seats=lambda _: self.seats,
            )
            destinations = DestinationChooser(
                context, RegionSummaries(), random.Random(SEED)
            )
            keeper = Keeper(context, fetch_report)
            self.lease_clients[seat] = LeaseClient(
                context, keeper, destinations, random.Random(SEED)
            )
            tasks.start_soon(keeper.run)
            tasks.start_soon(self.lease_clients[seat].run)
        await anyio.sleep(SETTLE_S)

    async def load(self, tasks: TaskGroup, seat: str) -> None:
        """Send requests from one seat until cancelled."""
        rng = random.Random(f"{SEED}/{seat}")
        run_s = STREAMS_PER_SEAT / REQUESTS_PER_S_AND_SEAT
        pools = list(self.lease_clients[seat]._context.read_pools())
        while True:
            await anyio.sleep(rng.expovariate(REQUESTS_PER_S_AND_SEAT))
            duration_s = rng.expovariate(1 / run_s)
            tasks.start_soon(self.request, seat, rng.choice(pools), duration_s)

    async def request(self, seat: str, pool: str, duration_s: float) -> None:
        """Hold a lease for `duration_s`."""
        lease_client = self.lease_clients[seat]
        demand = Demand("acme", 1.0, 400, 600)
        try:
            deadline_s = anyio.current_time() + PATIENCE_S
            grant = await lease_client.reserve(pool, demand, deadline_s)
        except BanyanseamError:
            self.refused += 1
            return
        await anyio.sleep(duration_s)
        await lease_client.release(grant, Outcome.COMPLETED, 500)


async def fetch_report(upstream: Upstream) -> LoadReport:
    """Report at once that no tokens are held."""
    return LoadReport(0, 0, 0, leaving=False, as_of_s=anyio.current_time())


async def measure(seats: int, *, is_loaded: bool) -> None:
    """Append the cost of one region, idle or at its peak."""
    async with anyio.create_task_group() as tasks:
        region = Region(seats)
        await region.start(tasks)
        if is_loaded:
            for seat in region.seats:
                tasks.start_soon(region.load, tasks, seat)
            await anyio.sleep(2 * STREAMS_PER_SEAT / REQUESTS_PER_S_AND_SEAT)
        region.count.__init__()
        started_s = time.process_time()
        await anyio.sleep(MEASURED_S)
        cpu_share = (time.process_time() - started_s) / MEASURED_S / seats
        append(describe(region, f"{seats}.{'peak' if is_loaded else 'idle'}"))
        append([Figure(f"renewals_cpu.{seats}", 100 * cpu_share, "% with harness")])
        tasks.cancel_scope.cancel()


def describe(region: Region, name: str) -> list[Figure]:
    """Return the figures of a run."""
    pools = region.lease_clients[region.seats[0]]._context.read_pools()
    keepers = {find_keeper(pool, region.seats) for pool in pools}
    count = region.count
    by_seat = {seat: count.control_bytes[seat] / MEASURED_S for seat in region.seats}
    entries = [rate for seat, rate in by_seat.items() if seat not in keepers]
    least = min(by_seat[seat] for seat in keepers)
    figures = [
        Figure(f"renewals_refused.{name}", region.refused, "requests", seed=SEED),
        Figure(f"renewals_entry.{name}", sum(entries) / len(entries), "B/s both ways"),
        Figure(f"renewals_keeper_least.{name}", least, "B/s both ways"),
        Figure(f"renewals_keeper_most.{name}", max(by_seat.values()), "B/s both ways"),
    ]
    for kind in sorted(count.messages):
        rate = count.messages[kind] / MEASURED_S / len(region.seats)
        mean_bytes = count.size_bytes[kind] / count.messages[kind]
        figures.append(Figure(f"renewals_rate.{name}.{kind}", rate, "/s and seat"))
        figures.append(Figure(f"renewals_size.{name}.{kind}", mean_bytes, "B framed"))
    return figures


def main() -> None:
    """Measure the region idle and at its peak."""
    logger.remove()
    for is_loaded in (False, True):
        run_with_mock_clock(
            lambda is_loaded=is_loaded: measure(SEATS, is_loaded=is_loaded)
        )


if __name__ == "__main__":
    main()
