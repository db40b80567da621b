"""Reading the platform: the operators' values are watched, upstreams are listed.

Every process watches the operators' values itself, since a withdrawn key must stop
working wherever it is used. The list of upstreams is read by one process of a region
and passed on; the next in rank reads as soon as the list grows old.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio

from banyanseam.config.errors import ConfigServiceUnavailable
from banyanseam.entry.const import (
    EXPIRED_ENTRY_S,
    LIST_PATIENCE_S,
    LIST_PERIOD_S,
    LIST_RANK_STEP_S,
    OUTAGE_S,
    STALE_REPLICA_S,
    STORE_RETRY_LIMIT_S,
    STORE_RETRY_S,
    STORE_TIMEOUT_S,
    WATCH_WAIT_S,
)
from banyanseam.entry.errors import HistoryForgotten
from banyanseam.entry.members import Members
from banyanseam.entry.models import Changes, Listing
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.values import Values
from banyanseam.observe.events import CONFIG_SERVICE_BACK, CONFIG_SERVICE_DOWN, log


class Store(Protocol):
    """What the platform offers for reading."""

    async def list_values(
        self, prefix: str, *, may_be_stale: bool, timeout_s: float
    ) -> Listing:
        """Return everything below a prefix; raise ConfigServiceUnavailable."""

    async def wait_for_changes(
        self, prefix: str, after: int, wait_s: float, timeout_s: float
    ) -> Changes:
        """Return what changed after a revision; raise HistoryForgotten."""


class Feed:
    """Keeps the published values up to date for as long as it runs."""

    def __init__(
        self,
        store: Store,
        values: Values,
        upstreams: UpstreamList,
        members: Members,
        share_upstreams: Callable[[], Awaitable[None]],
        operator_prefix: str,
        upstream_prefix: str,
    ) -> None:
        """Read nothing yet."""
        self._store = store
        self._values = values
        self._upstreams = upstreams
        self._members = members
        self._share_upstreams = share_upstreams
        self._operator_prefix = operator_prefix
        self._upstream_prefix = upstream_prefix
        self._down_since_s: dict[str, float] = {}
        # Until when the store's copies are passed by, since they were found behind.
        self._copies_behind_until_s = -1e9

    async def run(self) -> None:
        """Read until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_operators)
            tasks.start_soon(self._list_upstreams)

    async def _watch_operators(self) -> None:
        after: int | None = None
        pause_s = STORE_RETRY_S
        while True:
            try:
                after = await self._follow(after)
            except HistoryForgotten:
                after = None
                continue
            except ConfigServiceUnavailable as error:
                self._note_down("operators", error)
                await anyio.sleep(pause_s * random.uniform(0.7, 1.3))
                pause_s = min(pause_s * 1.5, STORE_RETRY_LIMIT_S)
                continue
            pause_s = STORE_RETRY_S
            self._note_up("operators")

    async def _follow(self, after: int | None) -> int:
        if after is None:
            listing = await self._store.list_values(
                self._operator_prefix, may_be_stale=False, timeout_s=STORE_TIMEOUT_S
            )
            self._values.take_listing(listing, anyio.current_time())
            return listing.revision
        changes = await self._store.wait_for_changes(
            self._operator_prefix, after, WATCH_WAIT_S, STORE_TIMEOUT_S
        )
        self._values.take_changes(changes, anyio.current_time())
        return changes.revision

    async def _list_upstreams(self) -> None:
        read_s = -1e9
        while True:
            now_s = anyio.current_time()
            rank = self._members.rank_in_region(now_s)
            late_s = LIST_PATIENCE_S + LIST_RANK_STEP_S * rank if rank else 0.0
            age_s = now_s - self._upstreams.fresh_s
            if age_s >= LIST_PERIOD_S + late_s and now_s - read_s >= LIST_PERIOD_S:
                read_s = now_s
                is_first = self._upstreams.revision < 0
                may_be_stale = not is_first and now_s >= self._copies_behind_until_s
                await self._read_upstreams(may_be_stale=may_be_stale)
            await anyio.sleep(0.1)

    async def _read_upstreams(self, *, may_be_stale: bool) -> None:
        try:
            listing = await self._store.list_values(
                self._upstream_prefix,
                may_be_stale=may_be_stale,
                timeout_s=STORE_TIMEOUT_S,
            )
        except ConfigServiceUnavailable as error:
            self._note_down("upstreams", error)
            return
        now_s = anyio.current_time()
        # While any of the region could read, the store was there for upstreams too,
        # and an entry that is missing has gone.
        is_known = self._upstreams.revision >= 0
        if is_known and now_s - self._upstreams.fresh_s >= OUTAGE_S:
            self._upstreams.keep_lapsed_until(now_s + EXPIRED_ENTRY_S)
        self._note_up("upstreams")
        found = self._values.read_upstreams(listing)
        if self._values.adopt_upstreams(found, listing.revision, now_s):
            await self._share_upstreams()
            return
        # A copy that shows what was there before hides who leaves now.
        self._copies_behind_until_s = now_s + STALE_REPLICA_S
        if may_be_stale:
            await self._read_upstreams(may_be_stale=False)

    def _note_down(self, what: str, error: ConfigServiceUnavailable) -> None:
        if what not in self._down_since_s:
            self._down_since_s[what] = anyio.current_time()
            log(CONFIG_SERVICE_DOWN, what=what, code=error.code, detail=error.detail)

    def _note_up(self, what: str) -> None:
        since_s = self._down_since_s.pop(what, None)
        if since_s is not None:
            down_s = anyio.current_time() - since_s
            log(CONFIG_SERVICE_BACK, what=what, down_s=round(down_s, 3))
