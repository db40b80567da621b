"""Records what a process has received by heartbeats and passes on with its next ones.

In a large region, a process sends heartbeats to its row, to its column and across to
other data centres of the region by turns. Whatever has arrived is passed on once.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Final

from banyanseam.entry.performance.observer import SampleRow

# Name of an upstream's incarnation, prefix segment and the segment's tokens.
SegmentUse = tuple[str, str, int]

# Uses of prefix segments to pass on; older ones are dropped.
MAX_PENDING_USES: Final = 256
# Samples of the upstreams' speed to pass on; older ones are dropped.
MAX_PENDING_SAMPLES: Final = 64


class Direction(IntEnum):
    """To whom a process sends a heartbeat in its region."""

    REGION = 0
    ROW = 1
    COLUMN = 2
    ACROSS = 3


# The directions in which a process's row and charges are passed on with its loads.
_WITH_LOADS: Final = {
    Direction.REGION: (),
    Direction.ROW: (Direction.COLUMN, Direction.ACROSS),
    Direction.COLUMN: (),
    Direction.ACROSS: (Direction.COLUMN,),
}
# A second path without loads, for when a message of the first one is lost.
_WITHOUT_LOADS: Final = {
    Direction.REGION: (),
    Direction.ROW: (),
    Direction.COLUMN: (Direction.ROW, Direction.ACROSS),
    Direction.ACROSS: (Direction.ROW,),
}
# The directions in which another region's report is passed on. A data centre gets it
# only once from another one.
_REPORTS: Final = {
    Direction.REGION: (),
    Direction.ROW: (Direction.COLUMN,),
    Direction.COLUMN: (),
    Direction.ACROSS: (Direction.ROW, Direction.COLUMN),
}


@dataclass(slots=True)
class Pending:
    """What the next heartbeat in one direction passes on."""

    # Processes of the region, by address, whose rows are passed on with their loads.
    ips: dict[str, None] = field(default_factory=dict)
    # Processes whose rows are passed on without loads.
    ips_without_loads: dict[str, None] = field(default_factory=dict)
    # Other regions that have reported, with the processes of their reports.
    reports: dict[str, list[str]] = field(default_factory=dict)
    segment_uses: list[SegmentUse] = field(default_factory=list)
    samples: list[SampleRow] = field(default_factory=list)

    def list_ips(self) -> list[str]:
        """Return all processes whose rows are passed on."""
        reported = [ip for ips in self.reports.values() for ip in ips]
        return list(dict.fromkeys([*self.ips, *self.ips_without_loads, *reported]))


class RelayLog:
    """What was received and is not passed on yet, by direction."""

    def __init__(self) -> None:
        """Start with nothing to pass on."""
        self._pending = {direction: Pending() for direction in Direction}

    def record_heartbeat(
        self,
        sender: str,
        with_loads: Iterable[str],
        without_loads: Iterable[str],
        direction: Direction,
        segment_uses: list[SegmentUse],
    ) -> None:
        """Record a heartbeat of the region.

        `with_loads` and `without_loads` are the other processes whose rows it passes
        on; those that came across are passed on in this data centre.
        """
        ips, others = dict.fromkeys([sender]), {}
        if direction is Direction.ACROSS:
            ips |= dict.fromkeys(with_loads)
            others = dict.fromkeys(without_loads)
        for following in _WITH_LOADS[direction]:
            pending = self._pending[following]
            pending.ips |= ips
            pending.ips_without_loads |= others
            pending.segment_uses += segment_uses
            del pending.segment_uses[:-MAX_PENDING_USES]
        for following in _WITHOUT_LOADS[direction]:
            self._pending[following].ips_without_loads |= ips | others

    def record_own_samples(self, samples: list[SampleRow]) -> None:
        """Record samples of this process, sent once in each direction."""
        self._record_samples(samples, Direction)

    def record_samples(self, samples: list[SampleRow], direction: Direction) -> None:
        """Record samples that a heartbeat of the region has brought."""
        self._record_samples(samples, _WITH_LOADS[direction])

    def _record_samples(
        self, samples: list[SampleRow], directions: Iterable[Direction]
    ) -> None:
        for each in directions:
            pending = self._pending[each]
            pending.samples += samples
            del pending.samples[:-MAX_PENDING_SAMPLES]

    def record_report(
        self, region: str, ips: list[str], direction: Direction | None
    ) -> None:
        """Record another region's report: from that region (None), or passed on."""
        following = tuple(Direction) if direction is None else _REPORTS[direction]
        for each in following:
            self._pending[each].reports[region] = ips

    def take(self, direction: Direction) -> Pending:
        """Return what to pass on in a direction, and forget it."""
        pending = self._pending[direction]
        self._pending[direction] = Pending()
        return pending
