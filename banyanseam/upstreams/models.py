"""What the modules of this concern hand to one another."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Literal


class Outcome(StrEnum):
    """How a request on an upstream ended, as its health counts it."""

    COMPLETED = "completed"
    # No byte was written, since it could not be reached.
    UNREACHABLE = "unreachable"
    # Never sent, or the upstream proved that it did not start.
    UNUSED = "unused"
    # The caller left or the request was stopped; says nothing of the upstream.
    STOPPED = "stopped"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class LeaseKey:
    """A lease on an upstream's memory: an entry's process and its own number."""

    seat: str
    incarnation: int
    number: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an upstream said that it held, and as of when on this clock."""

    held_tokens: int
    queued_tokens: int
    running: int
    leaving: bool
    as_of_s: float
    # What it can serve at once; None where it doesn't say.
    ready: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class Demand:
    """What a request asks of an upstream."""

    organisation: str
    weight: float
    prompt_tokens: int
    max_output_tokens: int
    # Hashes of the leading blocks, each over all that goes before it.
    prefix: tuple[int, ...] = ()
    avoid: frozenset[str] = field(default_factory=frozenset)
    avoid_regions: frozenset[str] = field(default_factory=frozenset)

    @property
    def tokens(self) -> int:
        """Return the memory that must be reserved."""
        return self.prompt_tokens + self.max_output_tokens


@dataclass(frozen=True, slots=True)
class Grant:
    """Room on one upstream, to be used soon and released at the end."""

    lease: int
    pool: str
    upstream: str
    keeper: str
    tokens: int
    cached_tokens: int
    use_by_s: float


@dataclass(frozen=True, slots=True)
class UpstreamState:
    """How an upstream stands, as its keeper counts it."""

    name: str
    state: Literal["ready", "leaving", "unloaded", "ejected"]
    in_flight: int
    held_tokens: int
    free_tokens: int
    reported_ms_ago: int | None


@dataclass(frozen=True, slots=True)
class PoolRow:
    """What a keeper tells others about one pool."""

    pool: str
    free_tokens: int
    largest_free_tokens: int
    wait_ms: int
    queued: int
    # How many upstreams may be sent requests.
    usable: int
    decode_tokens_per_s: float
    prefill_tokens_per_s: float

    def pack(self) -> tuple[str, int, int, int, int, int, float, float]:
        """Return the fields in their order, as messages carry them."""
        return (
            self.pool,
            self.free_tokens,
            self.largest_free_tokens,
            self.wait_ms,
            self.queued,
            self.usable,
            self.decode_tokens_per_s,
            self.prefill_tokens_per_s,
        )
