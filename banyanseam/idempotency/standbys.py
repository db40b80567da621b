"""Selects the seats that may act for a home after a planned stop; does no I/O.

Like the home itself, they depend on the published configuration only, so that the
stopping process, its successor and every entry (a daemon that callers call) select the
same few seats. They lie in the home's region, since the answers that a home
stores may not leave it.
"""

from hashlib import sha256

import cbor2

from banyanseam.idempotency.const import STANDBYS
from banyanseam.idempotency.mapping import Mapping
from banyanseam.peers.rendezvous import rank


def list_standbys(mapping: Mapping, home: str) -> list[str]:
    """Return the seats that may act for a home, the first choice first."""
    region_seats = find_region_seats(mapping, home)
    candidates = [seat for seat in region_seats if seat != home]
    return rank(candidates, f"standby\0{home}")[:STANDBYS]


def find_region_seats(mapping: Mapping, home: str) -> tuple[str, ...]:
    """Return the published seats of a home's region, none for an unknown home."""
    regions = mapping.seats.values()
    return next((seats for seats in regions if home in seats), ())


def digest(mapping: Mapping) -> bytes:
    """Return a digest that is the same for equal mappings in every process."""
    parts = (
        mapping.seats,
        _sort(mapping.regions_by_service),
        mapping.service_by_route,
        _sort(mapping.regions_by_route),
        _sort(mapping.regions_by_organisation),
    )
    return sha256(cbor2.dumps(parts, canonical=True)).digest()


def _sort(regions_by_name: dict[str, frozenset[str]]) -> dict[str, list[str]]:
    return {name: sorted(regions) for name, regions in regions_by_name.items()}
