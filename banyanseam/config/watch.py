"""Reading the configuration service, within its call limit.

A few readers in each region hold a bounded watch; every other process polls and takes
changes from its peers. All polls together keep within a budget: the more seats, the
slower each one polls.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio

from banyanseam.config.const import (
    BACKOFF_FIRST_S,
    BACKOFF_OTHERS_S,
    BACKOFF_READER_S,
    JITTER_FLOOR,
    POLL_CALLS_PER_S,
    POLL_CEILING_S,
    POLL_FLOOR_S,
    READ_ATTEMPTS,
    ROLE_CHECK_S,
    WATCH_MS,
)
from banyanseam.config.errors import ConfigServiceUnavailable, InconsistentValues
from banyanseam.config.snapshot import Listing, Snapshot, Value, extend_snapshot
from banyanseam.config.store import Store
from banyanseam.observe.events import CONFIG_SERVICE_DOWN, log


@dataclass(frozen=True, slots=True)
class Source:
    """One address of the service; both functions raise ConfigServiceUnavailable."""

    # Takes the version to list from and how long the service may wait, in ms.
    list_revisions: Callable[[int, int], Awaitable[Listing]]
    read: Callable[[str], Awaitable[Value]]


def poll_period_s(seats: int) -> float:
    """Return how long a process of a fleet of that many seats waits between polls."""
    return min(POLL_CEILING_S, max(POLL_FLOOR_S, seats / POLL_CALLS_PER_S))


class Watch:
    """Keeps a store up to date from the service's addresses, tried in turn."""

    def __init__(
        self,
        store: Store,
        sources: list[Source],
        is_reader: Callable[[], bool],
        count_seats: Callable[[], int],
        chance: random.Random,
    ) -> None:
        """Keep the addresses; `is_reader` says whether this process may watch."""
        self._store = store
        self._sources = sources
        self._is_reader = is_reader
        self._count_seats = count_seats
        self._chance = chance
        # Processes begin at different addresses, so a stale one misleads only some.
        self._current = chance.randrange(len(sources))
        self.reaches_service = False
        # When the service last answered a call; a watch may wait for WATCH_MS.
        self.answered_s: float | None = None
        # Values read for a listing that could not be completed yet.
        self._got: dict[tuple[str, int], Value] = {}
        self._on_reach: list[Callable[[bool], None]] = []

    def on_reach(self, callback: Callable[[bool], None]) -> None:
        """Call back after each round of calls with whether one succeeded.

        Peers elect readers among those who reach the service.
        """
        self._on_reach.append(callback)

    async def run(self) -> None:
        """Read until cancelled."""
        failures = 0
        while True:
            wait_ms = WATCH_MS if self._is_reader() and failures == 0 else 0
            self.reaches_service = await self._try_sources(wait_ms)
            for callback in self._on_reach:
                callback(self.reaches_service)
            if self.reaches_service:
                failures = 0
            else:
                failures += 1
                if failures == 1:
                    log(CONFIG_SERVICE_DOWN, addresses=len(self._sources))
            await self._pause(failures)

    async def fetch(self, wait_ms: int) -> None:
        """Read what is newer than the store holds from the current address.

        Raise ConfigServiceUnavailable.
        """
        source = self._sources[self._current]
        known = self._store.newest
        for _ in range(READ_ATTEMPTS):
            listing = await source.list_revisions(known.version, wait_ms)
            self.answered_s = anyio.current_time()
            wait_ms = 0
            if listing.version < known.version:
                self._try_next_address()
                return
            await self._read_missing(source, listing)
            snapshot = self._extend(known, listing)
            if snapshot is not None:
                self._got.clear()
                self._store.offer(snapshot)
                return
        raise InconsistentValues("the values change faster than they can be read")

    async def _read_missing(self, source: Source, listing: Listing) -> None:
        """Read what is listed; what was read stays when a later call fails.

        After an outage many processes read at once, and few get all in one go.
        """
        self._got = {
            (key, revision): value
            for (key, revision), value in self._got.items()
            if listing.changed.get(key) == revision
        }
        for key, revision in listing.changed.items():
            if (key, revision) in self._got:
                continue
            value = self._store.find(key, revision) or await source.read(key)
            self._got[key, value.revision] = value

    def _extend(self, known: Snapshot, listing: Listing) -> Snapshot | None:
        try:
            return extend_snapshot(known, listing, self._got.values())
        except InconsistentValues:
            # A value changed between the listing and the reading: list again.
            return None

    async def _try_sources(self, wait_ms: int) -> bool:
        for _ in self._sources:
            try:
                await self.fetch(wait_ms)
            except ConfigServiceUnavailable:
                self._try_next_address()
                continue
            return True
        return False

    def _try_next_address(self) -> None:
        self._current = (self._current + 1) % len(self._sources)

    async def _pause(self, failures: int) -> None:
        """Wait before the next call; a process that becomes a reader stops waiting."""
        was_reader = self._is_reader()
        if was_reader and failures == 0:
            # A bound on the calls of a service that never lets a watch wait.
            await anyio.sleep(self._draw(BACKOFF_FIRST_S))
            return
        pause_s = self._draw(self._nominal_pause_s(failures, was_reader))
        until_s = anyio.current_time() + pause_s
        while (left_s := until_s - anyio.current_time()) > 0:
            if self._is_reader() and not was_reader:
                return
            await anyio.sleep(min(left_s, ROLE_CHECK_S))

    def _nominal_pause_s(self, failures: int, is_reader: bool) -> float:
        if failures == 0:
            return poll_period_s(self._count_seats())
        limit_s = BACKOFF_READER_S if is_reader else BACKOFF_OTHERS_S
        return min(limit_s, BACKOFF_FIRST_S * 2 ** min(failures, 16))

    def _draw(self, nominal_s: float) -> float:
        return nominal_s * self._chance.uniform(JITTER_FLOOR, 1)
