"""State of a caller's connection, for the answers that are sent on it."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Final

# Name of the ASGI extension that holds the connection.
CONNECTION: Final = "banyanseam.connection"


@dataclass(slots=True)
class Connection:
    """State of a caller's connection, updated by the HTTP protocol class."""

    # True while the write buffer is full, so that further sends would block.
    is_write_blocked: bool = False
    is_lost: bool = False
    # Whether a request on it was admitted; otherwise its answers are refusals.
    is_admitted: bool = False
    _watchers: list[Callable[[], None]] = field(default_factory=list)

    @contextmanager
    def watch(self, on_lost: Callable[[], None]) -> Iterator[None]:
        """Call a function when the caller disconnects while the context is open."""
        self._watchers.append(on_lost)
        try:
            if self.is_lost:
                on_lost()
            yield
        finally:
            self._watchers.remove(on_lost)

    def mark_lost(self) -> None:
        """Mark the connection as lost and call the watchers."""
        self.is_lost = True
        for on_lost in tuple(self._watchers):
            on_lost()
