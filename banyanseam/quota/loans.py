"""The loans that one home lent and borrowed for one organisation, with expiries.

The lender stops using the part from its answer until its own expiry time; the
borrower's expiry is earlier, counted from when it sent the request. So the two never
use the same part at once, however late or often a message arrives.
"""

import math
from dataclasses import dataclass, field

from banyanseam.quota.const import Timing


@dataclass(frozen=True, slots=True)
class Amount:
    """Rate and burst in units of the published quota, and the tokens sent with them."""

    rate_units: int = 0
    burst_units: int = 0
    tokens: float = 0.0

    @property
    def is_nothing(self) -> bool:
        """Return whether the amount is zero."""
        return not (self.rate_units or self.burst_units or self.tokens)


@dataclass(slots=True)
class Loan:
    """One loan, as recorded by the lender or by the borrower."""

    peer: str
    amount: Amount
    expires_s: float
    # The borrower requests the next renewal no sooner than this.
    renew_after_s: float = -math.inf


@dataclass(slots=True)
class PendingLoan:
    """A loan request that is not answered yet."""

    lender: str
    sent_s: float
    # Burst reserved for tokens that arrive without burst of their own.
    reserved_tokens: float


@dataclass(slots=True)
class Ledger:
    """The loans of one organisation at one home."""

    timing: Timing
    pending: dict[bytes, PendingLoan] = field(default_factory=dict)
    borrowed: dict[bytes, Loan] = field(default_factory=dict)
    lent: dict[bytes, Loan] = field(default_factory=dict)

    @property
    def borrowed_rate_units(self) -> int:
        """Return the rate units that this home borrowed."""
        return sum(loan.amount.rate_units for loan in self.borrowed.values())

    @property
    def borrowed_burst_units(self) -> int:
        """Return the burst units that this home borrowed."""
        return sum(loan.amount.burst_units for loan in self.borrowed.values())

    @property
    def lent_rate_units(self) -> int:
        """Return the rate units of its own part that this home lent."""
        return sum(loan.amount.rate_units for loan in self.lent.values())

    @property
    def lent_burst_units(self) -> int:
        """Return the burst units of its own part that this home lent."""
        return sum(loan.amount.burst_units for loan in self.lent.values())

    @property
    def reserved_tokens(self) -> float:
        """Return the burst reserved for tokens in transit."""
        return sum(request.reserved_tokens for request in self.pending.values())

    @property
    def next_expiry_s(self) -> float:
        """Return when the next loan or request expires here; infinite without any."""
        ends_s = [loan.expires_s for loan in self.borrowed.values()]
        ends_s += [loan.expires_s for loan in self.lent.values()]
        ends_s += [
            request.sent_s + self.timing.term_s for request in self.pending.values()
        ]
        return min(ends_s, default=math.inf)

    def expire(self, now_s: float) -> None:
        """Remove the loans and requests that have expired."""
        for loan_id, request in list(self.pending.items()):
            if request.sent_s + self.timing.term_s <= now_s:
                del self.pending[loan_id]
        for loans in (self.borrowed, self.lent):
            for loan_id in [
                loan_id for loan_id, loan in loans.items() if loan.expires_s <= now_s
            ]:
                del loans[loan_id]

    def reduce_reservations(self, excess_tokens: float) -> float:
        """Reduce the reserved burst; return the excess that remains."""
        for request in self.pending.values():
            reduction_tokens = min(excess_tokens, request.reserved_tokens)
            request.reserved_tokens -= reduction_tokens
            excess_tokens -= reduction_tokens
        return excess_tokens

    def accept(
        self, loan_id: bytes, amount: Amount, now_s: float
    ) -> PendingLoan | None:
        """Record a granted loan; None if the answer is late, repeated or unknown."""
        request = self.pending.pop(loan_id, None)
        if request is None or now_s >= request.sent_s + self.timing.term_s:
            return None
        if amount.rate_units or amount.burst_units:
            expires_s = request.sent_s + self.timing.term_s
            self.borrowed[loan_id] = Loan(request.lender, amount, expires_s)
        return request

    def extend(self, loan_id: bytes, sent_s: float) -> None:
        """Extend a borrowed loan; `sent_s` is when its renewal was requested."""
        loan = self.borrowed.get(loan_id)
        if loan is not None:
            loan.expires_s = max(loan.expires_s, sent_s + self.timing.term_s)

    def lend(self, loan_id: bytes, borrower: str, amount: Amount, now_s: float) -> None:
        """Record a lent amount for the lender's term."""
        expires_s = now_s + self.timing.lender_term_s
        self.lent[loan_id] = Loan(borrower, amount, expires_s)

    def renew(self, loan_id: bytes, now_s: float) -> bool:
        """Extend a lent loan by another term; False if it has ended."""
        loan = self.lent.get(loan_id)
        if loan is None or loan.amount.is_nothing:
            return False
        loan.expires_s = now_s + self.timing.lender_term_s
        return True

    def close(self, loan_id: bytes) -> bool:
        """End a lent loan early; its id stays until expiry, to detect repeats."""
        loan = self.lent.get(loan_id)
        if loan is None or loan.amount.is_nothing:
            return False
        loan.amount = Amount()
        return True

    def clear(self) -> None:
        """Remove all loans and requests, as in a new process."""
        self.pending.clear()
        self.borrowed.clear()
        self.lent.clear()
