"""Messages by which daemons hand the configuration on to one another."""

from pydantic import BaseModel, ConfigDict, Field

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
    """One value as it travels."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    key: str
    revision: int = Field(gt=0)
    content: bytes


class ValuesReply(Message):
    """Values held, as many as one message takes; absent ones may be asked again."""

    kind = "config.values"

    values: list[PeerValue]
