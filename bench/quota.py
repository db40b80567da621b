"""Measure quota on a mock clock: wrong refusals, over-admission, messages.

The daemon's homes and entries run over an in-memory network. Each case also runs with
a static split over the VMs, and with one home for each organisation.

    python -m bench.quota [SECONDS]
"""

import math
import random
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio

from banyanseam.errors import BanyanseamError
from banyanseam.quota.const import DEFAULT_TIMING, WHOLE_UNITS
from banyanseam.quota.share import Quota, Share
from bench.results import Figure, append
from tests.common import run_with_mock_clock
from tests.quota.fleet import WITHIN_REGION_S, Fleet, region_of

SEEDS = (1, 2, 3)
SECONDS = 300.0
RATE_TOKENS_PER_S = 5000
BURST_TOKENS = 50_000
DEMAND_SHARE = 0.9
PATIENCE_S = 5.0
RUN_S = 2.0
MEAN_TOKENS = 500
DOWN_S = 5.0
REGIONS = ("gulf", "piedmont", "delta")

Request = Callable[[str, int], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Case:
    """Where demand arises and whether VMs are killed."""

    name: str
    target: float
    kills_per_minute: int

    def choose_seat(self, fleet: Fleet, rng: random.Random, now_s: float) -> str:
        """Return one of the running entries for the next request."""
        if self.name == "one_vm":
            return "gulf-1"
        seats = sorted(fleet.seats)
        if self.name == "offset_peaks":
            cycles = now_s / 120
            weights = [
                1
                + math.sin(2 * math.pi * (cycles + REGIONS.index(region_of(seat)) / 3))
                for seat in seats
            ]
            return rng.choices(seats, weights)[0]
        return rng.choice(seats)


CASES = (
    Case("one_vm", 0.01, 0),
    Case("offset_peaks", 0.02, 0),
    Case("kills", 0.02, 1),
)


@dataclass(slots=True)
class Counts:
    """The numbers of passed, refused and lost requests of a run."""

    passed: int = 0
    refused: int = 0
    lost: int = 0

    @property
    def refused_share(self) -> float:
        """Return the refused share, all of it wrong, as demand is within the rate."""
        return self.refused / max(1, self.refused + self.passed)


class LocalBuckets:
    """The baselines: buckets at some seats, charged by the entries mapped to them."""

    def __init__(self, fleet: Fleet, homes: dict[str, str]) -> None:
        """Map each entry to the seat that holds its bucket."""
        self.fleet = fleet
        self.homes = homes
        self.buckets: dict[str, Share] = {}
        self.charges = 0

    def find_bucket(self, home: str) -> Share:
        """Return the bucket of a seat's current process, empty after a restart."""
        seat = self.fleet.seats[home]
        key = f"{home} {id(seat)}"
        if key not in self.buckets:
            quota = Quota(RATE_TOKENS_PER_S, BURST_TOKENS)
            now_s = anyio.current_time()
            share = Share(quota, DEFAULT_TIMING, now_s)
            bucket_units = WHOLE_UNITS // len(set(self.homes.values()))
            share.open_full(bucket_units, now_s)
            if any(name.startswith(f"{home} ") for name in self.buckets):
                share.tokens = 0.0
            self.buckets[key] = share
        return self.buckets[key]

    async def request(self, seat: str, used: int) -> None:
        """Charge the entry's home, and wait for refill up to `PATIENCE_S`."""
        home = self.homes[seat]
        deadline_s = anyio.current_time() + PATIENCE_S
        if home != seat:
            between_s = 0.0 if region_of(home) == region_of(seat) else 0.11
            await anyio.sleep(2 * WITHIN_REGION_S + between_s)
        self.charges += 1
        charge_id = str(self.charges)
        while True:
            now_s = anyio.current_time()
            if home in self.fleet.seats:
                bucket = self.find_bucket(home)
                if bucket.try_charge(charge_id, 2 * used, now_s):
                    break
            if now_s >= deadline_s:
                raise BanyanseamError
            await anyio.sleep(0.05)
        self.fleet.count(used)
        await anyio.sleep(RUN_S)
        bucket.settle(charge_id, used, anyio.current_time())


def make_request(policy: str, fleet: Fleet) -> Request:
    """Return the function that serves one request at an entry under a policy."""
    if policy == "loans":

        async def request(seat: str, used: int) -> None:
            await fleet.request(seat, 2 * used, PATIENCE_S, used, RUN_S)

        return request
    seats = list(fleet.config.seats)
    if policy == "static_split":
        return LocalBuckets(fleet, {seat: seat for seat in seats}).request
    return LocalBuckets(fleet, dict.fromkeys(seats, "piedmont-1")).request


async def kill_periodically(fleet: Fleet, case: Case, rng: random.Random) -> None:
    """Kill VMs at the rate of the case; a new one takes the seat after `DOWN_S`."""
    while case.kills_per_minute:
        await anyio.sleep(60 / case.kills_per_minute - DOWN_S)
        seat = rng.choice(sorted(fleet.seats))
        fleet.kill(seat)
        await anyio.sleep(DOWN_S)
        fleet.start(seat)


async def offer_demand(
    fleet: Fleet, case: Case, request: Request, seed: int, seconds: float
) -> Counts:
    """Offer Poisson demand at `DEMAND_SHARE` of the rate."""
    rng = random.Random(seed)
    counts = Counts()
    end_s = anyio.current_time() + seconds
    mean_interval_s = MEAN_TOKENS / (RATE_TOKENS_PER_S * DEMAND_SHARE)

    async def send(seat: str, used: int) -> None:
        process = fleet.seats[seat]
        try:
            with process.alive():
                await request(seat, used)
                counts.passed += 1
                return
        except BanyanseamError:
            counts.refused += 1
            return
        counts.lost += 1

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(kill_periodically, fleet, case, random.Random(seed + 1000))
        async with anyio.create_task_group() as requests:
            while anyio.current_time() < end_s:
                await anyio.sleep(rng.expovariate(1 / mean_interval_s))
                seat = case.choose_seat(fleet, rng, anyio.current_time())
                used = rng.randint(MEAN_TOKENS // 5, 2 * MEAN_TOKENS * 9 // 10)
                requests.start_soon(send, seat, used)
        tasks.cancel_scope.cancel()
    return counts


async def run_case(
    case: Case, policy: str, seed: int, seconds: float
) -> tuple[Counts, Fleet]:
    """Run one case under one policy."""
    fleet = Fleet(seed, rate_tokens_per_s=RATE_TOKENS_PER_S, burst_tokens=BURST_TOKENS)
    async with fleet.running():
        fleet.fabric.kinds.clear()
        fleet.fabric.kind_bytes.clear()
        request = make_request(policy, fleet)
        counts = await offer_demand(fleet, case, request, seed, seconds)
    return counts, fleet


def measure(case: Case, seed: int, seconds: float) -> list[Figure]:
    """Return the figures of one case and seed against both baselines."""
    counts, fleet = run_with_mock_clock(run_case, case, "loans", seed, seconds)
    figures = []
    for baseline in ("static_split", "one_home"):
        other, _ = run_with_mock_clock(run_case, case, baseline, seed, seconds)
        figures.append(
            Figure(
                f"wrongly_refused_share.{case.name}",
                counts.refused_share,
                f"share (target {case.target})",
                baseline,
                other.refused_share,
                seed,
            )
        )
    figures.append(
        Figure(
            f"over_admitted_tokens.{case.name}",
            fleet.overdrawn_tokens,
            "tokens",
            seed=seed,
        )
    )
    kinds, sizes = fleet.fabric.kinds, fleet.fabric.kind_bytes
    request_kinds = {"quota.charge", "quota.charge_reply", "quota.settle"}
    control_kinds = [kind for kind in kinds if kind not in request_kinds]
    requests = counts.passed + counts.refused + counts.lost
    figures += [
        Figure(
            f"quota_control_messages.{case.name}",
            sum(kinds[kind] for kind in control_kinds) / seconds,
            "messages/s for one busy organisation",
            seed=seed,
        ),
        Figure(
            f"quota_control_bytes.{case.name}",
            sum(sizes[kind] for kind in control_kinds) / seconds,
            "bytes/s for one busy organisation",
            seed=seed,
        ),
        Figure(
            f"quota_messages_per_request.{case.name}",
            sum(kinds[kind] for kind in request_kinds) / requests,
            "messages",
            seed=seed,
        ),
    ]
    return figures


def main() -> None:
    """Measure every case with every seed."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else SECONDS
    for case in CASES:
        for seed in SEEDS:
            append(measure(case, seed, seconds))


if __name__ == "__main__":
    main()
