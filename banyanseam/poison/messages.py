"""Messages between daemons about suspects and their reruns."""

from typing import Annotated, Literal

from pydantic import Field

from banyanseam.peers.messages import Message
from banyanseam.poison.const import FINGERPRINT_BYTES, MAX_SECTION_BYTES

Fingerprint = Annotated[
    bytes, Field(min_length=FINGERPRINT_BYTES, max_length=FINGERPRINT_BYTES)
]
ShortText = Annotated[str, Field(max_length=255)]


class SuspectsReport(Message):
    """The suspects that a seat observed, sent when an upstream has crashed."""

    kind = "poison.suspects"

    # The seat that observed the crashes; differs from the sender of a relayed copy.
    seat: ShortText
    section: bytes = Field(max_length=MAX_SECTION_BYTES)
    # Whether the receiver is to relay the message to the other seats of its region.
    relay: bool


class SuspectCleared(Message):
    """A suspect ran to its end, so it is no longer suspected."""

    kind = "poison.cleared"

    fingerprint: Fingerprint
    relay: bool


class RerunRequest(Message):
    """Request permission for a rerun of a suspect."""

    kind = "poison.ask"

    fingerprint: Fingerprint
    holder: ShortText
    # Acceptable upstreams in order of preference; if empty, any is acceptable.
    upstreams: list[ShortText] = Field(max_length=1000)
    term_ms: int = Field(ge=0, le=4_000_000)


class RerunAnswer(Message):
    """Grant a rerun on an upstream, or refuse it as busy for now or as condemned."""

    kind = "poison.answer"

    state: Literal["granted", "busy", "condemned"]
    # None if the rerun may use any upstream, and in refusals.
    upstream: ShortText | None = None


class RunReport(Message):
    """Report a run in progress whose request has just become a suspect."""

    kind = "poison.note"

    fingerprint: Fingerprint
    holder: ShortText
    term_ms: int = Field(ge=0, le=4_000_000)


class EndRerun(Message):
    """Report that a run of a suspect has ended."""

    kind = "poison.end"

    fingerprint: Fingerprint
    holder: ShortText
