"""What heartbeats say of a seat, packed: 21 bytes in place of some 45 in CBOR."""

import struct
from dataclasses import dataclass
from functools import lru_cache
from typing import Final

import xxhash

from banyanseam.peers.const import MAX_ROWS
from banyanseam.peers.errors import InvalidPeerMessage

_ROW: Final = struct.Struct(">QQIB")
ROW_BYTES: Final = _ROW.size


class Flags:
    """What a process says of itself, as bits; IntFlag costs ten times as much."""

    NONE: Final = 0
    LEAVING: Final = 1
    REACHES_SERVICE: Final = 2


@dataclass(frozen=True, slots=True)
class Row:
    """One process: the hash of its seat, its number, and how often it has beaten."""

    seat_hash: int
    incarnation: int
    counter: int
    flags: int


@lru_cache(maxsize=4096)
def hash_seat(seat: str) -> int:
    """Return the hash that stands for a seat in rows."""
    return xxhash.xxh3_64_intdigest(seat.encode())


def pack_rows(rows: list[Row]) -> bytes:
    """Return the packed form."""
    return b"".join(
        _ROW.pack(row.seat_hash, row.incarnation, row.counter, row.flags)
        for row in rows
    )


def unpack_rows(data: bytes) -> list[Row]:
    """Return the rows; raise InvalidPeerMessage."""
    if len(data) % ROW_BYTES or len(data) > MAX_ROWS * ROW_BYTES:
        raise InvalidPeerMessage("the length of the rows")
    # Flags that only a newer peer knows are passed on as they are.
    return [Row(*fields) for fields in _ROW.iter_unpack(data)]
