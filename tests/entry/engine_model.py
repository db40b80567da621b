"""A pool of engines and its callers in simulated time, for tests that play a load.

Engines take steps: each running request gets a token, and up to one chunk of waiting
prompts is read beside. Its figures are the operators' sheets', as in entry/const.py.
"""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from banyanseam.entry.choosing import choose_retry_after_ms
from banyanseam.entry.const import (
    PREFILL_TOKENS_PER_MS,
    STEP_MS,
    STEP_MS_PER_RUNNING,
)
from banyanseam.entry.models import Prompt
from banyanseam.entry.placing import Ask, Candidate, choose, is_admitted
from tests.entry.common import make_candidate

CHUNK_TOKENS = 1024
# How old the news of what an engine holds is, at most.
NEWS_MS = 250.0


@dataclass(slots=True)
class Call:
    """A caller's request and what came of it."""

    prompt: Prompt
    output_tokens: int
    asked_ms: float
    target_ms: float
    deadline_ms: float
    unread_tokens: int = 0
    made_tokens: int = 0
    tries: int = 0
    taken_ms: float = 0.0
    foretold_ms: float = 0.0
    first_ms: float | None = None
    ended_ms: float | None = None

    @property
    def end_by_ms(self) -> float:
        """Return when the caller stops to wait."""
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
    now_ms: float = 0.0
    running: list[Call] = field(default_factory=list)
    waiting: deque[Call] = field(default_factory=deque)

    def describe(self) -> Candidate:
        """Return what an entry knows of the engine."""
        unread_tokens = sum(
            call.unread_tokens for call in (*self.running, *self.waiting)
        )
        return make_candidate(
            self.name,
            slots=self.slots,
            requests=len(self.running) + len(self.waiting),
            prefill_ms=unread_tokens / PREFILL_TOKENS_PER_MS,
        )

    def step(self) -> None:
        """Run one step and set the time at its end."""
        self._drop_given_up()
        while self.waiting and len(self.running) < self.slots:
            self.running.append(self.waiting.popleft())
        budget = CHUNK_TOKENS
        decoding = []
        for call in self.running:
            read_tokens = min(budget, call.unread_tokens)
            budget -= read_tokens
            call.unread_tokens -= read_tokens
            if call.unread_tokens == 0:
                decoding.append(call)
        self.now_ms += (
            STEP_MS
            + STEP_MS_PER_RUNNING * len(decoding)
            + (CHUNK_TOKENS - budget) / PREFILL_TOKENS_PER_MS
        )
        for call in decoding:
            call.made_tokens += 1
            if call.first_ms is None:
                call.first_ms = self.now_ms
            if call.made_tokens >= call.output_tokens:
                call.ended_ms = self.now_ms
        self.running = [call for call in self.running if call.ended_ms is None]

    def _drop_given_up(self) -> None:
        self.running = [call for call in self.running if call.end_by_ms > self.now_ms]
        self.waiting = deque(
            call for call in self.waiting if call.end_by_ms > self.now_ms
        )


@dataclass(slots=True)
class Pool:
    """Engines before callers; news of the engines are old, own sends are added."""

    engines: dict[str, Engine]
    chance: random.Random
    _news_ms: float = -1e9
    _news: dict[str, Candidate] = field(default_factory=dict)
    _taken: list[Call] = field(default_factory=list)
    refusals: int = 0

    def list_waits(self) -> list[tuple[float, float]]:
        """Return the foretold and the real wait for the first token of each call."""
        return [
            (call.foretold_ms, call.first_ms - call.taken_ms)
            for call in self._taken
            if call.first_ms is not None
        ]

    def play(self, calls: list[Call], make_ask: Callable[[Call], Ask]) -> None:
        """Play all calls to their end; each refused caller comes back once."""
        coming = deque(sorted(calls, key=lambda call: call.asked_ms))
        returning: list[tuple[float, Call]] = []
        end_ms = max(call.end_by_ms for call in calls)
        while (engine := self._next_engine()).now_ms < end_ms:
            now_ms = engine.now_ms
            while coming and coming[0].asked_ms <= now_ms:
                self._take(coming.popleft(), now_ms, make_ask, returning)
            for entry in [each for each in returning if each[0] <= now_ms]:
                returning.remove(entry)
                self._take(entry[1], now_ms, make_ask, returning)
            engine.step()

    def _next_engine(self) -> Engine:
        return min(self.engines.values(), key=lambda each: each.now_ms)

    def _take(
        self,
        call: Call,
        now_ms: float,
        make_ask: Callable[[Call], Ask],
        returning: list[tuple[float, Call]],
    ) -> None:
        call.tries += 1
        left_ms = call.end_by_ms - now_ms
        if now_ms - self._news_ms >= NEWS_MS:
            self._news_ms = now_ms
            self._news = {
                name: engine.describe() for name, engine in self.engines.items()
            }
        place = choose(
            list(self._news.values()),
            make_ask(call),
            lambda *_: False,
            self.chance.random,
        )
        if not is_admitted(place, call.prompt, call.target_ms, left_ms):
            self.refusals += 1
            if call.tries == 1:
                pause_ms = choose_retry_after_ms(2 * place.wait_ms, left_ms)
                returning.append((now_ms + pause_ms, call))
            return
        call.taken_ms, call.foretold_ms = now_ms, place.wait_ms
        self._taken.append(call)
        name = place.candidate.upstream_id
        call.unread_tokens = call.prompt.prompt_tokens
        self.engines[name].waiting.append(call)
        known = self._news[name]
        self._news[name] = replace(
            known,
            requests=known.requests + 1,
            prefill_ms=known.prefill_ms
            + call.prompt.prompt_tokens / PREFILL_TOKENS_PER_MS,
        )
