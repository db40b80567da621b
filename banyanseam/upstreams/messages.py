"""Messages between entry daemons and keepers of upstream pools."""

from typing import Annotated, Literal

from pydantic import Field, NonNegativeFloat, NonNegativeInt

from banyanseam.peers.messages import Message
from banyanseam.upstreams.const import MAX_PREFIX_BLOCKS
from banyanseam.upstreams.models import Outcome

Name = Annotated[str, Field(max_length=1024)]
ShortText = Annotated[str, Field(max_length=255)]
Tokens = Annotated[int, Field(ge=0, le=10**9)]
Milliseconds = Annotated[int, Field(ge=0, le=10**9)]
Hash = Annotated[int, Field(ge=0, lt=2**64)]


class Reserve(Message):
    """Ask the keeper for a lease; the reply is sent once capacity is free."""

    kind = "upstreams.reserve"

    pool: Name
    lease: int
    organisation: Name
    weight: float = Field(gt=0)
    prompt_tokens: Tokens
    max_output_tokens: Tokens
    prefix: list[Hash] = Field(max_length=MAX_PREFIX_BLOCKS)
    avoid: list[Name] = Field(max_length=64)
    # How long the entry waits: a duration, since the clocks may differ.
    patience_ms: Milliseconds


# A pool's summary, packed in the order of the fields of PoolRow.
PackedRow = tuple[
    Name,
    Tokens,
    Tokens,
    Milliseconds,
    NonNegativeInt,
    NonNegativeInt,
    NonNegativeFloat,
    NonNegativeFloat,
]


class Granted(Message):
    """A lease on one upstream, and the pool's summary after the grant."""

    kind = "upstreams.granted"

    upstream: Name
    cached_tokens: Tokens
    waited_ms: Milliseconds
    row: PackedRow


class Release(Message):
    """Release a lease, or leave the queue if `upstream` is empty."""

    kind = "upstreams.release"

    pool: Name
    lease: int
    upstream: Name
    outcome: Outcome
    output_tokens: Tokens


class Renew(Message):
    """Confirm that an entry still uses this keeper, with a digest of its leases."""

    kind = "upstreams.renew"

    digest: Hash
    # The entry's renewal period, as its configuration may differ from the keeper's.
    period_ms: Milliseconds


class Announce(Message):
    """Announce all leases that an entry holds on the pools that it names."""

    kind = "upstreams.announce"

    pools: list[Name]
    # For each upstream, the reserved tokens by lease number.
    leases: dict[Name, dict[int, Tokens]]
    period_ms: Milliseconds


class Handover(Message):
    """Send a pool's leases to its next keeper; the sender has stopped granting any."""

    kind = "upstreams.handover"

    pool: Name
    # Leases by upstream, each as (seat, incarnation, number, tokens).
    leases: dict[Name, list[tuple[Name, int, int, Tokens]]]


class DescribePool(Message):
    """Ask the keeper for a pool's status, and how a request would fare there."""

    kind = "upstreams.look"

    pool: Name
    organisation: Name = ""
    weight: float = Field(default=1, gt=0)
    prompt_tokens: Tokens = 0
    max_output_tokens: Tokens = 0
    patience_ms: Milliseconds = 0


class UpstreamDescription(Message):
    """The state of one upstream at its keeper."""

    name: Name
    state: Literal["ready", "leaving", "unloaded", "ejected"]
    in_flight: int = Field(ge=0)
    held_tokens: Tokens
    # The largest request that can be granted now.
    free_tokens: Tokens
    # None before the first report, and always for a plain service.
    reported_ms_ago: Milliseconds | None


class PoolDescription(Message):
    """A pool's status; `refused_code` is set if the request would be refused."""

    kind = "upstreams.seen"

    queued: int = Field(ge=0)
    wait_ms: Milliseconds
    refused_code: ShortText | None
    refused_detail: ShortText | None
    upstreams: list[UpstreamDescription]


class RenewalReply(Message):
    """Reply to Renew and Announce, with summaries of the replying keeper's pools."""

    kind = "upstreams.rows"

    # Whether the keeper holds the same leases; if not, the entry must announce.
    is_known: bool
    rows: list[PackedRow]
