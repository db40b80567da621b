"""What one home lent and borrowed of one organisation, and until when.

The lender goes without from the moment that it answers until its own expiry; the
borrower stops at an earlier one, counted from when it asked. So at no time do both
hold the same part, however late or often a message arrives.
"""

import math
from dataclasses import dataclass, field

from banyanseam.quota.const import Timing


@dataclass(frozen=True, slots=True)
class Amount:
    """A part of rate and burst, in units of the whole, with tokens to go with it."""

    rate_units: int = 0
    burst_units: int = 0
    tokens: float = 0.0

    @property
    def is_nothing(self) -> bool:
        """Say whether there is nothing in it."""
        return not (self.rate_units or self.burst_units or self.tokens)


@dataclass(slots=True)
class Loan:
    """One loan as one side sees it."""

    peer: str
    amount: Amount
    expires_s: float
    # The borrower asks for a renewal no sooner than this.
    asked_again_s: float = -math.inf


@dataclass(slots=True)
class Ask:
    """A loan asked for and not answered yet."""

    lender: str
    sent_s: float
    # Burst that is kept free for the tokens that come without any.
    room_tokens: float


@dataclass(slots=True)
class Ledger:
    """The loans of one organisation at one home."""

    timing: Timing
    asked: dict[bytes, Ask] = field(default_factory=dict)
    borrowed: dict[bytes, Loan] = field(default_factory=dict)
    lent: dict[bytes, Loan] = field(default_factory=dict)

    @property
    def borrowed_rate_units(self) -> int:
        """Return the rate that this home may use beyond its own."""
        return sum(loan.amount.rate_units for loan in self.borrowed.values())

    @property
    def borrowed_burst_units(self) -> int:
        """Return the burst that this home may hold beyond its own."""
        return sum(loan.amount.burst_units for loan in self.borrowed.values())

    @property
    def lent_rate_units(self) -> int:
        """Return the rate of its own that this home goes without."""
        return sum(loan.amount.rate_units for loan in self.lent.values())

    @property
    def lent_burst_units(self) -> int:
        """Return the burst of its own that this home goes without."""
        return sum(loan.amount.burst_units for loan in self.lent.values())

    @property
    def room_tokens(self) -> float:
        """Return the burst that is kept free for tokens on their way."""
        return sum(ask.room_tokens for ask in self.asked.values())

    @property
    def next_expiry_s(self) -> float:
        """Return when the next loan or ask ends on this side; infinite without."""
        ends_s = [loan.expires_s for loan in self.borrowed.values()]
        ends_s += [loan.expires_s for loan in self.lent.values()]
        ends_s += [ask.sent_s + self.timing.term_s for ask in self.asked.values()]
        return min(ends_s, default=math.inf)

    def expire(self, now_s: float) -> None:
        """End every loan and ask whose time is up."""
        for loan_id, ask in list(self.asked.items()):
            if ask.sent_s + self.timing.term_s <= now_s:
                del self.asked[loan_id]
        for loans in (self.borrowed, self.lent):
            for loan_id in [
                loan_id for loan_id, loan in loans.items() if loan.expires_s <= now_s
            ]:
                del loans[loan_id]

    def cut_room(self, excess_tokens: float) -> float:
        """Keep less burst free; return the excess that could not be cut."""
        for ask in self.asked.values():
            cut_tokens = min(excess_tokens, ask.room_tokens)
            ask.room_tokens -= cut_tokens
            excess_tokens -= cut_tokens
        return excess_tokens

    def accept(self, loan_id: bytes, amount: Amount, now_s: float) -> Ask | None:
        """Take up an answered loan; None when it is late, repeated or unknown."""
        ask = self.asked.pop(loan_id, None)
        if ask is None or now_s >= ask.sent_s + self.timing.term_s:
            return None
        if amount.rate_units or amount.burst_units:
            expires_s = ask.sent_s + self.timing.term_s
            self.borrowed[loan_id] = Loan(ask.lender, amount, expires_s)
        return ask

    def extend(self, loan_id: bytes, sent_s: float) -> None:
        """Move a borrowed loan's end after the lender agreed to renew it."""
        loan = self.borrowed.get(loan_id)
        if loan is not None:
            loan.expires_s = max(loan.expires_s, sent_s + self.timing.term_s)

    def lend(self, loan_id: bytes, borrower: str, amount: Amount, now_s: float) -> None:
        """Go without the amount for the lender's term."""
        expires_s = now_s + self.timing.lender_term_s
        self.lent[loan_id] = Loan(borrower, amount, expires_s)

    def renew(self, loan_id: bytes, now_s: float) -> bool:
        """Go without a lent amount for another term; False when it has ended."""
        loan = self.lent.get(loan_id)
        if loan is None or loan.amount.is_nothing:
            return False
        loan.expires_s = now_s + self.timing.lender_term_s
        return True

    def close(self, loan_id: bytes) -> bool:
        """End a lent loan early; the id stays until expiry against repeats."""
        loan = self.lent.get(loan_id)
        if loan is None or loan.amount.is_nothing:
            return False
        loan.amount = Amount()
        return True

    def clear(self) -> None:
        """Forget everything, as a new process has."""
        self.asked.clear()
        self.borrowed.clear()
        self.lent.clear()
