"""A model engine: continuous batching, prefix cache, resume, cancel and faults."""

import json
import os
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio
import click

from standins.batching import Batch, EngineLimits, Run, hash_blocks, hash_prompt
from standins.engine_answers import Faults, send_answer
from standins.engine_messages import ChatBody, LoadHistory, LoadReport, RunRecord
from standins.engine_orders import OrderExecutor
from standins.serving import Request, announce, run_process, serve

CHAT_PATH = "/v1/chat/completions"
STREAMS_PREFIX = "/v1/streams/"
POISON = b"CRASH"
CRASH_STATUS = 70
MAX_RECORDS = 100_000
CLEANUP_PERIOD_S = 5.0


@dataclass(slots=True, eq=False)
class Engine:
    """One engine replica; in a process of its own, a crash exits the process."""

    limits: EngineLimits = field(default_factory=EngineLimits)
    exits_on_crash: bool = False
    faults: Faults = field(default_factory=Faults)
    deaths: int = 0
    runs: dict[str, Run] = field(default_factory=dict)
    records: deque[RunRecord] = field(default_factory=lambda: deque(maxlen=MAX_RECORDS))
    loads: LoadHistory = field(init=False)
    batch: Batch = field(init=False)
    # None for an engine whose models are fixed and that accepts no orders.
    orders: OrderExecutor | None = None
    incarnation: str = field(default_factory=lambda: os.urandom(8).hex())

    def __post_init__(self) -> None:
        """Create the batch, which crashes the engine when memory runs out."""
        self.batch = Batch(self.limits, self.crash)
        self.loads = LoadHistory(self.limits.load_lag_ms / 1000)

    @asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Run the batch and the maintenance task while the context is open."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.batch.compute)
            tasks.start_soon(self._maintain)
            yield
            tasks.cancel_scope.cancel()

    def crash(self) -> None:
        """Lose every run; exit the process, or drop all requests until revived."""
        if self.exits_on_crash:
            os._exit(CRASH_STATUS)
        self.faults.is_dead = True
        self.deaths += 1
        if self.orders is not None:
            self.orders.models.clear()
        self.batch.drop_all()
        self.runs.clear()

    def revive(self) -> None:
        """Serve again after a crash, with an empty cache."""
        self.faults.is_dead = False
        self.incarnation = os.urandom(8).hex()
        self.loads = LoadHistory(self.limits.load_lag_ms / 1000)

    def set_faults(self, **changes: Any) -> None:
        """Set the given faults and leave the others unchanged."""
        if changes.pop("revive", False):
            self.revive()
        if changes.pop("die", False):
            self.crash()
        for name, value in changes.items():
            self.faults.set(name, value)
        self.batch.is_suspended = self.faults.suspension.is_suspended
        self.batch.work_available.set()

    async def handle(self, request: Request) -> None:
        """Answer one request."""
        if request.path.startswith("/control"):
            await self._handle_control(request)
            return
        await self.faults.suspension.wait_resumed()
        if self.faults.is_dead:
            request.drop()
        elif request.path == CHAT_PATH and request.method == "POST":
            await self._chat(request)
        elif request.path == "/load":
            await request.answer(200, self._report_load())
        elif request.path == "/cache-events":
            await request.answer(200, self._list_cache_events(request))
        elif request.path == "/orders" and self.orders is not None:
            await self._handle_orders(request, self.orders)
        elif request.path.startswith(STREAMS_PREFIX):
            await self._handle_stream(request)
        else:
            await request.answer(404, {"error": "no such path"})

    async def _handle_orders(self, request: Request, orders: OrderExecutor) -> None:
        if request.method == "GET":
            await request.answer(200, orders.describe())
            return
        await request.answer(*orders.execute(request.read_json()))

    async def _chat(self, request: Request) -> None:
        if self.faults.leaving or self._in_flight() >= self.limits.max_in_flight:
            await request.answer(
                503,
                {"error": "not started"},
                {"retry-after": "1", "x-not-started": "true"},
            )
            return
        body = ChatBody.read(request.read_json())
        if self.orders is not None and body.model not in self.orders.list_ready():
            await request.answer(
                503, {"error": "not loaded"}, {"x-not-started": "true"}
            )
            return
        if POISON in body.prompt:
            self._start(request, body)
            self.crash()
            request.drop()
            return
        run = self._start(request, body)
        if self.faults.consume_drop("before_headers"):
            request.drop()
        await send_answer(request, run, self.faults, 0, is_stream=body.stream)

    def _start(self, request: Request, body: ChatBody) -> Run:
        request_id = request.headers.get("x-request-id") or os.urandom(8).hex()
        run = Run(
            request_id=request_id,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            priority=int(request.headers.get("x-priority", "0")),
            blocks=hash_blocks(body.prompt),
            started_s=anyio.current_time(),
            unread_since_s=anyio.current_time(),
        )
        self.records.append(
            RunRecord(
                request_id=request_id,
                prompt_sha256=hash_prompt(body.prompt),
                organisation=request.headers.get("x-organisation"),
                seen_headers=sorted(request.headers),
                run=run,
            )
        )
        self.runs[request_id] = run
        self.batch.add(run)
        self._record_load()
        return run

    async def _handle_stream(self, request: Request) -> None:
        run = self.runs.get(request.path.removeprefix(STREAMS_PREFIX))
        if run is None:
            await request.answer(404, {"error": "no such stream"})
        elif request.method == "DELETE":
            self._cancel(run)
            await request.answer(200, {"cancelled": True})
        else:
            after = request.query_int("after", 0)
            await send_answer(request, run, self.faults, after, is_stream=True)

    def _cancel(self, run: Run) -> None:
        if run.finished_s is None:
            run.is_cancelled = True
            run.wake()

    def _cancel_unread(self, now_s: float) -> None:
        oldest_s = now_s - self.limits.disconnect_grace_ms / 1000
        for run in self.batch.running + self.batch.queued:
            if run.readers == 0 and run.unread_since_s <= oldest_s:
                self._cancel(run)

    def _in_flight(self) -> int:
        return len(self.batch.running) + len(self.batch.queued)

    def _record_load(self) -> None:
        self.loads.record(
            LoadReport(
                at_s=anyio.current_time(),
                held_tokens=self.batch.held_tokens,
                queued_tokens=self.batch.queued_tokens,
                running=self._in_flight(),
            )
        )

    def _report_load(self) -> dict[str, Any]:
        self._record_load()
        report = self.loads.describe_visible(anyio.current_time())
        report["leaving"] = self.faults.leaving or self.faults.reports_leaving
        report["incarnation"] = self.incarnation
        if self.orders is not None:
            report["ready"] = self.orders.list_ready()
        return report

    def _list_cache_events(self, request: Request) -> dict[str, Any]:
        after = request.query_int("after", 0)
        latest_s = anyio.current_time() - self.limits.cache_event_lag_ms / 1000
        events = [
            {key: value for key, value in event.items() if key != "at_s"}
            for event in self.batch.cache.events
            if event["number"] > after and event["at_s"] <= latest_s
        ]
        return {"events": events}

    async def _maintain(self) -> None:
        """Record the load and cancel unread runs often; drop old outputs rarely."""
        cleanup_at_s = anyio.current_time() + CLEANUP_PERIOD_S
        while True:
            await anyio.sleep(0.05)
            now_s = anyio.current_time()
            self._record_load()
            self._cancel_unread(now_s)
            if now_s < cleanup_at_s:
                continue
            cleanup_at_s = now_s + CLEANUP_PERIOD_S
            oldest_s = now_s - self.limits.keep_output_ms / 1000
            self.runs = {
                request_id: run
                for request_id, run in self.runs.items()
                if run.finished_s is None or run.finished_s > oldest_s
            }

    async def _handle_control(self, request: Request) -> None:
        if request.path == "/control/runs":
            runs = [record.describe() for record in self.records]
            await request.answer(200, runs)
            return
        if request.method == "PUT":
            self.set_faults(**request.read_json())
        await request.answer(
            200,
            {
                "runs": len(self.records),
                "dead": self.faults.is_dead,
                "deaths": self.deaths,
                "held_tokens": self.batch.held_tokens,
                "in_flight": self._in_flight(),
                "faults": self.faults.describe(),
            },
        )


