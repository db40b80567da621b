"""Reports of the total charges of each process, and their merged state.

Reports contain only totals that changed recently, so that their size depends on the
traffic and not on the number of organisations.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from banyanseam.entry.const import RECENT_SPENDING_S
from banyanseam.peers.errors import InvalidPeerMessage

# A process's packed address, tag of its incarnation and heartbeat number, whether no
# total is left out, and by turns an organisation's index in the list of names and its
# total.
SpentRow = tuple[int, int, int, bool, list[int]]


@dataclass(frozen=True, slots=True)
class SpendingReport:
    """A process's total charges by organisation when it sent a heartbeat."""

    ip: str
    incarnation_tag: int
    heartbeat_count: int
    totals: dict[str, float]
    # Whether organisations that are not listed have been charged nothing.
    is_complete: bool = True


@dataclass(frozen=True, slots=True)
class Charge:
    """What a process has charged an organisation since its last known total."""

    organisation: str
    cost: float
    since_s: float


@dataclass(slots=True)
class _MergedTotals:
    incarnation_tag: int
    heartbeat_count: int
    totals: dict[str, float]
    is_complete: bool
    last_report_s: float
    changed_s: dict[str, float]
    # Start of a period without reports, and the organisations whose totals may have
    # changed in it.
    uncertain_since_s: float = 0.0
    uncertain: set[str] = field(default_factory=set)


class SpendingTotals:
    """The totals of each process, including this one, merged from its reports."""

    def __init__(self) -> None:
        """Start without any process."""
        self._by_ip: dict[str, _MergedTotals] = {}

    def merge(self, spending: SpendingReport, now_s: float) -> list[Charge] | None:
        """Merge a report and return the new charges; None if it is not newer.

        Reports are relayed by several peers, so older ones can arrive after newer ones.
        The first report of a process is only a baseline: what it spent before that is
        not charged, as the buckets here did not exist then.
        """
        merged = self._by_ip.get(spending.ip)
        if merged is None or merged.incarnation_tag != spending.incarnation_tag:
            self._by_ip[spending.ip] = _MergedTotals(
                spending.incarnation_tag,
                spending.heartbeat_count,
                dict(spending.totals),
                spending.is_complete,
                now_s,
                dict.fromkeys(spending.totals, now_s),
            )
            return []
        if not self.is_newer(
            spending.ip, spending.incarnation_tag, spending.heartbeat_count
        ):
            return None
        if now_s - merged.last_report_s > RECENT_SPENDING_S:
            # Totals that changed in the silence, but not recently, are not reported.
            if not merged.uncertain:
                merged.uncertain_since_s = merged.last_report_s
            merged.uncertain |= merged.totals.keys()
        charges = [
            charge
            for name, total in spending.totals.items()
            if (charge := self._update_total(merged, name, total, now_s)) is not None
        ]
        merged.heartbeat_count = spending.heartbeat_count
        merged.is_complete |= spending.is_complete
        merged.last_report_s = now_s
        if spending.is_complete:
            merged.uncertain.clear()
        return charges

    def is_newer(self, ip: str, incarnation_tag: int, heartbeat_count: int) -> bool:
        """Return whether a report of a process is newer than the merged ones."""
        merged = self._by_ip.get(ip)
        return (
            merged is None
            or merged.incarnation_tag != incarnation_tag
            or merged.heartbeat_count < heartbeat_count
        )

    def _update_total(
        self, merged: _MergedTotals, name: str, total: float, now_s: float
    ) -> Charge | None:
        since_s = (
            merged.uncertain_since_s
            if name in merged.uncertain
            else merged.last_report_s
        )
        merged.uncertain.discard(name)
        previous = merged.totals.get(name, 0.0 if merged.is_complete else total)
        if total == previous and name in merged.totals:
            return None
        merged.totals[name] = total
        merged.changed_s[name] = now_s
        return Charge(name, total - previous, since_s)

    def list_recent(
        self,
        ips: Iterable[str],
        now_s: float,
        recent_s: float = RECENT_SPENDING_S,
    ) -> list[SpendingReport]:
        """Return the totals of the given processes that changed in `recent_s`.

        That must not be longer than RECENT_SPENDING_S.
        """
        return [
            self._list_recent_of(ip, self._by_ip[ip], now_s, recent_s)
            for ip in ips
            if ip in self._by_ip
        ]

    def _list_recent_of(
        self, ip: str, merged: _MergedTotals, now_s: float, recent_s: float
    ) -> SpendingReport:
        changed_s = merged.changed_s
        limit_s = now_s - RECENT_SPENDING_S
        for name in [name for name, at_s in changed_s.items() if at_s < limit_s]:
            del changed_s[name]
        since_s = now_s - recent_s
        recent = {
            name: merged.totals[name]
            for name, at_s in changed_s.items()
            if at_s >= since_s
        }
        is_complete = merged.is_complete and len(recent) == len(merged.totals)
        return SpendingReport(
            ip, merged.incarnation_tag, merged.heartbeat_count, recent, is_complete
        )


def to_table(
    spendings: list[SpendingReport], pack_ip: Callable[[str], int]
) -> tuple[list[str], list[SpentRow]]:
    """Return names and rows of totals, so that each name is sent only once."""
    names = sorted({name for each in spendings for name in each.totals})
    indexes = {name: index for index, name in enumerate(names)}
    rows = []
    for each in spendings:
        totals: list[int] = []
        for name, total in each.totals.items():
            totals += indexes[name], round(total)
        rows.append(
            (
                pack_ip(each.ip),
                each.incarnation_tag,
                each.heartbeat_count,
                each.is_complete,
                totals,
            )
        )
    return names, rows


def from_table(
    names: list[str],
    rows: Iterable[SpentRow],
    unpack_ip: Callable[[int], str],
    is_newer: Callable[[str, int, int], bool] = lambda *_: True,
) -> list[SpendingReport]:
    """Decode names and the rows that are newer than what was received before.

    Raise InvalidPeerMessage if a name or total is missing.
    """
    found = []
    for packed_ip, tag, heartbeat_count, is_complete, totals in rows:
        if not is_newer(unpack_ip(packed_ip), tag, heartbeat_count):
            continue
        indexes, amounts = totals[::2], totals[1::2]
        if len(indexes) != len(amounts):
            raise InvalidPeerMessage("an organisation has no total")
        if indexes and not 0 <= min(indexes) <= max(indexes) < len(names):
            raise InvalidPeerMessage("a total refers to a name that is not in the list")
        by_name = {
            names[index]: total for index, total in zip(indexes, amounts, strict=True)
        }
        found.append(
            SpendingReport(
                unpack_ip(packed_ip), tag, heartbeat_count, by_name, is_complete
            )
        )
    return found
