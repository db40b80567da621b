"""Measure what VMs that reach no upstream cost in fleets, without a network.

One VM of the fleet composes the heartbeats that it passes on in a region's grid, and
chooses candidates, in calm and while half of its region has no way to two services.

    python -m bench.unreached [VMS ...]
"""

import math
import sys
import time
from collections.abc import Callable
from types import SimpleNamespace

from banyanseam.entry.heartbeats import Heartbeats
from banyanseam.entry.local_candidates import list_local_candidates
from banyanseam.entry.members import Member, Members
from banyanseam.entry.messages import Gossip, encode_gossip, to_heartbeat_row
from banyanseam.entry.unreached.records import UnreachedUpstreams
from banyanseam.entry.unreached.reports import UnreachedReport, make_service_tag
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.upstreams import UpstreamLoads
from bench.results import Figure, append
from tests.entry.common import make_catalogue, make_member, make_upstream

SIZES = (30, 100, 195, 342)
UPSTREAMS = 600
REGIONS = 3
SERVICES_WITHOUT_WAY = ("pool", "desk")
# Heartbeats that a VM sends in a second in a grid, to its row and its columns.
SENDS_PER_S = 30
REPEATS = 200
UNITS = {
    "heartbeat_calm": "bytes",
    "heartbeat_more_in_a_cut": "bytes",
    "more_in_a_cut": "KB/s",
    "choice_calm": "us",
    "choice_in_a_cut": "us",
    "compose_in_a_cut": "us",
}


def make_fleet(vms: int) -> tuple[Members, list[Member]]:
    """Return the members' view of one region's first VM, and its peers."""
    me = make_member("10.1.0.1")
    members = Members(me, {"gulf-a": "gulf"})
    count = math.ceil(vms / REGIONS)
    peers = [
        make_member(f"10.1.{number // 250}.{number % 250 + 2}", heartbeat_count=100_000)
        for number in range(count - 1)
    ]
    members.merge(peers, 0.0)
    return members, peers


def lose_ways(members: Members, peers: list[Member]) -> None:
    """Let every second peer, and this VM, have no way to some services."""
    tags = tuple(map(make_service_tag, SERVICES_WITHOUT_WAY))
    for peer in peers[::2]:
        members.unreached.record(peer, UnreachedReport(peer.heartbeat_count, tags))
    members.unreached.own = frozenset(SERVICES_WITHOUT_WAY)


def measure_us(function: Callable[[], object]) -> float:
    """Return the processor time of a call in microseconds."""
    began_s = time.process_time()
    for _ in range(REPEATS):
        function()
    return (time.process_time() - began_s) / REPEATS * 1e6


def measure(vms: int) -> dict[str, float]:
    """Return the figures of one fleet."""
    members, peers = make_fleet(vms)
    width = max(1, round(math.sqrt(len(peers) + 1)))
    rows = [members.me, *peers[:width]]
    gossip = Gossip(sender=members.me.ip, beats=list(map(to_heartbeat_row, rows)))
    beats = Heartbeats._list_unreached
    holder = SimpleNamespace(_members=members)
    upstreams = UpstreamList()
    upstreams.adopt(
        [
            make_upstream(
                f"e{number}", address=f"10.9.{number // 250}.{number % 250}:80"
            )
            for number in range(UPSTREAMS // REGIONS)
        ],
        1,
        0.0,
    )
    loads = UpstreamLoads(upstreams, "gulf")
    unreached = UnreachedUpstreams(upstreams, members)
    catalogue = make_catalogue()

    def choose() -> None:
        list_local_candidates(
            catalogue, "pool", upstreams, loads, members, 0.0, unreached
        )

    calm_us = measure_us(choose)
    calm_bytes = len(encode_gossip(gossip))
    lose_ways(members, peers)
    row_table = beats(holder, rows)
    cut_bytes = len(encode_gossip(replace_unreached(gossip, row_table)))
    for listed in list(upstreams.list_usable("pool", 0.0)):
        unreached._failures[listed.upstream.upstream_id, listed.upstream.started_ms] = (
            SimpleNamespace(upstream=listed.upstream, last_s=0.0)
        )
    return {
        "heartbeat_calm": calm_bytes,
        "heartbeat_more_in_a_cut": cut_bytes - calm_bytes,
        "more_in_a_cut": (cut_bytes - calm_bytes) * SENDS_PER_S / 1000,
        "choice_calm": calm_us,
        "choice_in_a_cut": measure_us(choose),
        "compose_in_a_cut": measure_us(lambda: beats(holder, rows)),
    }


def replace_unreached(gossip: Gossip, table: dict) -> Gossip:
    """Return a heartbeat that also names what VMs don't reach."""
    return gossip.model_copy(update={"unreached": table})


def main() -> None:
    """Measure each fleet and store the figures."""
    sizes = [int(each) for each in sys.argv[1:]] or SIZES
    for vms in sizes:
        for name, value in measure(vms).items():
            append([Figure(f"unreached.{name}.{vms}_vms", value, UNITS[name])])


if __name__ == "__main__":
    main()
