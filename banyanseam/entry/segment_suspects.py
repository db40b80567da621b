"""Find prompt segments that crash each engine that begins to answer with them.

Requests with such a segment differ in all else, and sound requests share their other
segments. A whole answer therefore proves the segments of its prompt to be sound, and
only the others are suspected when an engine crashes.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import xxhash

from banyanseam.entry.const import (
    CRASH_MEMORY_S,
    MAX_CRASH_RECORDS,
    MAX_REPORTED_CRASHES,
    MAX_REPORTED_SEGMENTS,
    MAX_SOUND_SEGMENTS,
    REFUSAL_MEMORY_S,
    SEGMENT_CRASHES_TO_REFUSE,
    SEGMENT_CRASHES_TO_REFUSE_AFTER_LOSS,
    SOUND_MEMORY_S,
)
from banyanseam.entry.models import Prompt


def make_segment_keys(prompt: Prompt | None) -> list[int]:
    """Return hashes of a prompt's segments that other requests may share.

    The last segment belongs to the request or its session alone.
    """
    if prompt is None:
        return []
    return [
        xxhash.xxh3_64_intdigest(segment.segment_id.encode())
        for segment in prompt.segments[:-1]
    ]


@dataclass(slots=True)
class _Suspicion:
    """Crashes of engines that were about to answer with a segment."""

    last_s: float
    crashes: set[str] = field(default_factory=set)

    @property
    def is_certain(self) -> bool:
        return len(self.crashes) >= SEGMENT_CRASHES_TO_REFUSE


class SegmentSuspects:
    """Counts crashes by segment, and forgets those of segments proved to be sound."""

    def __init__(self) -> None:
        """Start without records."""
        self._suspicions: OrderedDict[int, _Suspicion] = OrderedDict()
        # When segments were last proved to be sound, the oldest proof first.
        self._sound_s: OrderedDict[int, float] = OrderedDict()
        # When a proof began to be reported to peers that suspect the segment.
        self._disproved_s: dict[int, float] = {}

    def record_crash(self, keys: Iterable[int], crash: str, now_s: float) -> None:
        """Suspect the segments of a request that an engine was about to answer.

        `crash` identifies the incarnation of the upstream that crashed.
        """
        for key in keys:
            if self._is_sound(key, now_s):
                self._disproved_s.setdefault(key, now_s)
                continue
            self._drop_expired(key, now_s)
            suspicion = self._suspicions.setdefault(key, _Suspicion(now_s))
            if crash not in suspicion.crashes:
                suspicion.crashes.add(crash)
                suspicion.last_s = now_s
                self._suspicions.move_to_end(key)
        while len(self._suspicions) > MAX_CRASH_RECORDS:
            self._suspicions.popitem(last=False)

    def record_answer(self, keys: Iterable[int], now_s: float) -> None:
        """Record that an engine answered a request with these segments in full."""
        for key in keys:
            self._sound_s[key] = now_s
            self._sound_s.move_to_end(key)
            if self._suspicions.pop(key, None) is not None:
                self._disproved_s[key] = now_s
        while len(self._sound_s) > MAX_SOUND_SEGMENTS:
            self._sound_s.popitem(last=False)

    def record_disproved(self, keys: Iterable[int], now_s: float) -> None:
        """Record segments that a peer has proved to be sound."""
        # A recent proof is not extended, or peers would repeat it without end.
        fresh = [key for key in keys if not self._is_sound(key, now_s)]
        self.record_answer(fresh, now_s)

    def find_refused(
        self,
        keys: Iterable[int],
        now_s: float,
        has_earlier_crashes: Callable[[], bool] = lambda: False,
    ) -> int | None:
        """Return the first of the segments that caused several crashes, if any.

        A crash that another segment with more crashes explains does not count. Fewer
        crashes are needed while earlier ones are probably not remembered.
        """
        for key in keys:
            self._drop_expired(key, now_s)
            suspicion = self._suspicions.get(key)
            if suspicion is None:
                continue
            own = suspicion.crashes
            needed = SEGMENT_CRASHES_TO_REFUSE
            if SEGMENT_CRASHES_TO_REFUSE_AFTER_LOSS <= len(own) < needed:
                if key in self._sound_s or not has_earlier_crashes():
                    continue
                needed = SEGMENT_CRASHES_TO_REFUSE_AFTER_LOSS
            worse = [each for each in self._list_certain() if len(each) > len(own)]
            if len(own.difference(*worse)) >= needed:
                # It is remembered for as long as such requests keep coming.
                suspicion.last_s = now_s
                self._suspicions.move_to_end(key)
                return key
        return None

    def explain(self, crashes: set[str]) -> set[str]:
        """Return those of the crashes that a refused segment has caused."""
        return crashes & set().union(*self._list_certain())

    def list_crashes(self, since_s: float) -> list[tuple[int, str]]:
        """Return the crashes to report to peers, those of the worst segments first."""
        recent = [
            (key, each)
            for key, each in self._suspicions.items()
            if each.last_s >= since_s
        ]
        recent.sort(key=lambda item: (-len(item[1].crashes), -item[1].last_s))
        return [
            (key, crash)
            for key, each in recent[:MAX_REPORTED_SEGMENTS]
            for crash in sorted(each.crashes)[:MAX_REPORTED_CRASHES]
        ]

    def list_disproved(self, since_s: float) -> list[int]:
        """Return the segments that peers suspected and that are sound."""
        self._disproved_s = {
            key: at_s for key, at_s in self._disproved_s.items() if at_s >= since_s
        }
        return list(self._disproved_s)[-MAX_REPORTED_SEGMENTS:]

    def _is_sound(self, key: int, now_s: float) -> bool:
        return now_s - self._sound_s.get(key, -math.inf) < SOUND_MEMORY_S

    def _list_certain(self) -> list[set[str]]:
        return [each.crashes for each in self._suspicions.values() if each.is_certain]

    def _drop_expired(self, key: int, now_s: float) -> None:
        suspicion = self._suspicions.get(key)
        if suspicion is None:
            return
        memory_s = REFUSAL_MEMORY_S if suspicion.is_certain else CRASH_MEMORY_S
        if now_s - suspicion.last_s > memory_s:
            del self._suspicions[key]
