"""Requests that were running whenever an upstream crashed."""

from collections import OrderedDict
from dataclasses import dataclass

import xxhash

from banyanseam.entry.const import (
    CRASH_MEMORY_S,
    CRASHES_TO_REFUSE,
    MAX_CRASH_RECORDS,
)


def fingerprint(organisation: str, method: str, target: bytes, body: bytes) -> int:
    """Return what stays alike when a caller sends the same request again."""
    digest = xxhash.xxh3_64(organisation.encode())
    digest.update(b"\0" + method.encode() + b"\0" + target + b"\0")
    digest.update(body)
    return digest.intdigest()


@dataclass(slots=True)
class _Record:
    upstreams: set[str]
    last_s: float


class CrashSuspects:
    """Counts, for each request, at which upstreams it was when they crashed."""

    def __init__(self) -> None:
        """Suspect nothing."""
        self._records: OrderedDict[int, _Record] = OrderedDict()

    def note_crash(self, suspect: int, upstream_id: str, now_s: float) -> None:
        """Count a crash of an upstream while the request ran there.

        One that is known already is no news, though it is heard again and again.
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
        """Forget a request that ended well."""
        self._records.pop(suspect, None)

    def is_refused(self, suspect: int, now_s: float) -> bool:
        """Say whether the request has crashed enough upstreams."""
        record = self._records.get(suspect)
        if record is None or now_s - record.last_s > CRASH_MEMORY_S:
            return False
        return len(record.upstreams) >= CRASHES_TO_REFUSE

    def list_recent(self, since_s: float) -> list[tuple[int, str]]:
        """Return crashes that the others should hear of."""
        return [
            (suspect, upstream_id)
            for suspect, record in self._records.items()
            if record.last_s >= since_s
            for upstream_id in record.upstreams
        ]
