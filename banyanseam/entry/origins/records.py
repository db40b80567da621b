"""Remembers where streams began, at this process or by the reports of peers."""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, replace

import anyio
import xxhash

from banyanseam.entry.const import UNNOTICED_RESTART_S
from banyanseam.entry.listed_upstream import ListedUpstream
from banyanseam.entry.models import StreamOrigin, Upstream
from banyanseam.entry.origins.const import MAX_ORIGINS, TAKE_UP_S
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.upstream_starts import StartKey, make_start_key


def make_stream_key(organisation: str | None, request_id: str) -> int:
    """Return the number of the stream that a request of an organisation began."""
    return xxhash.xxh3_64_intdigest(f"{organisation or ''}\0{request_id}".encode())


@dataclass(frozen=True, slots=True)
class _LateRestart:
    """A restart of an upstream that showed in the list later than in its answers.

    Streams that began from `since_s` on may have been begun by the new incarnation.
    """

    since_s: float
    noticed_s: float


@dataclass(frozen=True, slots=True)
class OriginRecord:
    """Where a stream began, and when by this process's clock."""

    origin: StreamOrigin
    begun_s: float

    @property
    def is_uncertain(self) -> bool:
        """Return whether another version than the listed one may have begun it."""
        return self.origin.software is None and not self.origin.upstream_id


class OriginRecords:
    """The origins of recent streams by key."""

    def __init__(self, upstreams: UpstreamList) -> None:
        """Start without records."""
        self._upstreams = upstreams
        # In the order in which they were recorded.
        self._records: dict[int, OriginRecord] = {}
        # By incarnation of an upstream that has started again.
        self._late_restarts: dict[StartKey, _LateRestart] = {}
        # What `_find_starts` returns, at a count of changes of the list.
        self._starts: dict[str, set[tuple[int, str | None]]] = {}
        self._starts_changes = -1
        upstreams.on_restarted.append(self._record_restart)

    @property
    def restarts_listed_until_s(self) -> float:
        """Return until when the list is sure to show that upstreams started again."""
        return self._upstreams.restarts_known_s - UNNOTICED_RESTART_S

    def record(self, key: int, record: OriginRecord, now_s: float) -> None:
        """Remember an origin, unless the stream's is known."""
        self._drop_old(now_s)
        self._records.setdefault(key, record)

    def find(self, key: int, now_s: float) -> OriginRecord | None:
        """Return what is known of a stream's origin; its software may be unknown."""
        record = self._records.get(key)
        if record is None or now_s - record.begun_s > TAKE_UP_S:
            return None
        return replace(record, origin=self.resolve(record))

    def find_upstream(self, record: OriginRecord) -> Upstream | None:
        """Return the upstream that began a stream if no later start of it is known."""
        listed = self._upstreams.find(record.origin.upstream_id)
        if listed is None or listed.upstream.started_ms != record.origin.started_ms:
            return None
        return listed.upstream

    def resolve(self, record: OriginRecord) -> StreamOrigin:
        """Return an origin with its software as far as that is known by now.

        Of an uncertain one, the upstream is left out too: a peer that has not noticed
        the restart would find the former version by it.
        """
        origin = record.origin
        software = origin.software
        if software is None:
            software = self._upstreams.find_software(
                origin.upstream_id, origin.started_ms
            )
        if self._may_be_later(record, software):
            return StreamOrigin(origin.service, None)
        return replace(origin, software=software)

    def _may_be_later(self, record: OriginRecord, software: str | None) -> bool:
        """Return whether another version under the id may have begun a stream."""
        origin = record.origin
        restart = self._late_restarts.get((origin.upstream_id, origin.started_ms))
        # Without one, this process may not have seen when the upstream started again.
        if restart is not None and record.begun_s < restart.since_s:
            return False
        return any(
            started_ms > origin.started_ms and later != software
            for started_ms, later in self._find_starts().get(origin.upstream_id, ())
        )

    def _find_starts(self) -> Mapping[str, set[tuple[int, str | None]]]:
        """Return start and software of the known incarnations by upstream."""
        if self._starts_changes != self._upstreams.changes:
            self._starts_changes = self._upstreams.changes
            self._starts = defaultdict(set)
            for each, _ in self._upstreams.list_known():
                self._starts[each.upstream_id].add((each.started_ms, each.software))
        return self._starts

    def _record_restart(self, before: ListedUpstream, _: ListedUpstream) -> None:
        now_s = anyio.current_time()
        self._late_restarts = {
            key: restart
            for key, restart in self._late_restarts.items()
            if now_s - restart.noticed_s <= TAKE_UP_S
        }
        key = make_start_key(before.upstream)
        self._late_restarts[key] = _LateRestart(self.restarts_listed_until_s, now_s)

    def _drop_old(self, now_s: float) -> None:
        while self._records:
            key = next(iter(self._records))
            is_old = now_s - self._records[key].begun_s > TAKE_UP_S
            if not is_old and len(self._records) < MAX_ORIGINS:
                return
            del self._records[key]
