"""The platform's configuration service: versioned values to read and watch.

It can come back from a copy of its values. It names its era, the number of its
returns, from the first return on.
"""

import json
from collections import deque
from dataclasses import dataclass, field
from typing import Any, Literal

import anyio
import click

from standins.serving import Request, run_process, serve_forever

MAX_VALUE_BYTES = 1_000_000
MAX_WAIT_MS = 60_000
VALUES_PREFIX = "/v1/values/"
PUBLISH_PREFIX = "/control/values/"
COPY_PATH = "/control/copy"
RETURN_PATH = "/control/return"
NO_FAULTS = {
    "down": False,
    "stale": False,
    "slow_ms": 0,
    "calls_per_s": 2000,
    "answers": "true",
}


@dataclass(slots=True)
class Value:
    """A published value and the revision at which it was set."""

    revision: int
    value: Any


@dataclass(frozen=True, slots=True)
class State:
    """The values as of one revision of one era."""

    era: int
    revision: int
    values: dict[str, Value]

    def name_era(self) -> dict[str, int]:
        """Return the part of an answer that names the era."""
        return {"era": self.era} if self.era else {}


@dataclass(slots=True)
class ConfigService:
    """The service's values, faults and counters."""

    calls_per_s: int = 2000
    down: bool = False
    slow_ms: int = 0
    # "garbage" answers with invalid JSON, "too_large" with more than any value holds.
    answers: Literal["true", "garbage", "too_large"] = "true"
    era: int = 0
    revision: int = 0
    values: dict[str, Value] = field(default_factory=dict)
    # State that a stale service serves: a copy taken when it became stale.
    stale_state: State | None = None
    # State that the service comes back with.
    copy: State = field(default_factory=lambda: State(0, 0, {}))
    changed: anyio.Event = field(default_factory=anyio.Event)
    recent_calls: deque[float] = field(default_factory=deque)
    calls: int = 0
    refused_calls: int = 0
    watches: int = 0
    value_reads: int = 0

    def publish(self, key: str, value: Any) -> int:
        """Set a value, notify the watches and return the new revision."""
        self.revision += 1
        self.values[key] = Value(self.revision, value)
        self._notify_watches()
        return self.revision

    def take_copy(self) -> None:
        """Copy the values, to come back with them."""
        self.copy = self._current_state()

    def return_from_copy(self) -> None:
        """Lose all changes since the copy, and begin the next era."""
        self.era += 1
        self.revision = self.copy.revision
        self.values = dict(self.copy.values)
        self._notify_watches()

    def set_faults(
        self,
        *,
        down: bool | None = None,
        stale: bool | None = None,
        slow_ms: int | None = None,
        calls_per_s: int | None = None,
        answers: Literal["true", "garbage", "too_large"] | None = None,
    ) -> None:
        """Set the given faults and leave the others unchanged."""
        if down is not None:
            self.down = down
        if stale is not None:
            self.stale_state = self._current_state() if stale else None
        if slow_ms is not None:
            self.slow_ms = slow_ms
        if calls_per_s is not None:
            self.calls_per_s = calls_per_s
        if answers is not None:
            self.answers = answers
        self._notify_watches()

    def counters(self) -> dict[str, Any]:
        """Return the service's counters and its current faults."""
        return {
            "era": self.era,
            "revision": self.revision,
            "calls": self.calls,
            "refused_calls": self.refused_calls,
            "watches": self.watches,
            "value_reads": self.value_reads,
            "down": self.down,
            "stale": self.stale_state is not None,
            "slow_ms": self.slow_ms,
            "calls_per_s": self.calls_per_s,
            "answers": self.answers,
        }

    async def handle(self, request: Request) -> None:
        """Answer one request."""
        if request.path.startswith("/control"):
            await self._handle_control(request)
            return
        if self.down:
            request.drop()
            return
        if not self._admit(anyio.current_time()):
            await request.answer(429, {"error": "too many calls"}, {"retry-after": "1"})
            return
        if self.slow_ms:
            await anyio.sleep(self.slow_ms / 1000)
        if self.answers != "true":
            size_bytes = 1 if self.answers == "garbage" else 64 * MAX_VALUE_BYTES
            await request.start(200, {})
            await request.write(b"{" * size_bytes, more=False)
        elif request.path == "/v1/revisions":
            await self._watch(request)
        elif request.path.startswith(VALUES_PREFIX):
            await self._read(request)
        else:
            await request.answer(404, {"error": "no such path"})

    def _notify_watches(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    def _current_state(self) -> State:
        return State(self.era, self.revision, dict(self.values))

    def _visible_state(self) -> State:
        return self.stale_state or self._current_state()

    def _admit(self, now_s: float) -> bool:
        self.calls += 1
        while self.recent_calls and self.recent_calls[0] <= now_s - 1:
            self.recent_calls.popleft()
        if len(self.recent_calls) >= self.calls_per_s:
            self.refused_calls += 1
            return False
        self.recent_calls.append(now_s)
        return True

    async def _watch(self, request: Request) -> None:
        self.watches += 1
        after = request.query_int("after", 0)
        era = request.query_int("era", 0)
        wait_ms = min(request.query_int("wait_ms", 0), MAX_WAIT_MS)
        with anyio.move_on_after(wait_ms / 1000):
            while not self.down and self._lacks_changes(era, after):
                await self.changed.wait()
        if self.down:
            request.drop()
            return
        state = self._visible_state()
        changed = {
            key: value.revision
            for key, value in state.values.items()
            if value.revision > after
        }
        await request.answer(
            200, {"revision": state.revision, "changed": changed} | state.name_era()
        )

    def _lacks_changes(self, era: int, after: int) -> bool:
        state = self._visible_state()
        return state.era == era and state.revision <= after

    async def _read(self, request: Request) -> None:
        self.value_reads += 1
        key = request.path.removeprefix(VALUES_PREFIX)
        state = self._visible_state()
        value = state.values.get(key)
        if value is None:
            await request.answer(404, {"error": f"no value {key}"})
            return
        found = {"key": key, "revision": value.revision, "value": value.value}
        await request.answer(200, found | state.name_era())

    async def _handle_control(self, request: Request) -> None:
        if request.path.startswith(PUBLISH_PREFIX) and request.method == "PUT":
            if len(request.body) > MAX_VALUE_BYTES:
                await request.answer(413, {"error": "a value may be at most 1 MB"})
                return
            key = request.path.removeprefix(PUBLISH_PREFIX)
            revision = self.publish(key, json.loads(request.body))
            await request.answer(200, {"revision": revision})
            return
        if request.path == COPY_PATH:
            self.take_copy()
        elif request.path == RETURN_PATH:
            self.return_from_copy()
        elif request.method == "PUT":
            self.set_faults(**request.read_json())
        await request.answer(200, self.counters())


@click.command()
@click.option("--port", default=0)
@click.option("--name", default="config-service")
@click.option("--calls-per-s", default=2000)
def main(port: int, name: str, calls_per_s: int) -> None:
    """Run the configuration service."""
    service = ConfigService(calls_per_s=calls_per_s)
    run_process(serve_forever, name, service.handle, port)


if __name__ == "__main__":
    main()
