"""Messages by which daemons hand the configuration on to one another."""

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
    """Ask what changed since a version, in force or in the newest snapshot."""

    kind = "config.list"

    after: int = Field(ge=0)
    in_force_only: bool


class ListReply(Message):
    """What changed; `is_serving` says that the sender is ready itself."""

    kind = "config.listing"

    version: int = Field(ge=0)
    changed: dict[str, int]
    is_serving: bool


class ValuesRequest(Message):
    """Ask for values at the revisions listed."""

    kind = "config.fetch"

    wanted: dict[str, int]


class PeerValue(BaseModel):
    """One value as it travels, its content compressed."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    key: str
    revision: int = Field(gt=0)
    content: bytes


def pack_value(value: Value) -> PeerValue:
    """Return a value as it travels."""
    content = zlib.compress(value.content, ZLIB_LEVEL)
    return PeerValue(key=value.key, revision=value.revision, content=content)


def unpack_value(packed: PeerValue) -> Value:
    """Return the value; raise InvalidPeerMessage for one that no service can hold."""
    stream = zlib.decompressobj()
    try:
        content = stream.decompress(packed.content, MAX_VALUE_BYTES + 1)
    except zlib.error as error:
        raise InvalidPeerMessage(f"{packed.key}: {error}") from error
    if not stream.eof or len(content) > MAX_VALUE_BYTES:
        raise InvalidPeerMessage(f"{packed.key} is cut short or too long")
    return Value(packed.key, packed.revision, content)


class ValuesReply(Message):
    """Values held, as many as one message takes; absent ones may be asked again."""

    kind = "config.values"

    values: list[PeerValue]
