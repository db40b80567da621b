"""Measure the processor time of a pool's keeper, and the sizes of its messages.

Run: python -m bench.choice_cost
"""

import time
from collections.abc import Callable

from loguru import logger

from banyanseam.config.compile import compile_config
from banyanseam.peers.messages import Envelope, Message, decode, encode
from banyanseam.upstreams.const import MAX_POOL_UPSTREAMS
from banyanseam.upstreams.lease_ledger import LeaseLedger
from banyanseam.upstreams.messages import Announce, Granted, Release, Renew, Reserve
from banyanseam.upstreams.models import Demand, LeaseKey, LoadReport, Outcome
from banyanseam.upstreams.pool_scheduler import PoolScheduler
from banyanseam.upstreams.pools import list_pools
from banyanseam.upstreams.prefix import hash_prefix
from banyanseam.upstreams.terms import LARGE_REGION
from bench.results import Figure, append
from tests.common import make_documents

ROUNDS = 2_000
SEATS = 57
REQUESTS_PER_S_AND_UPSTREAM = 3_300 / 600
LEASES_PER_SEAT_AND_POOL = 8
PERIOD_MS = round(1000 * LARGE_REGION.renew_period_s)


def make_scheduler(upstreams: int) -> PoolScheduler:
    """Return a pool scheduler of idle upstreams, past its learning period."""
    base, overlays = make_documents(("gulf",), SEATS)
    del base["routes"]["clinic"]
    engine = overlays["gulf"]["upstreams"]["gulf-engine-1"]
    overlays["gulf"]["upstreams"] = {
        f"engine-{number}": {
            **engine,
            "address": f"127.0.0.1:{40_000 + number}",
            "prefill_tokens_per_s": 1e9,
        }
        for number in range(upstreams)
    }
    config = compile_config(1, base, overlays)
    (pool,) = list_pools(config, "gulf").values()
    scheduler = PoolScheduler(pool, frozenset(), 0.0)
    for name, tracked in scheduler.tracked.items():
        tracked.ledger.learning_until_s = 0.0
        scheduler.observe(name, LoadReport(0, 0, 0, leaving=False, as_of_s=0.0), 0.0)
    return scheduler


def time_us(function: Callable[[int], None], rounds: int = ROUNDS) -> float:
    """Return the processor time of one call in microseconds."""
    started_s = time.process_time()
    for number in range(rounds):
        function(number)
    return (time.process_time() - started_s) / rounds * 1e6


def measure_requests(upstreams: int, running: int, waiting: int) -> float:
    """Return the time to enqueue, grant and release one request."""
    scheduler = make_scheduler(upstreams)
    prefix = hash_prefix(b"x" * 20_000)
    for number in range(running):
        key = LeaseKey("other", 1, number)
        scheduler.enqueue(key, Demand("acme", 1.0, 100, 100), 60.0, 0.0)
        scheduler.dispatch(0.0)
    for number in range(waiting):
        key = LeaseKey("waiting", 1, number)
        demand = Demand(f"org-{number % 100}", 1.0, 85_000, 2_000)
        scheduler.enqueue(key, demand, 1e9, 0.0)

    def serve(number: int) -> None:
        now_s = number / (REQUESTS_PER_S_AND_UPSTREAM * upstreams)
        key = LeaseKey("gulf-1", 1, number)
        demand = Demand("acme", 1.0, 400, 100, prefix)
        scheduler.enqueue(key, demand, 1e9, now_s)
        placed, _ = scheduler.dispatch(now_s)
        for placement in placed:
            scheduler.release(
                placement.key, placement.upstream, Outcome.COMPLETED, 50, now_s
            )
        scheduler.dispatch(now_s)

    return time_us(serve, ROUNDS if not waiting else 200)


def make_announcement() -> Announce:
    """Return the announcement that one of 57 seats sends to a new keeper."""
    leases = {
        f"engine-{number}": {100_000 + number: 2_000}
        for number in range(LEASES_PER_SEAT_AND_POOL)
    }
    return Announce(pools=["gulf/model:oak/0"], leases=leases, period_ms=PERIOD_MS)


def measure_renewals() -> float:
    """Return the time in which a keeper handles one seat's renewal of one pool."""
    scheduler = make_scheduler(MAX_POOL_UPSTREAMS)
    message = make_announcement()
    numbers = [number for leases in message.leases.values() for number in leases]
    for number in range(SEATS):
        scheduler.announce(f"gulf-{number}", 1, message.leases, 1.0, LARGE_REGION)

    def renew(number: int) -> None:
        process = (f"gulf-{number % SEATS}", 1)
        if set(scheduler.list_numbers(*process)) == set(numbers):
            scheduler.renew(*process, 1.0, LARGE_REGION)
        scheduler.summarise(1.0)

    return time_us(renew)


def measure_reports() -> float:
    """Return the time to apply one load report to a ledger with 64 leases."""
    ledger = LeaseLedger(10**9, 1_000, 0.0)
    ledger.announce("gulf-1", 1, dict.fromkeys(range(64), 100), 0.0)
    report = LoadReport(0, 0, 0, leaving=False, as_of_s=0.0)
    return time_us(lambda _: ledger.observe(report, 0.0))


def measure_size(message: Message) -> tuple[int, float]:
    """Return a message's size in bytes and the time to encode and decode it."""
    envelope = Envelope(1, is_reply=False, message=message)
    return len(encode(envelope)), time_us(lambda _: decode(encode(envelope)))


def main() -> None:
    """Measure every figure once."""
    logger.remove()
    figures = [
        Figure("keeper_request_cpu_1_upstream", measure_requests(1, 0, 0), "us"),
        Figure("keeper_request_cpu_8_upstreams", measure_requests(8, 0, 0), "us"),
        Figure("keeper_request_cpu_400_running", measure_requests(8, 400, 0), "us"),
        Figure(
            "keeper_request_cpu_400_running_200_waiting",
            measure_requests(8, 400, 200),
            "us",
        ),
        Figure("keeper_renewal_cpu", measure_renewals(), "us"),
        Figure("keeper_report_cpu_64_leases", measure_reports(), "us"),
    ]
    messages = {
        "reserve": Reserve(
            pool="gulf/model:oak/0",
            lease=100_000,
            organisation="org-1",
            weight=1.0,
            prompt_tokens=400,
            max_output_tokens=100,
            prefix=list(hash_prefix(b"x" * 20_000)),
            avoid=[],
            patience_ms=20_000,
        ),
        "granted": Granted(
            upstream="engine-1",
            cached_tokens=0,
            waited_ms=1,
            row=make_scheduler(MAX_POOL_UPSTREAMS).summarise(1.0).pack(),
        ),
        "release": Release(
            pool="gulf/model:oak/0",
            lease=100_000,
            upstream="engine-1",
            outcome=Outcome.COMPLETED,
            output_tokens=50,
        ),
        "renew": Renew(digest=2**63, period_ms=PERIOD_MS),
        "announce": make_announcement(),
    }
    for name, message in messages.items():
        size, cpu_us = measure_size(message)
        figures.append(Figure(f"{name}_message_size", size, "bytes"))
        figures.append(Figure(f"{name}_message_codec_cpu", cpu_us, "us"))
    renewal_size = measure_size(messages["renew"])[0]
    figures.append(
        Figure(
            "keeper_renewals_received_57_seats",
            renewal_size * SEATS / LARGE_REGION.renew_period_s,
            "bytes/s",
        )
    )
    append(figures)


if __name__ == "__main__":
    main()
