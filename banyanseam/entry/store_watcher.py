"""Follows the platform's store: watches the operators' values and lists upstreams.

Every process watches the operators' values itself, since a withdrawn key must stop
working everywhere. The list of upstreams is read by one process of a region, which
sends it to the others; if the list gets too old, the next process in rank reads it.
Listings come from the store's replicas, since those are cheap; whoever reads them also
watches the store itself for changes.
"""

import random
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

import anyio

from banyanseam.config.errors import ConfigServiceUnavailable
from banyanseam.entry.const import (
    LIST_CHECK_S,
    LIST_PATIENCE_S,
    LIST_PERIOD_S,
    LIST_RANK_STEP_S,
    LIST_READER_S,
    MAX_LIST_RANK,
    MAX_REPLICA_LAG_S,
    MAX_WATCH_WAIT_S,
    REGION_WATCHERS,
    STALE_REPLICA_S,
    STORE_RETRY_LIMIT_S,
    STORE_RETRY_S,
    STORE_TIMEOUT_S,
    WATCH_RENEWALS_PER_S,
    WATCH_WAIT_S,
)
from banyanseam.entry.errors import HistoryForgotten
from banyanseam.entry.members import Members
from banyanseam.entry.models import Listing, StorePosition, ValueChanges
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.values import PublishedValues
from banyanseam.observe.events import CONFIG_SERVICE_BACK, CONFIG_SERVICE_DOWN, log

# Positions remembered to notice lagging replicas.
MAX_POSITIONS: Final = 8


def choose_watch_wait_s(vms: int, rank: int) -> float:
    """Return how long a watch waits in a fleet of this size, so that calls are few.

    The first processes of a region by rank renew theirs often, so that a watch that got
    lost does not keep changes from the whole region.
    """
    if rank < REGION_WATCHERS:
        return WATCH_WAIT_S
    return min(max(WATCH_WAIT_S, vms / WATCH_RENEWALS_PER_S), MAX_WATCH_WAIT_S)


class Store(Protocol):
    """The read interface of the platform's store."""

    async def list_values(
        self, prefix: str, *, may_be_stale: bool, timeout_s: float
    ) -> Listing:
        """Return all values below a prefix; raise ConfigServiceUnavailable."""

    async def wait_for_changes(
        self, prefix: str, after: int, wait_s: float, timeout_s: float
    ) -> ValueChanges:
        """Return changes after a revision; raise HistoryForgotten if it is too old."""


