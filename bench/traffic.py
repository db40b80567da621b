"""Send requests to a fleet and collect the records of callers and engines."""

import hashlib
import math
import random
from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from standins.callers import Caller
from standins.engine import CRASH_STATUS
from standins.fleet import Daemon, Fleet

BYTES_PER_TOKEN = 4
PICK_TRIES = 20
WATCH_PERIOD_S = 0.2
CALLER_TIMEOUT_S = 60.0

Pick = Callable[[float], Daemon]


@dataclass(slots=True, eq=False)
class SentRequest:
    """One request with the result that its caller received."""

    organisation: str
    region: str
    prompt_sha256: str
    prompt_tokens: int
    sent_s: float
    ended_s: float | None = None
    first_token_s: float | None = None
    is_whole: bool = False
    code: str | None = None
    broken: str | None = None

    @property
    def ttft_s(self) -> float:
        """Return the time to the first token, infinite if none arrived."""
        return math.inf if self.first_token_s is None else self.first_token_s


@dataclass(frozen=True, slots=True)
class EngineRun:
    """One run as its engine recorded it."""

    engine: str
    prompt_sha256: str
    organisation: str
    started_s: float
    generated_tokens: int
    cached_tokens: int


@dataclass(slots=True)
class Traffic:
    """The callers of one fleet, and the engines and daemons that are down."""

    fleet: Fleet
    rng: random.Random
    callers: dict[str, Caller] = field(default_factory=dict)
    deaths: int = 0
    down_seats: set[str] = field(default_factory=set)
    kept_down: set[str] = field(default_factory=set)

    async def open(self, stack: AsyncExitStack) -> None:
        """Open a caller for each organisation."""
        for name, key in self.fleet.keys.items():
            caller = Caller(key, CALLER_TIMEOUT_S)
            self.callers[name] = await stack.enter_async_context(caller)

    async def watch_engines(self) -> None:
        """Restart engines, and count those that ran out of memory or crashed."""
        while True:
            await anyio.sleep(WATCH_PERIOD_S)
            for name, upstream in list(self.fleet.upstreams.items()):
                if upstream.child.is_running or name in self.kept_down:
                    continue
                self.deaths += upstream.child.popen.returncode == CRASH_STATUS
                await self.fleet.restart_upstream(name)

    def pick_any(self, _: float = 0.0) -> Daemon:
        """Return a running daemon, as callers find one by asking for entries."""
        daemons = list(self.fleet.daemons.values())
        for _ in range(PICK_TRIES):
            daemon = self.rng.choice(daemons)
            if daemon.seat not in self.down_seats:
                return daemon
        raise RuntimeError("no daemon runs")

    def make_region_picker(self, region: str) -> Pick:
        """Return a picker that returns any daemon of a region."""
        daemons = self.fleet.list_daemons(region)
        return lambda _: self.rng.choice(daemons)

    def make_prompt(self, tokens: int) -> str:
        """Return a random prompt, which has no prefix in common with others."""
        return self.rng.randbytes(2 * tokens).hex()

    async def send(
        self,
        organisation: str,
        daemon: Daemon,
        prompt: str,
        output_tokens: int,
        sent: list[SentRequest],
    ) -> SentRequest:
        """Send one request and record its answer."""
        request = SentRequest(
            organisation,
            daemon.region,
            hashlib.sha256(prompt.encode()).hexdigest(),
            math.ceil(len(prompt) / BYTES_PER_TOKEN),
            anyio.current_time(),
        )
        sent.append(request)
        result = await self.callers[organisation].chat(
            daemon.callers_address, prompt, max_tokens=output_tokens
        )
        request.ended_s = anyio.current_time()
        request.is_whole = result.is_whole
        request.code = result.code
        request.broken = result.broken
        if result.status == 200:
            request.first_token_s = result.first_token_s
        return request

    async def send_steadily(
        self,
        tasks: TaskGroup,
        organisation: str,
        pick: Pick,
        rate_per_s: float,
        tokens: tuple[int, int],
        length_s: float,
        sent: list[SentRequest],
    ) -> None:
        """Send requests of one size at random times, without waiting for answers."""
        started_s = next_s = anyio.current_time()
        while True:
            next_s += self.rng.expovariate(rate_per_s)
            if next_s - started_s >= length_s:
                return
            await anyio.sleep_until(next_s)
            prompt = self.make_prompt(tokens[0])
            daemon = pick(next_s - started_s)
            tasks.start_soon(self.send, organisation, daemon, prompt, tokens[1], sent)

    async def collect_runs(self, sent: Iterable[SentRequest]) -> list[EngineRun]:
        """Return the runs that the engines recorded of these requests."""
        wanted = {request.prompt_sha256 for request in sent}
        runs = []
        for name, upstream in self.fleet.upstreams.items():
            if not upstream.is_model or not upstream.child.is_running:
                continue
            for record in await self.fleet.list_runs(name):
                if record["prompt_sha256"] in wanted:
                    runs.append(_read_run(name, record))
        return runs


def _read_run(engine: str, record: dict) -> EngineRun:
    return EngineRun(
        engine,
        record["prompt_sha256"],
        record["organisation"] or "",
        record["started"],
        record["tokens"],
        record["cached_tokens"],
    )


def find_p99_s(sent: Iterable[SentRequest]) -> float:
    """Return the 99th percentile of the time to the first token."""
    times = sorted(request.ttft_s for request in sent)
    return times[min(len(times) - 1, int(len(times) * 0.99))]


def find_worst_p99_s(
    sent: Iterable[SentRequest], organisations: Iterable[str]
) -> float:
    """Return the greatest of the organisations' 99th percentiles."""
    sent = list(sent)
    return max(
        find_p99_s(request for request in sent if request.organisation == name)
        for name in organisations
    )


def find_refused_share(sent: Iterable[SentRequest], prefix: str = "") -> float:
    """Return the share of requests refused with an error code of this prefix."""
    sent = list(sent)
    refused = [
        request for request in sent if request.code and request.code.startswith(prefix)
    ]
    return len(refused) / max(1, len(sent))


def count_overrun_tokens(
    runs: Iterable[tuple[float, int]], rate_tokens_per_s: float, burst_tokens: int
) -> float:
    """Return by how many tokens runs, as (start, tokens), exceed one bucket."""
    left_tokens, last_s, overrun_tokens = float(burst_tokens), None, 0.0
    for started_s, tokens in sorted(runs):
        if last_s is not None:
            refilled_tokens = rate_tokens_per_s * (started_s - last_s)
            left_tokens = min(burst_tokens, left_tokens + refilled_tokens)
        last_s = started_s
        left_tokens -= tokens
        overrun_tokens = max(overrun_tokens, -left_tokens)
    return overrun_tokens
