"""Signals that the platform sends to a daemon at any stage of its life.

Each handler replaces the one before directly. In between, the default action would end
the process at once, together with all requests that it is running.
"""

import asyncio
import signal
from collections.abc import Callable
from typing import Final

HANDLED_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def ignore_settings_changes() -> None:
    """Ignore SIGHUP until the daemon handles it.

    The daemon reads its settings after that, so no change is missed.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def receive_signals(handle: Callable[[int], None]) -> None:
    """Call a function on the running event loop for each signal, from now on."""
    loop = asyncio.get_running_loop()

    def pass_on(number: int, _: object) -> None:
        loop.call_soon_threadsafe(handle, number)

    for number in HANDLED_SIGNALS:
        signal.signal(number, pass_on)


def ignore_signals() -> None:
    """Ignore further signals after a stop, so that the exit code reports the stop."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
