"""Messages between entries and keepers of upstream pools."""

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
    """Ask the keeper for room; the reply comes when there is some."""

    kind = "upstreams.reserve"

    pool: Name
    lease: int
    organisation: Name
    weight: float = Field(gt=0)
    prompt_tokens: Tokens
    max_output_tokens: Tokens
    prefix: list[Hash] = Field(max_length=MAX_PREFIX_BLOCKS)
    avoid: list[Name] = Field(max_length=64)
    # How long the entry would wait, since clocks are not compared.
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
    """Room on one upstream, and the pool's summary after it was given."""

    kind = "upstreams.granted"

    upstream: Name
    cached_tokens: Tokens
    waited_ms: Milliseconds
    row: PackedRow


class Release(Message):
    """Give room back, or leave the queue when `upstream` is empty."""

    kind = "upstreams.release"

    pool: Name
    lease: int
    upstream: Name
    outcome: Outcome
    output_tokens: Tokens


class Renew(Message):
    """Say that an entry asks this keeper still, and by a digest what it holds."""

    kind = "upstreams.renew"

    digest: Hash
    # The entry's period of renewals, since its configuration may be another.
    period_ms: Milliseconds


class Announce(Message):
    """Announce all leases that an entry holds on the pools that it names."""

    kind = "upstreams.announce"

    pools: list[Name]
    # Upstream to lease number to tokens.
    leases: dict[Name, dict[int, Tokens]]
    period_ms: Milliseconds


class Handover(Message):
    """Tell the next keeper what is held, and that the sender grants nothing more."""

    kind = "upstreams.handover"

    pool: Name
    # Upstream to leases: seat, incarnation, number, tokens.
    leases: dict[Name, list[tuple[Name, int, int, Tokens]]]


class LookAtPool(Message):
    """Ask the keeper how a pool stands, and what a request would get there."""

    kind = "upstreams.look"

    pool: Name
    organisation: Name = ""
    weight: float = Field(default=1, gt=0)
    prompt_tokens: Tokens = 0
    max_output_tokens: Tokens = 0
    patience_ms: Milliseconds = 0


class UpstreamSeen(Message):
    """One upstream as its keeper sees it."""

    name: Name
    state: Literal["ready", "leaving", "unloaded", "ejected"]
    in_flight: int = Field(ge=0)
    held_tokens: Tokens
    # The largest request that may be granted now.
    free_tokens: Tokens
    # None before the first report, as of a plain service.
    reported_ms_ago: Milliseconds | None


class PoolSeen(Message):
    """How a pool stands; `refused_code` says why the request would be refused."""

    kind = "upstreams.seen"

    queued: int = Field(ge=0)
    wait_ms: Milliseconds
    refused_code: ShortText | None
    refused_detail: ShortText | None
    upstreams: list[UpstreamSeen]


class Rows(Message):
    """The reply to a renewal: the pools that the asked daemon does keep."""

    kind = "upstreams.rows"

    # Whether what the entry holds is known here; if not, it must announce.
    is_known: bool
    rows: list[PackedRow]
