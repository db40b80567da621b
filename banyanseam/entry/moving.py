"""When a request that was sent goes on elsewhere, because it is slow where it is.

Only requests that may run again are moved, each move is paid for from the budget of
retries before the first place is given up, and none is moved without a better place.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

import anyio

from banyanseam.entry.const import (
    MOVE_PERIOD_S,
    MOVE_TARGET_SHARE,
    STREAM_MOVE_WAIT_MS,
    STREAM_SILENCE_MS,
)
from banyanseam.entry.errors import SlowerThanOthers
from banyanseam.entry.exchange import Exchange
from banyanseam.entry.members import Members
from banyanseam.entry.placing import Ask, Candidate, Place, choose
from banyanseam.entry.retry_budget import RetryBudget
from banyanseam.entry.upstreams import Loads


class Progress:
    """How an answer's body comes in, and the way to stop reading it.

    Reading is stopped between two parts only, never while one is passed on.
    """

    def __init__(self, now_s: float) -> None:
        """Begin with the first part, which has come."""
        self.last_s = now_s
        self._is_stopped = False
        self._reading: anyio.CancelScope | None = None

    def stop(self) -> None:
        """Have the next read, or the one that waits, raise SlowerThanOthers."""
        self._is_stopped = True
        if self._reading is not None:
            self._reading.cancel()

    async def read(self, body: AsyncIterator[bytes]) -> bytes | None:
        """Return the next part of a body, None at its end; raise SlowerThanOthers."""
        if not self._is_stopped:
            with anyio.CancelScope() as self._reading:
                part = await anext(body, None)
                self.last_s = anyio.current_time()
                self._reading = None
                return part
        raise SlowerThanOthers("the stream has fallen silent")


@dataclass(frozen=True, slots=True)
class Moves:
    """What decides whether a request moves."""

    members: Members
    loads: Loads
    retries: RetryBudget
    list_candidates: Callable[[Exchange, float], list[Candidate]]

    def make_wait_for_better(
        self, exchange: Exchange, place: Place
    ) -> Callable[[], Awaitable[None]] | None:
        """Return what waits until another place would begin the request much sooner.

        It answers the moment at which an engine turns out to read a long prompt that
        nobody expected, and short requests wait behind it.
        """
        if not exchange.may_go_on or exchange.sends + 1 >= exchange.max_attempts:
            return None
        soon_ms = MOVE_TARGET_SHARE * exchange.route.target_ms

        async def wait() -> None:
            await anyio.sleep(max(soon_ms, 1.5 * place.wait_ms) / 1000)
            while True:
                best = self._find_best(exchange, place)
                if best is not None and best.wait_ms < soon_ms and self._pay(exchange):
                    return
                # Loads change with every heartbeat, so they are looked at again.
                await anyio.sleep(MOVE_PERIOD_S)

        return wait

    async def stop_silent_stream(
        self, exchange: Exchange, place: Place, progress: Progress
    ) -> None:
        """Stop a stream that has fallen silent once it would go on elsewhere.

        It answers engines that hang in the middle of an answer, and connections that
        go silent without a reset.
        """
        while exchange.may_go_on and exchange.sends < exchange.max_attempts:
            await anyio.sleep(MOVE_PERIOD_S)
            silent_ms = (anyio.current_time() - progress.last_s) * 1000
            if silent_ms < STREAM_SILENCE_MS:
                continue
            best = self._find_best(exchange, place)
            if best is None or best.wait_ms > STREAM_MOVE_WAIT_MS:
                continue
            if self._pay(exchange):
                progress.stop()
                return

    def _pay(self, exchange: Exchange) -> bool:
        now_s = anyio.current_time()
        vms = self.members.count_recent(now_s)
        return self.retries.take(exchange.service, vms, now_s)

    def _find_best(self, exchange: Exchange, place: Place) -> Place | None:
        others = [
            each
            for each in self.list_candidates(exchange, anyio.current_time())
            if each.upstream_id != place.candidate.upstream_id and not each.is_reserve
        ]
        ask = Ask(exchange.head.prompt, len(exchange.body), self.members.me.region)
        return choose(others, ask, self.loads.is_kept)
