"""Run regions of keepers and lease clients with small engines on the mock clock."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from banyanseam.config.compile import compile_config
from banyanseam.config.compiled import Config, Upstream
from banyanseam.errors import BanyanseamError
from banyanseam.peers.messages import PeerIdentity
from banyanseam.upstreams.choose import RemoteRegion
from banyanseam.upstreams.context import Context
from banyanseam.upstreams.destinations import DestinationChooser
from banyanseam.upstreams.errors import UpstreamFailed
from banyanseam.upstreams.keeper import Keeper
from banyanseam.upstreams.lease_client import LeaseClient
from banyanseam.upstreams.models import Demand, Grant, LoadReport, Outcome
from banyanseam.upstreams.prefix import hash_prefix
from banyanseam.upstreams.regions import RegionSummaries, make_section_writer
from standins.batching import Batch, EngineLimits, Run, hash_blocks
from tests.common import FakeFabric, make_documents

REPORT_LAG_STEPS = 4
REPORT_STEP_S = 0.05
SECTION_PERIOD_S = 1.0
ONE_WAY_DELAY_S = 0.055
LINK_BYTES_PER_S = 70e6 / 8
SETTLE_S = 15.0
MEMORY_TOKENS = 20_000
PATIENCE_S = 300.0


@dataclass(frozen=True, slots=True)
class Plan:
    """Describes the engines and daemons of a run."""

    engines: dict[str, int]
    seats: int = 3
    seed: int = 1
    # Each daemon counts only the requests that it sent.
    limits_per_daemon: bool = False
    warm: bool = True


@dataclass(slots=True)
class RequestResult:
    """The result of one request."""

    organisation: str
    ttft_s: float | None
    is_remote: bool
    error: str | None = None


class Engine:
    """An engine that dies when its held tokens exceed its memory."""

    def __init__(self) -> None:
        """Start idle."""
        self.deaths = 0
        self.prefilled_tokens = 0
        self.served_tokens = 0
        limits = EngineLimits(memory_tokens=MEMORY_TOKENS, cache_tokens=40_000)
        self.batch = Batch(limits, self.die)
        idle = LoadReport(0, 0, 0, leaving=False, as_of_s=anyio.current_time())
        self.reports = deque([idle], maxlen=REPORT_LAG_STEPS)

    def die(self) -> None:
        """Drop all runs and restart with an empty cache."""
        self.deaths += 1
        self.batch.drop_all()

    async def record_load(self) -> None:
        """Record the load for the next reports, which lag behind it."""
        while True:
            await anyio.sleep(REPORT_STEP_S)
            batch = self.batch
            self.reports.append(
                LoadReport(
                    batch.held_tokens,
                    batch.queued_tokens,
                    len(batch.running) + len(batch.queued),
                    leaving=False,
                    as_of_s=anyio.current_time(),
                )
            )

    async def run(self, prompt: bytes, max_tokens: int) -> tuple[float | None, Run]:
        """Run a request and return the time of its first token."""
        now_s = anyio.current_time()
        run = Run("r", prompt, max_tokens, 0, hash_blocks(prompt), started_s=now_s)
        self.batch.add(run)
        first_s = None
        while run.finished_s is None:
            await run.progress.wait()
            if first_s is None and run.generated_tokens:
                first_s = anyio.current_time()
        self.prefilled_tokens += run.prompt_tokens - run.cached_tokens
        self.served_tokens += run.held_tokens
        return first_s, run


@dataclass(slots=True)
class Entry:
    """The upstream components of one daemon."""

    destinations: DestinationChooser
    lease_client: LeaseClient
    regions: RegionSummaries
    write_section: Callable[[], bytes]


@dataclass(slots=True)
class Fleet:
    """The daemons and engines of a run, and the results of its requests."""

    plan: Plan
    rng: random.Random = field(init=False)
    config: Config = field(init=False)
    entries: dict[str, list[Entry]] = field(default_factory=dict)
    engines: dict[str, Engine] = field(default_factory=dict)
    results: list[RequestResult] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Compile the configuration that the plan describes."""
        self.rng = random.Random(self.plan.seed)
        base, overlays = make_documents(tuple(self.plan.engines), self.plan.seats)
        del base["routes"]["clinic"]
        for index, (region, count) in enumerate(self.plan.engines.items()):
            engine = overlays[region]["upstreams"][f"{region}-engine-1"]
            engine["memory_tokens"] = MEMORY_TOKENS
            overlays[region]["upstreams"] = {
                f"{region}-engine-{number}": {
                    **engine,
                    "address": f"127.0.0.1:{40_000 + 1000 * index + number}",
                }
                for number in range(count)
            }
        self.config = compile_config(1, base, overlays)

    async def start(self, tasks: TaskGroup) -> None:
        """Start all engines and daemons and wait until the keepers are undisputed."""
        fabric = FakeFabric(self.plan.seed)
        for name in self.config.upstreams:
            engine = self.engines[name] = Engine()
            tasks.start_soon(engine.batch.compute)
            tasks.start_soon(engine.record_load)
        for seat in self.config.seats.values():
            self._start_entry(seat.name, seat.region, fabric, tasks)
        tasks.start_soon(self._exchange_sections)
        await anyio.sleep(SETTLE_S * (3 if self.plan.warm else 1))

    def _start_entry(
        self, seat: str, region: str, fabric: FakeFabric, tasks: TaskGroup
    ) -> None:
        alive_seats = [each.name for each in self.config.seats_of(region)]
        if self.plan.limits_per_daemon:
            alive_seats = [seat]
        context = Context(
            me=PeerIdentity(seat, 1),
            region=region,
            network=fabric.join(seat),
            get_config=lambda: self.config,
            alive_seats=lambda _: alive_seats,
        )
        regions = RegionSummaries()
        destinations = DestinationChooser(
            context, regions, random.Random(self.rng.random())
        )
        keeper = Keeper(context, self._fetch_report)
        lease_client = LeaseClient(
            context, keeper, destinations, random.Random(self.rng.random())
        )
        write = make_section_writer(destinations.list_rows, destinations.list_served)
        entry = Entry(destinations, lease_client, regions, write)
        self.entries.setdefault(region, []).append(entry)
        tasks.start_soon(keeper.run)
        tasks.start_soon(lease_client.run)

    async def _fetch_report(self, upstream: Upstream) -> LoadReport:
        await anyio.sleep(0.001)
        return self.engines[upstream.name].reports[0]

    async def _exchange_sections(self) -> None:
        while True:
            await anyio.sleep(SECTION_PERIOD_S)
            sections = {
                region: entries[0].write_section()
                for region, entries in self.entries.items()
            }
            for region, entries in self.entries.items():
                for other in sections.keys() - {region}:
                    for entry in entries:
                        now_s = anyio.current_time()
                        entry.regions.apply(other, sections[other], now_s)

    async def request(
        self, region: str, organisation: str, prompt: bytes, max_tokens: int
    ) -> None:
        """Send one request as a caller of a region and record its result."""
        started_s = anyio.current_time()
        demand = Demand(
            organisation, 1.0, len(prompt) // 4 + 1, max_tokens, hash_prefix(prompt)
        )
        result = RequestResult(organisation, None, is_remote=False)
        self.results.append(result)
        try:
            entry = self.rng.choice(self.entries[region])
            destination = entry.destinations.choose(
                "oak", demand, None, may_forward=True
            )
            if isinstance(destination, RemoteRegion):
                result.is_remote = True
                await anyio.sleep(ONE_WAY_DELAY_S + len(prompt) / LINK_BYTES_PER_S)
                entry = self.rng.choice(self.entries[destination.region])
                destination = entry.destinations.choose(
                    "oak", demand, None, may_forward=False
                )
            grant = await entry.lease_client.reserve(
                destination.pool, demand, started_s + PATIENCE_S
            )
            first_s = await self._run_on_engine(entry, grant, prompt, max_tokens)
            reply_delay_s = ONE_WAY_DELAY_S if result.is_remote else 0.0
            result.ttft_s = first_s - started_s + reply_delay_s
        except BanyanseamError as error:
            result.error = error.code

    async def _run_on_engine(
        self, entry: Entry, grant: Grant, prompt: bytes, max_tokens: int
    ) -> float:
        engine = self.engines[grant.upstream]
        first_s, run = await engine.run(prompt, max_tokens)
        outcome = Outcome.FAILED if run.is_cancelled else Outcome.COMPLETED
        await entry.lease_client.release(grant, outcome, run.generated_tokens)
        if run.is_cancelled or first_s is None:
            raise UpstreamFailed(grant.upstream)
        return first_s
