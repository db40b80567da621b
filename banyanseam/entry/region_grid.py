"""Arranges the processes of a large region in grids, for their heartbeats.

Each data centre of the region is a grid with the same number of columns. A process
sends to its row and to its column by turns, and passes on to its column what it
received from its row, so that a heartbeat reaches the whole data centre in two hops.
Each process of a row also sends to one column of the other data centres, where it is
passed on to the column: links between data centres carry little.

Pure functions, designed for regions of hundreds of VMs.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Neighbours:
    """The peers of a process in its region, by address."""

    row: list[str]
    column: list[str]
    # The columns of this process in its own grid, the columns of each other data
    # centre, and the number of this process's row.
    own_columns: list[int]
    other_grids: list[list[list[str]]]
    own_row: int = 0

    def list_across(self, turn: int) -> list[str]:
        """Return the processes of other data centres to send to at a turn.

        The processes of a row send to all columns, each to another one at each turn, so
        that a silent process delays its row's heartbeats by one turn only. The
        processes of a column do so too: each heartbeat reaches all columns by its row
        and, as what these pass on without loads, by its column.
        """
        found = {}
        for grid in self.other_grids:
            for place in self.own_columns:
                column = grid[(place + self.own_row + turn) % len(grid)]
                number = turn // len(grid) + self.own_row
                found[column[number % len(column)]] = None
        return list(found)


def choose_neighbours(
    ip: str, data_centre: str, ips: Mapping[str, Sequence[str]]
) -> Neighbours:
    """Return the neighbours of a process of a region.

    `ips` has the region's processes by data centre, this one included, in an order that
    is the same for all of them.
    """
    width = max(1, round(math.sqrt(max(map(len, ips.values())))))
    rows = _split(ips[data_centre], width)
    row_number, own_row = next(
        (number, row) for number, row in enumerate(rows) if ip in row
    )
    own_columns = _list_columns(own_row, ip, width)
    other_rows = [row for row in rows if row is not own_row]
    column = [
        each
        for row in other_rows
        for each in row
        if own_columns & _list_columns(row, each, width)
    ]
    other_grids = [
        _list_grid_columns(_split(ips[other], width), width)
        for other in sorted(ips)
        if other != data_centre and ips[other]
    ]
    row = [each for each in own_row if each != ip]
    return Neighbours(row, column, sorted(own_columns), other_grids, row_number)


def _split(ips: Sequence[str], width: int) -> list[Sequence[str]]:
    """Split into consecutive rows whose lengths differ by one at most."""
    count = -(-len(ips) // width)
    ends = [number * len(ips) // count for number in range(count + 1)]
    return [ips[start:end] for start, end in zip(ends, ends[1:], strict=False)]


def _list_columns(row: Sequence[str], ip: str, width: int) -> set[int]:
    """Return the columns of a process; the last one of a short row has several."""
    place = row.index(ip)
    return set(range(place, width)) if place == len(row) - 1 else {place}


def _list_grid_columns(rows: list[Sequence[str]], width: int) -> list[list[str]]:
    return [
        [
            each
            for row in rows
            for each in row
            if place in _list_columns(row, each, width)
        ]
        for place in range(width)
    ]
