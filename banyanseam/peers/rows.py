"""Binary encoding of heartbeat rows: 21 bytes each, where CBOR takes about 45."""

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
    """Bit flags that a process reports of itself.

    They are plain integers, since IntFlag operations cost ten times as much.
    """

    NONE: Final = 0
    LEAVING: Final = 1
    REACHES_SERVICE: Final = 2


@dataclass(frozen=True, slots=True)
class Row:
    """The heartbeat counter and flags of one process, addressed by its seat's hash."""

    seat_hash: int
    incarnation: int
    counter: int
    flags: int


@lru_cache(maxsize=4096)
def hash_seat(seat: str) -> int:
    """Return the hash that identifies a seat in rows."""
    return xxhash.xxh3_64_intdigest(seat.encode())


def pack_rows(rows: list[Row]) -> bytes:
    """Encode rows."""
    return b"".join(
        _ROW.pack(row.seat_hash, row.incarnation, row.counter, row.flags)
        for row in rows
    )


def unpack_rows(data: bytes) -> list[Row]:
    """Decode rows; raise InvalidPeerMessage."""
    if len(data) % ROW_BYTES or len(data) > MAX_ROWS * ROW_BYTES:
        raise InvalidPeerMessage("the length of the heartbeat rows is not valid")
    # Flags that only newer peers know are retained, so that they are relayed.
    return [Row(*fields) for fields in _ROW.iter_unpack(data)]
