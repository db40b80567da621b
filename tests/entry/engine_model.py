"""A pool of engines and its callers in simulated time, for tests that simulate a load.

Engines run in steps: each running request decodes a token, and up to one chunk of the
waiting prompts is prefilled. The figures come from the operators' sheets, as in
entry/performance/models.py; an engine of another speed is faster in all of them.
"""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from banyanseam.entry.choosing import choose_retry_after_ms
from banyanseam.entry.messages import make_upstream_tag
from banyanseam.entry.models import Prompt
from banyanseam.entry.performance.models import INITIAL_PERFORMANCE, Performance
from banyanseam.entry.performance.observer import PerformanceObserver
from banyanseam.entry.performance.recorder import RunRecorder
from banyanseam.entry.placing import (
    Candidate,
    PlacementRequest,
    choose,
    is_admitted,
)
from tests.entry.common import make_candidate

CHUNK_TOKENS = 1024
# Maximum age of the reported load of an engine.
LOAD_REPORT_PERIOD_MS = 250.0


@dataclass(slots=True)
class Call:
    """A caller's request and its outcome."""

    prompt: Prompt
    output_tokens: int
    asked_ms: float
    target_ms: float
    deadline_ms: float
    unprefilled_tokens: int = 0
    decoded_tokens: int = 0
    attempts: int = 0
    sent_ms: float = 0.0
    recorder: RunRecorder | None = None
    estimated_wait_ms: float = 0.0
    first_ms: float | None = None
    ended_ms: float | None = None

    @property
    def end_by_ms(self) -> float:
        """Return when the caller stops waiting."""
        return self.asked_ms + self.deadline_ms

    def credit(self, late_share: float) -> float:
        """Return 1 for an answer in time, less for a late one, 0 for none."""
        if self.ended_ms is None or self.ended_ms > self.end_by_ms:
            return 0.0
        return 1.0 if self.first_ms - self.asked_ms <= self.target_ms else late_share


@dataclass(slots=True)
class Engine:
    """One engine; `slots` requests run at once, the others wait."""

    name: str
    slots: int = 64
    speed: float = 1.0
    now_ms: float = 0.0
    running: list[Call] = field(default_factory=list)
    waiting: deque[Call] = field(default_factory=deque)

    def describe(self, performance: Performance) -> Candidate:
        """Return the engine's load as an entry process sees it."""
        unprefilled_tokens = sum(
            call.unprefilled_tokens for call in (*self.running, *self.waiting)
        )
        return make_candidate(
            self.name,
            slots=self.slots,
            requests=len(self.running) + len(self.waiting),
            prefill_ms=unprefilled_tokens / performance.prefill_tokens_per_ms,
            performance=performance,
        )

    def step(self) -> None:
        """Run one step and set the time at its end."""
        self._drop_timed_out()
        while self.waiting and len(self.running) < self.slots:
            self.running.append(self.waiting.popleft())
        budget = CHUNK_TOKENS
        decoding = []
        for call in self.running:
            prefilled_tokens = min(budget, call.unprefilled_tokens)
            budget -= prefilled_tokens
            call.unprefilled_tokens -= prefilled_tokens
            if call.unprefilled_tokens == 0:
                decoding.append(call)
        self.now_ms += (
            INITIAL_PERFORMANCE.step_ms
            + INITIAL_PERFORMANCE.step_ms_per_running * len(decoding)
            + (CHUNK_TOKENS - budget) / INITIAL_PERFORMANCE.prefill_tokens_per_ms
        ) / self.speed
        for call in decoding:
            call.decoded_tokens += 1
            if call.first_ms is None:
                call.first_ms = self.now_ms
                call.recorder.record_first(self.now_ms / 1000)
            if call.decoded_tokens >= call.output_tokens:
                call.ended_ms = self.now_ms
                call.recorder.record_end(self.now_ms / 1000, call.decoded_tokens)
        self.running = [call for call in self.running if call.ended_ms is None]

    def _drop_timed_out(self) -> None:
        self.running = [call for call in self.running if call.end_by_ms > self.now_ms]
        self.waiting = deque(
            call for call in self.waiting if call.end_by_ms > self.now_ms
        )


