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
from standins.serving import Request, announce, run_process, serve

CHAT_PATH = "/v1/chat/completions"
STREAMS_PREFIX = "/v1/streams/"
POISON = b"CRASH"
CRASH_STATUS = 70
MAX_RECORDS = 100_000
DEFAULT_MAX_TOKENS = 16
REAP_PAUSE_S = 5.0
DROPS = ("before_headers", "mid_stream")


@dataclass(slots=True)
class Faults:
    """What the engine does wrong at present."""

    leaving: bool = False
    frozen: bool = False
    drop_next: str | None = None
    crossed: bool = False
    truncate: bool = False


@dataclass(slots=True)
class RunRecord:
    """What a test may ask about one run."""

    request_id: str
    prompt_sha256: str
    organisation: str | None
    seen_headers: list[str]
    run: Run

    def describe(self) -> dict[str, Any]:
        """Return the record as JSON."""
        return {
            "request_id": self.request_id,
            "prompt_sha256": self.prompt_sha256,
            "organisation": self.organisation,
            "seen_headers": self.seen_headers,
            "started": self.run.started_s,
            "finished": self.run.finished_s,
            "cancelled": self.run.is_cancelled,
            "tokens": self.run.generated_tokens,
            "cached_tokens": self.run.cached_tokens,
        }


@dataclass(slots=True)
class LoadReport:
    """What the engine holds, as of some moment."""

    at_s: float
    held_tokens: int
    queued_tokens: int
    running: int


@dataclass(slots=True)
class ChatBody:
    """The fields of a request that the engine reads."""

    prompt: bytes
    max_tokens: int
    stream: bool

    @classmethod
    def read(cls, value: dict[str, Any]) -> "ChatBody":
        """Read a chat-completions body."""
        contents = [str(message["content"]) for message in value["messages"]]
        return cls(
            prompt="\n".join(contents).encode(),
            max_tokens=int(value.get("max_tokens") or DEFAULT_MAX_TOKENS),
            stream=bool(value.get("stream", False)),
        )


