"""Move a request that was already sent, if another upstream would be faster.

Only requests that may run again are moved, and only to a better upstream. Each move is
charged to the retry budget before the other upstream gets the request.
"""

from collections.abc import AsyncIterator, Awaitable, Callable, Collection
from dataclasses import dataclass

import anyio

from banyanseam.entry.const import (
    FIRST_BYTE_WAIT_SHARE,
    MAX_TOGETHER_S,
    MOVE_PERIOD_S,
    MOVE_TARGET_SHARE,
    ROUND_TRIP_MS,
    SILENT_PAUSES_TO_MOVE,
)
from banyanseam.entry.errors import SlowerThanOthers
from banyanseam.entry.exchange import Exchange
from banyanseam.entry.members import Members
from banyanseam.entry.placing import Candidate, Placement, PlacementRequest, choose
from banyanseam.entry.retry_budget import RetryBudget
from banyanseam.entry.upstreams import UpstreamLoads
from banyanseam.errors import BanyanseamError
from banyanseam.upstreams.errors import UpstreamTimedOut


class Progress:
    """Records when the last event arrived, and lets `stop` end the reading.

    Comments and parts of events are no progress: a stalled upstream may send a byte now
    and then. Reading stops only between two chunks, never while one is being relayed.
    """

    def __init__(self, now_s: float) -> None:
        """Start when the answer has begun."""
        self.last_s = now_s
        # Called with the time of the first event.
        self.on_first: Callable[[float], None] = lambda _: None
        # Called with each event, and when a comment begins the answer.
        self.on_event: Callable[[], None] = lambda: None
        # Whether a chunk is being relayed; a slow caller may keep it waiting.
        self.is_relaying = False
        self._has_event = False
        self._is_stopped = False
        self._reading: anyio.CancelScope | None = None

    def record_event(self, now_s: float) -> None:
        """Record the arrival of a whole event."""
        self.last_s = now_s
        self.on_event()
        if not self._has_event:
            self._has_event = True
            self.on_first(now_s)

    def record_begin(self) -> None:
        """Record that a comment begins the answer, which no other upstream may now."""
        self.on_event()

    def stop(self) -> None:
        """Make the pending or the next read raise SlowerThanOthers."""
        self._is_stopped = True
        if self._reading is not None:
            self._reading.cancel()

    def try_stop(self) -> bool:
        """Stop unless a chunk is being relayed; return whether the reading ends."""
        if not self.is_relaying:
            self.stop()
        return self._is_stopped

    async def read(self, body: AsyncIterator[bytes]) -> bytes | None:
        """Return the next chunk, or None at the end; raise SlowerThanOthers."""
        self.is_relaying = False
        if not self._is_stopped:
            with anyio.CancelScope() as self._reading:
                chunk = await anext(body, None)
                self._reading = None
                # A chunk may arrive at the very moment of the stop.
                if not self._is_stopped:
                    self.is_relaying = True
                    return chunk
        raise SlowerThanOthers("the stream has sent no data for too long")


# Asks another upstream to go on with a stream; returns whether the stream was stopped.
Move = Callable[[Placement, Progress], Awaitable[bool]]


async def _move_at_once(_: Placement, progress: Progress) -> bool:
    progress.stop()
    return True


