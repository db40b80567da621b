"""Read the configuration service within its call limit.

A few processes in each region are readers: each keeps a watch call open, for at most
WATCH_MS, which the service answers when a value changes. Every other process polls,
and mainly gets changes from its peers. The poll period grows with the number of seats,
so that all polls together stay within a budget.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio

from banyanseam.config.const import (
    BACKOFF_FIRST_S,
    JITTER_FLOOR,
    MAX_BACKOFF_OTHERS_S,
    MAX_BACKOFF_READER_S,
    POLL_CALLS_PER_S,
    POLL_CEILING_S,
    POLL_FLOOR_S,
    READ_ATTEMPTS,
    ROLE_CHECK_S,
    WATCH_MS,
)
from banyanseam.config.errors import ConfigServiceUnavailable, InconsistentValues
from banyanseam.config.snapshot import (
    EMPTY_SNAPSHOT,
    Listing,
    Snapshot,
    Value,
    extend_snapshot,
)
from banyanseam.config.store import ConfigStore
from banyanseam.config.versions import era_of, revision_of
from banyanseam.observe.events import CONFIG_SERVICE_DOWN, STORE_RESTORED, log


@dataclass(frozen=True, slots=True)
class ServiceClient:
    """Calls to one address of the service; both raise ConfigServiceUnavailable."""

    # Takes the version to list changes since, and how long the service may wait, in ms.
    # An answer in another era than the version's may lack changes.
    list_revisions: Callable[[int, int], Awaitable[Listing]]
    read: Callable[[str], Awaitable[Value]]


def poll_period_s(seats: int) -> float:
    """Return the time between a process's polls in a fleet of that many seats."""
    return min(POLL_CEILING_S, max(POLL_FLOOR_S, seats / POLL_CALLS_PER_S))


class ServiceWatcher:
    """Keeps a store up to date from the service, whose addresses are tried in turn."""

    def __init__(
        self,
        store: ConfigStore,
        clients: list[ServiceClient],
        is_reader: Callable[[], bool],
        count_seats: Callable[[], int],
        rng: random.Random,
    ) -> None:
        """Use a client per address; `is_reader` tells whether this process watches."""
        self._store = store
        self._clients = clients
        self._is_reader = is_reader
        self._count_seats = count_seats
        self._rng = rng
        # Processes start at different addresses, so that a stale address affects only
        # some of them.
        self._current = rng.randrange(len(clients))
        self.reaches_service = False
        # When the service last answered a listing request; a watch delays the answer
        # by up to WATCH_MS.
        self.last_answered_s: float | None = None
        # Values that were read for a listing that isn't complete yet.
        self._partial_values: dict[tuple[str, int], Value] = {}
        self._logged_era = 0
        self._reach_callbacks: list[Callable[[bool], None]] = []

    def on_reachability(self, callback: Callable[[bool], None]) -> None:
        """Register a callback that receives whether the last round of calls succeeded.

        Peers elect the readers among the processes that reach the service.
        """
        self._reach_callbacks.append(callback)

    async def run(self) -> None:
        """Watch or poll the service until cancelled."""
        failures = 0
        while True:
            wait_ms = WATCH_MS if self._is_reader() and failures == 0 else 0
            self.reaches_service = await self._try_clients(wait_ms)
            for callback in self._reach_callbacks:
                callback(self.reaches_service)
            if self.reaches_service:
                failures = 0
            else:
                failures += 1
                if failures == 1:
                    log(CONFIG_SERVICE_DOWN, addresses=len(self._clients))
            await self._pause(failures)

    async def fetch(self, wait_ms: int) -> None:
        """Read changes that the store lacks from the current address.

        Raise ConfigServiceUnavailable.
        """
        client = self._clients[self._current]
        known = self._store.newest
        for _ in range(READ_ATTEMPTS):
            listing = await client.list_revisions(known.version, wait_ms)
            self.last_answered_s = anyio.current_time()
            wait_ms = 0
            if listing.version < known.version:
                self._try_next_address()
                return
            if known.version and era_of(listing.version) > era_of(known.version):
                # The changes since a version of an earlier era lack those to values
                # whose revisions are lower; all values must be listed.
                self._log_return(known.version, listing.version)
                known = EMPTY_SNAPSHOT
                continue
            await self._read_missing(client, listing)
            snapshot = self._extend(known, listing)
            if snapshot is not None:
                self._partial_values.clear()
                self._store.try_adopt(snapshot)
                return
        raise InconsistentValues("in no attempt did all values match the listing")

    async def _read_missing(self, client: ServiceClient, listing: Listing) -> None:
        """Read the listed values; keep those already read if a later call fails.

        After an outage many processes read at once, and few of them get all values in
        one attempt.
        """
        self._partial_values = {
            (key, revision): value
            for (key, revision), value in self._partial_values.items()
            if listing.changed.get(key) == revision
        }
        for key, revision in listing.changed.items():
            if (key, revision) in self._partial_values:
                continue
            value = self._store.find(key, revision) or await client.read(key)
            self._partial_values[key, value.revision] = value

    def _extend(self, known: Snapshot, listing: Listing) -> Snapshot | None:
        try:
            return extend_snapshot(known, listing, self._partial_values.values())
        except InconsistentValues:
            # A value changed between the listing and the read: list again.
            return None

    def _log_return(self, version_before: int, version: int) -> None:
        era = era_of(version)
        if era > self._logged_era:
            self._logged_era = era
            log(
                STORE_RESTORED,
                era=era,
                revision=revision_of(version),
                era_before=era_of(version_before),
                revision_before=revision_of(version_before),
            )

    async def _try_clients(self, wait_ms: int) -> bool:
        for _ in self._clients:
            try:
                await self.fetch(wait_ms)
            except ConfigServiceUnavailable:
                self._try_next_address()
                continue
            return True
        return False

    def _try_next_address(self) -> None:
        self._current = (self._current + 1) % len(self._clients)

    async def _pause(self, failures: int) -> None:
        """Wait before the next call, at most until this process becomes a reader."""
        was_reader = self._is_reader()
        if was_reader and failures == 0:
            # Bounds the call rate if the service answers every watch immediately.
            await anyio.sleep(self._add_jitter(BACKOFF_FIRST_S))
            return
        pause_s = self._add_jitter(self._nominal_pause_s(failures, was_reader))
        until_s = anyio.current_time() + pause_s
        while (left_s := until_s - anyio.current_time()) > 0:
            if self._is_reader() and not was_reader:
                return
            await anyio.sleep(min(left_s, ROLE_CHECK_S))

    def _nominal_pause_s(self, failures: int, is_reader: bool) -> float:
        if failures == 0:
            return poll_period_s(self._count_seats())
        limit_s = MAX_BACKOFF_READER_S if is_reader else MAX_BACKOFF_OTHERS_S
        return min(limit_s, BACKOFF_FIRST_S * 2 ** min(failures, 16))

    def _add_jitter(self, nominal_s: float) -> float:
        return nominal_s * self._rng.uniform(JITTER_FLOOR, 1)
