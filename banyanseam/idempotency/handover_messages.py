"""Messages by which a home's keys pass to a standby and from there to a successor.

Times are ages or rests, since processes share no clock; only the time of the stop is
told by the wall clock as well, so that it holds for a standby that stood still.
"""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from banyanseam.idempotency.const import (
    MAX_ISSUERS,
    MAX_KEY_LENGTH,
    MAX_PAGE_RECORDS,
)
from banyanseam.idempotency.messages import AnswerBody, ClaimId, ShortText
from banyanseam.peers.messages import Message


class RecordBody(BaseModel):
    """One remembered key on its way to another process."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    organisation: ShortText
    key: str = Field(min_length=1, max_length=MAX_KEY_LENGTH)
    claim_id: ClaimId
    fingerprint: ShortText
    # The process that ran it.
    seat: ShortText
    incarnation: int = Field(ge=0)
    run_ms: int = Field(ge=0)
    run_left_ms: int
    state: Literal["running", "done", "unknown", "free"]
    answer: AnswerBody | None = None
    freed_age_ms: int | None = None
    others_asked: bool = False
    stamp_s: float | None = None
    keep_left_ms: int
    size_bytes: int = Field(ge=0)


class KeysPage(BaseModel):
    """A part of a home's records, and what the process before knew."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    home: ShortText
    # The process of the home seat that stopped.
    incarnation: int = Field(ge=0)
    page: int = Field(ge=0)
    pages: int = Field(ge=1)
    mapping_digest: bytes = Field(max_length=32)
    # Since how long all is known; negative while a standby could not be asked.
    known_ms: int
    stopped_wall_s: float
    floor_s: float
    # Each process whose tickets these records cover, and what its clock shows now.
    issuer_clocks_ms: dict[int, int] = Field(max_length=MAX_ISSUERS)
    records: list[RecordBody] = Field(max_length=MAX_PAGE_RECORDS)


class OfferKeys(Message):
    """A home that has stopped asks a standby to act for it."""

    kind = "idempotency.offer"

    content: KeysPage


class KeysOffered(Message):
    """Whether the standby takes the page; after the last one it acts."""

    kind = "idempotency.offered"

    state: Literal["taken", "refused"]


class TakeKeys(Message):
    """A home that has started asks a standby for its keys; the standby stops acting."""

    kind = "idempotency.take"

    page: int = Field(ge=0)


class KeysTaken(Message):
    """The page, or None where the standby does not act for the seat and will not."""

    kind = "idempotency.taken"

    content: KeysPage | None = None
