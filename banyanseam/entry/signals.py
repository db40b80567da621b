"""Signals that the platform sends to a daemon before it can handle them."""

import signal


def ignore_settings_changes() -> None:
    """Ignore SIGHUP, which by default ends a process, until the daemon handles it.

    The daemon reads its settings after that, so no change is missed.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
