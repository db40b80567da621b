"""Messages between entry daemons about the origins of streams.

Each is a CBOR array, which the release before drops: it would take a map for a
heartbeat.
"""

from typing import Annotated, Final

import cbor2
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from banyanseam.entry.models import StreamOrigin
from banyanseam.entry.origins.const import MAX_REPORTED_ROWS
from banyanseam.entry.origins.records import OriginRecord
from banyanseam.peers.errors import InvalidPeerMessage

# CBOR's major type 4, in the first three bits of the first byte.
_ARRAY: Final = 4

StreamKey = Annotated[int, Field(ge=0, lt=2**64)]
Name = Annotated[str, Field(max_length=200)]
# Ids are sent in a header. Empty if only the software is known.
UpstreamId = Annotated[str, Field(max_length=200, pattern=r"^[!-~]*$")]
Milliseconds = Annotated[int, Field(ge=0, le=2**53)]
# Key of the stream, service, software, id and start of the upstream, age.
OriginRow = tuple[StreamKey, Name, Name | None, UpstreamId, Milliseconds, Milliseconds]


class OriginQuestion(BaseModel):
    """Asks where a stream began, and which versions of services may have begun it."""

    model_config = ConfigDict(extra="ignore")

    key: StreamKey
    services: list[Name]


class OriginReply(BaseModel):
    """What a process knows of a stream."""

    model_config = ConfigDict(extra="ignore")

    key: StreamKey
    found: OriginRow | None = None
    # Services and versions.
    versions: list[tuple[Name, Name | None]] = Field(default_factory=list)
    # Whether no other version can have begun the stream.
    is_complete: bool = False


class OriginMessage(BaseModel):
    """Streams that have begun at the sender, a question or a reply."""

    model_config = ConfigDict(extra="ignore")

    begun: list[OriginRow] = Field(default_factory=list, max_length=MAX_REPORTED_ROWS)
    question: OriginQuestion | None = None
    reply: OriginReply | None = None


def encode_origins(message: OriginMessage) -> bytes:
    """Return the datagram of a message."""
    return cbor2.dumps([message.model_dump(exclude_defaults=True)])


def is_origins(data: bytes) -> bool:
    """Return whether a datagram is such a message rather than a heartbeat."""
    return bool(data) and data[0] >> 5 == _ARRAY


def decode_origins(data: bytes) -> OriginMessage:
    """Return the message of a datagram; raise InvalidPeerMessage."""
    try:
        (body,) = cbor2.loads(data)
        return OriginMessage.model_validate(body)
    except (cbor2.CBORDecodeError, ValidationError, TypeError, ValueError) as error:
        raise InvalidPeerMessage("the datagram is no message of origins") from error


def to_origin_row(key: int, record: OriginRecord, now_s: float) -> OriginRow:
    """Return the row of a stream's origin."""
    origin = record.origin
    return (
        key,
        origin.service,
        origin.software,
        origin.upstream_id,
        origin.started_ms,
        max(0, round((now_s - record.begun_s) * 1000)),
    )


def from_origin_row(row: OriginRow, now_s: float) -> OriginRecord:
    """Return the origin of a row that was just received."""
    _, service, software, upstream_id, started_ms, age_ms = row
    origin = StreamOrigin(service, software, upstream_id, started_ms)
    return OriginRecord(origin, now_s - age_ms / 1000)
