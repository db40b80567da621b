"""Messages with which daemons replicate the configuration.

Versions and revisions are numbers that contain their era, see `versions.py`.
"""

import zlib

from pydantic import BaseModel, ConfigDict, Field

from banyanseam.config.const import MAX_VALUE_BYTES, ZLIB_LEVEL
from banyanseam.config.snapshot import Value
from banyanseam.peers.errors import InvalidPeerMessage
from banyanseam.peers.messages import Message


class Announce(Message):
    """The versions that the sender holds; 0 means none."""

    kind = "config.announce"

    in_force: int = Field(ge=0)
    newest: int = Field(ge=0)


class ListRequest(Message):
    """Request the changes since a version, in the snapshot in force or the newest."""

    kind = "config.list"

    after: int = Field(ge=0)
    in_force_only: bool


class ListReply(Message):
    """The changed keys and their revisions, and whether the sender serves requests."""

    kind = "config.listing"

    version: int = Field(ge=0)
    changed: dict[str, int]
    is_serving: bool


class ValuesRequest(Message):
    """Request values at the listed revisions."""

    kind = "config.fetch"

    wanted: dict[str, int]


class PeerValue(BaseModel):
    """One value as it is sent, with its content compressed."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    key: str
    revision: int = Field(gt=0)
    content: bytes


def pack_value(value: Value) -> PeerValue:
    """Return a value in the form in which it is sent."""
    content = zlib.compress(value.content, ZLIB_LEVEL)
    return PeerValue(key=value.key, revision=value.revision, content=content)


def unpack_value(packed: PeerValue) -> Value:
    """Return the value; raise InvalidPeerMessage if it is corrupt or too large."""
    stream = zlib.decompressobj()
    try:
        content = stream.decompress(packed.content, MAX_VALUE_BYTES + 1)
    except zlib.error as error:
        raise InvalidPeerMessage(f"{packed.key}: {error}") from error
    if not stream.eof or len(content) > MAX_VALUE_BYTES:
        raise InvalidPeerMessage(f"the value of {packed.key} is truncated or too large")
    return Value(packed.key, packed.revision, content)


class ValuesReply(Message):
    """The requested values that the sender holds, up to a size limit.

    The requester asks again for the values that the reply lacks.
    """

    kind = "config.values"

    values: list[PeerValue]
