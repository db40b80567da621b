"""Which seats may act for a home that has stopped as planned; pure.

They follow from the published configuration, like the home itself, so that the
stopping process, its successor and every entry look at the same few seats. They lie
in the home's region, since the answers that a home remembers may not leave it.
"""

from hashlib import sha256

import cbor2

from banyanseam.idempotency.const import STANDBYS
from banyanseam.idempotency.mapping import Mapping
from banyanseam.peers.rendezvous import rank


def list_standbys(mapping: Mapping, home: str) -> list[str]:
    """Return the seats that may act for a home, the first choice first."""
    neighbours = find_region_seats(mapping, home)
    others = [seat for seat in neighbours if seat != home]
    return rank(others, f"standby\0{home}")[:STANDBYS]


def find_region_seats(mapping: Mapping, home: str) -> tuple[str, ...]:
    """Return the published seats of a home's region, none for an unknown home."""
    regions = mapping.seats.values()
    return next((seats for seats in regions if home in seats), ())


def digest(mapping: Mapping) -> bytes:
    """Return a digest that is alike for equal mappings in every process."""
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
