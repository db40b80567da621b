"""Remembers where streams began, those of this process and those that peers tell."""

from dataclasses import dataclass, replace

import xxhash

from banyanseam.entry.const import UNNOTICED_RESTART_S
from banyanseam.entry.listed_upstream import ListedUpstream
from banyanseam.entry.models import StreamOrigin
from banyanseam.entry.origins.const import MAX_ORIGINS, TAKE_UP_S
from banyanseam.entry.upstream_list import UpstreamList


def make_stream_key(organisation: str | None, request_id: str) -> int:
    """Return the number of the stream that a request of an organisation began."""
    return xxhash.xxh3_64_intdigest(f"{organisation or ''}\0{request_id}".encode())


@dataclass(frozen=True, slots=True)
class OriginRecord:
    """Where a stream began, and when by this process's clock."""

    origin: StreamOrigin
    begun_s: float


class OriginRecords:
    """The origins of recent streams by key."""

    def __init__(self, upstreams: UpstreamList) -> None:
        """Start without records."""
        self._upstreams = upstreams
        # In the order in which they were recorded.
        self._records: dict[int, OriginRecord] = {}
        # By id of an upstream that has started again: from when on its streams may have
        # been begun by the new incarnation, which was not known yet.
        self._doubtful_since_s: dict[str, float] = {}
        upstreams.on_restarted.append(self._record_restart)

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

    def resolve(self, record: OriginRecord) -> StreamOrigin:
        """Return an origin with its software as far as that is known by now."""
        origin = record.origin
        software = origin.software
        if software is None:
            software = self._upstreams.find_software(
                origin.upstream_id, origin.started_ms
            )
        elif self._is_doubtful(record):
            software = None
        return replace(origin, software=software)

    def _is_doubtful(self, record: OriginRecord) -> bool:
        """Return whether another version under the same id may have begun the stream.

        A restart shows in the list later than in the answers.
        """
        origin = record.origin
        since_s = self._doubtful_since_s.get(origin.upstream_id)
        if since_s is None or record.begun_s < since_s:
            return False
        listed = self._upstreams.find(origin.upstream_id)
        if listed is None:
            return True
        if listed.upstream.started_ms <= origin.started_ms:
            return False
        return listed.upstream.software != origin.software

    def _record_restart(self, before: ListedUpstream, _: ListedUpstream) -> None:
        oldest_s = self._upstreams.confirmed_s - 2 * TAKE_UP_S
        self._doubtful_since_s = {
            upstream_id: since_s
            for upstream_id, since_s in self._doubtful_since_s.items()
            if since_s > oldest_s
        }
        since_s = self._upstreams.previous_confirmed_s - UNNOTICED_RESTART_S
        self._doubtful_since_s[before.upstream.upstream_id] = since_s

    def _drop_old(self, now_s: float) -> None:
        while self._records:
            key = next(iter(self._records))
            is_old = now_s - self._records[key].begun_s > TAKE_UP_S
            if not is_old and len(self._records) < MAX_ORIGINS:
                return
            del self._records[key]
