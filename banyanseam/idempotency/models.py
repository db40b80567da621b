"""Data classes of keys, claims and their records."""

from dataclasses import dataclass
from enum import Enum

from banyanseam.idempotency.const import MAX_ANSWER_BYTES, MAX_ANSWER_HEADERS
from banyanseam.pipe.models import Headers


class State(Enum):
    """State of the single run of a key."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    # Nothing was sent under the key, and a caller may have been informed of that.
    # The key may be claimed again.
    FREE = "free"


@dataclass(frozen=True, slots=True)
class Scope:
    """A key within its organisation; equal keys of two organisations are distinct."""

    organisation: str
    key: str


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer, as received from the upstream."""

    status: int
    headers: Headers
    body: bytes

    @property
    def is_storable(self) -> bool:
        """Return whether it is small enough to store and to send to another process."""
        return (
            self.size_bytes() <= MAX_ANSWER_BYTES
            and len(self.headers) <= MAX_ANSWER_HEADERS
        )

    def size_bytes(self) -> int:
        """Return the approximate memory use of the answer."""
        return len(self.body) + sum(
            len(name) + len(value) + 64 for name, value in self.headers
        )


@dataclass(frozen=True, slots=True)
class RunOutcome:
    """Outcome of a run; `answer` is None if it is unknown or too large to store."""

    is_known: bool
    answer: Answer | None = None


@dataclass(frozen=True, slots=True)
class Claim:
    """Asks for the only permission to run a key, for one receipt of its request.

    A receipt is one arrival of a request at an entry, a daemon that callers call.
    """

    scope: Scope
    fingerprint: str
    claim_id: bytes
    # The process that would run the request.
    seat: str
    incarnation: int
    # The longest run time, measured from the claim.
    run_s: float
    # How long ago the entry received the request.
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of a claim: RUNNING if granted or run by another claim, or DONE."""

    state: State
    granted: bool = False
    answer: Answer | None = None


@dataclass(slots=True)
class Record:
    """Record of one key."""

    claim: Claim
    run_until_s: float
    state: State = State.RUNNING
    # None in state DONE if the answer could not be stored.
    answer: Answer | None = None
    # When a caller was last told that the key did not run; receipts older than that
    # must not run.
    freed_s: float = float("-inf")
    # True once another receipt has claimed the key during the run.
    others_asked: bool = False
    # The key's own time stamp in seconds since the epoch, if it has one.
    stamp_s: float | None = None
    retained_until_s: float = 0.0
    size_bytes: int = 0
