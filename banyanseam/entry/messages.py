"""Messages between entry daemons, validated when they are received."""

import socket
from collections.abc import Iterable
from functools import lru_cache
from itertools import zip_longest
from typing import Annotated
from zlib import crc32

import cbor2
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from banyanseam.entry.crash_suspects import SuspectReport
from banyanseam.entry.members import Member, make_incarnation_tag
from banyanseam.entry.models import Upstream, UpstreamState
from banyanseam.entry.performance.models import (
    INITIAL_PERCENT,
    find_work_percent,
    scale_performance,
)
from banyanseam.entry.performance.observer import SampleRow
from banyanseam.entry.placing import Candidate
from banyanseam.entry.relay_log import Direction
from banyanseam.entry.spending import SpentRow
from banyanseam.entry.upstream_starts import StartFinding
from banyanseam.peers.errors import InvalidPeerMessage

GOSSIP_VERSION = 4

MemberRow = tuple[str, str, str, str, int, int, bool, bool, int]
# An IPv4 address as a number, which is shorter than its text.
PackedIp = Annotated[int, Field(ge=0, lt=2**32)]
# The fields of a short row, sent with each heartbeat: address, tag of the incarnation,
# heartbeat count, running requests.
HeartbeatRow = tuple[PackedIp, int, int, int]
UpstreamRow = tuple[str, str, str, str, bool, int, int, int | None, int, int]
# Times are whole milliseconds, since a float takes nine bytes in CBOR.
CandidateRow = tuple[str, int, int, int, int, int, int, bool]
# Requests, prefill time, reserved memory tokens, prefill time of waiting prompts.
LoadRow = tuple[int, int, int, int]
# Larger numbers may not fit into a float.
Milliseconds = Annotated[int, Field(ge=0, le=2**53)]
# A suspected request by fingerprint: age of the last evidence, number of trials, age of
# the last trial, and the crashes with their ages.
SuspectRow = tuple[
    int, Milliseconds, int, Milliseconds | None, list[tuple[str, Milliseconds]]
]
# What a check of an upstream found: its id, its listed start, the start that it named
# (None if it refused the connection) and the age of that.
StartRow = tuple[str, int, int | None, Milliseconds]
# Durations of a service's upstreams in percent of the initial performance, in the order
# of their candidate rows; services of which all have 100 are left out.
SpeedTable = dict[str, list[Annotated[int, Field(gt=0, le=10_000)]]]
# The versions of the software of a list of upstreams (None: not known), and for each
# upstream the index of its own; no indexes if all have the first.
SoftwareRow = tuple[list[str | None], list[Annotated[int, Field(ge=0)]]]
# Heartbeat count of a process, tags of the services that it has no way to, and of
# further upstreams that it doesn't reach.
UnreachedRow = tuple[int, list[int], list[int]]
# Loads by tag of the upstream's incarnation.
LoadTable = dict[int, LoadRow]


