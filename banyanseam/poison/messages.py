"""Messages about suspects between daemons."""

from typing import Annotated, Literal

from pydantic import Field

from banyanseam.peers.messages import Message
from banyanseam.poison.const import FINGERPRINT_BYTES, SECTION_BYTES

Fingerprint = Annotated[
    bytes, Field(min_length=FINGERPRINT_BYTES, max_length=FINGERPRINT_BYTES)
]
ShortText = Annotated[str, Field(max_length=255)]


class SuspectsSeen(Message):
    """An upstream crashed: these were running on it, among the sender's marks."""

    kind = "poison.suspects"

    # The seat whose marks these are; a relay is not it.
    seat: ShortText
    section: bytes = Field(max_length=SECTION_BYTES)
    # Asks the receiver to tell the other seats of its region.
    relay: bool


class SuspectCleared(Message):
    """A suspect ran to its end."""

    kind = "poison.cleared"

    fingerprint: Fingerprint
    relay: bool


class AskRerun(Message):
    """Ask the seat that permits reruns of this suspect."""

    kind = "poison.ask"

    fingerprint: Fingerprint
    holder: ShortText
    upstreams: list[ShortText] = Field(max_length=1000)
    term_ms: int = Field(ge=0, le=4_000_000)


class RerunAnswer(Message):
    """Run it on this upstream, ask again later, or never."""

    kind = "poison.answer"

    state: Literal["granted", "busy", "condemned"]
    upstream: ShortText | None = None


class NoteRun(Message):
    """A run under way of a request that has just become a suspect."""

    kind = "poison.note"

    fingerprint: Fingerprint
    holder: ShortText
    term_ms: int = Field(ge=0, le=4_000_000)


class EndRerun(Message):
    """A run of a suspect has ended."""

    kind = "poison.end"

    fingerprint: Fingerprint
    holder: ShortText
