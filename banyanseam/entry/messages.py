"""What entry daemons tell one another, validated at the border."""

import cbor2
from pydantic import BaseModel, ConfigDict, ValidationError

from banyanseam.entry.members import Member
from banyanseam.entry.models import Upstream, UpstreamState
from banyanseam.entry.placing import Candidate
from banyanseam.entry.spending import SpentRow
from banyanseam.peers.errors import InvalidPeerMessage

GOSSIP_VERSION = 2

MemberRow = tuple[str, str, str, str, int, int, bool, bool, int]
UpstreamRow = tuple[str, str, str, str, bool, int, int, int | None, int, int]
CandidateRow = tuple[str, str, int, int, int, float, int, float, bool]


class Gossip(BaseModel):
    """A heartbeat: who lives, what is held and spent, and which versions are known."""

    model_config = ConfigDict(extra="ignore")

    protocol: int = GOSSIP_VERSION
    members: list[MemberRow]
    config_version: int = 0
    evacuation_revision: int = 0
    # By upstream, of the sender: requests, time to read their prompts, memory held, and
    # time to read the prompts that are held back.
    loads: dict[str, tuple[int, float, int, float]] = {}
    # Shared parts that the sender had read: upstream, part, tokens.
    part_uses: list[tuple[str, str, int]] = []
    # Upstreams of the sender's region by service, for another region.
    candidates: dict[str, list[CandidateRow]] = {}
    region_parts: list[str] = []
    # What other regions have just said of theirs, for who did not hear it.
    relayed: dict[str, tuple[dict[str, list[CandidateRow]], list[str]]] = {}
    # Charged so far: a total for each of the names in the row of each process.
    spent_names: list[str] = []
    spent: list[SpentRow] = []
    levels: dict[str, float] = {}
    crashes: list[tuple[int, str]] = []
    # The registered upstreams, from who has just read them.
    upstreams: list[UpstreamRow] | None = None
    upstreams_revision: int = -1
    # Asks for an answer at once.
    is_hello: bool = False


def encode_gossip(gossip: Gossip) -> bytes:
    """Return the datagram of a heartbeat."""
    return cbor2.dumps(gossip.model_dump(exclude_defaults=True))


def decode_gossip(data: bytes) -> Gossip:
    """Return the heartbeat of a datagram; raise InvalidPeerMessage."""
    try:
        gossip = Gossip.model_validate(cbor2.loads(data))
    except (cbor2.CBORDecodeError, ValidationError, TypeError) as error:
        raise InvalidPeerMessage("a datagram that is no heartbeat") from error
    if gossip.protocol != GOSSIP_VERSION or not gossip.members:
        raise InvalidPeerMessage("a heartbeat of another protocol")
    return gossip


class ValuesMessage(BaseModel):
    """The published values that a peer holds, for one that is behind."""

    config: bytes
    evacuated: list[str]
    evacuation_revision: int


def to_member_row(member: Member) -> MemberRow:
    """Return a member as it travels."""
    return (
        member.ip,
        member.region,
        member.data_centre,
        member.callers_address,
        member.incarnation,
        member.beat,
        member.is_serving,
        member.is_accepting,
        member.running,
    )


def to_upstream_row(upstream: Upstream) -> UpstreamRow:
    """Return an upstream as it travels."""
    return (
        upstream.upstream_id,
        upstream.service,
        upstream.address,
        upstream.data_centre,
        upstream.state is UpstreamState.READY,
        upstream.slots,
        upstream.cold_ms,
        upstream.remaining_ms,
        upstream.started_ms,
        upstream.revision,
    )


def from_upstream_row(row: UpstreamRow) -> Upstream:
    """Return the upstream of a row."""
    state = UpstreamState.READY if row[4] else UpstreamState.LEAVING
    return Upstream(*row[:4], state, *row[5:])


def to_candidate_row(candidate: Candidate) -> CandidateRow:
    """Return a candidate as it travels."""
    return (
        candidate.upstream_id,
        candidate.region,
        candidate.slots,
        candidate.memory_tokens,
        candidate.requests,
        round(candidate.prefill_ms),
        candidate.held_tokens,
        round(candidate.queued_ms),
        candidate.is_reserve,
    )
