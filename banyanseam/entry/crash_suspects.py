"""Detect requests that were running each time an upstream crashed."""

from collections import OrderedDict
from dataclasses import dataclass

import xxhash

from banyanseam.entry.const import (
    CRASH_MEMORY_S,
    CRASHES_TO_REFUSE,
    MAX_CRASH_RECORDS,
)


def fingerprint(organisation: str, method: str, target: bytes, body: bytes) -> int:
    """Return a hash of a request's content, which repeats of the request share."""
    digest = xxhash.xxh3_64(organisation.encode())
    digest.update(b"\0" + method.encode() + b"\0" + target + b"\0")
    digest.update(body)
    return digest.intdigest()


@dataclass(slots=True)
class _Record:
    upstreams: set[str]
    last_s: float


class CrashSuspects:
    """Records which upstreams crashed while a request was running there.

    A connection that breaks during a request counts as a crash. Each `suspect` is the
    fingerprint of a request.
    """

    def __init__(self) -> None:
        """Start without records."""
        self._records: OrderedDict[int, _Record] = OrderedDict()

    def record_crash(self, suspect: int, upstream_id: str, now_s: float) -> None:
        """Record a crash of an upstream while the request was running there.

        A repeated report of the same crash does not extend the record's lifetime.
        """
        record = self._records.pop(suspect, None) or _Record(set(), now_s)
        if upstream_id in record.upstreams:
            self._records[suspect] = record
            return
        record.upstreams.add(upstream_id)
        record.last_s = now_s
        self._records[suspect] = record
        while len(self._records) > MAX_CRASH_RECORDS:
            self._records.popitem(last=False)

    def clear(self, suspect: int) -> None:
        """Remove the record of a request that succeeded, and so caused no crash."""
        self._records.pop(suspect, None)

    def is_refused(self, suspect: int, now_s: float) -> bool:
        """Return whether the request was running at enough recent crashes."""
        record = self._records.get(suspect)
        if record is None or now_s - record.last_s > CRASH_MEMORY_S:
            return False
        return len(record.upstreams) >= CRASHES_TO_REFUSE

    def list_recent(self, since_s: float) -> list[tuple[int, str]]:
        """Return the crashes to report to other processes."""
        return [
            (suspect, upstream_id)
            for suspect, record in self._records.items()
            if record.last_s >= since_s
            for upstream_id in record.upstreams
        ]