class Gossip(BaseModel):
    """A heartbeat: live processes, loads, charges and versions of published values."""

    model_config = ConfigDict(extra="ignore")

    protocol: int = GOSSIP_VERSION
    sender: str
    direction: Direction = Direction.REGION
    # Full rows of new or changed processes, and short rows of the others.
    members: list[MemberRow] = Field(default_factory=list)
    beats: list[HeartbeatRow] = Field(default_factory=list)
    config_version: int = 0
    evacuation_revision: int = 0
    # The store's era of the revision; None from the release before.
    evacuation_era: int | None = None
    # The sender's own load, and those of processes whose heartbeats it passes on.
    loads: LoadTable = Field(default_factory=dict)
    peer_loads: dict[PackedIp, LoadTable] = Field(default_factory=dict)
    # Shared prefix segments prefilled for the sender: name of the upstream's
    # incarnation, segment, tokens.
    part_uses: list[tuple[str, str, int]] = Field(default_factory=list)
    # For other regions: the upstreams of the sender's region by service, and the prefix
    # segments that they have cached.
    candidates: dict[str, list[CandidateRow]] = Field(default_factory=dict)
    region_parts: list[str] = Field(default_factory=list)
    # Other regions' latest reports, relayed to processes that didn't receive them.
    relayed: dict[str, tuple[dict[str, list[CandidateRow]], list[str]]] = Field(
        default_factory=dict
    )
    # Speeds of `candidates` and, by region, of those in `relayed`.
    speeds: SpeedTable = Field(default_factory=dict)
    relayed_speeds: dict[str, SpeedTable] = Field(default_factory=dict)
    # Software of `candidates` and, by region, of those in `relayed`.
    software: dict[str, SoftwareRow] = Field(default_factory=dict)
    relayed_software: dict[str, dict[str, SoftwareRow]] = Field(default_factory=dict)
    # Samples of the speed of the region's upstreams, from the sender and passed on.
    samples: list[SampleRow] = Field(default_factory=list)
    # Total charges that changed recently, one row for each process.
    spent_names: list[str] = Field(default_factory=list)
    spent: list[SpentRow] = Field(default_factory=list)
    # Levels of the sender's quota buckets, for processes that have just started.
    levels: dict[str, float] = Field(default_factory=dict)
    # Requests that were running when upstreams crashed, and suspected ones by
    # fingerprint that were answered in full, with the age of the answer.
    suspects: list[SuspectRow] = Field(default_factory=list)
    sound_requests: list[tuple[int, Milliseconds]] = Field(default_factory=list)
    # Crashes of prompt segments by hash, and suspected ones that are proved sound.
    segment_crashes: list[tuple[int, str]] = Field(default_factory=list)
    sound_segments: list[int] = Field(default_factory=list)
    # Incarnations of upstreams, by id and start in ms, whose address another one has.
    replaced: list[tuple[str, int]] = Field(default_factory=list)
    # What checks of upstreams have found recently.
    starts: list[StartRow] = Field(default_factory=list)
    # What processes don't reach, of the sender and of those whose rows it passes on.
    unreached: dict[PackedIp, UnreachedRow] = Field(default_factory=dict)
    # Services whose upstreams are brittle: refusals a second, age of that word.
    brittle: dict[str, tuple[Annotated[int, Field(ge=0)], Milliseconds]] = Field(
        default_factory=dict
    )
    # The registered upstreams, sent by the process that has just read them.
    upstreams: list[UpstreamRow] | None = None
    # Their software; None from the release before.
    upstreams_software: SoftwareRow | None = None
    upstreams_revision: int = -1
    # The store's era of the revision; None from the release before.
    upstreams_era: int | None = None
    # Sent instead of the list if the sender has just read it and found it unchanged.
    upstreams_digest: int | None = None
    wants_upstreams: bool = False
    # Asks the receiver to reply with its full state at once.
    is_hello: bool = False


def encode_gossip(gossip: Gossip) -> bytes:
    """Return the datagram of a heartbeat."""
    return cbor2.dumps(gossip.model_dump(exclude_defaults=True))


def decode_gossip(data: bytes) -> Gossip:
    """Return the heartbeat of a datagram; raise InvalidPeerMessage."""
    try:
        gossip = Gossip.model_validate(cbor2.loads(data))
    except (cbor2.CBORDecodeError, ValidationError, TypeError) as error:
        raise InvalidPeerMessage("the datagram is not a heartbeat") from error
    if gossip.protocol != GOSSIP_VERSION:
        raise InvalidPeerMessage("the heartbeat has another protocol version")
    return gossip


class ValuesMessage(BaseModel):
    """Published values, sent to a peer with older ones."""

    config: bytes
    evacuated: list[str]
    evacuation_revision: int
    evacuation_era: int | None = None
    # The revision of each evacuation; missing from the release before.
    evacuated_at: dict[str, int] = Field(default_factory=dict)


@lru_cache(maxsize=4096)
def pack_ip(ip: str) -> int:
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(ip))


@lru_cache(maxsize=4096)
def unpack_ip(packed: int) -> str:
    """Return the IPv4 address of a number below 2**32."""
    return socket.inet_ntoa(packed.to_bytes(4))


@lru_cache(maxsize=4096)
def make_upstream_tag(upstream_id: str) -> int:
    """Return a number for an upstream that is shorter than its id."""
    return crc32(upstream_id.encode())


def make_load_tag(upstream: Upstream) -> int:
    """Return a number for an incarnation: loads of an earlier one have ended."""
    return _make_load_tag(upstream.upstream_id, upstream.started_ms)


@lru_cache(maxsize=4096)
def _make_load_tag(upstream_id: str, started_ms: int) -> int:
    return crc32(f"{upstream_id}@{started_ms}".encode())


def to_member_row(member: Member) -> MemberRow:
    """Return the full row of a member, in the order of its fields."""
    return (
        member.ip,
        member.region,
        member.data_centre,
        member.callers_address,
        member.incarnation,
        member.heartbeat_count,
        member.is_serving,
        member.is_accepting,
        member.running,
    )


def to_heartbeat_row(member: Member) -> HeartbeatRow:
    """Return the short row of a member, for peers that have its full row."""
    return (
        pack_ip(member.ip),
        make_incarnation_tag(member.incarnation),
        member.heartbeat_count,
        member.running,
    )


def to_upstream_row(upstream: Upstream) -> UpstreamRow:
    """Return the row of an upstream, in the order of its fields."""
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


