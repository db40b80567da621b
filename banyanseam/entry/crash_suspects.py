"""Detect requests that were running each time an upstream crashed."""

from collections import OrderedDict
from dataclasses import dataclass
from zlib import crc32

import xxhash

from banyanseam.entry.const import (
    CRASH_MEMORY_S,
    CRASHES_TO_REFUSE,
    MAX_CRASH_RECORDS,
)
from banyanseam.entry.models import Upstream
from banyanseam.entry.segment_suspects import SegmentSuspects


def make_crash_tag(upstream: Upstream) -> str:
    """Return a short name for the crash of an incarnation of an upstream."""
    return f"{crc32(f'{upstream.upstream_id}@{upstream.started_ms}'.encode()):08x}"


def fingerprint(organisation: str, method: str, target: bytes, body: bytes) -> int:
    """Return a hash of a request's content, which repeats of the request share."""
    digest = xxhash.xxh3_64(organisation.encode())
    digest.update(b"\0" + method.encode() + b"\0" + target + b"\0")
    digest.update(body)
    return digest.intdigest()


@dataclass(slots=True)
class _Record:
    crashes: set[str]
    last_s: float


class CrashSuspects:
    """Records which upstreams crashed while a request was running there.

    A connection that breaks during a request counts as a crash. Each `suspect` is the
    fingerprint of a request.
    """

    def __init__(self) -> None:
        """Start without records."""
        self.segments = SegmentSuspects()
        self._records: OrderedDict[int, _Record] = OrderedDict()

    def record_crash(self, suspect: int, crash: str, now_s: float) -> None:
        """Record a crash of an upstream while the request was running there.

        `crash` identifies the incarnation of the upstream that crashed. A repeated
        report of the same crash does not extend the record's lifetime.
        """
        record = self._records.pop(suspect, None) or _Record(set(), now_s)
        if crash in record.crashes:
            self._records[suspect] = record
            return
        record.crashes.add(crash)
        record.last_s = now_s
        self._records[suspect] = record
        while len(self._records) > MAX_CRASH_RECORDS:
            self._records.popitem(last=False)

    def clear(self, suspect: int) -> None:
        """Remove the record of a request that succeeded, and so caused no crash."""
        self._records.pop(suspect, None)

    def is_refused(self, suspect: int, now_s: float) -> bool:
        """Return whether the request was running at enough recent crashes.

        Crashes that were caused by a refused prompt segment of another request do not
        count.
        """
        record = self._records.get(suspect)
        if record is None or now_s - record.last_s > CRASH_MEMORY_S:
            return False
        unexplained = record.crashes - self.segments.explain(record.crashes)
        return len(unexplained) >= CRASHES_TO_REFUSE

    def count(self, suspect: int) -> int:
        """Return the number of known crashes while the request was running."""
        record = self._records.get(suspect)
        return 0 if record is None else len(record.crashes)

    def list_recent(self, since_s: float) -> list[tuple[int, str]]:
        """Return the crashes to report to other processes."""
        return [
            (suspect, crash)
            for suspect, record in self._records.items()
            if record.last_s >= since_s
            for crash in record.crashes
        ]
