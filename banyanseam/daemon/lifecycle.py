"""The life of a daemon, from start to a planned stop that cuts no request."""

from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import Final

import anyio

from banyanseam.errors import BanyanseamError

# What the news that a daemon leaves takes to reach the lists that others give out;
# `GossipTiming.leave_propagation_s` is the figure for the size of a fleet.
LEAVE_SPREAD_S: Final = 10.0
DRAIN_LIMIT_S: Final = 600.0


class Stage(StrEnum):
    """Where a daemon is in its life."""

    STARTING = "starting"
    SERVING = "serving"
    # Off the list of entries, and serving those who hold an older list.
    LEAVING = "leaving"
    # Kept-open connections close after their next answer.
    CLOSING = "closing"
    IDLE = "idle"


class WrongStage(BanyanseamError):
    """A step of the life cycle was taken out of its order."""

    code = "daemon.wrong_stage"
    event = 1002
    title = "The daemon is not at this stage"


class Lifecycle:
    """The stage, and how many requests run."""

    def __init__(self) -> None:
        """Start before anything is served."""
        self.state = Stage.STARTING
        self.running_requests = 0
        self._idle = anyio.Event()
        self._watchers: list[Callable[[Stage], None]] = []

    def on_change(self, callback: Callable[[Stage], None]) -> None:
        """Call back with each new stage."""
        self._watchers.append(callback)

    @property
    def is_ready(self) -> bool:
        """Say whether new requests should come here."""
        return self.state is Stage.SERVING

    @property
    def closes_connections(self) -> bool:
        """Say whether each answer should carry `Connection: close`."""
        return self.state in (Stage.CLOSING, Stage.IDLE)

    @property
    def is_stopping(self) -> bool:
        """Say whether the daemon has begun a planned stop."""
        return self.state in (Stage.LEAVING, Stage.CLOSING, Stage.IDLE)

    def begin_serving(self) -> None:
        """Note that requests may come; raise WrongStage unless it is starting."""
        self._step(Stage.STARTING, Stage.SERVING)

    def begin_drain(self) -> bool:
        """Leave the list; return whether this began the stop."""
        if self.is_stopping:
            return False
        self._enter(Stage.LEAVING)
        return True

    def begin_closing(self) -> None:
        """Let connections go between requests; raise WrongStage before the drain."""
        self._step(Stage.LEAVING, Stage.CLOSING)
        self._check_idle()

    def request_started(self) -> None:
        """Count a request; one that comes late is served all the same."""
        self.running_requests += 1
        if self.state is Stage.IDLE:
            self._idle = anyio.Event()
            self._enter(Stage.CLOSING)

    def request_ended(self) -> None:
        """Count a request whose answer is out, or whose caller has gone."""
        self.running_requests -= 1
        self._check_idle()

    async def wait_idle(self) -> None:
        """Return when the daemon is closing and no request runs."""
        while self.state is not Stage.IDLE:
            await self._idle.wait()

    def _check_idle(self) -> None:
        if self.state is Stage.CLOSING and self.running_requests == 0:
            self._enter(Stage.IDLE)
            self._idle.set()

    def _step(self, expected: Stage, following: Stage) -> None:
        if self.state is not expected:
            raise WrongStage(f"{following} follows {expected}, not {self.state}")
        self._enter(following)

    def _enter(self, stage: Stage) -> None:
        self.state = stage
        for watcher in self._watchers:
            watcher(stage)


async def leave(
    lifecycle: Lifecycle,
    hand_over: Callable[[], Awaitable[None]],
    limit_s: float = DRAIN_LIMIT_S,
) -> None:
    """Hand over what this process holds; requests that come late meanwhile end too."""
    with anyio.move_on_after(limit_s):
        await hand_over()
        await lifecycle.wait_idle()


async def drain(
    lifecycle: Lifecycle,
    validity_ms: int,
    limit_s: float = DRAIN_LIMIT_S,
    spread_s: float = LEAVE_SPREAD_S,
) -> bool:
    """Carry out a planned stop; return whether every request ended in time.

    The limit counts from when connections begin to close. The caller of this function
    stops listening only afterwards.
    """
    lifecycle.begin_drain()
    await anyio.sleep(spread_s + validity_ms / 1000)
    lifecycle.begin_closing()
    with anyio.move_on_after(limit_s):
        await lifecycle.wait_idle()
    return lifecycle.state is Stage.IDLE