class StoreWatcher:
    """Keeps the published values and the list of upstreams up to date."""

    def __init__(
        self,
        store: Store,
        values: PublishedValues,
        upstreams: UpstreamList,
        members: Members,
        share_upstreams: Callable[[], Awaitable[None]],
        operator_prefix: str,
        upstream_prefix: str,
    ) -> None:
        """Store the dependencies; `run` starts reading."""
        self._store = store
        self._values = values
        self._upstreams = upstreams
        self._members = members
        self._share_upstreams = share_upstreams
        self._operator_prefix = operator_prefix
        self._upstream_prefix = upstream_prefix
        self._down_since_s: dict[str, float] = {}
        # The store's position up to which the operators' values are known.
        self._operators_position: StorePosition | None = None
        # When this process last read the list of upstreams, and when it last confirmed
        # the list in force by that.
        self._list_read_s = -1e9
        self._list_confirmed_s = -1e9
        # Whether the store has just shown the list in force, and when it was asked.
        self._checked_s, self._is_list_current = -1e9, False
        self._check_lock = anyio.Lock()
        # Time until which replicas of the store aren't read, as one was found to lag.
        self._replicas_lag_until_s = -1e9
        # The store's position at recent times, from reads that replicas don't answer.
        self._positions: deque[tuple[float, StorePosition]] = deque(
            maxlen=MAX_POSITIONS
        )

    async def run(self) -> None:
        """Read until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_operators)
            tasks.start_soon(self._watch_upstreams)
            tasks.start_soon(self._list_upstreams)
            tasks.start_soon(self._record_running)

    async def _record_running(self) -> None:
        while True:
            now_s = anyio.current_time()
            self._upstreams.record_running(now_s)
            self._values.update_evacuations(now_s)
            await anyio.sleep(LIST_CHECK_S)

    async def _watch_operators(self) -> None:
        await self._watch(
            "operators", lambda: True, self._choose_wait_s, self._read_operators
        )

    async def _watch_upstreams(self) -> None:
        await self._watch(
            "changes of upstreams",
            self._is_change_watcher,
            lambda: WATCH_WAIT_S,
            self._read_upstream_changes,
        )

    async def _watch(
        self,
        what: str,
        is_due: Callable[[], bool],
        choose_wait_s: Callable[[], float],
        read: Callable[[float], Awaitable[None]],
    ) -> None:
        """Call `read` with the time to wait for changes, over and over while due."""
        retry_delay_s = STORE_RETRY_S
        is_answered = True
        while True:
            if not is_due():
                await anyio.sleep(LIST_CHECK_S)
                continue
            # A call that begins in an outage may never be answered. So a call after a
            # failure does not wait for changes, and its time limit is short.
            try:
                await read(choose_wait_s() if is_answered else 0.0)
            except ConfigServiceUnavailable as error:
                is_answered = False
                self._record_failure(what, error)
                await anyio.sleep(retry_delay_s * random.uniform(0.7, 1.3))
                retry_delay_s = min(retry_delay_s * 1.5, STORE_RETRY_LIMIT_S)
                continue
            is_answered = True
            retry_delay_s = STORE_RETRY_S
            self._record_recovery(what)

    def _choose_wait_s(self) -> float:
        now_s = anyio.current_time()
        rank = self._members.rank_in_region(now_s)
        return choose_watch_wait_s(self._members.count_recent(now_s), rank)

    async def _read_operators(self, wait_s: float) -> None:
        after = self._operators_position
        if after is None:
            listing = await self._store.list_values(
                self._operator_prefix, may_be_stale=False, timeout_s=STORE_TIMEOUT_S
            )
            self._record_position(listing.position)
            self._values.apply_listing(listing, anyio.current_time())
            self._operators_position = listing.position
            return
        try:
            changes = await self._store.wait_for_changes(
                self._operator_prefix, after.revision, wait_s, STORE_TIMEOUT_S
            )
        except HistoryForgotten:
            self._operators_position = None
            return
        self._record_position(changes.position)
        if changes.era != after.era:
            # The restored store may have given out this revision again: what it wrote
            # below that is not among the changes.
            self._operators_position = None
            return
        self._values.apply_changes(changes, anyio.current_time())
        self._operators_position = changes.position

    def _is_list_reader(self) -> bool:
        """Return whether the region's list of upstreams comes from this process.

        Whoever confirmed the list last goes on, even if a process that ranks before it
        is alive: the store may be out of reach of that one only.
        """
        rank = self._members.rank_in_region(anyio.current_time())
        return rank == 0 or self._upstreams.confirmed_s == self._list_confirmed_s

    def _is_change_watcher(self) -> bool:
        read_age_s = anyio.current_time() - self._list_read_s
        return read_age_s < LIST_READER_S and self._is_list_reader()

    async def _read_upstream_changes(self, wait_s: float) -> None:
        """Read the list from the store itself as soon as it has changed.

        The store's replicas may be seconds behind.
        """
        after = self._upstreams.position
        try:
            changes = await self._store.wait_for_changes(
                self._upstream_prefix, after.revision, wait_s, STORE_TIMEOUT_S
            )
        except HistoryForgotten:
            has_changed = True
        else:
            self._record_position(changes.position)
            has_changed = bool(changes.values) or changes.era != after.era
        # Another process may have become the reader in the meantime.
        if has_changed and self._is_list_reader():
            await self._read_upstreams(may_be_stale=False)
            # Limits the calls while many upstreams start or stop.
            await anyio.sleep(LIST_PERIOD_S)

    async def check_list(self) -> bool:
        """Return whether the store itself shows the list in force, asked from now on.

        Calls at the same time share an answer.
        """
        called_s = anyio.current_time()
        async with self._check_lock:
            if self._checked_s < called_s:
                asked_s = anyio.current_time()
                self._is_list_current = await self._is_unchanged()
                self._checked_s = asked_s
            return self._is_list_current

    async def _is_unchanged(self) -> bool:
        after = self._upstreams.position
        try:
            changes = await self._store.wait_for_changes(
                self._upstream_prefix, after.revision, 0.0, STORE_TIMEOUT_S
            )
        except (ConfigServiceUnavailable, HistoryForgotten):
            return False
        return not changes.values and changes.era == after.era

    def _record_position(self, position: StorePosition) -> None:
        now_s = anyio.current_time()
        self._values.record_position(position, now_s)
        if self._positions and position.era > self._positions[-1][1].era:
            self._replicas_lag_until_s = now_s + STALE_REPLICA_S
        self._positions.append((now_s, position))

    async def _list_upstreams(self) -> None:
        last_read_s = -1e9
        while True:
            now_s = anyio.current_time()
            rank = self._members.rank_in_region(now_s)
            steps = min(rank, MAX_LIST_RANK)
            delay_s = LIST_PATIENCE_S + LIST_RANK_STEP_S * steps
            if self._is_list_reader():
                delay_s = 0.0
            age_s = now_s - self._upstreams.confirmed_s
            if (
                age_s >= LIST_PERIOD_S + delay_s
                and now_s - last_read_s >= LIST_PERIOD_S
            ):
                last_read_s = now_s
                is_first = self._upstreams.revision < 0
                may_be_stale = not is_first and now_s >= self._replicas_lag_until_s
                await self._read_upstreams(may_be_stale=may_be_stale)
            await anyio.sleep(LIST_CHECK_S)

    async def _read_upstreams(self, *, may_be_stale: bool) -> None:
        try:
            listing = await self._store.list_values(
                self._upstream_prefix,
                may_be_stale=may_be_stale,
                timeout_s=STORE_TIMEOUT_S,
            )
        except ConfigServiceUnavailable as error:
            self._record_failure("upstreams", error)
            return
        now_s = anyio.current_time()
        self._record_recovery("upstreams")
        self._list_read_s = now_s
        if not may_be_stale:
            self._record_position(listing.position)
        is_lagging = may_be_stale and self._is_lagging(listing.position, now_s)
        if may_be_stale and listing.era != self._upstreams.position.era:
            # A replica may still show what was there before the store was restored.
            is_lagging = True
        elif self._adopt_upstreams(listing, now_s):
            self._list_confirmed_s = now_s
            await self._share_upstreams()
        if is_lagging:
            # A lagging replica would not show which upstreams are leaving now.
            self._replicas_lag_until_s = now_s + STALE_REPLICA_S
            await self._read_upstreams(may_be_stale=False)

    def _adopt_upstreams(self, listing: Listing, now_s: float) -> bool:
        found = self._values.decode_upstreams(listing)
        return self._values.adopt_upstreams(
            found, listing.revision, now_s, era=listing.era
        )

    def _is_lagging(self, position: StorePosition, now_s: float) -> bool:
        """Return whether the store was past a listing's position some time ago."""
        last_list = self._upstreams.confirmed_s, self._upstreams.position
        return any(
            position < known and now_s - at_s > MAX_REPLICA_LAG_S
            for at_s, known in (*self._positions, last_list)
        )

    def _record_failure(self, what: str, error: ConfigServiceUnavailable) -> None:
        if what not in self._down_since_s:
            self._down_since_s[what] = anyio.current_time()
            log(CONFIG_SERVICE_DOWN, what=what, code=error.code, detail=error.detail)

    def _record_recovery(self, what: str) -> None:
        since_s = self._down_since_s.pop(what, None)
        if since_s is not None:
            down_s = anyio.current_time() - since_s
            log(CONFIG_SERVICE_BACK, what=what, down_s=round(down_s, 3))
