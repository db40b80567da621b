"""The daemons that a caller should use, best first, as served at /v1/entries."""

from collections.abc import Iterable
from itertools import zip_longest
from typing import Final

from pydantic import BaseModel

from banyanseam.config.compiled import Config, Seat
from banyanseam.peers.membership import Membership, SeatState
from banyanseam.peers.rendezvous import rank

ENTRIES_VALIDITY_MS: Final = 5000
OWN_REGION_ENTRIES: Final = 8
OTHER_REGION_ENTRIES: Final = 2


class Entry(BaseModel):
    """A daemon that callers may use; the region matters for data residency."""

    seat: str
    address: str
    region: str
    data_centre: str


class Entries(BaseModel):
    """The daemons to use, best first, and for how long the list is valid."""

    entries: list[Entry]
    validity_ms: int


def list_entries(config: Config, membership: Membership, caller: str) -> Entries:
    """Return the daemons to use for one caller, in an order seeded by its identifier.

    `caller` is any stable identifier, such as an IP address. The order differs, so that
    callers spread over the seats; consecutive entries alternate between data centres.
    """
    seats = _order_seats(config, membership, membership.region, caller)
    seats = seats[:OWN_REGION_ENTRIES]
    for region in _order_regions(config, membership):
        found = _order_seats(config, membership, region, caller)
        seats += found[:OTHER_REGION_ENTRIES]
    if not seats:
        # This daemon is leaving and no other is alive: list it, since it still serves.
        seats = [config.seats[membership.seat]]
    entries = [
        Entry(
            seat=seat.name,
            address=seat.callers_address,
            region=seat.region,
            data_centre=seat.data_centre,
        )
        for seat in seats
    ]
    return Entries(entries=entries, validity_ms=ENTRIES_VALIDITY_MS)


def _order_seats(
    config: Config, membership: Membership, region: str, caller: str
) -> list[Seat]:
    alive = [
        seat
        for seat in config.seats_of(region)
        if membership.state_of(seat.name) is SeatState.ALIVE
    ]
    return _alternate_data_centres(alive, caller)


def _alternate_data_centres(seats: Iterable[Seat], caller: str) -> list[Seat]:
    seat_by_name = {seat.name: seat for seat in seats}
    by_data_centre: dict[str, list[Seat]] = {}
    for name in rank(seat_by_name, caller):
        seat = seat_by_name[name]
        by_data_centre.setdefault(seat.data_centre, []).append(seat)
    rows = zip_longest(*by_data_centre.values())
    return [seat for row in rows for seat in row if seat is not None]


def _order_regions(config: Config, membership: Membership) -> list[str]:
    def least_delay_s(region: str) -> float:
        delays = (
            membership.measured_delay_s(seat.name) for seat in config.seats_of(region)
        )
        known = [delay_s for delay_s in delays if delay_s is not None]
        return min(known, default=float("inf"))

    others = config.regions - {membership.region}
    return sorted(others, key=lambda region: (least_delay_s(region), region))
