"""What entry daemons tell one another, validated at the border."""

from collections.abc import Iterable
from zlib import crc32

import cbor2
from pydantic import BaseModel, ConfigDict, ValidationError

from banyanseam.entry.members import Member
from banyanseam.entry.models import Upstream, UpstreamState
from banyanseam.entry.placing import Candidate
from banyanseam.entry.spending import SpentRow
from banyanseam.peers.errors import InvalidPeerMessage

GOSSIP_VERSION = 3

MemberRow = tuple[str, str, str, str, int, int, bool, bool, int]
# What changes with each heartbeat: address, incarnation, beat, requests held.
BeatRow = tuple[str, int, int, int]
UpstreamRow = tuple[str, str, str, str, bool, int, int, int | None, int, int]
# Times are whole milliseconds: a float takes nine bytes.
CandidateRow = tuple[str, int, int, int, int, int, int, bool]
LoadRow = tuple[int, int, int, int]


class Gossip(BaseModel):
    """A heartbeat: who lives, what is held and spent, and which versions are known."""

    model_config = ConfigDict(extra="ignore")

    protocol: int = GOSSIP_VERSION
    sender: str
    # In full for who is new or has changed, else short.
    members: list[MemberRow] = []
    beats: list[BeatRow] = []
    config_version: int = 0
    evacuation_revision: int = 0
    # By upstream, of the sender: requests, time to read their prompts, memory held, and
    # time to read the prompts that are held back.
    loads: dict[str, LoadRow] = {}
    # Shared parts that the sender had read: upstream, part, tokens.
    part_uses: list[tuple[str, str, int]] = []
    # Upstreams of the sender's region by service, for another region.
    candidates: dict[str, list[CandidateRow]] = {}
    region_parts: list[str] = []
    # What other regions have just said of theirs, for who did not hear it.
    relayed: dict[str, tuple[dict[str, list[CandidateRow]], list[str]]] = {}
    # Charged so far: totals that have changed lately, in the row of each process.
    spent_names: list[str] = []
    spent: list[SpentRow] = []
    levels: dict[str, float] = {}
    crashes: list[tuple[int, str]] = []
    # The registered upstreams, from who has just read them.
    upstreams: list[UpstreamRow] | None = None
    upstreams_revision: int = -1
    # Of a list that is as it was, from who has just read it, instead of the list.
    upstreams_digest: int | None = None
    wants_upstreams: bool = False
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
    if gossip.protocol != GOSSIP_VERSION:
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


def to_beat_row(member: Member) -> BeatRow:
    """Return what is new of a member that the others know."""
    return member.ip, member.incarnation, member.beat, member.running


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


def make_digest(upstreams: Iterable[Upstream]) -> int:
    """Return a number that differs for lists that differ in a registration."""
    identities = sorted(
        (each.upstream_id, each.started_ms, each.revision, each.state.value)
        for each in upstreams
    )
    return crc32(cbor2.dumps(identities))


def to_candidate_row(candidate: Candidate) -> CandidateRow:
    """Return a candidate as it travels, below its region."""
    return (
        candidate.upstream_id,
        candidate.slots,
        candidate.memory_tokens,
        candidate.requests,
        round(candidate.prefill_ms),
        candidate.held_tokens,
        round(candidate.queued_ms),
        candidate.is_reserve,
    )


def from_candidate_row(row: CandidateRow, region: str) -> Candidate:
    """Return a region's candidate of a row."""
    return Candidate(row[0], region, *row[1:])
