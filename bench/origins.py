"""Measure what it costs to know the origins of streams in fleets, on a mock clock.

All VMs of a fleet run in this process and exchange encoded datagrams. Each begins ten
streams a second. While two versions serve, peers are told of them; then a third of the
VMs are killed and their streams are taken up at random other VMs; then all are lost.

    python -m bench.origins [VMS ...]
"""

import gc
import random
import sys
import time
import tracemalloc
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from functools import partial

import anyio
from loguru import logger

from banyanseam.entry.errors import StreamOriginUnknown
from banyanseam.entry.exchange import Exchange
from banyanseam.entry.members import Members, _Record
from banyanseam.entry.messages import (
    Gossip,
    encode_gossip,
    to_candidate_rows,
    to_software_row,
    to_software_rows,
    to_upstream_row,
)
from banyanseam.entry.models import RequestHead, Upstream
from banyanseam.entry.origins.const import TAKE_UP_S
from banyanseam.entry.origins.network import OriginNetwork
from banyanseam.entry.origins.records import OriginRecords
from banyanseam.entry.origins.takeups import TakeUps
from banyanseam.entry.origins.versions import SoftwareVersions
from banyanseam.entry.upstream_list import UpstreamList
from bench.results import Figure, append
from tests.common import run_with_mock_clock
from tests.entry.common import (
    make_candidate,
    make_catalogue,
    make_member,
    make_organisation,
    make_upstream,
)

SEED = 1
SIZES = (30, 100, 195, 342)
REGIONS = ("gulf", "piedmont", "delta", "tundra", "savanna", "atoll")
# Fleets of this size are also measured in all regions.
SIX_REGIONS_VMS = 342
UPSTREAMS = 600
SERVICES = [f"model-{number}" for number in range(12)]
VERSIONS = ("2026.11.3", "2026.12.1")
STREAMS_PER_S = 10.0
STREAM_S = 16.0
STEP_S = 0.025
CONFIRM_S = 1.0
MEASURE_S = 4.0
# In which the callers of killed VMs reach others.
RECONNECT_S = 1.0
# Longer than the last of them waits for an answer.
TAKE_UP_RUN_S = 2.0
MEMORY_VMS = 30
ORGANISATION = make_organisation()
CATALOGUE = make_catalogue()


