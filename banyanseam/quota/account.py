"""The state that one home seat holds for one organisation; no I/O."""

import math
from dataclasses import dataclass, field
from typing import Literal

from banyanseam.quota import lending
from banyanseam.quota.const import DEMAND_LOOKAHEAD_S, LENDER_PAUSE_S, RESULT_TTL_S
from banyanseam.quota.demand import DemandMeter
from banyanseam.quota.loans import Amount
from banyanseam.quota.share import Share
from banyanseam.quota.wait_queue import WaitQueue

Status = Literal["granted", "waiting", "refused", "withheld"]


@dataclass(frozen=True, slots=True)
class ChargeOutcome:
    """The result of a charge, and when a retry may succeed."""

    status: Status
    retry_after_s: float = 0.0
    queue_s: float = 0.0


@dataclass(slots=True)
class Account:
    """A share, the queue of charges that wait for it and its measured demand."""

    organisation: str
    share: Share
    demand: DemandMeter = field(default_factory=DemandMeter)
    waiting: WaitQueue = field(default_factory=WaitQueue)
    # Recently granted charges, oldest first, to recognise repeats.
    granted: dict[str, float] = field(default_factory=dict)
    paused_lenders: dict[str, float] = field(default_factory=dict)
    is_borrowing: bool = False
    # Until this time the other homes are assumed to have no tokens to lend.
    lenders_empty_until_s: float = -math.inf
    # When an account that lost its part may be removed.
    remove_at_s: float = math.inf

    @property
    def is_retired(self) -> bool:
        """Return whether this seat is no longer a home of the organisation."""
        return self.remove_at_s < math.inf

    def charge(
        self, charge_id: str, cost_tokens: int, patience_s: float, now_s: float
    ) -> ChargeOutcome:
        """Grant a charge, queue it, or refuse it if it cannot be served in time."""
        if charge_id in self.granted:
            return ChargeOutcome("granted")
        share = self.share
        share.advance(now_s)
        if share.is_withheld:
            return ChargeOutcome("withheld", share.withheld_s, share.withheld_s)
        is_new = charge_id not in self.waiting
        if is_new:
            self.demand.add(cost_tokens, now_s)
            if not self.waiting and self._try_charge(charge_id, cost_tokens, now_s):
                return ChargeOutcome("granted")
        outcome = self._estimate_or_refuse(charge_id, cost_tokens, patience_s, now_s)
        if outcome.status == "refused":
            self.waiting.remove(charge_id)
        else:
            self.waiting.enqueue(charge_id, cost_tokens, now_s + patience_s)
        return outcome

    def preview(
        self, cost_tokens: int, patience_s: float, now_s: float
    ) -> ChargeOutcome:
        """Return the outcome that a new charge would get, without changing anything."""
        share = self.share
        share.advance(now_s)
        if share.is_withheld:
            return ChargeOutcome("withheld", share.withheld_s, share.withheld_s)
        if not self.waiting and cost_tokens <= share.tokens:
            return ChargeOutcome("granted")
        return self._estimate_or_refuse("", cost_tokens, patience_s, now_s)

    def _estimate_or_refuse(
        self, charge_id: str, cost_tokens: int, patience_s: float, now_s: float
    ) -> ChargeOutcome:
        """Return the estimated wait, or a refusal if it surely exceeds the patience."""
        outcome = self.estimate(charge_id, cost_tokens)
        excess_s = outcome.retry_after_s - patience_s
        # Other homes may lend tokens that the estimate does not include, unless they
        # were asked recently and had none.
        if excess_s <= 0 or now_s >= self.lenders_empty_until_s:
            return outcome
        return ChargeOutcome("refused", max(excess_s, 0.001), outcome.queue_s)

    def estimate(self, charge_id: str, cost_tokens: int) -> ChargeOutcome:
        """Estimate a charge's wait as if the whole rate were lent to this home."""
        rate = self.share.quota.rate_tokens_per_s
        held_tokens = self.share.tokens
        ahead_tokens = self.waiting.count_ahead(charge_id)
        wait_s = max(0.0, ahead_tokens + cost_tokens - held_tokens) / rate
        queue_s = max(0.0, self.waiting.tokens - held_tokens) / rate
        return ChargeOutcome("waiting", wait_s, queue_s)

    def serve(self, now_s: float) -> list[str]:
        """Grant waiting charges as far as the tokens suffice; return their ids."""
        if not self.waiting:
            return []
        self.share.advance(now_s)
        return self.waiting.serve(
            lambda charge_id, cost: self._try_charge(charge_id, cost, now_s),
            self.share.cap_tokens,
            now_s,
        )

    def next_grant_s(self, charge_id: str, cost_tokens: int) -> float:
        """Return when refill alone covers a waiting charge; infinite without refill."""
        share = self.share
        if share.rate_tokens_per_s <= 0:
            return math.inf
        ahead_tokens = self.waiting.count_ahead(charge_id)
        lacking_tokens = ahead_tokens + cost_tokens - share.tokens
        return share.now_s + max(0.0, lacking_tokens) / share.rate_tokens_per_s

    def _try_charge(self, charge_id: str, cost_tokens: int, now_s: float) -> bool:
        if not self.share.try_charge(charge_id, cost_tokens, now_s):
            return False
        self.granted[charge_id] = now_s
        return True

    def settle(self, charge_id: str, used_tokens: int, now_s: float) -> None:
        """Apply the true cost; a charge that is still queued is cancelled."""
        self.waiting.remove(charge_id)
        change_tokens = self.share.settle(charge_id, used_tokens, now_s)
        self.demand.add(-change_tokens, now_s)

    def find_wanted(self, now_s: float) -> Amount:
        """Return the amount to borrow now."""
        self.share.advance(now_s)
        if self.share.is_withheld:
            return Amount()
        demand = self.demand.measure(now_s)
        return lending.find_wanted(self.share, demand, self.waiting.tokens)

    def lend(
        self,
        loan_id: bytes,
        borrower: str,
        wanted: Amount,
        reserved_tokens: float,
        now_s: float,
    ) -> Amount:
        """Lend as much of the wanted amount as this home can spare."""
        self.share.advance(now_s)
        demand = self.demand.measure(now_s)
        spare = lending.find_spare(self.share, demand, self.waiting.tokens)
        loan = lending.find_loan(self.share, wanted, spare)
        return self.share.lend(loan_id, borrower, loan, now_s, reserved_tokens)

    def renew(self, loan_id: bytes, now_s: float) -> bool:
        """Renew a borrower's loan for another term, unless this home needs it."""
        self.share.advance(now_s)
        demand = self.demand.measure(now_s)
        if lending.is_short_of_rate(self.share, demand):
            return False
        return self.share.renew(loan_id, now_s)

    def is_loan_needed(self, loan_id: bytes, now_s: float) -> bool:
        """Return whether a borrowed loan should be renewed."""
        loan = self.share.ledger.borrowed[loan_id]
        demand = self.demand.measure(now_s)
        return lending.is_loan_needed(self.share, loan, demand, self.waiting.tokens)

    def pause_lender(self, seat: str, now_s: float) -> None:
        """Request no loans from a home for a while; it failed or lent too little."""
        self.paused_lenders[seat] = now_s + LENDER_PAUSE_S

    def needs_other_regions(self, now_s: float) -> bool:
        """Return whether the homes of this region cannot meet this home's demand."""
        self.share.advance(now_s)
        demand = self.demand.measure(now_s)
        is_short = lending.is_short_of_rate(self.share, demand)
        return bool(self.waiting) or (
            is_short and self.share.tokens < demand * DEMAND_LOOKAHEAD_S
        )

    def record_round(self, lenders: list[str], now_s: float) -> None:
        """After a borrowing round, note if tokens are short and all lenders paused."""
        is_lacking = self.find_wanted(now_s).tokens > 0
        if is_lacking and all(self.is_paused(seat, now_s) for seat in lenders):
            self.lenders_empty_until_s = now_s + LENDER_PAUSE_S

    def is_paused(self, seat: str, now_s: float) -> bool:
        """Return whether no loans are requested from a lender now."""
        return self.paused_lenders.get(seat, -math.inf) > now_s

    def is_idle(self, now_s: float) -> bool:
        """Return whether there is no work until the next charge, settlement or loan."""
        share = self.share
        is_settled = not (self.waiting or share.outstanding or share.is_withheld)
        has_loans = share.ledger.borrowed or share.ledger.pending
        return is_settled and not has_loans and self.find_wanted(now_s).is_nothing

    def forget_old(self, now_s: float) -> None:
        """Drop results too old to be requested again, and expired unsettled charges."""
        for charge_id, granted_s in list(self.granted.items()):
            if granted_s > now_s - RESULT_TTL_S:
                break
            del self.granted[charge_id]
        self.share.drop_unsettled(now_s)
