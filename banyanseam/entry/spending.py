"""What each process says it has charged in all, as it travels and as it is kept.

Words name only what has changed lately, so that their size goes with the traffic and
not with the number of organisations.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from banyanseam.entry.const import RECENT_SPENDING_S
from banyanseam.peers.errors import InvalidPeerMessage

# A process's address, its incarnation, its heartbeat's number, whether nothing is left
# out, and for each organisation its place among the names and its total.
SpentRow = tuple[str, int, int, bool, list[tuple[int, int]]]


@dataclass(frozen=True, slots=True)
class Spending:
    """What a process had charged by organisation when it sent a heartbeat."""

    ip: str
    incarnation: int
    beat: int
    totals: dict[str, float]
    # Whether organisations that are not named have been charged nothing.
    is_whole: bool = True


@dataclass(frozen=True, slots=True)
class Charge:
    """What a process has charged an organisation since its total was last known."""

    organisation: str
    cost: float
    since_s: float


@dataclass(slots=True)
class _Kept:
    incarnation: int
    beat: int
    totals: dict[str, float]
    is_whole: bool
    heard_s: float
    changed_s: dict[str, float]
    # Names that may have changed during a silence, and since when.
    unsure_since_s: float = 0.0
    unsure: set[str] = field(default_factory=set)


class Spendings:
    """The totals of each process, this one's included, joined from its words."""

    def __init__(self) -> None:
        """Know of none."""
        self._kept: dict[str, _Kept] = {}

    def take(self, spending: Spending, now_s: float) -> list[Charge] | None:
        """Take over a word and return what is new; None for a word that is older.

        Words travel over several peers, so older ones arrive after newer ones. The
        first word of a process is a start: what it spent before is in the past of
        buckets that were not there.
        """
        kept = self._kept.get(spending.ip)
        if kept is None or kept.incarnation != spending.incarnation:
            self._kept[spending.ip] = _Kept(
                spending.incarnation,
                spending.beat,
                dict(spending.totals),
                spending.is_whole,
                now_s,
                dict.fromkeys(spending.totals, now_s),
            )
            return []
        if spending.beat <= kept.beat:
            return None
        if now_s - kept.heard_s > RECENT_SPENDING_S:
            # What changed in the silence and rested since is not named.
            if not kept.unsure:
                kept.unsure_since_s = kept.heard_s
            kept.unsure |= kept.totals.keys()
        charges = [
            charge
            for name, total in spending.totals.items()
            if (charge := self._note(kept, name, total, now_s)) is not None
        ]
        kept.beat = spending.beat
        kept.is_whole |= spending.is_whole
        kept.heard_s = now_s
        if spending.is_whole:
            kept.unsure.clear()
        return charges

    def _note(
        self, kept: _Kept, name: str, total: float, now_s: float
    ) -> Charge | None:
        since_s = kept.unsure_since_s if name in kept.unsure else kept.heard_s
        kept.unsure.discard(name)
        before = kept.totals.get(name, 0.0 if kept.is_whole else total)
        if total == before and name in kept.totals:
            return None
        kept.totals[name] = total
        kept.changed_s[name] = now_s
        return Charge(name, total - before, since_s)

    def list_recent(self, ips: Iterable[str], now_s: float) -> list[Spending]:
        """Return the totals of some processes that have changed lately."""
        since_s = now_s - RECENT_SPENDING_S
        return [
            self._list_of(ip, self._kept[ip], since_s) for ip in ips if ip in self._kept
        ]

    def _list_of(self, ip: str, kept: _Kept, since_s: float) -> Spending:
        for name in [name for name, at_s in kept.changed_s.items() if at_s < since_s]:
            del kept.changed_s[name]
        recent = {name: kept.totals[name] for name in kept.changed_s}
        is_whole = kept.is_whole and len(recent) == len(kept.totals)
        return Spending(ip, kept.incarnation, kept.beat, recent, is_whole)


def to_table(spendings: list[Spending]) -> tuple[list[str], list[SpentRow]]:
    """Return names and rows of totals, so that each name travels once."""
    names = sorted({name for each in spendings for name in each.totals})
    places = {name: place for place, name in enumerate(names)}
    rows = [
        (
            each.ip,
            each.incarnation,
            each.beat,
            each.is_whole,
            [(places[name], round(total)) for name, total in each.totals.items()],
        )
        for each in spendings
    ]
    return names, rows


def from_table(names: list[str], rows: Iterable[SpentRow]) -> list[Spending]:
    """Return what names and rows say; raise InvalidPeerMessage for a lost name."""
    found = []
    for ip, incarnation, beat, is_whole, totals in rows:
        if any(not 0 <= place < len(names) for place, _ in totals):
            raise InvalidPeerMessage("a total without a name")
        named = {names[place]: total for place, total in totals}
        found.append(Spending(ip, incarnation, beat, named, is_whole))
    return found