@dataclass(slots=True)
class Pool:
    """Engines and callers; each request sent is added to the last reported loads.

    With `is_observing`, waits are estimated with the observed performance.
    """

    engines: dict[str, Engine]
    rng: random.Random
    is_observing: bool = False
    observer: PerformanceObserver = field(default_factory=PerformanceObserver)
    _reported_ms: float = -1e9
    _reported: dict[str, Candidate] = field(default_factory=dict)
    _sent: list[Call] = field(default_factory=list)
    refusals: int = 0

    def list_waits(self) -> list[tuple[float, float]]:
        """Return the estimated and the real wait for the first token of each call."""
        return [
            (call.estimated_wait_ms, call.first_ms - call.sent_ms)
            for call in self._sent
            if call.first_ms is not None
        ]

    def run(
        self, calls: list[Call], make_request: Callable[[Call], PlacementRequest]
    ) -> None:
        """Simulate all calls to their end; each refused caller retries once."""
        pending = deque(sorted(calls, key=lambda call: call.asked_ms))
        retrying: list[tuple[float, Call]] = []
        end_ms = max(call.end_by_ms for call in calls)
        while (engine := self._next_engine()).now_ms < end_ms:
            now_ms = engine.now_ms
            while pending and pending[0].asked_ms <= now_ms:
                self._handle_call(pending.popleft(), now_ms, make_request, retrying)
            for entry in [each for each in retrying if each[0] <= now_ms]:
                retrying.remove(entry)
                self._handle_call(entry[1], now_ms, make_request, retrying)
            engine.step()

    def _next_engine(self) -> Engine:
        return min(self.engines.values(), key=lambda each: each.now_ms)

    def _handle_call(
        self,
        call: Call,
        now_ms: float,
        make_request: Callable[[Call], PlacementRequest],
        retrying: list[tuple[float, Call]],
    ) -> None:
        call.attempts += 1
        left_ms = call.end_by_ms - now_ms
        if now_ms - self._reported_ms >= LOAD_REPORT_PERIOD_MS:
            self._reported_ms = now_ms
            tags = {make_upstream_tag(name): "pool" for name in self.engines}
            self.observer.refresh(tags, now_ms / 1000)
            self._reported = {
                name: engine.describe(self._find_performance(name))
                for name, engine in self.engines.items()
            }
        placement = choose(
            list(self._reported.values()),
            make_request(call),
            lambda *_: False,
            self.rng.random,
        )
        if not is_admitted(placement, call.prompt, call.target_ms, left_ms):
            self.refusals += 1
            if call.attempts == 1:
                pause_ms = choose_retry_after_ms(2 * placement.wait_ms, left_ms)
                retrying.append((now_ms + pause_ms, call))
            return
        call.sent_ms, call.estimated_wait_ms = now_ms, placement.wait_ms
        self._sent.append(call)
        name = placement.candidate.upstream_id
        call.unprefilled_tokens = call.prompt.prompt_tokens
        call.recorder = RunRecorder(
            self.observer, make_upstream_tag(name), placement, call.prompt
        )
        call.recorder.record_write(now_ms / 1000)
        self.engines[name].waiting.append(call)
        reported = self._reported[name]
        self._reported[name] = replace(
            reported,
            requests=reported.requests + 1,
            prefill_ms=reported.prefill_ms
            + call.prompt.prompt_tokens / reported.performance.prefill_tokens_per_ms,
        )

    def _find_performance(self, name: str) -> Performance:
        if not self.is_observing:
            return INITIAL_PERFORMANCE
        return self.observer.find(make_upstream_tag(name))
