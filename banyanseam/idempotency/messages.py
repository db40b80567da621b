"""Messages between an entry and the home of a key."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from banyanseam.idempotency.const import (
    CLAIM_ID_BYTES,
    MAX_ANSWER_BYTES,
    MAX_ANSWER_HEADERS,
    MAX_KEY_LENGTH,
)
from banyanseam.idempotency.models import Answer, Scope
from banyanseam.peers.messages import Message

ClaimId = Annotated[bytes, Field(min_length=CLAIM_ID_BYTES, max_length=CLAIM_ID_BYTES)]
ShortText = Annotated[str, Field(max_length=255)]


class AnswerBody(BaseModel):
    """A whole answer on its way to or from a home."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    status: int = Field(ge=100, le=999)
    headers: list[tuple[bytes, bytes]] = Field(max_length=MAX_ANSWER_HEADERS)
    body: bytes = Field(max_length=MAX_ANSWER_BYTES)

    @classmethod
    def pack(cls, answer: Answer) -> "AnswerBody":
        """Return the message form of an answer."""
        return cls(status=answer.status, headers=answer.headers, body=answer.body)

    def unpack(self) -> Answer:
        """Return the answer."""
        return Answer(self.status, list(self.headers), self.body)


class KeyMessage(Message):
    """What all messages about a key carry."""

    # The home seat by the sender's configuration; a standby acts for more than one.
    home: ShortText
    organisation: ShortText
    key: str = Field(min_length=1, max_length=MAX_KEY_LENGTH)
    claim_id: ClaimId

    @property
    def scope(self) -> Scope:
        """Return the key within its organisation."""
        return Scope(self.organisation, self.key)


class ClaimKey(KeyMessage):
    """Ask the home for the one permission to run."""

    kind = "idempotency.claim"

    route: ShortText
    fingerprint: ShortText
    # How long the run may take at most, from the sending of this message on.
    run_ms: int = Field(ge=0, le=4_000_000)
    # How long ago the entry received the request.
    age_ms: int = Field(ge=0)


class ClaimTicket(ClaimKey):
    """Ask whoever has the issuer's records for the one permission to run a ticket."""

    kind = "idempotency.claim_ticket"

    incarnation: int = Field(ge=0)
    # On the issuer's clock.
    expires_ms: int


class KeyClaimed(Message):
    """What the claim got."""

    kind = "idempotency.claimed"

    state: Literal["granted", "running", "done"]
    answer: AnswerBody | None = None


class LookAtKey(Message):
    """Ask the home what a claim would get; nothing is claimed."""

    kind = "idempotency.look"

    home: ShortText
    organisation: ShortText
    key: str = Field(min_length=1, max_length=MAX_KEY_LENGTH)
    route: ShortText
    # None when it is not known what the request would ask for.
    fingerprint: ShortText | None


class KeySeen(Message):
    """What the home knows of a key that a claim would not be refused for."""

    kind = "idempotency.seen"

    state: Literal["new", "running", "done", "free"]


class FinishKey(KeyMessage):
    """Tell the home how the run ended; `is_known` is False for an unknown end."""

    kind = "idempotency.finish"

    is_known: bool
    # None with a known end when the answer is too large to remember.
    answer: AnswerBody | None = None


class KeyFinished(Message):
    """The home has noted the end, or knows nothing of the claim."""

    kind = "idempotency.finished"

    noted: bool


class ReleaseKey(KeyMessage):
    """Tell the home that nothing was sent and nothing will be."""

    kind = "idempotency.release"


class KeyReleased(Message):
    """The key is free; `alone` when no other receipt asked for it meanwhile."""

    kind = "idempotency.released"

    alone: bool
