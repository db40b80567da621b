"""Data classes shared by the modules that choose and account for upstreams."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Literal


class Outcome(StrEnum):
    """How a request on an upstream ended, as the upstream's health records it."""

    COMPLETED = "completed"
    # The upstream could not be reached; no byte of the request was written.
    UNREACHABLE = "unreachable"
    # Never sent, or the upstream proved that it did not start the request.
    UNUSED = "unused"
    # The caller disconnected or the request was cancelled, which says nothing about the
    # health of the upstream.
    STOPPED = "stopped"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class LeaseKey:
    """Identify a lease on an upstream's memory by its entry's process and a number."""

    seat: str
    incarnation: int
    number: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that an upstream reported, with its sampling time on the local clock."""

    held_tokens: int
    queued_tokens: int
    running: int
    leaving: bool
    as_of_s: float
    # The loaded models and adapters; None if the upstream does not report them.
    ready: frozenset[str] | None = None
    # Changes with each start of the upstream's process; None if it is not reported.
    incarnation: str | None = None


@dataclass(frozen=True, slots=True)
class Demand:
    """The size of a request, its organisation and the upstreams that it excludes."""

    organisation: str
    weight: float
    prompt_tokens: int
    max_output_tokens: int
    # One hash per leading block, each over the prompt up to that block's end.
    prefix: tuple[int, ...] = ()
    avoid: frozenset[str] = field(default_factory=frozenset)
    avoid_regions: frozenset[str] = field(default_factory=frozenset)

    @property
    def tokens(self) -> int:
        """Return the memory that must be reserved."""
        return self.prompt_tokens + self.max_output_tokens


@dataclass(frozen=True, slots=True)
class Grant:
    """A lease granted on one upstream; it must be used by `use_by_s`, then released."""

    lease: int
    pool: str
    upstream: str
    keeper: str
    tokens: int
    cached_tokens: int
    use_by_s: float


@dataclass(frozen=True, slots=True)
class UpstreamState:
    """The state of one upstream according to its keeper."""

    name: str
    state: Literal["ready", "leaving", "unloaded", "ejected"]
    in_flight: int
    held_tokens: int
    free_tokens: int
    reported_ms_ago: int | None


@dataclass(frozen=True, slots=True)
class PoolRow:
    """The summary of one pool that its keeper sends to other daemons."""

    pool: str
    free_tokens: int
    largest_free_tokens: int
    wait_ms: int
    queued: int
    # The number of upstreams that may be sent requests.
    usable: int
    decode_tokens_per_s: float
    prefill_tokens_per_s: float

    def pack(self) -> tuple[str, int, int, int, int, int, float, float]:
        """Return the fields as the tuple that messages carry; the order is fixed."""
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