@dataclass(slots=True, eq=False)
class Engine:
    """One replica; in a process of its own it dies with the process."""

    limits: EngineLimits = field(default_factory=EngineLimits)
    dies_with_process: bool = False
    faults: Faults = field(default_factory=Faults)
    is_dead: bool = False
    deaths: int = 0
    runs: dict[str, Run] = field(default_factory=dict)
    records: deque[RunRecord] = field(default_factory=lambda: deque(maxlen=MAX_RECORDS))
    reports: deque[LoadReport] = field(default_factory=deque)
    thaw: anyio.Event = field(default_factory=anyio.Event)
    batch: Batch = field(init=False)

    def __post_init__(self) -> None:
        """Join the batch to this engine's death."""
        self.batch = Batch(self.limits, self.die)

    @asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Compute while the context is open."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.batch.compute)
            tasks.start_soon(self._reap)
            yield
            tasks.cancel_scope.cancel()

    def die(self) -> None:
        """Lose every run and refuse all until revived."""
        if self.dies_with_process:
            os._exit(CRASH_STATUS)
        self.is_dead = True
        self.deaths += 1
        self.batch.drop_all()
        self.runs.clear()

    def revive(self) -> None:
        """Serve again, cold."""
        self.is_dead = False

    def set_faults(self, **changes: Any) -> None:
        """Change the faults that are named and leave the others."""
        if changes.pop("revive", False):
            self.revive()
        if changes.pop("die", False):
            self.die()
        for name, value in changes.items():
            if name not in Faults.__slots__:
                raise ValueError(f"no fault {name}")
            if name == "drop_next" and value not in (None, *DROPS):
                raise ValueError(f"drop_next is null or one of {DROPS}")
            setattr(self.faults, name, value)
        self.batch.is_frozen = self.faults.frozen
        if not self.faults.frozen:
            self.batch.work.set()
            self.thaw.set()
            self.thaw = anyio.Event()

    async def handle(self, request: Request) -> None:
        """Answer one request."""
        if request.path.startswith("/control"):
            await self._handle_control(request)
            return
        while self.faults.frozen:
            await self.thaw.wait()
        if self.is_dead:
            request.drop()
        elif request.path == CHAT_PATH and request.method == "POST":
            await self._chat(request)
        elif request.path == "/load":
            await request.answer(200, self._report_load())
        elif request.path == "/cache-events":
            await request.answer(200, self._list_cache_events(request))
        elif request.path.startswith(STREAMS_PREFIX):
            await self._handle_stream(request)
        else:
            await request.answer(404, {"error": "no such path"})

    async def _chat(self, request: Request) -> None:
        if self.faults.leaving or self._in_flight() >= self.limits.max_in_flight:
            await request.answer(
                503,
                {"error": "not started"},
                {"retry-after": "1", "x-not-started": "true"},
            )
            return
        body = ChatBody.read(request.read_json())
        if POISON in body.prompt:
            self._start(request, body)
            self.die()
            request.drop()
            return
        run = self._start(request, body)
        if self.faults.drop_next == "before_headers":
            self.faults.drop_next = None
            request.drop()
        await self._send_answer(request, run, 0, is_stream=body.stream)

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
        self._note_load()
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
            await self._send_answer(request, run, after, is_stream=True)

    def _cancel(self, run: Run) -> None:
        if run.finished_s is None:
            run.is_cancelled = True
            run.wake()

    async def _send_answer(
        self, request: Request, run: Run, after: int, *, is_stream: bool
    ) -> None:
        run.readers += 1
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._stop_when_closed, request, tasks.cancel_scope)
                if is_stream:
                    await self._stream(request, run, after)
                else:
                    await self._answer_whole(request, run)
                tasks.cancel_scope.cancel()
        finally:
            run.readers -= 1
            run.unread_since_s = anyio.current_time()

    def _cancel_unread(self, now_s: float) -> None:
        oldest_s = now_s - self.limits.disconnect_grace_ms / 1000
        for run in self.batch.running + self.batch.queued:
            if run.readers == 0 and run.unread_since_s <= oldest_s:
                self._cancel(run)

    async def _stop_when_closed(
        self, request: Request, scope: anyio.CancelScope
    ) -> None:
        await request.wait_closed()
        request.is_dropped = True
        scope.cancel()

    def _shown_id(self, run: Run) -> str:
        return f"crossed-{run.request_id}" if self.faults.crossed else run.request_id

    async def _stream(self, request: Request, run: Run, after: int) -> None:
        shown_id = self._shown_id(run)
        self.faults.crossed = False
        await request.start(
            200,
            {
                "content-type": "text/event-stream",
                "cache-control": "no-store",
                "x-request-id": shown_id,
            },
        )
        sent = after
        while not request.is_dropped:
            ready = run.generated_tokens
            events = [
                _event(number, shown_id, {"content": f"w{number} "}, None)
                for number in range(sent + 1, ready + 1)
            ]
            if events:
                await request.write(b"".join(events))
                sent = ready
            if self._breaks_stream(request, sent):
                return
            if run.finished_s is not None or self.is_dead:
                break
            while self.faults.frozen:
                await self.thaw.wait()
            if run.generated_tokens == sent and run.finished_s is None:
                await run.progress.wait()
        if run.is_cancelled or self.is_dead:
            request.drop()
            return
        await request.write(_last_event(run, shown_id), more=False)

    def _breaks_stream(self, request: Request, sent: int) -> bool:
        if self.faults.drop_next == "mid_stream" and sent > 0:
            self.faults.drop_next = None
            request.drop()
            return True
        if self.faults.truncate and sent > 0:
            self.faults.truncate = False
            request.transport.close()
            request.is_dropped = True
            return True
        return False

    async def _answer_whole(self, request: Request, run: Run) -> None:
        while run.finished_s is None and not run.is_cancelled:
            await run.progress.wait()
        if request.is_dropped or run.is_cancelled:
            request.drop()
            return
        shown_id = self._shown_id(run)
        self.faults.crossed = False
        words = (f"w{number} " for number in range(1, run.generated_tokens + 1))
        answer = {
            "id": shown_id,
            "object": "chat.completion",
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": "".join(words)},
                    "finish_reason": "stop",
                }
            ],
            "usage": _usage(run),
        }
        if self._breaks_stream(request, 1):
            return
        await request.answer(200, answer, {"x-request-id": shown_id})

    def _in_flight(self) -> int:
        return len(self.batch.running) + len(self.batch.queued)

    def _note_load(self) -> None:
        report = LoadReport(
            at_s=anyio.current_time(),
            held_tokens=self.batch.held_tokens,
            queued_tokens=self.batch.queued_tokens,
            running=self._in_flight(),
        )
        self.reports.append(report)
        newest_shown_s = report.at_s - self.limits.load_lag_ms / 1000
        while len(self.reports) > 1 and self.reports[1].at_s <= newest_shown_s:
            self.reports.popleft()

    def _report_load(self) -> dict[str, Any]:
        self._note_load()
        report = self.reports[0]
        return {
            "held_tokens": report.held_tokens,
            "queued_tokens": report.queued_tokens,
            "running": report.running,
            "leaving": self.faults.leaving,
            "as_of_ms_ago": round((anyio.current_time() - report.at_s) * 1000),
        }

    def _list_cache_events(self, request: Request) -> dict[str, Any]:
        after = request.query_int("after", 0)
        latest_s = anyio.current_time() - self.limits.cache_event_lag_ms / 1000
        events = [
            {key: value for key, value in event.items() if key != "at_s"}
            for event in self.batch.cache.events
            if event["number"] > after and event["at_s"] <= latest_s
        ]
        return {"events": events}

    async def _reap(self) -> None:
        """Note the load often and forget old outputs now and then."""
        reap_at_s = anyio.current_time() + REAP_PAUSE_S
        while True:
            await anyio.sleep(0.05)
            now_s = anyio.current_time()
            self._note_load()
            self._cancel_unread(now_s)
            if now_s < reap_at_s:
                continue
            reap_at_s = now_s + REAP_PAUSE_S
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
                "dead": self.is_dead,
                "deaths": self.deaths,
                "held_tokens": self.batch.held_tokens,
                "in_flight": self._in_flight(),
                "faults": {
                    name: getattr(self.faults, name) for name in Faults.__slots__
                },
            },
        )


