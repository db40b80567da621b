"""The evacuated data centres, also across a return of the store from a copy.

The copy may lack an evacuation that is in force, or show one that was ended since. What
the operators wrote after the copy was made is written again, which takes a moment.
"""

from collections.abc import Iterable, Mapping

from banyanseam.entry.const import EVACUATIONS_REWRITTEN_S, RETURN_MEMORY_S
from banyanseam.entry.models import StorePosition


class Evacuations:
    """What the store lists, and what is in force."""

    def __init__(self) -> None:
        """Start without evacuations."""
        # The store's position at the last change, and the latest one up to which there
        # was no other.
        self.position = StorePosition(0, 0)
        self.confirmed_position = StorePosition(0, 0)
        # Data centres with the revision of their value; from the release before, with a
        # later one.
        self.listed: dict[str, int] = {}
        self._in_force: dict[str, int] = {}
        # Revisions of evacuations that were ended, and when.
        self._ended: dict[str, tuple[int, float]] = {}
        # After a return of the store: what stays in force though it isn't listed, what
        # doesn't come into force though it is, and until when.
        self._retained: dict[str, int] = {}
        self._suppressed: dict[str, int] = {}
        self._rewritten_at_s = -1e9

    @property
    def era(self) -> int | None:
        """Return the store's era at the last change, None without one."""
        return self.position.era if self.position.revision else None

    @property
    def in_force(self) -> frozenset[str]:
        """Return the data centres that are evacuated."""
        return frozenset(self._in_force)

    def record_return(self, now_s: float) -> None:
        """Hold what is known until the operators have written it again."""
        self._retained = dict(self._in_force)
        self._suppressed = {
            each: revision
            for each, (revision, at_s) in self._ended.items()
            if now_s - at_s < RETURN_MEMORY_S
        }
        self._rewritten_at_s = now_s + EVACUATIONS_REWRITTEN_S

    def adopt(
        self,
        listed: Mapping[str, int],
        position: StorePosition,
        now_s: float,
        *,
        written: Iterable[str] = (),
    ) -> None:
        """Adopt what is listed at a position; `written` are changes seen one by one."""
        for each in written:
            self._retained.pop(each, None)
            self._suppressed.pop(each, None)
        if listed.keys() != self.listed.keys():
            self.position = position
        elif listed and position.era > self.position.era:
            # Peers may have listed the restored store before these were written again.
            self.position = StorePosition(position.era, max(listed.values()))
        self.confirmed_position = max(position, self.confirmed_position)
        self.listed = dict(listed)
        self.update(now_s)

    def update(self, now_s: float) -> None:
        """Bring into force what is listed or, for a while after a return, known."""
        if now_s >= self._rewritten_at_s:
            self._retained, self._suppressed = {}, {}
        found = {
            each: revision
            for each, revision in self.listed.items()
            if revision != self._suppressed.get(each)
        }
        found = self._retained | found
        for each, revision in self._in_force.items():
            if each not in found:
                self._ended[each] = revision, now_s
        for each in found:
            self._ended.pop(each, None)
        self._in_force = found
