"""Splits a home's records into pages and reassembles them; does no I/O."""

from dataclasses import dataclass, field

from banyanseam.idempotency.const import MAX_PAGE_RECORDS, PAGE_BYTES
from banyanseam.idempotency.handover_messages import KeysPage, RecordBody
from banyanseam.idempotency.messages import AnswerBody
from banyanseam.idempotency.models import Claim, Record, Scope, State


@dataclass(slots=True)
class KeysSnapshot:
    """Final state of a stopped home.

    Times are on the clock of the process that has the snapshot.
    """

    home: str
    # The process that stopped.
    incarnation: int
    mapping_digest: bytes
    covered_since_s: float
    stopped_wall_s: float
    floor_s: float
    # By how much each issuer's clock is behind that of this process.
    issuer_offsets_s: dict[int, float]
    records: list[Record] = field(default_factory=list)

    def split(self) -> list[list[Record]]:
        """Return the records in parts that each fit in a message, at least one part."""
        parts: list[list[Record]] = [[]]
        size_bytes = 0
        for record in self.records:
            size_bytes += record.size_bytes
            if size_bytes > PAGE_BYTES or len(parts[-1]) == MAX_PAGE_RECORDS:
                parts.append([])
                size_bytes = record.size_bytes
            parts[-1].append(record)
        return parts


def make_page(
    snapshot: KeysSnapshot, parts: list[list[Record]], page_number: int, now_s: float
) -> KeysPage:
    """Return one page of a snapshot, with ages as of now."""
    return KeysPage(
        home=snapshot.home,
        incarnation=snapshot.incarnation,
        page=page_number,
        pages=len(parts),
        mapping_digest=snapshot.mapping_digest,
        known_ms=int((now_s - snapshot.covered_since_s) * 1000),
        stopped_wall_s=snapshot.stopped_wall_s,
        floor_s=snapshot.floor_s,
        issuer_clocks_ms={
            incarnation: int((now_s - offset_s) * 1000)
            for incarnation, offset_s in snapshot.issuer_offsets_s.items()
        },
        records=[pack_record(record, now_s) for record in parts[page_number]],
    )


class Assembly:
    """Reassembles a snapshot; pages hold ages, so each is converted on arrival."""

    def __init__(self) -> None:
        """Start without a page."""
        self.pages = 0
        self._records: list[Record] = []

    def add(self, page: KeysPage, now_s: float) -> KeysSnapshot | None:
        """Add the next page; return the snapshot after the last one, else None."""
        self._records += [unpack_record(body, now_s) for body in page.records]
        self.pages += 1
        if self.pages < page.pages:
            return None
        return _read_snapshot(page, self._records, now_s)


def _read_snapshot(last: KeysPage, records: list[Record], now_s: float) -> KeysSnapshot:
    return KeysSnapshot(
        last.home,
        last.incarnation,
        last.mapping_digest,
        now_s - last.known_ms / 1000,
        last.stopped_wall_s,
        last.floor_s,
        {
            issuer: now_s - clock_ms / 1000
            for issuer, clock_ms in last.issuer_clocks_ms.items()
        },
        records,
    )


def pack_record(record: Record, now_s: float) -> RecordBody:
    """Return the message form of a record."""
    claim = record.claim
    has_release_time = record.freed_s > float("-inf")
    return RecordBody(
        organisation=claim.scope.organisation,
        key=claim.scope.key,
        claim_id=claim.claim_id,
        fingerprint=claim.fingerprint,
        seat=claim.seat,
        incarnation=claim.incarnation,
        run_ms=int(claim.run_s * 1000) + 1,
        run_left_ms=int((record.run_until_s - now_s) * 1000) + 1,
        state=record.state.value,
        answer=AnswerBody.pack(record.answer) if record.answer else None,
        freed_age_ms=int((now_s - record.freed_s) * 1000) if has_release_time else None,
        others_asked=record.others_asked,
        stamp_s=record.stamp_s,
        keep_left_ms=int((record.retained_until_s - now_s) * 1000) + 1,
        size_bytes=record.size_bytes,
    )


def unpack_record(body: RecordBody, now_s: float) -> Record:
    """Return the record; the transit time makes its expiry later, never earlier."""
    claim = Claim(
        Scope(body.organisation, body.key),
        body.fingerprint,
        body.claim_id,
        body.seat,
        body.incarnation,
        body.run_ms / 1000,
    )
    freed_s = float("-inf")
    if body.freed_age_ms is not None:
        freed_s = now_s - body.freed_age_ms / 1000
    return Record(
        claim,
        run_until_s=now_s + body.run_left_ms / 1000,
        state=State(body.state),
        answer=body.answer.unpack() if body.answer else None,
        freed_s=freed_s,
        others_asked=body.others_asked,
        stamp_s=body.stamp_s,
        retained_until_s=now_s + body.keep_left_ms / 1000,
        size_bytes=body.size_bytes,
    )