@asynccontextmanager
async def serve_engine(engine: Engine, port: int = 0) -> AsyncIterator[str]:
    """Run an engine in this process and yield its address."""
    async with engine.run(), serve(engine.handle, port) as address:
        yield address


async def _main(
    name: str, port: int, limits: EngineLimits, orders: OrderExecutor | None
) -> None:
    engine = Engine(limits, exits_on_crash=True, orders=orders)
    async with serve_engine(engine, port) as address:
        announce(name, address)
        await anyio.sleep_forever()


@click.command()
@click.option("--port", default=0)
@click.option("--name", default="engine")
@click.option("--decode-tokens-per-s", default=1000.0)
@click.option("--stream-tokens-per-s", default=50.0)
@click.option("--prefill-tokens-per-s", default=10_000.0)
@click.option("--prefill-chunk-tokens", default=2048)
@click.option("--memory-tokens", default=100_000)
@click.option("--cache-tokens", default=50_000)
@click.option("--max-batch", default=64)
@click.option("--max-in-flight", default=256)
@click.option("--load-lag-ms", default=200)
@click.option("--cache-event-lag-ms", default=500)
@click.option("--keep-output-ms", default=60_000)
@click.option("--disconnect-grace-ms", default=1000)
@click.option(
    "--weights", help="JSON of bytes by model; the engine then accepts orders"
)
@click.option("--ignores-fencing", is_flag=True)
def main(
    port: int, name: str, weights: str | None, ignores_fencing: bool, **limits: Any
) -> None:
    """Run a model engine."""
    orders = None
    if weights is not None:
        orders = OrderExecutor(not ignores_fencing, weights=json.loads(weights))
    run_process(_main, name, port, EngineLimits(**limits), orders)


if __name__ == "__main__":
    main()
