"""Lets another upstream go on with a stream whose own has fallen silent.

The silent one may be sound and go on a moment later, and the other one may refuse. So
both connections stay open until one of them has brought the next event.
"""

import math
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import anyio
from anyio.abc import TaskGroup

from banyanseam.entry.errors import SlowerThanOthers
from banyanseam.entry.event_stream import StreamEvent
from banyanseam.entry.exchange import Exchange, Reply
from banyanseam.entry.moving import Move, Progress
from banyanseam.entry.placing import Placement
from banyanseam.errors import BanyanseamError
from banyanseam.upstreams.errors import UpstreamFailed

Attempt = Callable[[Exchange, Placement], Awaitable[None]]
RecordFailure = Callable[[Exchange, Placement, BanyanseamError], None]
# Returns how long the upstream of a placement may work beside the silent one.
ChooseTogether = Callable[[Placement], float]


async def run_movable(
    exchange: Exchange,
    attempt: Callable[[Move], Awaitable[None]],
    go_on: Attempt,
    record_failure: RecordFailure,
    choose_together_s: ChooseTogether,
) -> None:
    """Await `attempt`, and what goes on with its stream; raise the last one's error.

    `attempt` gets a function that asks another upstream to go on, by `go_on`, and
    returns whether it does.
    """
    failure: BanyanseamError | None = None
    async with anyio.create_task_group() as tasks:
        mover = _Mover(exchange, tasks, go_on, record_failure, choose_together_s)
        try:
            await attempt(mover.move)
        except BanyanseamError as error:
            failure = error
        if failure is not None and mover.successor is not None:
            failure = await mover.successor.go_on_alone(failure)
        tasks.cancel_scope.cancel()
    if failure is not None:
        raise failure


class _Successor:
    """An attempt beside the one whose upstream is silent, with an exchange of its own.

    Nothing of its answer reaches the caller before the other attempt has ended.
    """

    def __init__(
        self, silent: Exchange, placement: Placement, together_s: float
    ) -> None:
        reply = Reply(self._send, lambda: False)
        reply.is_started = silent.reply.is_started
        self.exchange = replace(
            silent,
            reply=reply,
            software=list(silent.software),
            on_begun=lambda _: None,
            on_sent=self._limit_time,
        )
        self.placement = placement
        self.error: BanyanseamError | None = None
        # Set once it has brought the next event, or has ended.
        self.settled = anyio.Event()
        self.ended = anyio.Event()
        self._silent = silent
        self._together_s = together_s
        self._scope = anyio.CancelScope()
        self._is_alone = anyio.Event()
        self._is_whole = False
        self._head: dict[str, Any] | None = None

    @property
    def is_over(self) -> bool:
        """Return whether it has ended or is being cancelled."""
        return self.ended.is_set() or self._scope.cancel_called

    @property
    def has_begun(self) -> bool:
        """Return whether it has brought the next event and waits to go on."""
        return self.settled.is_set() and not self.is_over

    def cancel(self) -> None:
        """Close its connection."""
        self._scope.cancel()

    async def run(self, attempt: Attempt) -> None:
        """Await `attempt`; copy its outcome to the silent exchange if it went on."""
        try:
            with self._scope:
                await attempt(self.exchange, self.placement)
                self._is_whole = True
        except BanyanseamError as error:
            self.error = error
        finally:
            self._silent.sends = self.exchange.sends
            if self._is_alone.is_set():
                self._silent.adopt(self.exchange)
            self.ended.set()
            self.settled.set()

    async def go_on_alone(self, failure: BanyanseamError) -> BanyanseamError | None:
        """Go on after the failure of the silent attempt; return the last failure.

        If this attempt is over it never went on, and its state is not the caller's:
        the silent attempt may have brought events since that was copied.
        """
        if self.is_over:
            return failure
        self._scope.deadline = math.inf
        self._is_alone.set()
        await self.ended.wait()
        return None if self._is_whole else self.error or failure

    def _limit_time(self) -> None:
        if not self._is_alone.is_set():
            self._scope.deadline = anyio.current_time() + self._together_s

    async def _send(self, message: dict[str, Any]) -> None:
        if message["type"] == "http.response.start":
            self._head = message
            return
        body, is_last = message["body"], not message.get("more_body", False)
        if not self._is_alone.is_set():
            if self._head is not None and self._head["status"] != 200:
                raise UpstreamFailed(f"status {self._head['status']}, not a stream")
            if not is_last and StreamEvent(body, None).is_comment:
                return
            self._scope.deadline = math.inf
            self.settled.set()
            await self._is_alone.wait()
        await self._relay(body, is_last=is_last)

    async def _relay(self, body: bytes, *, is_last: bool) -> None:
        reply = self._silent.reply
        if self._silent.origin is None and self.exchange.origin is not None:
            self._silent.origin = self.exchange.origin
            self._silent.on_begun(self._silent)
        if self._head is not None:
            await reply.start(self._head["status"], self._head["headers"])
            self._head = None
        if is_last:
            await reply.finish(body)
        else:
            await reply.write(body)
        # The caller got the first part through the exchange that answers it.
        self.exchange.begun_s = self._silent.begun_s


class _Mover:
    """Asks other upstreams, one at a time, to go on with a stream."""

    def __init__(
        self,
        exchange: Exchange,
        tasks: TaskGroup,
        go_on: Attempt,
        record_failure: RecordFailure,
        choose_together_s: ChooseTogether,
    ) -> None:
        self.successor: _Successor | None = None
        self._exchange = exchange
        self._tasks = tasks
        self._go_on = go_on
        self._record_failure = record_failure
        self._choose_together_s = choose_together_s

    async def move(self, placement: Placement, progress: Progress) -> bool:
        """Ask an upstream to go on, and stop the silent stream if it does."""
        together_s = self._choose_together_s(placement)
        successor = _Successor(self._exchange, placement, together_s)
        self.successor = successor
        progress.on_event = successor.cancel
        self._tasks.start_soon(successor.run, self._go_on)
        await successor.settled.wait()
        if successor.has_begun and progress.try_stop():
            return True
        successor.cancel()
        await successor.ended.wait()
        self.successor = None
        if successor.error is None:
            error = SlowerThanOthers("it did not go on with the stream in time")
            self._record_failure(successor.exchange, placement, error)
        return False
