"""The home of keys: grants the run of each key once and records its outcome.

A process has one home for its own seat and one for each seat that it acts for.
"""

import time
from collections.abc import Callable

import anyio

from banyanseam.idempotency.const import MAX_ISSUERS, POLL_S, RETENTION_S
from banyanseam.idempotency.errors import (
    IssuerGone,
    NotHome,
    OutcomeUnknown,
    TicketExpired,
)
from banyanseam.idempotency.mapping import Mapping, find_home
from banyanseam.idempotency.messages import KeyPreview
from banyanseam.idempotency.models import Claim, RunOutcome, Scope, State, Verdict
from banyanseam.idempotency.record_coverage import RecordCoverage
from banyanseam.idempotency.record_store import RecordStore
from banyanseam.idempotency.standbys import digest
from banyanseam.idempotency.tickets import Ticket
from banyanseam.idempotency.transfer import KeysSnapshot


class Home:
    """Decides on claims for the keys of one seat, by the records in its store."""

    def __init__(
        self,
        seat: str,
        record_store: RecordStore | None = None,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Start without records; `adopt` puts the first mapping in force."""
        self.seat = seat
        self.record_store = record_store or RecordStore()
        # For each issuer whose tickets the records cover: how far its clock is behind
        # that of this process.
        self.issuer_offsets_s: dict[int, float] = {}
        self.is_closed = False
        self._coverage = RecordCoverage(seat)
        self._wall_clock = wall_clock
        self._changed: dict[Scope, anyio.Event] = {}

    @property
    def mapping(self) -> Mapping:
        """Return the mapping in force; raise NotHome before the first one."""
        return self._coverage.mapping

    def adopt(self, mapping: Mapping) -> None:
        """Put a mapping in force."""
        self._coverage.adopt(mapping, anyio.current_time(), self._wall_clock())

    def reset_after_suspension(self) -> None:
        """Accept no key made before now as new; called after a suspension."""
        self._coverage.reset_after_suspension(anyio.current_time(), self._wall_clock())

    def defer(self, term_s: float) -> None:
        """Accept no key made within a term from now as new, until `confirm`."""
        self._coverage.defer(term_s, anyio.current_time(), self._wall_clock())

    def confirm(self) -> None:
        """End the deferral: no other process acts for this home."""
        self._coverage.confirm()

    def restore(self, snapshot: KeysSnapshot) -> None:
        """Load the records of a predecessor or its standby."""
        now_s = anyio.current_time()
        for record in snapshot.records:
            self.record_store.load(record)
        self.record_store.floor_s = max(self.record_store.floor_s, snapshot.floor_s)
        self.issuer_offsets_s |= snapshot.issuer_offsets_s
        covered_s = now_s - snapshot.covered_since_s
        if covered_s >= 0 and digest(self.mapping) == snapshot.mapping_digest:
            self._coverage.extend(covered_s, now_s, self._wall_clock())

    def close(
        self, incarnation: int, stopped_wall_s: float | None = None
    ) -> KeysSnapshot:
        """Stop accepting calls, and return a snapshot of all records.

        `incarnation` is the process of this seat that stopped and `stopped_wall_s` the
        time of its stop, now by default.
        """
        self.is_closed = True
        for scope in list(self._changed):
            self._notify_waiters(scope)
        now_s, wall_s = anyio.current_time(), self._wall_clock()
        return KeysSnapshot(
            self.seat,
            incarnation,
            digest(self.mapping),
            now_s - self._coverage.covered_s(now_s),
            wall_s if stopped_wall_s is None else stopped_wall_s,
            self.record_store.floor_s,
            # Only the newest ones, so that their number does not grow with each stop.
            dict(sorted(self.issuer_offsets_s.items())[-MAX_ISSUERS:]),
            self.record_store.list_records(),
        )

    def find_home(self, scope: Scope, route: str) -> str:
        """Return the home seat of a key under the mapping in force."""
        return find_home(self._coverage.mapping, scope, route)

    def sweep(self) -> None:
        """Drop records whose retention has passed."""
        self.record_store.sweep(anyio.current_time(), self._wall_clock())
        for scope in list(self._changed):
            if self.record_store.find(scope) is None:
                self._notify_waiters(scope)

    def abandon_runs(self, seat: str, incarnation: int) -> None:
        """Mark the runs of an ended process as unknown; wake the waiting claims."""
        for scope in self.record_store.mark_runs_unknown(
            seat, incarnation, anyio.current_time()
        ):
            self._notify_waiters(scope)

    async def claim(self, claim: Claim, route: str) -> Verdict:
        """Grant a key or return its state; wait up to POLL_S for a running one."""
        return await self._wait_for_verdict(
            claim, lambda: self._claim_once(claim, route)
        )

    async def claim_ticket(self, claim: Claim, ticket: Ticket) -> Verdict:
        """Grant a ticket or return its state, as `claim` does for other keys.

        Raise IssuerGone unless this home has the records of the issuing process.
        """
        if ticket.incarnation not in self.issuer_offsets_s:
            raise IssuerGone
        return await self._wait_for_verdict(
            claim, lambda: self._claim_ticket_once(claim, ticket)
        )

    def finish(self, scope: Scope, claim_id: bytes, outcome: RunOutcome) -> bool:
        """Record the outcome of a run; return whether the claim still has a record.

        Raise NotHome once closed, as `claim` and `release` do.
        """
        self._check_open()
        is_recorded = self.record_store.finish(
            scope, claim_id, outcome, anyio.current_time()
        )
        self._notify_waiters(scope)
        return is_recorded

    def release(self, scope: Scope, claim_id: bytes) -> bool:
        """Free a key that did not run; return whether no other receipt claimed it.

        A receipt is one arrival of a request.
        """
        self._check_open()
        is_sole_receipt = self.record_store.release(
            scope, claim_id, anyio.current_time()
        )
        self._notify_waiters(scope)
        return is_sole_receipt

    def preview(self, scope: Scope, route: str, fingerprint: str | None) -> KeyPreview:
        """Return the state that a claim would find, without claiming.

        Raise the error that a claim would raise.
        """
        self._check_open()
        now_s = anyio.current_time()
        state = self.record_store.preview(scope, fingerprint, now_s)
        if state is not None:
            return KeyPreview(state=state.value)
        wall_s = self._wall_clock()
        stamp_s = self._coverage.check(scope, route, now_s, wall_s)
        self.record_store.check_stamp(stamp_s, wall_s)
        return KeyPreview(state="new")

    async def _wait_for_verdict(
        self, claim: Claim, ask: Callable[[], Verdict]
    ) -> Verdict:
        deadline_s = anyio.current_time() + POLL_S
        while True:
            self._check_open()
            verdict = ask()
            if verdict.granted or verdict.state is State.DONE:
                return verdict
            changed = self._changed.setdefault(claim.scope, anyio.Event())
            with anyio.CancelScope(deadline=deadline_s):
                await changed.wait()
            if anyio.current_time() >= deadline_s:
                return verdict

    def _check_open(self) -> None:
        if self.is_closed:
            raise NotHome(f"{self.seat}: this home is closed")

    def _claim_once(self, claim: Claim, route: str) -> Verdict:
        now_s = anyio.current_time()
        if self.record_store.find(claim.scope) is not None:
            return self.record_store.claim(claim, now_s)
        wall_s = self._wall_clock()
        self.record_store.raise_floor(wall_s)
        stamp_s = self._coverage.check(claim.scope, route, now_s, wall_s)
        return self.record_store.claim(claim, now_s, stamp_s=stamp_s)

    def _claim_ticket_once(self, claim: Claim, ticket: Ticket) -> Verdict:
        now_s = anyio.current_time()
        offset_s = self.issuer_offsets_s[ticket.incarnation]
        expires_s = ticket.expires_ms / 1000 + offset_s
        if now_s < expires_s or self.record_store.find(claim.scope) is not None:
            return self.record_store.claim(
                claim, now_s, retained_until_s=expires_s + RETENTION_S
            )
        if now_s < expires_s + RETENTION_S:
            # The ticket did not run: its record would still exist.
            raise TicketExpired
        raise OutcomeUnknown

    def _notify_waiters(self, scope: Scope) -> None:
        changed = self._changed.pop(scope, None)
        if changed is not None:
            changed.set()
