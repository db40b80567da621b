"""Records of keys in memory; does no I/O and drops no record early.

A granted key is not granted again while its record exists, unless the process that it
was granted to reports that nothing was sent. Unless a stamped key is free, its record
is dropped only when the stamp is below the floor, under which all stamps are refused;
so a clock that is set back cannot make the store accept a dropped key as new.
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
    Record,
    RunOutcome,
    Scope,
    State,
    Verdict,
)


class RecordStore:
    """Stores records of keys for RETENTION_S, within a limit in bytes."""

    def __init__(self, limit_bytes: int = MEMORY_BYTES) -> None:
        """Start without records."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        # Keys stamped before this are refused, so their records may be dropped.
        self.floor_s = float("-inf")
        self._records: dict[Scope, Record] = {}
        self._bytes_by_organisation: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def find(self, scope: Scope) -> Record | None:
        """Return the record of a key, or None."""
        return self._records.get(scope)

    def list_records(self) -> list[Record]:
        """Return all records, the oldest first."""
        return list(self._records.values())

    def load(self, record: Record) -> None:
        """Store a predecessor's record unless the key has one here.

        The memory limit does not apply.
        """
        scope = record.claim.scope
        if scope in self._records:
            return
        size_bytes, record.size_bytes = record.size_bytes, 0
        self._records[scope] = record
        self._add_bytes(record, size_bytes)

    def claim(
        self,
        claim: Claim,
        now_s: float,
        *,
        stamp_s: float | None = None,
        retained_until_s: float = 0.0,
    ) -> Verdict:
        """Grant the run to the first receipt of a key, or return the state of its run.

        A receipt is one arrival of a request with the key.
        Raise KeyReused, KeyTooOld, KeyFreed, MemoryFull, AnswerNotKept or
        OutcomeUnknown. A repeat of the granted claim itself is granted again: its
        sender still runs only once.
        """
        record = self._records.get(claim.scope)
        if record is None:
            return self._admit(claim, now_s, stamp_s, retained_until_s)
        if _may_predate_release(claim, record, now_s):
            self._refuse_released(claim, record)
        if record.state is State.FREE:
            return self._admit_again(claim, record, now_s, retained_until_s)
        self._expire(record, now_s)
        if record.claim.fingerprint != claim.fingerprint:
            raise KeyReused
        if record.claim.claim_id == claim.claim_id:
            return self._repeat_verdict(record)
        if record.state is State.RUNNING:
            record.others_asked = True
        return self._make_verdict(record)

    def preview(
        self, scope: Scope, fingerprint: str | None, now_s: float
    ) -> State | None:
        """Return the state of a key's run, None for a new key; change nothing.

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
        return self._make_verdict(record).state

    def check_stamp(self, stamp_s: float | None, wall_s: float) -> None:
        """Raise KeyTooOld for a new key whose stamp would be refused."""
        floor_s = max(self.floor_s, wall_s - RETENTION_S)
        if stamp_s is not None and stamp_s < floor_s:
            raise KeyTooOld

    def finish(
        self, scope: Scope, claim_id: bytes, outcome: RunOutcome, now_s: float
    ) -> bool:
        """Record the outcome of a run; return whether the record was this claim's."""
        record = self._records.get(scope)
        if record is None or record.claim.claim_id != claim_id:
            return False
        if record.state is State.DONE:
            return True
        if record.state is State.FREE:
            return False
        record.retained_until_s = max(record.retained_until_s, now_s + RETENTION_S)
        if not outcome.is_known:
            record.state = State.UNKNOWN
            return True
        record.state = State.DONE
        if outcome.answer and self._can_store(outcome.answer, scope.organisation):
            record.answer = outcome.answer
            self._add_bytes(record, outcome.answer.size_bytes())
        return True

    def release(self, scope: Scope, claim_id: bytes, now_s: float) -> bool:
        """Free a key whose runner, the process that it was granted to, sent nothing.

        Return True if no other receipt has claimed the key since the grant: only then
        may the runner report that the key did not run. Older receipts, whose claims
        arrive late, are refused from then on as well.
        """
        record = self._records.get(scope)
        if record is None or record.claim.claim_id != claim_id:
            return False
        if record.state in (State.DONE, State.FREE):
            return False
        record.state = State.FREE
        record.retained_until_s = now_s + record.claim.run_s + RUN_GRACE_S
        if record.others_asked:
            return False
        record.freed_s = now_s
        return True

    def mark_runs_unknown(
        self, seat: str, incarnation: int, now_s: float
    ) -> list[Scope]:
        """Mark the runs of an ended process as unknown; return their keys."""
        abandoned = [
            record
            for record in self._records.values()
            if record.state is State.RUNNING
            and record.claim.seat == seat
            and record.claim.incarnation <= incarnation
        ]
        for record in abandoned:
            self._mark_unknown(record, now_s)
        return [record.claim.scope for record in abandoned]

    def raise_floor(self, wall_s: float) -> None:
        """Refuse stamps older than the retention from now on; the floor never falls."""
        self.floor_s = max(self.floor_s, wall_s - RETENTION_S)

    def sweep(self, now_s: float, wall_s: float) -> None:
        """Raise the floor; drop expired records if free, unstamped or below it."""
        self.raise_floor(wall_s)
        for scope, record in list(self._records.items()):
            self._expire(record, now_s)
            if record.state is State.RUNNING or now_s < record.retained_until_s:
                continue
            is_refused = record.stamp_s is None or record.stamp_s < self.floor_s
            if is_refused or record.state is State.FREE:
                self._drop(scope, record)

    def _admit(
        self, claim: Claim, now_s: float, stamp_s: float | None, retained_until_s: float
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
            raise MemoryFull(retry_after_ms=self._time_to_expiry_ms(now_s))
        record = Record(
            claim,
            run_until_s=now_s + claim.run_s + RUN_GRACE_S,
            stamp_s=stamp_s,
            retained_until_s=max(retained_until_s, now_s + RETENTION_S),
        )
        self._records[claim.scope] = record
        self._add_bytes(record, size_bytes)
        return Verdict(State.RUNNING, granted=True)

    def _admit_again(
        self, claim: Claim, freed: Record, now_s: float, retained_until_s: float
    ) -> Verdict:
        self._drop(claim.scope, freed)
        # The stamp is not checked again: whatever its age, the key has not run.
        verdict = self._admit(claim, now_s, None, retained_until_s)
        record = self._records[claim.scope]
        record.stamp_s, record.freed_s = freed.stamp_s, freed.freed_s
        return verdict

    def _refuse_released(self, claim: Claim, record: Record) -> None:
        if record.claim.claim_id == claim.claim_id and record.state is State.RUNNING:
            # The claim came late and was granted; its sender has not started the run.
            record.state = State.FREE
        if record.state in (State.FREE, State.RUNNING):
            raise KeyFreed(retry_after_ms=int(MAX_TRANSIT_S * 1000))

    def _repeat_verdict(self, record: Record) -> Verdict:
        # The sender of a repeat has not started the run: it still waits for this reply.
        if record.state is State.RUNNING:
            return Verdict(State.RUNNING, granted=True)
        return self._make_verdict(record)

    def _make_verdict(self, record: Record) -> Verdict:
        if record.state is State.UNKNOWN:
            raise OutcomeUnknown
        if record.state is State.DONE and record.answer is None:
            raise AnswerNotKept
        return Verdict(record.state, answer=record.answer)

    def _expire(self, record: Record, now_s: float) -> None:
        if record.state is State.RUNNING and now_s >= record.run_until_s:
            self._mark_unknown(record, now_s)

    def _mark_unknown(self, record: Record, now_s: float) -> None:
        record.state = State.UNKNOWN
        record.retained_until_s = max(record.retained_until_s, now_s + RETENTION_S)

    def _can_store(self, answer: Answer, organisation: str) -> bool:
        size_bytes = answer.size_bytes()
        held = self._bytes_by_organisation.get(organisation, 0)
        limit_bytes = self.limit_bytes * ANSWER_SHARE
        return (
            answer.is_storable
            and self.held_bytes + size_bytes <= limit_bytes
            and held + size_bytes <= limit_bytes * ORGANISATION_SHARE
        )

    def _time_to_expiry_ms(self, now_s: float) -> int:
        first_expiry_s = min(
            (record.retained_until_s for record in self._records.values()),
            default=now_s + RETENTION_S,
        )
        return max(1000, int((first_expiry_s - now_s) * 1000))

    def _add_bytes(self, record: Record, size_bytes: int) -> None:
        record.size_bytes += size_bytes
        self._count_bytes(record.claim.scope.organisation, size_bytes)

    def _drop(self, scope: Scope, record: Record) -> None:
        del self._records[scope]
        self._count_bytes(scope.organisation, -record.size_bytes)

    def _count_bytes(self, organisation: str, size_bytes: int) -> None:
        self.held_bytes += size_bytes
        held = self._bytes_by_organisation.get(organisation, 0) + size_bytes
        if held:
            self._bytes_by_organisation[organisation] = held
        else:
            del self._bytes_by_organisation[organisation]


def _may_predate_release(claim: Claim, record: Record, now_s: float) -> bool:
    """Return whether the receipt may have come before the key's last release."""
    return now_s - claim.age_s < record.freed_s + MAX_TRANSIT_S