@dataclass(frozen=True, slots=True)
class MovePolicy:
    """Decides whether and when a request moves to another upstream."""

    members: Members
    loads: UpstreamLoads
    retries: RetryBudget
    list_candidates: Callable[[Exchange, float], list[Candidate]]
    # Returns whether an upstream would take the request now.
    may_be_placed: Callable[[Exchange], bool] = lambda _: True

    def make_wait_for_better(
        self, exchange: Exchange, placement: Placement
    ) -> Callable[[], Awaitable[BanyanseamError]] | None:
        """Return a function that waits until the request should be given up.

        It returns why: another upstream would be much faster, or this one takes long
        and the request would be sent again. Return None if it may not be.
        This handles an engine that turns out to prefill an unexpectedly long prompt,
        with short requests behind it, and one that hangs.
        """
        if not exchange.may_resend or exchange.sends + 1 >= exchange.max_attempts:
            return None
        max_wait_ms = MOVE_TARGET_SHARE * exchange.route.target_ms
        upstream_id = placement.candidate.upstream_id

        async def wait() -> BanyanseamError:
            wait_s = max(max_wait_ms, 1.5 * placement.wait_ms) / 1000
            better_s = anyio.current_time() + wait_s
            long_s = FIRST_BYTE_WAIT_SHARE * exchange.deadline_left_ms() / 1000
            late_s = anyio.current_time() + long_s
            await anyio.sleep_until(min(better_s, late_s))
            while True:
                now_s = anyio.current_time()
                if now_s >= late_s and self._may_send_again(exchange):
                    return UpstreamTimedOut(f"{upstream_id}: no answer in time")
                if now_s >= better_s and self._is_slower(exchange, placement):
                    return SlowerThanOthers(upstream_id)
                # Each heartbeat updates the loads, so compare them again.
                await anyio.sleep(MOVE_PERIOD_S)

        return wait

    def _is_slower(self, exchange: Exchange, placement: Placement) -> bool:
        """Charge a retry and return True if another upstream would be much faster."""
        best = self._find_best_alternative(exchange, placement)
        max_wait_ms = MOVE_TARGET_SHARE * exchange.route.target_ms
        return (
            best is not None
            and best.wait_ms < max_wait_ms
            and self.may_be_placed(exchange)
            and self._charge_retry(exchange)
        )

    def _may_send_again(self, exchange: Exchange) -> bool:
        """Return whether there is a retry, which is charged later, and a place."""
        now_s = anyio.current_time()
        vms = self.members.count_recent(now_s)
        has_retry = self.retries.has_retry(exchange.service, vms, now_s)
        return has_retry and self.may_be_placed(exchange)

    async def stop_stalled_stream(
        self,
        exchange: Exchange,
        placement: Placement,
        progress: Progress,
        move: Move = _move_at_once,
    ) -> None:
        """Stop a stalled stream once `move` has let another upstream continue it.

        This handles engines that hang in the middle of an answer, and connections that
        stop delivering data without a reset.
        """
        max_pause_ms = exchange.route.max_pause_ms
        moves_left = exchange.max_attempts
        while (
            moves_left
            and exchange.may_resend
            and exchange.sends < exchange.max_attempts
        ):
            await anyio.sleep(MOVE_PERIOD_S)
            silent_ms = (anyio.current_time() - progress.last_s) * 1000
            if progress.is_relaying or silent_ms < SILENT_PAUSES_TO_MOVE * max_pause_ms:
                continue
            best = self._find_best_alternative(
                exchange, placement, exclude=exchange.tried
            )
            if best is None:
                continue
            together_ms = self.choose_together_s(placement, best) * 1000
            if best.wait_ms > min(max_pause_ms, together_ms):
                continue
            if not self._charge_retry(exchange):
                continue
            # A move that ends before the request is sent counts too.
            moves_left -= 1
            if await move(best, progress):
                return

    def choose_together_s(self, silent: Placement, other: Placement) -> float:
        """Return how long two upstreams may work on a stream, seen from here.

        The end of its connection reaches the upstream of another region later.
        """
        region = silent.candidate.region
        if region in (self.members.me.region, other.candidate.region):
            return MAX_TOGETHER_S
        return MAX_TOGETHER_S - ROUND_TRIP_MS / 2 / 1000

    def _charge_retry(self, exchange: Exchange) -> bool:
        now_s = anyio.current_time()
        vms = self.members.count_recent(now_s)
        return self.retries.try_spend(exchange.service, vms, now_s)

    def _find_best_alternative(
        self, exchange: Exchange, placement: Placement, exclude: Collection[str] = ()
    ) -> Placement | None:
        others = [
            each
            for each in self.list_candidates(exchange, anyio.current_time())
            if each.upstream_id not in (placement.candidate.upstream_id, *exclude)
            and not each.is_reserve
        ]
        request = PlacementRequest(
            exchange.head.prompt, len(exchange.body), self.members.me.region
        )
        return choose(others, request, self.loads.is_cached)
