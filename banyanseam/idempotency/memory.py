"""What a process remembers of keys; pure, and it never forgets early.

A key once granted is never granted again while it is remembered, unless its runner
proves that nothing was sent. A stamped key is forgotten only when the floor below
which stamps are refused has passed it; so a clock that is set back cannot make the
memory take a forgotten key for a new one.
"""

from banyanseam.idempotency.const import (
    ANSWER_SHARE,
    MAX_TRANSIT_S,
    MEMORY_BYTES,
    ORGANISATION_SHARE,
    RECORD_BYTES,
    RETENTION_S,
    RUN_GRACE_S,
)
from banyanseam.idempotency.errors import (
    AnswerNotKept,
    KeyFreed,
    KeyReused,
    KeyTooOld,
    MemoryFull,
    OutcomeUnknown,
)
from banyanseam.idempotency.models import (
    Answer,
    Claim,
    End,
    Record,
    Scope,
    State,
    Verdict,
)


class Memory:
    """Records of keys, bounded in bytes and kept for RETENTION_S."""

    def __init__(self, limit_bytes: int = MEMORY_BYTES) -> None:
        """Begin with no knowledge."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        # Keys stamped before this are refused, so their records may go.
        self.floor_s = float("-inf")
        self._records: dict[Scope, Record] = {}
        self._bytes_by_organisation: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of remembered keys."""
        return len(self._records)

    def find(self, scope: Scope) -> Record | None:
        """Return the record of a key, if it is remembered."""
        return self._records.get(scope)

    def list_records(self) -> list[Record]:
        """Return all records, the oldest first."""
        return list(self._records.values())

    def load(self, record: Record) -> None:
        """Keep a predecessor's record, whatever room is left; own ones go first."""
        scope = record.claim.scope
        if scope in self._records:
            return
        size_bytes, record.size_bytes = record.size_bytes, 0
        self._records[scope] = record
        self._grow(record, size_bytes)

    def claim(
        self,
        claim: Claim,
        now_s: float,
        *,
        stamp_s: float | None = None,
        keep_until_s: float = 0.0,
    ) -> Verdict:
        """Grant the run to the first receipt of a key, or say what became of it.

        Raise KeyReused, KeyTooOld, KeyFreed, MemoryFull, AnswerNotKept or
        OutcomeUnknown. A repeat of the granted claim itself is granted again: its
        sender runs once.
        """
        record = self._records.get(claim.scope)
        if record is None:
            return self._admit(claim, now_s, stamp_s, keep_until_s)
        if _is_from_before_freeing(claim, record, now_s):
            self._refuse_freed(claim, record)
        if record.state is State.FREE:
            return self._admit_again(claim, record, now_s, keep_until_s)
        self._expire(record, now_s)
        if record.claim.fingerprint != claim.fingerprint:
            raise KeyReused
        if record.claim.claim_id == claim.claim_id:
            return self._repeat(record)
        if record.state is State.RUNNING:
            record.others_asked = True
        return self._tell(record)

    def look(self, scope: Scope, fingerprint: str | None, now_s: float) -> State | None:
        """Return how far a key's run has come, None for a new key; change nothing.

        Raise KeyFreed, KeyReused, AnswerNotKept or OutcomeUnknown as a claim would.
        """
        record = self._records.get(scope)
        if record is None:
            return None
        is_open = record.state in (State.FREE, State.RUNNING)
        if is_open and now_s < record.freed_s + MAX_TRANSIT_S:
            raise KeyFreed(retry_after_ms=int(MAX_TRANSIT_S * 1000))
        if record.state is State.FREE:
            return State.FREE
        if fingerprint not in (None, record.claim.fingerprint):
            raise KeyReused
        if record.state is State.RUNNING and now_s >= record.run_until_s:
            raise OutcomeUnknown
        return self._tell(record).state

    def check_stamp(self, stamp_s: float | None, wall_s: float) -> None:
        """Raise KeyTooOld for a new key whose stamp would be refused."""
        floor_s = max(self.floor_s, wall_s - RETENTION_S)
        if stamp_s is not None and stamp_s < floor_s:
            raise KeyTooOld

    def finish(self, scope: Scope, claim_id: bytes, end: End, now_s: float) -> bool:
        """Note how the run ended; say whether the record was this claim's."""
        record = self._records.get(scope)
        if record is None or record.claim.claim_id != claim_id:
            return False
        if record.state is State.DONE:
            return True
        if record.state is State.FREE:
            return False
        record.keep_until_s = max(record.keep_until_s, now_s + RETENTION_S)
        if not end.is_known:
            record.state = State.UNKNOWN
            return True
        record.state = State.DONE
        if end.answer and self._has_room_for(end.answer, scope.organisation):
            record.answer = end.answer
            self._grow(record, end.answer.size_bytes())
        return True

    def release(self, scope: Scope, claim_id: bytes, now_s: float) -> bool:
        """Free a key whose runner proved that nothing was sent.

        Return True when no other receipt asked for the key meanwhile: only then may
        the runner say that the key did not run. Receipts from before that, whose
        claims come late, are then refused alike.
        """
        record = self._records.get(scope)
        if record is None or record.claim.claim_id != claim_id:
            return False
        if record.state in (State.DONE, State.FREE):
            return False
        record.state = State.FREE
        record.keep_until_s = now_s + record.claim.run_s + RUN_GRACE_S
        if record.others_asked:
            return False
        record.freed_s = now_s
        return True

    def abandon(self, seat: str, incarnation: int, now_s: float) -> list[Scope]:
        """Give up on the runs of a process that is gone; return their keys."""
        gone = [
            record
            for record in self._records.values()
            if record.state is State.RUNNING
            and record.claim.seat == seat
            and record.claim.incarnation <= incarnation
        ]
        for record in gone:
            self._give_up(record, now_s)
        return [record.claim.scope for record in gone]

    def raise_floor(self, wall_s: float) -> None:
        """Refuse stamps older than the retention from now on; it never falls."""
        self.floor_s = max(self.floor_s, wall_s - RETENTION_S)

    def sweep(self, now_s: float, wall_s: float) -> None:
        """Raise the floor of stamps and forget what lies below it."""
        self.raise_floor(wall_s)
        for scope, record in list(self._records.items()):
            self._expire(record, now_s)
            if record.state is State.RUNNING or now_s < record.keep_until_s:
                continue
            is_refused = record.stamp_s is None or record.stamp_s < self.floor_s
            if is_refused or record.state is State.FREE:
                self._forget(scope, record)

    def _admit(
        self, claim: Claim, now_s: float, stamp_s: float | None, keep_until_s: float
    ) -> Verdict:
        if stamp_s is not None and stamp_s < self.floor_s:
            raise KeyTooOld
        organisation = claim.scope.organisation
        size_bytes = RECORD_BYTES + 2 * len(claim.scope.key)
        held = self._bytes_by_organisation.get(organisation, 0)
        if (
            self.held_bytes + size_bytes > self.limit_bytes
            or held + size_bytes > self.limit_bytes * ORGANISATION_SHARE
        ):
            raise MemoryFull(retry_after_ms=self._time_to_room_ms(now_s))
        record = Record(
            claim,
            run_until_s=now_s + claim.run_s + RUN_GRACE_S,
            stamp_s=stamp_s,
            keep_until_s=max(keep_until_s, now_s + RETENTION_S),
        )
        self._records[claim.scope] = record
        self._grow(record, size_bytes)
        return Verdict(State.RUNNING, granted=True)

    def _admit_again(
        self, claim: Claim, freed: Record, now_s: float, keep_until_s: float
    ) -> Verdict:
        self._forget(claim.scope, freed)
        # That the key never ran is known, however old its stamp is by now.
        verdict = self._admit(claim, now_s, None, keep_until_s)
        record = self._records[claim.scope]
        record.stamp_s, record.freed_s = freed.stamp_s, freed.freed_s
        return verdict

    def _refuse_freed(self, claim: Claim, record: Record) -> None:
        if record.claim.claim_id == claim.claim_id and record.state is State.RUNNING:
            # It was granted when it came late, and its sender has not run yet.
            record.state = State.FREE
        if record.state in (State.FREE, State.RUNNING):
            raise KeyFreed(retry_after_ms=int(MAX_TRANSIT_S * 1000))

    def _repeat(self, record: Record) -> Verdict:
        # The sender of a repeat has not run yet: it still waits for this answer.
        if record.state is State.RUNNING:
            return Verdict(State.RUNNING, granted=True)
        return self._tell(record)

    def _tell(self, record: Record) -> Verdict:
        if record.state is State.UNKNOWN:
            raise OutcomeUnknown
        if record.state is State.DONE and record.answer is None:
            raise AnswerNotKept
        return Verdict(record.state, answer=record.answer)

    def _expire(self, record: Record, now_s: float) -> None:
        if record.state is State.RUNNING and now_s >= record.run_until_s:
            self._give_up(record, now_s)

    def _give_up(self, record: Record, now_s: float) -> None:
        record.state = State.UNKNOWN
        record.keep_until_s = max(record.keep_until_s, now_s + RETENTION_S)

    def _has_room_for(self, answer: Answer, organisation: str) -> bool:
        size_bytes = answer.size_bytes()
        held = self._bytes_by_organisation.get(organisation, 0)
        limit_bytes = self.limit_bytes * ANSWER_SHARE
        return (
            answer.is_short
            and self.held_bytes + size_bytes <= limit_bytes
            and held + size_bytes <= limit_bytes * ORGANISATION_SHARE
        )

    def _time_to_room_ms(self, now_s: float) -> int:
        first = min(
            (record.keep_until_s for record in self._records.values()),
            default=now_s + RETENTION_S,
        )
        return max(1000, int((first - now_s) * 1000))

    def _grow(self, record: Record, size_bytes: int) -> None:
        record.size_bytes += size_bytes
        self._count(record.claim.scope.organisation, size_bytes)

    def _forget(self, scope: Scope, record: Record) -> None:
        del self._records[scope]
        self._count(scope.organisation, -record.size_bytes)

    def _count(self, organisation: str, size_bytes: int) -> None:
        self.held_bytes += size_bytes
        held = self._bytes_by_organisation.get(organisation, 0) + size_bytes
        if held:
            self._bytes_by_organisation[organisation] = held
        else:
            del self._bytes_by_organisation[organisation]


def _is_from_before_freeing(claim: Claim, record: Record, now_s: float) -> bool:
    """Say whether the receipt may be older than the last freeing of the key."""
    return now_s - claim.age_s < record.freed_s + MAX_TRANSIT_S
