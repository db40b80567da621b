"""What an answer knows of the connection that it goes out on."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Final

# The name of the ASGI extension under which the protocol gives the connection.
CONNECTION: Final = "banyanseam.connection"


@dataclass(slots=True)
class Connection:
    """A caller's connection; the protocol keeps it up to date."""

    # True while the write buffer is full, so that sending more would wait.
    is_full: bool = False
    is_lost: bool = False
    _watchers: list[Callable[[], None]] = field(default_factory=list)

    @contextmanager
    def watch(self, on_lost: Callable[[], None]) -> Iterator[None]:
        """Call a function once the caller has gone, while the context is open."""
        self._watchers.append(on_lost)
        try:
            if self.is_lost:
                on_lost()
            yield
        finally:
            self._watchers.remove(on_lost)

    def lose(self) -> None:
        """Tell those who watch that the caller has gone."""
        self.is_lost = True
        for on_lost in tuple(self._watchers):
            on_lost()
