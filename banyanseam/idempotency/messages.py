"""Messages between an entry, a daemon that callers call, and the home of a key."""

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
    """Message form of a complete answer."""

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
    """Fields that the messages about a claimed key have in common."""

    # The home seat in the sender's configuration: a standby acts for several homes.
    home: ShortText
    organisation: ShortText
    key: str = Field(min_length=1, max_length=MAX_KEY_LENGTH)
    claim_id: ClaimId

    @property
    def scope(self) -> Scope:
        """Return the key within its organisation."""
        return Scope(self.organisation, self.key)


class ClaimKey(KeyMessage):
    """Ask the key's home for the exclusive right to run a request with this key."""

    kind = "idempotency.claim"

    route: ShortText
    fingerprint: ShortText
    # The longest run time, measured from the sending of this message.
    run_ms: int = Field(ge=0, le=4_000_000)
    # How long ago the entry received the request.
    age_ms: int = Field(ge=0)


class ClaimTicket(ClaimKey):
    """Ask the process with the issuer's records for permission to run a ticket."""

    kind = "idempotency.claim_ticket"

    incarnation: int = Field(ge=0)
    # When the ticket expires, on the issuer's clock.
    expires_ms: int


class KeyClaimed(Message):
    """Reply to a claim that was not refused."""

    kind = "idempotency.claimed"

    state: Literal["granted", "running", "done"]
    answer: AnswerBody | None = None


class PreviewKey(Message):
    """Ask the home for the state of a key, without claiming it."""

    kind = "idempotency.look"

    home: ShortText
    organisation: ShortText
    key: str = Field(min_length=1, max_length=MAX_KEY_LENGTH)
    route: ShortText
    # None if the content of the request is not known.
    fingerprint: ShortText | None


class KeyPreview(Message):
    """Reply with the state of a key, if a claim on it would not be refused."""

    kind = "idempotency.seen"

    state: Literal["new", "running", "done", "free"]


class FinishKey(KeyMessage):
    """Report the outcome of a run; `is_known` is False for an unknown outcome."""

    kind = "idempotency.finish"

    is_known: bool
    # None if the outcome is unknown or the answer is too large to store.
    answer: AnswerBody | None = None


class KeyFinished(Message):
    """Reply to a report; `noted` is False if the home has no record of the claim."""

    kind = "idempotency.finished"

    noted: bool


class ReleaseKey(KeyMessage):
    """Report that nothing was sent to an upstream under the key and nothing will be."""

    kind = "idempotency.release"


class KeyReleased(Message):
    """Reply to a release; `alone` if no other receipt claimed the key since the grant.

    A receipt is one arrival of a request.
    """

    kind = "idempotency.released"

    alone: bool
