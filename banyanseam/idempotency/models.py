"""What is remembered of a key."""

from dataclasses import dataclass
from enum import Enum

from banyanseam.idempotency.const import MAX_ANSWER_BYTES, MAX_ANSWER_HEADERS
from banyanseam.pipe.models import Headers


class State(Enum):
    """How far the one run of a key has come."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    # Nothing was sent under the key, and a caller was told so.
    FREE = "free"


@dataclass(frozen=True, slots=True)
class Scope:
    """A key within its organisation; other organisations' keys never meet it."""

    organisation: str
    key: str


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer, as the upstream gave it."""

    status: int
    headers: Headers
    body: bytes

    @property
    def is_short(self) -> bool:
        """Say whether it can be kept, and told to another process."""
        return (
            self.size_bytes() <= MAX_ANSWER_BYTES
            and len(self.headers) <= MAX_ANSWER_HEADERS
        )

    def size_bytes(self) -> int:
        """Return about how much memory the answer takes."""
        return len(self.body) + sum(
            len(name) + len(value) + 64 for name, value in self.headers
        )


@dataclass(frozen=True, slots=True)
class End:
    """How a run ended: unknown, or known with an answer that may be too large."""

    is_known: bool
    answer: Answer | None = None


@dataclass(frozen=True, slots=True)
class Claim:
    """What one receipt of a request says when it asks to be the one that runs."""

    scope: Scope
    fingerprint: str
    claim_id: bytes
    # The process that would run it.
    seat: str
    incarnation: int
    # How long the run may take at most, from the claim on.
    run_s: float
    # How long ago the entry received the request.
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a claim got: RUNNING with `granted`, RUNNING elsewhere, or DONE."""

    state: State
    granted: bool = False
    answer: Answer | None = None


@dataclass(slots=True)
class Record:
    """One remembered key."""

    claim: Claim
    run_until_s: float
    state: State = State.RUNNING
    # None with a known end when the answer could not be kept.
    answer: Answer | None = None
    # When the key was last called free; receipts from before that don't run.
    freed_s: float = float("-inf")
    # True once another receipt asked for the key while it ran.
    others_asked: bool = False
    # The key's own time stamp in seconds since the epoch, if it has one.
    stamp_s: float | None = None
    keep_until_s: float = 0.0
    size_bytes: int = 0
