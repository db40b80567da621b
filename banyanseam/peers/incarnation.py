"""Which process of a seat this is, and whether it was frozen for too long."""

import secrets
import time
from collections.abc import Callable

from banyanseam.peers.const import FREEZE_TICK_S, INCARNATION_RANDOM_BITS
from banyanseam.ticks import sleep_until_tick


def read_boot_clock_s() -> float:
    """Return seconds since boot, counting those in which the VM was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def make_incarnation() -> int:
    """Return wall-clock milliseconds with random low bits, so that none repeats."""
    return (time.time_ns() // 1_000_000 << INCARNATION_RANDOM_BITS) | secrets.randbits(
        INCARNATION_RANDOM_BITS
    )


class Incarnation:
    """The number of this process among those that have held its seat.

    A woken process keeps its number: with a new one it would displace the process
    that took the seat over while it slept.
    """

    def __init__(self, number: int | None = None) -> None:
        """Take a number, by default one from the wall clock and random bits."""
        self.number = make_incarnation() if number is None else number
        self._has_served = False

    def settle(self) -> None:
        """Fix the number, as this process begins to serve."""
        self._has_served = True

    def outbid(self, known: int) -> bool:
        """Take a number above a known one; a process that has served never may.

        A new process on a VM whose clock is behind would else be taken for the old.
        """
        if self._has_served:
            return False
        if known >= self.number:
            step = 1 + secrets.randbits(INCARNATION_RANDOM_BITS)
            self.number = known + step
        return True


class FreezeDetector:
    """Finds that the process stood still for longer than a lease term.

    Whoever spends on the strength of a lease calls `tick` just before: on waking,
    other tasks may run ahead of the one that ticks regularly.
    """

    def __init__(self, term_s: float, clock_s: Callable[[], float]) -> None:
        """Take a term and a clock that counts suspended time."""
        self._term_s = term_s
        self._clock_s = clock_s
        self._last_s = clock_s()
        self._callbacks: list[Callable[[float], None]] = []

    def on_restart(self, callback: Callable[[float], None]) -> None:
        """Call back with the clock's reading when the process must start anew."""
        self._callbacks.append(callback)

    def tick(self) -> bool:
        """Return whether the process was frozen since the last tick."""
        now_s = self._clock_s()
        gap_s = now_s - self._last_s
        self._last_s = now_s
        if gap_s <= self._term_s:
            return False
        for callback in self._callbacks:
            callback(now_s)
        return True

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await sleep_until_tick(FREEZE_TICK_S)
