"""Suspects: requests that were running on an upstream when it crashed; no I/O.

The daemon that observed a crash records it under a random id and reports it to the
others. The id lets each daemon count a crash once, so reports may be repeated or
reordered; heartbeats repeat them, so a report may be lost.
"""

import math
import secrets
import struct
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from banyanseam.poison.const import (
    CONDEMNED_CRASHES,
    CRASH_ID_BYTES,
    MAX_CLEARED,
    MAX_SECTION_BYTES,
    MAX_SUSPECTS,
    RERUN_DELAY_S,
    SAME_CRASH_WINDOW_S,
    SUSPECT_TTL_S,
)
from banyanseam.poison.errors import InvalidSuspects

# Fingerprint, crash id, digest of the upstream's name, age in milliseconds.
_ROW = struct.Struct("!8s4sHI")


@dataclass(frozen=True, slots=True)
class Crash:
    """One crash of an upstream while it ran a request."""

    upstream_digest: int
    at_s: float
    is_own: bool


class Suspects:
    """Crashes by request fingerprint, bounded in number and age."""

    def __init__(self) -> None:
        """Start without suspects."""
        self._crashes: OrderedDict[bytes, dict[bytes, Crash]] = OrderedDict()
        # Ids of crashes that no longer count, as the request later ran to its end.
        self._cleared: OrderedDict[bytes, None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of suspects."""
        return len(self._crashes)

    def record_crash(self, fingerprint: bytes, upstream: str, now_s: float) -> None:
        """Record a crash that this daemon observed."""
        digest = _digest(upstream)
        crash_id = secrets.token_bytes(CRASH_ID_BYTES)
        self._add(fingerprint, crash_id, Crash(digest, now_s, is_own=True))

    def count(self, fingerprint: bytes, now_s: float) -> int:
        """Return the number of known recent crashes under a request.

        Records of equal requests that ran on one upstream when it crashed count once.
        """
        crashes = self._list_recent(fingerprint, now_s)
        # A rerun starts later, so a record within this time is of the same crash.
        first_s: dict[int, float] = {}
        number = 0
        for crash in sorted(crashes, key=lambda crash: crash.at_s):
            counted_s = first_s.get(crash.upstream_digest, -math.inf)
            if crash.at_s - counted_s >= RERUN_DELAY_S:
                first_s[crash.upstream_digest] = crash.at_s
                number += 1
        return number

    def find_last_crash_s(self, fingerprint: bytes) -> float:
        """Return the time of the last crash under a request."""
        crashes = self._crashes.get(fingerprint, {}).values()
        return max((crash.at_s for crash in crashes), default=float("-inf"))

    def sort_upstreams(self, fingerprint: bytes, upstreams: Sequence[str]) -> list[str]:
        """Return the upstreams, with those that crashed under the request last."""
        crashes = self._crashes.get(fingerprint, {}).values()
        crashed = {crash.upstream_digest for crash in crashes}
        return sorted(upstreams, key=lambda name: _digest(name) in crashed)

    def is_explained(self, fingerprint: bytes, now_s: float) -> bool:
        """Return whether condemned requests explain all crashes under this request.

        They do if each is also a crash under a condemned request, that is, one of the
        same upstream at about the same time.
        """
        condemned = [
            crash
            for other in self._crashes
            if other != fingerprint and self.count(other, now_s) >= CONDEMNED_CRASHES
            for crash in self._list_recent(other, now_s)
        ]
        return all(
            any(_is_same_crash(crash, known) for known in condemned)
            for crash in self._list_recent(fingerprint, now_s)
        )

    def clear(self, fingerprint: bytes) -> None:
        """Remove a request that ran to its end from the suspects."""
        for crash_id in self._crashes.pop(fingerprint, {}):
            self._cleared[crash_id] = None
        while len(self._cleared) > MAX_CLEARED:
            self._cleared.popitem(last=False)

    def section(self, now_s: float) -> bytes:
        """Encode crash records for heartbeats: the own ones first, then the latest.

        Other daemons' records of condemned requests follow: a daemon that starts must
        learn of them also when the one that observed the crash is gone.
        """
        self._expire(now_s)
        reports = [
            (crash.is_own, crash.at_s, fingerprint, crash_id, crash)
            for fingerprint, crashes in self._crashes.items()
            for crash_id, crash in crashes.items()
            if crash.is_own or len(crashes) >= CONDEMNED_CRASHES
        ]
        reports.sort(key=lambda report: report[:2], reverse=True)
        return b"".join(
            _ROW.pack(
                fingerprint, crash_id, crash.upstream_digest, int((now_s - at_s) * 1000)
            )
            for _, at_s, fingerprint, crash_id, crash in reports[
                : MAX_SECTION_BYTES // _ROW.size
            ]
        )

    def apply_section(self, seat: str, section: bytes, now_s: float) -> set[bytes]:
        """Add another daemon's crashes; return the fingerprints with new ones.

        Raise InvalidSuspects if the section is malformed.
        """
        if len(section) % _ROW.size or len(section) > MAX_SECTION_BYTES:
            raise InvalidSuspects(seat)
        new = set()
        for fingerprint, crash_id, upstream_digest, age_ms in _ROW.iter_unpack(section):
            known = self._crashes.get(fingerprint, {})
            if crash_id in known or crash_id in self._cleared:
                continue
            at_s = now_s - age_ms / 1000
            self._add(fingerprint, crash_id, Crash(upstream_digest, at_s, is_own=False))
            new.add(fingerprint)
        return new

    def _list_recent(self, fingerprint: bytes, now_s: float) -> list[Crash]:
        crashes = self._crashes.get(fingerprint, {}).values()
        return [crash for crash in crashes if now_s - crash.at_s <= SUSPECT_TTL_S]

    def _add(self, fingerprint: bytes, crash_id: bytes, crash: Crash) -> None:
        self._crashes.setdefault(fingerprint, {})[crash_id] = crash
        self._crashes.move_to_end(fingerprint)
        if len(self._crashes) > MAX_SUSPECTS:
            self._evict_one()

    def _evict_one(self) -> None:
        """Evict the request whose last crash is oldest; condemned ones last."""
        evicted = next(
            (
                fingerprint
                for fingerprint, crashes in self._crashes.items()
                if len(crashes) < CONDEMNED_CRASHES
            ),
            next(iter(self._crashes)),
        )
        del self._crashes[evicted]

    def _expire(self, now_s: float) -> None:
        for fingerprint in list(self._crashes):
            if not self._list_recent(fingerprint, now_s):
                del self._crashes[fingerprint]


def _digest(upstream: str) -> int:
    return xxhash.xxh32_intdigest(upstream.encode()) & 0xFFFF


def _is_same_crash(first: Crash, second: Crash) -> bool:
    return (
        first.upstream_digest == second.upstream_digest
        and abs(first.at_s - second.at_s) <= SAME_CRASH_WINDOW_S
    )