def from_upstream_rows(
    rows: list[UpstreamRow], software: SoftwareRow | None
) -> list[Upstream]:
    """Return the upstreams of rows."""
    return [
        Upstream(
            *row[:4],
            UpstreamState.READY if row[4] else UpstreamState.LEAVING,
            *row[5:],
            version,
        )
        for row, version in zip(
            rows, from_software_row(software, len(rows)), strict=True
        )
    ]


def to_software_row(versions: Iterable[str | None]) -> SoftwareRow:
    """Return the row of the software of upstreams, given in their order."""
    names: dict[str | None, int] = {}
    indexes = [names.setdefault(version, len(names)) for version in versions]
    return list(names), indexes if len(names) > 1 else []


def from_software_row(row: SoftwareRow | None, count: int) -> list[str | None]:
    """Return the software of so many upstreams; None where it is missing."""
    names, indexes = row or ([], [])
    if not indexes and len(names) == 1:
        return names * count
    found = [names[index] if index < len(names) else None for index in indexes[:count]]
    return found + [None] * (count - len(found))


def to_software_rows(
    candidates: dict[str, list[Candidate]],
) -> dict[str, SoftwareRow]:
    """Return the software of a region's candidates by service."""
    return {
        service: to_software_row(each.software for each in found)
        for service, found in candidates.items()
    }


def make_digest(upstreams: Iterable[Upstream]) -> int:
    """Return a checksum of a list of upstreams, to detect any changed registration."""
    registrations = sorted(
        (each.upstream_id, each.started_ms, each.revision, each.state.value)
        for each in upstreams
    )
    return crc32(cbor2.dumps(registrations))


def to_suspect_row(report: SuspectReport) -> SuspectRow:
    """Return the row of a suspected request."""
    tried_age_s = report.tried_age_s
    return (
        report.suspect,
        round(report.seen_age_s * 1000),
        report.trials,
        None if tried_age_s is None else round(tried_age_s * 1000),
        [(crash, round(age_s * 1000)) for crash, age_s in report.crash_ages_s],
    )


def from_suspect_row(row: SuspectRow) -> SuspectReport:
    """Return the suspected request of a row."""
    suspect, seen_age_ms, trials, tried_age_ms, crash_ages_ms = row
    return SuspectReport(
        suspect,
        seen_age_ms / 1000,
        trials,
        None if tried_age_ms is None else tried_age_ms / 1000,
        tuple((crash, age_ms / 1000) for crash, age_ms in crash_ages_ms),
    )


def to_start_row(finding: StartFinding, now_s: float) -> StartRow:
    """Return the row of a finding about an upstream's start."""
    return (*finding.key, finding.found_ms, round((now_s - finding.at_s) * 1000))


def from_start_row(row: StartRow, now_s: float) -> StartFinding:
    """Return the finding of a row that was just received."""
    upstream_id, listed_start_ms, found_ms, age_ms = row
    return StartFinding((upstream_id, listed_start_ms), found_ms, now_s - age_ms / 1000)


def to_candidate_row(candidate: Candidate) -> CandidateRow:
    """Return the row of a candidate: its fields in order, without the region."""
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


def to_candidate_rows(
    candidates: dict[str, list[Candidate]],
) -> dict[str, list[CandidateRow]]:
    """Return the rows of a region's candidates by service."""
    return {
        service: [to_candidate_row(each) for each in found]
        for service, found in candidates.items()
    }


def to_speed_table(candidates: dict[str, list[Candidate]]) -> SpeedTable:
    """Return the speeds of a region's candidates by service."""
    table = {}
    for service, found in candidates.items():
        percents = [find_work_percent(each.performance) for each in found]
        if any(percent != INITIAL_PERCENT for percent in percents):
            table[service] = percents
    return table


def from_candidate_row(
    row: CandidateRow,
    region: str,
    work_percent: int = INITIAL_PERCENT,
    software: str | None = None,
) -> Candidate:
    """Return the candidate of a row that a region reported."""
    return Candidate(
        row[0],
        region,
        *row[1:],
        performance=scale_performance(work_percent),
        software=software,
    )


def from_candidate_rows(
    rows: dict[str, list[CandidateRow]],
    region: str,
    speeds: SpeedTable,
    software: dict[str, SoftwareRow],
) -> dict[str, list[Candidate]]:
    """Return the candidates that a region reported.

    An older VM reports neither speeds nor software.
    """
    return {
        service: [
            from_candidate_row(row, region, percent, version)
            for row, percent, version in zip_longest(
                found,
                speeds.get(service, [])[: len(found)],
                from_software_row(software.get(service), len(found)),
                fillvalue=INITIAL_PERCENT,
            )
        ]
        for service, found in rows.items()
    }