def _usage(run: Run) -> dict[str, int]:
    return {
        "prompt_tokens": run.prompt_tokens,
        "completion_tokens": run.generated_tokens,
        "cached_tokens": run.cached_tokens,
    }


def _event(
    number: int, request_id: str, delta: dict[str, str], reason: str | None, **more: Any
) -> bytes:
    choice = {"index": 0, "delta": delta, "finish_reason": reason}
    chunk = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "choices": [choice],
        **more,
    }
    data = json.dumps(chunk, separators=(",", ":"))
    return f"id: {number}\ndata: {data}\n\n".encode()


def _last_event(run: Run, shown_id: str) -> bytes:
    number = run.generated_tokens + 1
    last = _event(number, shown_id, {}, "stop", usage=_usage(run))
    return last + b"data: [DONE]\n\n"


@asynccontextmanager
async def serve_engine(engine: Engine, port: int = 0) -> AsyncIterator[str]:
    """Run an engine in this process and give its address."""
    async with engine.run(), serve(engine.handle, port) as address:
        yield address


async def _main(name: str, port: int, limits: EngineLimits) -> None:
    engine = Engine(limits, dies_with_process=True)
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
def main(port: int, name: str, **limits: Any) -> None:
    """Run a model engine."""
    run_process(_main, name, port, EngineLimits(**limits))


if __name__ == "__main__":
    main()
