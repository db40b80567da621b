"""Measure the heartbeats of fleets of entry daemons on a mock clock.

All processes of three regions with two data centres each run in this process and
exchange encoded datagrams. Each serves a few requests a second: it charges
organisations, changes its loads and announces prefix segments.

    python -m bench.fleet [VMS ...]
"""

import random
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import replace
from functools import partial

import anyio

from banyanseam.entry.gossip import GossipExchange
from banyanseam.entry.messages import Gossip, decode_gossip, encode_gossip
from banyanseam.entry.placing import Candidate
from bench.results import Figure, append
from tests.common import run_with_mock_clock
from tests.entry.common import make_organisation, make_upstream
from tests.entry.test_gossip import make_exchange

SEED = 1
SIZES = (30, 100, 195, 342)
REGIONS = ("gulf", "piedmont", "delta")
ENGINES_PER_REGION = 18
ORGANISATIONS = [
    make_organisation(f"organisation-{number}", rate_per_s=1e9, burst=1e9)
    for number in range(19)
]
REQUESTS_PER_S = 3.0
REQUEST_TOKENS = 700
SEGMENT_TOKENS = 13_300
STEP_S = 0.025
# Until the last processes have each other's rows.
SETTLE_S = 3.5
MEASURE_S = 4.0


class Fleet:
    """The processes of a fleet and the datagrams between them."""

    def __init__(self, vms: int, rng: random.Random) -> None:
        """Start with processes that know one another."""
        self.rng = rng
        self.counts: Counter[str] = Counter()
        self.exchanges: dict[str, GossipExchange] = {}
        self._inbox: list[tuple[str, bytes]] = []
        for number in range(vms):
            self._add_process(number)
        rows = [each.members.me for each in self.exchanges.values()]
        for exchange in self.exchanges.values():
            exchange.members.merge(rows, anyio.current_time())

    def _add_process(self, number: int) -> None:
        region = REGIONS[number % 3]
        place = number % 6
        ip, data_centre = f"10.{place}.0.{number // 6}", f"{region}-{place // 3}"
        exchange = make_exchange(ip, region)
        exchange.settings = replace(
            exchange.settings,
            data_centre=data_centre,
            regions={f"{each}-{half}": each for each in REGIONS for half in (0, 1)},
        )
        exchange.members.me = replace(exchange.members.me, data_centre=data_centre)
        exchange._quota.configure({each.name: each for each in ORGANISATIONS}, 0.0)
        ids = [f"i-{region}-{engine}" for engine in range(ENGINES_PER_REGION)]
        exchange._upstreams.adopt(
            [make_upstream(each, data_centre=data_centre) for each in ids], 1, 0.0
        )
        candidates = [
            Candidate(each, region, 32, 300_000, 5, 100.0, 20_000) for each in ids
        ]
        exchange._heartbeats.list_candidates = lambda: {"pool": candidates}
        exchange._heartbeats._loads.engine_memory_tokens = 300_000
        exchange.get_own_state = lambda: (True, True, 3)
        exchange._send = partial(self._send, exchange)
        self.exchanges[ip] = exchange

    async def _send(
        self, sender: GossipExchange, ips: Iterable[str], gossip: Gossip
    ) -> None:
        data = encode_gossip(gossip)
        for ip in ips:
            receiver = self.exchanges[ip].settings
            self.counts["messages"] += 1
            self.counts["bytes"] += len(data)
            if receiver.region != sender.settings.region:
                self.counts["bytes between regions"] += len(data)
            elif receiver.data_centre != sender.settings.data_centre:
                self.counts["bytes across"] += len(data)
            self._inbox.append((ip, data))

    async def run(self, for_s: float) -> None:
        """Exchange heartbeats while requests are served."""
        async with anyio.create_task_group() as tasks:
            for exchange in self.exchanges.values():
                tasks.start_soon(self._gossip, exchange._gossip_in_region, 0.25)
                tasks.start_soon(self._gossip, exchange._gossip_between_regions, 1.0)
            end_s = anyio.current_time() + for_s
            while anyio.current_time() < end_s:
                await anyio.sleep(STEP_S)
                for exchange in self.exchanges.values():
                    if self.rng.random() < REQUESTS_PER_S * STEP_S:
                        self._serve(exchange)
                arrived, self._inbox = self._inbox, []
                for ip, data in arrived:
                    self.exchanges[ip]._handle_heartbeat(decode_gossip(data))
                self._count_silent()
            tasks.cancel_scope.cancel()

    async def _gossip(
        self, loop: Callable[[], Awaitable[None]], first_wait_s: float
    ) -> None:
        # The processes of a fleet do not tick together.
        await anyio.sleep(self.rng.uniform(0, first_wait_s))
        await loop()

    def _serve(self, exchange: GossipExchange) -> None:
        now_s = anyio.current_time()
        exchange._quota.charge(self.rng.choice(ORGANISATIONS), REQUEST_TOKENS, now_s)
        upstream = self.rng.choice(exchange._upstreams.list_upstreams())
        listed = exchange._upstreams.find(upstream.upstream_id)
        listed.usage.requests = self.rng.randrange(3)
        segment = f"{self.rng.randrange(10**8):08x}"
        exchange._heartbeats._loads.record_own_segment(
            upstream, segment, SEGMENT_TOKENS, now_s
        )

    def _count_silent(self) -> None:
        """Count pairs of processes of which one takes the other for silent."""
        exchange = self.rng.choice(list(self.exchanges.values()))
        others = len(self.exchanges) - 1
        alive = len(exchange.members.list_alive(anyio.current_time()))
        self.counts["pairs"] += others
        self.counts["silent pairs"] += others - alive


async def measure(vms: int) -> list[Figure]:
    """Return the figures of one process of a fleet."""
    fleet = Fleet(vms, random.Random(SEED))
    await fleet.run(SETTLE_S)
    fleet.counts.clear()
    started_s = time.process_time()
    await fleet.run(MEASURE_S)
    processor_s = time.process_time() - started_s
    per_vm = MEASURE_S * vms
    counts = fleet.counts
    figures = {
        ("messages sent", "1/s"): counts["messages"] / per_vm,
        ("sent", "KB/s"): counts["bytes"] / per_vm / 1000,
        ("sent across data centres", "KB/s"): counts["bytes across"] / per_vm / 1000,
        ("sent between regions", "KB/s"): counts["bytes between regions"]
        / per_vm
        / 1000,
        ("live processes taken for silent", "%"): 100
        * counts["silent pairs"]
        / counts["pairs"],
        ("processor", "% of a core"): 100 * processor_s / per_vm,
    }
    return [
        Figure(f"fleet of {vms}: {name}", round(value, 3), unit, seed=SEED)
        for (name, unit), value in figures.items()
    ]


def main() -> None:
    """Measure fleets of the given sizes."""
    for vms in map(int, sys.argv[1:] or SIZES):
        append(run_with_mock_clock(measure, vms))


if __name__ == "__main__":
    main()
