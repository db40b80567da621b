"""Messages that hand a home's keys to a standby and from there to a successor.

Times are ages or remaining times, since processes share no clock. The time of the stop
is by the wall clock, so that it holds for a standby that was suspended; `stamp_s` and
`floor_s` are too, as keys are stamped by it.
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
    """Message form of the record of one key."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    organisation: ShortText
    key: str = Field(min_length=1, max_length=MAX_KEY_LENGTH)
    claim_id: ClaimId
    fingerprint: ShortText
    # The process to which the run was granted.
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
    """Some of a home's records, with the state of the home that stopped."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    home: ShortText
    # The process that stopped, by its incarnation at the home seat.
    incarnation: int = Field(ge=0)
    page: int = Field(ge=0)
    pages: int = Field(ge=1)
    mapping_digest: bytes = Field(max_length=32)
    # For how long the records have been complete; negative while a standby that has not
    # replied may act for the home.
    known_ms: int
    stopped_wall_s: float
    floor_s: float
    # Each process whose tickets these records cover, and the current time of its clock.
    issuer_clocks_ms: dict[int, int] = Field(max_length=MAX_ISSUERS)
    records: list[RecordBody] = Field(max_length=MAX_PAGE_RECORDS)


class OfferKeys(Message):
    """Sent by a stopped home to ask a standby to act for it."""

    kind = "idempotency.offer"

    content: KeysPage


class KeysOffered(Message):
    """Reply that accepts or refuses a page; the standby acts after the last one."""

    kind = "idempotency.offered"

    state: Literal["taken", "refused"]


class FetchKeys(Message):
    """Sent by a home at start to fetch its keys; the standby stops acting."""

    kind = "idempotency.take"

    page: int = Field(ge=0)


class KeysFetched(Message):
    """Reply with a page; None if the standby does not and will not act for the seat."""

    kind = "idempotency.taken"

    content: KeysPage | None = None
