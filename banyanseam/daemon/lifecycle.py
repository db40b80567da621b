"""Life cycle of a daemon, with a planned stop that waits for running requests."""

import math
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from enum import StrEnum
from typing import Final

import anyio

from banyanseam.errors import BanyanseamError

# Default time until all daemons omit a leaving daemon from their entry lists, which
# tell callers the daemons to use.
# `GossipTiming.leave_propagation_s` is the value for a fleet's size.
LEAVE_SPREAD_S: Final = 10.0
DRAIN_LIMIT_S: Final = 600.0


class Stage(StrEnum):
    """Stage of a daemon's life cycle."""

    STARTING = "starting"
    SERVING = "serving"
    # No longer in the entry lists, but serving callers that hold an older list.
    LEAVING = "leaving"
    # Persistent connections close after their next answer.
    CLOSING = "closing"
    IDLE = "idle"


class WrongStage(BanyanseamError):
    """A step of the life cycle was requested out of order."""

    code = "daemon.wrong_stage"
    event = 1002
    title = "The daemon is at another stage of its life cycle"


class Lifecycle:
    """Tracks the stage and the number of running requests."""

    def __init__(self) -> None:
        """Begin at STARTING, without requests."""
        self.state = Stage.STARTING
        self.running_requests = 0
        # When requests that still run are cut off, once connections close.
        self.stop_s = math.inf
        self._idle = anyio.Event()
        self._watchers: list[Callable[[Stage], None]] = []

    def on_change(self, callback: Callable[[Stage], None]) -> None:
        """Call the callback with each new stage."""
        self._watchers.append(callback)

    @property
    def is_ready(self) -> bool:
        """Return whether new requests should be sent here."""
        return self.state is Stage.SERVING

    @property
    def closes_connections(self) -> bool:
        """Return whether each answer should carry `Connection: close`."""
        return self.state in (Stage.CLOSING, Stage.IDLE)

    @property
    def is_stopping(self) -> bool:
        """Return whether the daemon has begun a planned stop."""
        return self.state in (Stage.LEAVING, Stage.CLOSING, Stage.IDLE)

    def begin_serving(self) -> None:
        """Enter SERVING; raise WrongStage unless the daemon is starting."""
        self._advance(Stage.STARTING, Stage.SERVING)

    def begin_drain(self) -> bool:
        """Enter LEAVING unless already stopping; return whether this began the stop."""
        if self.is_stopping:
            return False
        self._enter(Stage.LEAVING)
        return True

    def begin_closing(self) -> None:
        """Enter CLOSING, so that answers close connections; raise WrongStage."""
        self._advance(Stage.LEAVING, Stage.CLOSING)
        self._check_idle()

    def request_started(self) -> None:
        """Count a new request; one that arrives during the stop is still served."""
        self.running_requests += 1
        if self.state is Stage.IDLE:
            self._idle = anyio.Event()
            self._enter(Stage.CLOSING)

    @contextmanager
    def count_request(self) -> Iterator[None]:
        """Count a request as running, so that a stop waits for its end."""
        self.request_started()
        try:
            yield
        finally:
            self.request_ended()

    def may_outlast(self, deadline_s: float) -> bool:
        """Return whether a request that arrives now could be cut off by the stop."""
        return deadline_s > self.stop_s

    def request_ended(self) -> None:
        """Count the end of a request, by its answer or its caller's disconnect."""
        self.running_requests -= 1
        self._check_idle()

    async def wait_idle(self) -> None:
        """Wait until the daemon is closing and no request is running."""
        while self.state is not Stage.IDLE:
            await self._idle.wait()

    def _check_idle(self) -> None:
        if self.state is Stage.CLOSING and self.running_requests == 0:
            self._enter(Stage.IDLE)
            self._idle.set()

    def _advance(self, expected: Stage, next_stage: Stage) -> None:
        if self.state is not expected:
            raise WrongStage(
                f"cannot enter {next_stage}: it follows {expected}, not {self.state}"
            )
        self._enter(next_stage)

    def _enter(self, stage: Stage) -> None:
        self.state = stage
        for watcher in self._watchers:
            watcher(stage)


async def leave(
    lifecycle: Lifecycle,
    hand_over: Callable[[], Awaitable[None]],
    limit_s: float = DRAIN_LIMIT_S,
) -> None:
    """Hand over this process's state and wait for requests that arrive during this.

    Stop waiting after `limit_s`.
    """
    with anyio.move_on_after(limit_s):
        await hand_over()
        await lifecycle.wait_idle()


async def drain(
    lifecycle: Lifecycle,
    validity_ms: int,
    limit_s: float = DRAIN_LIMIT_S,
    spread_s: float = LEAVE_SPREAD_S,
) -> bool:
    """Perform a planned stop; return whether every request ended in time.

    The limit starts when connections begin to close. The caller of this function stops
    listening only after it returns.
    """
    lifecycle.begin_drain()
    await anyio.sleep(spread_s + validity_ms / 1000)
    lifecycle.begin_closing()
    lifecycle.stop_s = anyio.current_time() + limit_s
    with anyio.move_on_after(limit_s):
        await lifecycle.wait_idle()
    return lifecycle.state is Stage.IDLE
