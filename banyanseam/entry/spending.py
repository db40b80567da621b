"""What each process says it has charged in all, as it travels and as it is kept."""

from collections.abc import Iterable
from dataclasses import dataclass

# A process's address, its incarnation, its heartbeat's number, a total for each name.
SpentRow = tuple[str, int, int, list[int]]


@dataclass(frozen=True, slots=True)
class Spending:
    """What a process had charged by organisation when it sent a heartbeat."""

    ip: str
    incarnation: int
    beat: int
    totals: dict[str, float]


class Spendings:
    """The newest word of each other process."""

    def __init__(self) -> None:
        """Know of none."""
        self._heard: dict[str, Spending] = {}

    def take(self, spending: Spending) -> bool:
        """Keep a word unless it is as old as the one that is known; say if it is new.

        Words travel over several peers, so older ones arrive after newer ones.
        """
        old = self._heard.get(spending.ip)
        is_same_process = old is not None and old.incarnation == spending.incarnation
        if is_same_process and old.beat >= spending.beat:
            return False
        self._heard[spending.ip] = spending
        return True

    def list_of(self, ips: Iterable[str]) -> list[Spending]:
        """Return the words of some processes."""
        return [self._heard[ip] for ip in ips if ip in self._heard]


def to_table(spendings: list[Spending]) -> tuple[list[str], list[SpentRow]]:
    """Return names and rows of totals, so that each name travels once."""
    names = sorted({name for each in spendings for name in each.totals})
    rows = [
        (
            each.ip,
            each.incarnation,
            each.beat,
            [round(each.totals.get(name, 0)) for name in names],
        )
        for each in spendings
    ]
    return names, rows


def from_table(names: list[str], rows: Iterable[SpentRow]) -> list[Spending]:
    """Return what names and rows of totals say."""
    return [
        Spending(ip, incarnation, beat, dict(zip(names, totals, strict=False)))
        for ip, incarnation, beat, totals in rows
    ]
