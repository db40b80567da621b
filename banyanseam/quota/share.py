"""One organisation's token bucket at one home.

Invariant: over all homes, the rates, caps and tokens sum to at most what is
published. A home lends from its own part only, never what it borrowed; tokens are
sent only together with as much burst, or into burst that the borrower reserved; and
a refund restores no more than the bucket would hold had the request been charged
its true cost at the start. The proof is in docs/design/quota.md.
"""

import math
from dataclasses import dataclass

from banyanseam.quota.const import (
    REFILL_FACTOR,
    UNSETTLED_TTL_S,
    WHOLE_UNITS,
    Timing,
)
from banyanseam.quota.loans import Amount, Ledger, PendingLoan


@dataclass(frozen=True, slots=True)
class Quota:
    """What the configuration publishes for an organisation, over the whole fleet."""

    rate_tokens_per_s: float
    burst_tokens: float


@dataclass(frozen=True, slots=True)
class UnsettledCharge:
    """A charge that is not settled yet."""

    cost_tokens: float
    charged_s: float


class Share:
    """The part of an organisation's quota that one home may spend now."""

    def __init__(self, quota: Quota, timing: Timing, now_s: float) -> None:
        """Start empty; `open_full` or `set_own_units` assigns a part."""
        self.quota = quota
        self.timing = timing
        self.ledger = Ledger(timing)
        self.own_units = 0
        self.tokens = 0.0
        self.now_s = now_s
        self.outstanding: dict[str, UnsettledCharge] = {}
        # The largest refund that each unsettled charge may still get, oldest first.
        self._refundable: dict[str, float] = {}
        self._refundable_tokens = 0.0
        self._pending_units = 0
        self._pending_until_s = math.inf

    @property
    def free_rate_units(self) -> int:
        """Return the rate units of the own part that are not lent."""
        return max(0, self.own_units - self.ledger.lent_rate_units)

    @property
    def free_burst_units(self) -> int:
        """Return the burst units of the own part that are not lent."""
        return max(0, self.own_units - self.ledger.lent_burst_units)

    @property
    def rate_tokens_per_s(self) -> float:
        """Return the refill rate of the own and borrowed units."""
        units = self.free_rate_units + self.ledger.borrowed_rate_units
        return self.quota.rate_tokens_per_s * REFILL_FACTOR * units / WHOLE_UNITS

    @property
    def cap_tokens(self) -> float:
        """Return the bucket's capacity from own and borrowed burst."""
        units = self.free_burst_units + self.ledger.borrowed_burst_units
        return self.quota.burst_tokens * units / WHOLE_UNITS

    @property
    def free_capacity_tokens(self) -> float:
        """Return the capacity not used by tokens, possible refunds or reservations."""
        occupied_tokens = (
            self.tokens + self._refundable_tokens + self.ledger.reserved_tokens
        )
        return self.cap_tokens - occupied_tokens

    @property
    def refundable_tokens(self) -> float:
        """Return the largest sum that settlements may still refund."""
        return self._refundable_tokens

    @property
    def is_withheld(self) -> bool:
        """Return whether the own part must not be spent yet."""
        return self.own_units == 0 and self._pending_until_s < math.inf

    @property
    def withheld_s(self) -> float:
        """Return how much longer a newly assigned part is withheld."""
        return max(0.0, self._pending_until_s - self.now_s) if self.is_withheld else 0.0

    def advance(self, now_s: float) -> None:
        """Refill up to `now_s`; apply loan expiries and a due raise of the own part."""
        while True:
            event_s = min(self.ledger.next_expiry_s, self._pending_until_s)
            if event_s > now_s:
                break
            self._refill(event_s)
            self.ledger.expire(event_s)
            if self._pending_until_s <= event_s:
                self.own_units = self._pending_units
                self._pending_until_s = math.inf
            self._clamp()
        self._refill(now_s)

    def _refill(self, to_s: float) -> None:
        elapsed_s = to_s - self.now_s
        if elapsed_s <= 0:
            return
        self.now_s = to_s
        self.tokens += self.rate_tokens_per_s * elapsed_s
        self._clamp()

    def _clamp(self) -> None:
        """Reduce tokens, then reservations, then refunds, until all fit in the cap."""
        self.tokens = min(self.tokens, self.cap_tokens)
        excess_tokens = -self.free_capacity_tokens
        if excess_tokens > 0:
            excess_tokens = self.ledger.reduce_reservations(excess_tokens)
        while excess_tokens > 0 and self._refundable:
            charge_id, refundable_tokens = next(iter(self._refundable.items()))
            if refundable_tokens > excess_tokens:
                self._refundable[charge_id] -= excess_tokens
                self._refundable_tokens -= excess_tokens
                return
            self._drop_refund(charge_id)
            excess_tokens -= refundable_tokens

    def _drop_refund(self, charge_id: str) -> float:
        """Drop a charge's possible refund and return it."""
        refundable_tokens = self._refundable.pop(charge_id, 0.0)
        self._refundable_tokens -= refundable_tokens
        if not self._refundable:
            self._refundable_tokens = 0.0
        return refundable_tokens

    def set_quota(self, quota: Quota, now_s: float) -> None:
        """Apply a published rate and burst at once.

        Loans are fractions of the quota, so homes on the old and on the new version
        together never exceed the larger of the two quotas.
        """
        self.advance(now_s)
        self.quota = quota
        self._clamp()

    def set_own_units(self, units: int, now_s: float, *, skipped: bool = False) -> None:
        """Lower the own part at once, or raise it once no other home can spend it.

        `skipped` means that configuration versions in between were not seen: one of
        them may have assigned the part to another home, so the wait starts again.
        """
        self.advance(now_s)
        if units <= self.own_units:
            self.own_units = units
            self._pending_until_s = math.inf
            self._clamp()
            return
        if skipped or math.isinf(self._pending_until_s) or units != self._pending_units:
            self._pending_units = units
            self._pending_until_s = now_s + self.timing.withhold_s

    def open_full(self, units: int, now_s: float) -> None:
        """Start with a full part; valid only if no home held any of it before."""
        self.advance(now_s)
        self.own_units = units
        self.tokens = self.cap_tokens

    def restart(self, now_s: float) -> None:
        """Reset as in a new process: no tokens, no loans, part withheld; debt stays."""
        units = (
            self.own_units if math.isinf(self._pending_until_s) else self._pending_units
        )
        self.now_s = max(self.now_s, now_s)
        self.ledger.clear()
        self.outstanding.clear()
        self._refundable.clear()
        self._refundable_tokens = 0.0
        self.tokens = min(self.tokens, 0.0)
        self.own_units = 0
        self._pending_units = units
        self._pending_until_s = now_s + self.timing.withhold_s

    def try_charge(self, charge_id: str, cost_tokens: float, now_s: float) -> bool:
        """Charge a cost if there are enough tokens; return whether it was charged."""
        self.advance(now_s)
        if cost_tokens > self.tokens:
            return False
        self.tokens -= cost_tokens
        self.outstanding[charge_id] = UnsettledCharge(cost_tokens, now_s)
        self._refundable[charge_id] = cost_tokens
        self._refundable_tokens += cost_tokens
        return True

    def settle(self, charge_id: str, used_tokens: float, now_s: float) -> float:
        """Replace an estimate by the true cost; return the change of the balance.

        A repeat has no effect. A true cost above the estimate becomes debt.
        """
        self.advance(now_s)
        charge = self.outstanding.pop(charge_id, None)
        if charge is None:
            return 0.0
        refundable_tokens = self._drop_refund(charge_id)
        change_tokens = min(charge.cost_tokens - used_tokens, refundable_tokens)
        self.tokens += change_tokens
        self._clamp()
        return change_tokens

    def drop_unsettled(self, now_s: float) -> None:
        """Drop charges unsettled for UNSETTLED_TTL_S; their entry has probably died."""
        for charge_id, charge in list(self.outstanding.items()):
            if charge.charged_s > now_s - UNSETTLED_TTL_S:
                return
            del self.outstanding[charge_id]
            self._drop_refund(charge_id)

    def lend(
        self,
        loan_id: bytes,
        borrower: str,
        wanted: Amount,
        now_s: float,
        reserved_tokens: float = 0.0,
    ) -> Amount:
        """Lend from the own part, up to `wanted`; a repeated id gets the same amount.

        Tokens are covered by lent burst, or by burst that the borrower reserved.
        """
        self.advance(now_s)
        if loan_id in self.ledger.lent:
            return self.ledger.lent[loan_id].amount
        burst_units = min(wanted.burst_units, self.free_burst_units)
        # While tokens without burst are in transit, both homes could refill to the cap.
        burst_tokens = self.quota.burst_tokens * burst_units / WHOLE_UNITS
        covered_tokens = burst_tokens + reserved_tokens
        amount = Amount(
            rate_units=min(wanted.rate_units, self.free_rate_units),
            burst_units=burst_units,
            tokens=max(0.0, min(wanted.tokens, self.tokens, covered_tokens)),
        )
        if amount.is_nothing:
            return amount
        self.ledger.lend(loan_id, borrower, amount, now_s)
        self.tokens -= amount.tokens
        self._clamp()
        return amount

    def request_loan(
        self, loan_id: bytes, lender: str, now_s: float, reserved_tokens: float = 0.0
    ) -> float:
        """Record that a loan is requested now; return the burst reserved for it."""
        self.advance(now_s)
        reserved_tokens = max(0.0, min(reserved_tokens, self.free_capacity_tokens))
        self.ledger.pending[loan_id] = PendingLoan(lender, now_s, reserved_tokens)
        self._clamp()
        return reserved_tokens

    def cancel_request(self, loan_id: bytes) -> None:
        """Drop a loan request, so that a later answer to it is ignored."""
        self.ledger.pending.pop(loan_id, None)

    def accept(self, loan_id: bytes, amount: Amount, now_s: float) -> bool:
        """Use a loan that the lender granted; False if it is late or not usable.

        A home that withholds its part may run an old configuration, so it accepts none.
        """
        self.advance(now_s)
        request = self.ledger.accept(loan_id, amount, now_s)
        if request is None or self.is_withheld:
            self.ledger.borrowed.pop(loan_id, None)
            return False
        burst_tokens = self.quota.burst_tokens * amount.burst_units / WHOLE_UNITS
        self.tokens += min(amount.tokens, request.reserved_tokens + burst_tokens)
        self._clamp()
        return True

    def extend(self, loan_id: bytes, sent_s: float, now_s: float) -> None:
        """Extend a loan that the lender renewed; `sent_s` is when this home asked."""
        self.advance(now_s)
        self.ledger.extend(loan_id, sent_s)

    def renew(self, loan_id: bytes, now_s: float) -> bool:
        """Renew a lent loan; False if it ended or the own part no longer covers it."""
        self.advance(now_s)
        lent_units = max(self.ledger.lent_rate_units, self.ledger.lent_burst_units)
        return lent_units <= self.own_units and self.ledger.renew(loan_id, now_s)

    def return_loan(self, loan_id: bytes, now_s: float) -> float:
        """Stop using a loan; return the tokens above the new cap, to send back."""
        self.advance(now_s)
        if self.ledger.borrowed.pop(loan_id, None) is None:
            return 0.0
        surplus_tokens = max(0.0, self.tokens - self.cap_tokens)
        self._clamp()
        return surplus_tokens

    def reclaim(self, loan_id: bytes, tokens: float, now_s: float) -> None:
        """Use a lent part again before its expiry; ignored if late or repeated."""
        self.advance(now_s)
        if self.ledger.close(loan_id):
            self.tokens += tokens
            self._clamp()