def list_upstreams(versions: int) -> list[Upstream]:
    """Return a list in which every other upstream is of the last of so many versions.

    An upstream of the second version has a new id and a later start.
    """
    found = []
    for number in range(UPSTREAMS):
        version = number // len(SERVICES) // len(REGIONS) % versions
        region = REGIONS[number // len(SERVICES) % len(REGIONS)]
        found.append(
            make_upstream(
                f"{region}-engine-{number}-{version}",
                service=SERVICES[number % len(SERVICES)],
                address=f"10.9.{number // 200}.{number % 200}:{8000 + version}",
                data_centre=f"{region}-a",
                started_ms=1_796_000_000_000 + number + version,
                software=VERSIONS[version],
            )
        )
    return found


@dataclass(slots=True)
class Vm:
    """What a VM knows of streams, and those that it is running."""

    members: Members
    upstreams: UpstreamList
    network: OriginNetwork
    take_ups: TakeUps
    # With the times at which they end, in that order.
    running: deque[tuple[float, Exchange]] = field(default_factory=deque)


@dataclass(frozen=True, slots=True)
class BrokenStream:
    """A stream that was running at a killed VM of a region."""

    exchange: Exchange
    region: str


@dataclass(slots=True)
class TakeUpCounts:
    """What came of the streams that were taken up."""

    tried: int = 0
    found: int = 0
    # Those that were taken up in the region where they had begun.
    near: int = 0
    near_found: int = 0
    wrong: int = 0
    waits_s: list[float] = field(default_factory=list)


async def _do_not_check(_: Upstream) -> bool:
    """Take each upstream for the listed one."""
    return True


async def _do_not_check_list() -> bool:
    """Take the list for unconfirmed."""
    return False


class OriginFleet:
    """The VMs of a fleet and the datagrams between them."""

    def __init__(self, vms: int, regions: int, *, is_recording: bool = True) -> None:
        """Start with VMs that know one another and have read the list of upstreams."""
        self.rng = random.Random(SEED)
        self.is_recording = is_recording
        self.counts: Counter[str] = Counter()
        self.sent_by: Counter[str] = Counter()
        self.vms: dict[str, Vm] = {}
        self._regions = {f"{each}-a": each for each in REGIONS[:regions]}
        self._upstreams: list[Upstream] = []
        self._revision = 0
        self._inbox: list[tuple[str, str, bytes]] = []
        self._requests = 0
        now_s = anyio.current_time()
        self._records = {}
        for number in range(vms):
            region = REGIONS[number % regions]
            member = make_member(f"10.{number % regions}.0.{number}", region)
            self._records[member.ip] = _Record(member, now_s, now_s)
        self.publish(1)
        self.start()

    def start(self) -> None:
        """Start all VMs, or replace them by restarted ones that know no stream."""
        self.vms = {ip: self._make_vm(ip) for ip in self._records}
        self._confirm()

    def _make_vm(self, ip: str) -> Vm:
        members = Members(self._records[ip].member, self._regions)
        # Heartbeats are measured elsewhere: all VMs see the same rows.
        members._records = {
            each: row for each, row in self._records.items() if each != ip
        }
        members._region_counts.update(
            row.member.region for row in members._records.values()
        )
        upstreams = UpstreamList()
        upstreams.adopt(self._upstreams, self._revision, anyio.current_time())
        records, versions = OriginRecords(upstreams), SoftwareVersions(upstreams)
        network = OriginNetwork(members, records, versions)
        network.send = partial(self._send, ip)
        take_ups = TakeUps(
            records, versions, network, lambda: None, _do_not_check, _do_not_check_list
        )
        return Vm(members, upstreams, network, take_ups)

    def publish(self, versions: int) -> None:
        """Let so many versions serve from now on."""
        self._upstreams = list_upstreams(versions)
        self._revision += 1
        for vm in self.vms.values():
            vm.upstreams.adopt(self._upstreams, self._revision, anyio.current_time())

    def kill(self, count: int) -> list[BrokenStream]:
        """Kill VMs and return the streams that they were running."""
        broken = []
        for ip in self.rng.sample(sorted(self.vms), count):
            vm = self.vms.pop(ip)
            region = vm.members.me.region
            broken += [BrokenStream(exchange, region) for _, exchange in vm.running]
        return broken

    async def _send(self, sender_ip: str, ip: str, data: bytes) -> None:
        self.counts["datagrams"] += 1
        self.counts["bytes"] += len(data)
        self.counts["largest"] = max(self.counts["largest"], len(data))
        self.sent_by[sender_ip] += 1
        self._inbox.append((sender_ip, ip, data))

    async def run(
        self,
        for_s: float,
        *,
        has_load: bool = True,
        broken: Iterable[BrokenStream] = (),
    ) -> TakeUpCounts:
        """Serve streams, and take broken ones up; return what came of those."""
        counts = TakeUpCounts()
        async with anyio.create_task_group() as tasks:
            for vm in self.vms.values():
                tasks.start_soon(vm.network.run)
            for stream in broken:
                tasks.start_soon(self._take_up, stream, counts)
            end_s = anyio.current_time() + for_s
            confirm_s = 0.0
            while anyio.current_time() < end_s:
                await anyio.sleep(STEP_S)
                for vm in self.vms.values():
                    vm.upstreams.record_running(anyio.current_time())
                if anyio.current_time() >= confirm_s:
                    confirm_s = anyio.current_time() + CONFIRM_S
                    self._confirm()
                if has_load:
                    self._serve()
                arrived, self._inbox = self._inbox, []
                for sender_ip, ip, data in arrived:
                    if ip in self.vms:
                        await self.vms[ip].network.receive(data, sender_ip)
            tasks.cancel_scope.cancel()
        return counts

    def _confirm(self) -> None:
        now_s = anyio.current_time()
        for ip, vm in self.vms.items():
            self._records[ip].updated_s = now_s
            vm.upstreams.confirm(vm.upstreams.position, now_s)

    def _serve(self) -> None:
        now_s = anyio.current_time()
        for vm in self.vms.values():
            while vm.running and vm.running[0][0] <= now_s:
                _, exchange = vm.running.popleft()
                if self.is_recording:
                    vm.take_ups.record_end(exchange)
            if self.rng.random() < STREAMS_PER_S * STEP_S:
                upstream = self.rng.choice(self._upstreams)
                exchange = self._make_exchange(upstream.service)
                exchange.origin = upstream.origin
                vm.running.append((now_s + STREAM_S, exchange))
                if self.is_recording:
                    vm.take_ups.record_begin(exchange)

    def _make_exchange(self, service: str, begun_as: str | None = None) -> Exchange:
        self._requests += 1
        now_s = anyio.current_time()
        path = "/query/x"
        head = RequestHead(
            f"request-{self._requests:012x}",
            "POST",
            "a.example",
            path,
            path.encode(),
            None,
            4000,
            None,
            None,
            begun_as,
        )
        route = CATALOGUE.find_route(head.host, path)
        return Exchange(
            head,
            b"",
            now_s,
            now_s + STREAM_S,
            CATALOGUE,
            replace(route, services=((service, 1.0),)),
            ORGANISATION,
            service,
            None,
        )

    async def _take_up(self, stream: BrokenStream, counts: TakeUpCounts) -> None:
        await anyio.sleep(self.rng.uniform(0, RECONNECT_S))
        vm = self.vms[self.rng.choice(list(self.vms))]
        broken = stream.exchange
        exchange = self._make_exchange(broken.service, broken.head.request_id)
        is_near = vm.members.me.region == stream.region
        started_s = anyio.current_time()
        counts.tried += 1
        counts.near += is_near
        try:
            await vm.take_ups.find(exchange)
        except StreamOriginUnknown:
            pass
        else:
            counts.found += 1
            counts.near_found += is_near
            counts.wrong += exchange.origin.software != broken.origin.software
        counts.waits_s.append(anyio.current_time() - started_s)


async def measure_load(fleet: OriginFleet, name: str, idle_s: float) -> list[Figure]:
    """Return what the streams of a fleet cost a VM.

    Beside the processor's time is that of a fleet that records no origins.
    """
    fleet.counts.clear()
    started_s = time.process_time()
    await fleet.run(MEASURE_S)
    processor_s = time.process_time() - started_s
    per_vm = MEASURE_S * len(fleet.vms)
    return [
        Figure(
            f"{name}: processor",
            round(100 * processor_s / per_vm, 4),
            "% of a core",
            "without origins",
            round(100 * idle_s / per_vm, 4),
            seed=SEED,
        ),
        make_figure(f"{name}: datagrams", fleet.counts["datagrams"] / per_vm, "1/s"),
        make_figure(f"{name}: sent", fleet.counts["bytes"] / per_vm / 1000, "KB/s"),
    ]


async def measure_take_ups(
    fleet: OriginFleet, name: str, broken: list[BrokenStream]
) -> list[Figure]:
    """Return what it costs to take up broken streams."""
    fleet.counts.clear()
    started_s = time.process_time()
    counts = await fleet.run(TAKE_UP_RUN_S, has_load=False, broken=broken)
    processor_s = time.process_time() - started_s
    waits_ms = sorted(1000 * wait_s for wait_s in counts.waits_s)
    tried, sent = counts.tried, fleet.counts
    return [
        make_figure(f"{name}: streams taken up", tried, "streams"),
        make_figure(f"{name}: found", 100 * counts.found / tried, "%"),
        make_figure(
            f"{name}: found in the same region",
            100 * counts.near_found / counts.near,
            "%",
        ),
        make_figure(f"{name}: at a wrong version", counts.wrong, "streams"),
        make_figure(f"{name}: datagrams", sent["datagrams"] / tried, "each"),
        make_figure(f"{name}: sent", sent["bytes"] / tried, "B each"),
        make_figure(f"{name}: processor", 1000 * processor_s / tried, "ms each"),
        make_figure(f"{name}: median wait", waits_ms[tried // 2], "ms"),
        make_figure(f"{name}: longest wait", waits_ms[-1], "ms"),
    ]


async def measure_appearance(fleet: OriginFleet, name: str) -> list[Figure]:
    """Return what is sent when a second version appears."""
    fleet.counts.clear()
    fleet.sent_by.clear()
    fleet.publish(2)
    await fleet.run(0.5, has_load=False)
    sent, vms = fleet.counts, len(fleet.vms)
    return [
        make_figure(f"{name}: datagrams", sent["datagrams"] / vms, "a VM"),
        make_figure(f"{name}: most datagrams", max(fleet.sent_by.values()), "a VM"),
        make_figure(f"{name}: sent", sent["bytes"] / vms / 1000, "KB a VM"),
        make_figure(f"{name}: largest datagram", sent["largest"], "B"),
    ]


async def start_fleet(
    vms: int, regions: int, *, is_recording: bool = True
) -> OriginFleet:
    """Return a fleet of one version that is running streams."""
    fleet = OriginFleet(vms, regions, is_recording=is_recording)
    # Until no other version can have begun a stream.
    await fleet.run(TAKE_UP_S + CONFIRM_S, has_load=False)
    await fleet.run(STREAM_S)
    # The state of the other VMs would lengthen the collections of one.
    gc.collect()
    gc.freeze()
    return fleet


async def measure(vms: int, regions: int) -> list[Figure]:
    """Return the figures of a fleet, with one and with two versions."""
    start = f"{vms} VMs, {regions} regions"
    idle = await start_fleet(vms, regions, is_recording=False)
    started_s = time.process_time()
    await idle.run(MEASURE_S)
    idle_s = time.process_time() - started_s
    figures = []
    for versions in (1, 2):
        name = f"{start}, {versions} version{'s' * (versions > 1)}"
        fleet = await start_fleet(vms, regions)
        if versions > 1:
            figures += await measure_appearance(fleet, f"{start}, second appears")
            await fleet.run(CONFIRM_S)
        figures += await measure_load(fleet, name, idle_s)
        broken = fleet.kill(vms // 3)
        figures += await measure_take_ups(fleet, f"{name}, a third killed", broken)
        broken = fleet.kill(len(fleet.vms))
        fleet.start()
        figures += await measure_take_ups(fleet, f"{name}, all lost", broken)
        figures += await measure_load(fleet, f"{name}, after the loss", idle_s)
        gc.unfreeze()
    return figures


async def measure_memory() -> list[Figure]:
    """Return the memory of a VM's records while two versions serve."""
    fleet = await start_fleet(MEMORY_VMS, 3)
    fleet.publish(2)
    tracemalloc.start()
    await fleet.run(TAKE_UP_S)
    gc.collect()
    snapshot = tracemalloc.take_snapshot().filter_traces(
        [
            tracemalloc.Filter(True, f"*/banyanseam/entry/{name}")
            for name in ("origins/*", "models.py")
        ]
    )
    tracemalloc.stop()
    records = [len(vm.take_ups.records._records) for vm in fleet.vms.values()]
    size_bytes = sum(trace.size for trace in snapshot.traces)
    return [
        make_figure("records of a VM", sum(records) / len(records), "records"),
        make_figure("memory of a VM", size_bytes / MEMORY_VMS / 1000, "KB"),
        make_figure("memory of a record", size_bytes / sum(records), "B"),
    ]


def measure_fields(versions: int) -> list[Figure]:
    """Return the bytes that the software adds to heartbeats and lists."""
    upstreams = list_upstreams(versions)
    figures = []
    listing = Gossip(
        sender="10.0.0.1", upstreams=[to_upstream_row(each) for each in upstreams]
    )
    software = to_software_row(each.software for each in upstreams)
    figures.append(("list", listing, {"upstreams_software": software}))
    for regions in (3, 6):
        reports = {}
        for number, each in enumerate(upstreams):
            found = reports.setdefault(REGIONS[number // len(SERVICES) % regions], {})
            candidate = make_candidate(each.upstream_id, software=each.software)
            found.setdefault(each.service, []).append(candidate)
        own = reports.pop("gulf")
        rows = {name: to_candidate_rows(each) for name, each in reports.items()}
        relayed = {name: (each, []) for name, each in rows.items()}
        report = Gossip(sender="10.0.0.1", candidates=to_candidate_rows(own))
        figures.append(
            (f"report, {regions} regions", report, {"software": to_software_rows(own)})
        )
        fields = {name: to_software_rows(each) for name, each in reports.items()}
        figures.append(
            (
                f"all relayed reports, {regions} regions",
                Gossip(sender="10.0.0.1", relayed=relayed),
                {"relayed_software": fields},
            )
        )
    plural = "s" * (versions > 1)
    return [
        Figure(
            f"{name}, {versions} version{plural}: added",
            len(encode_gossip(gossip.model_copy(update=fields)))
            - len(encode_gossip(gossip)),
            "B",
            "without",
            len(encode_gossip(gossip)),
        )
        for name, gossip, fields in figures
    ]


def make_figure(name: str, value: float, unit: str) -> Figure:
    """Return a figure of this seed, rounded."""
    return Figure(name, round(value, 3), unit, seed=SEED)


def main() -> None:
    """Measure fleets of the given sizes."""
    # What a line of the log costs depends on where it goes.
    logger.remove()
    for versions in (1, 2):
        append(measure_fields(versions))
    append(run_with_mock_clock(measure_memory))
    for vms in map(int, sys.argv[1:] or SIZES):
        append(run_with_mock_clock(measure, vms, 3))
        if vms == SIX_REGIONS_VMS:
            append(run_with_mock_clock(measure, vms, 6))


if __name__ == "__main__":
    main()
