"""Number the successive processes of a seat, and detect long suspensions."""

import secrets
import time
from collections.abc import Callable

from banyanseam.peers.const import INCARNATION_RANDOM_BITS, SUSPENSION_TICK_S
from banyanseam.ticks import sleep_until_tick


def read_boot_clock_s() -> float:
    """Return the seconds since boot, including those in which the VM was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def make_incarnation() -> int:
    """Return a unique number: wall-clock milliseconds, then random low bits."""
    return (time.time_ns() // 1_000_000 << INCARNATION_RANDOM_BITS) | secrets.randbits(
        INCARNATION_RANDOM_BITS
    )


def read_start_ms(incarnation: int) -> int:
    """Return when a process started, in Unix milliseconds by its VM's clock."""
    return incarnation >> INCARNATION_RANDOM_BITS


class Incarnation:
    """The number that orders this process among all that have held its seat.

    A process that resumes after a suspension retains its number: with a new one it
    would supersede the process that took over the seat in the meantime.
    """

    def __init__(self, number: int | None = None) -> None:
        """Use the given number, by default one from `make_incarnation`."""
        self.number = make_incarnation() if number is None else number
        self._is_final = False

    def mark_final(self) -> None:
        """Make the number final, as this process begins to serve."""
        self._is_final = True

    def raise_above(self, known: int) -> bool:
        """Raise the number above a known one; return False if it is final.

        A new process on a VM whose clock is behind needs this, since it would
        otherwise count as older than its predecessor.
        """
        if self._is_final:
            return False
        if known >= self.number:
            step = 1 + secrets.randbits(INCARNATION_RANDOM_BITS)
            self.number = known + step
        return True


class SuspensionDetector:
    """Detects that the process was suspended for longer than a lease term.

    Code that spends from a lease must call `tick` first: after a suspension, other
    tasks may run before the one that ticks periodically.
    """

    def __init__(self, term_s: float, clock_s: Callable[[], float]) -> None:
        """Use a lease term and a clock that includes suspended time."""
        self._term_s = term_s
        self._clock_s = clock_s
        self._last_tick_s = clock_s()
        self._callbacks: list[Callable[[float], None]] = []

    def on_suspended(self, callback: Callable[[float], None]) -> None:
        """Register a callback for a suspension; it receives the clock's reading."""
        self._callbacks.append(callback)

    def tick(self) -> bool:
        """Return whether the last tick is over a term ago; if so, run the callbacks."""
        now_s = self._clock_s()
        gap_s = now_s - self._last_tick_s
        self._last_tick_s = now_s
        if gap_s <= self._term_s:
            return False
        for callback in self._callbacks:
            callback(now_s)
        return True

    async def run(self) -> None:
        """Call `tick` periodically until cancelled."""
        while True:
            self.tick()
            await sleep_until_tick(SUSPENSION_TICK_S)
