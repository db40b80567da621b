"""Compute how much a home should borrow and can lend, from its demand; no I/O."""

import math

from banyanseam.quota.const import (
    DEMAND_HEADROOM,
    DEMAND_LOOKAHEAD_S,
    DEMAND_RESERVE_S,
    MIN_LOAN_SHARE,
    WHOLE_UNITS,
)
from banyanseam.quota.loans import Amount, Loan
from banyanseam.quota.share import Share


def to_units(value: float, whole: float) -> int:
    """Return `value` as units of `whole`, rounded up, from 0 to WHOLE_UNITS."""
    return max(0, min(WHOLE_UNITS, math.ceil(value / whole * WHOLE_UNITS)))


def find_wanted(
    share: Share, demand_tokens_per_s: float, waiting_tokens: float
) -> Amount:
    """Return what the home should borrow now, before it runs short."""
    quota = share.quota
    needed_rate = min(quota.rate_tokens_per_s, demand_tokens_per_s * DEMAND_HEADROOM)
    lacking_rate = needed_rate - share.rate_tokens_per_s
    # One larger loan costs less than many small ones while demand grows.
    is_short = lacking_rate > needed_rate * MIN_LOAN_SHARE
    lacking_rate = max(lacking_rate, needed_rate / 4) if is_short else 0.0
    ahead_tokens = demand_tokens_per_s * DEMAND_LOOKAHEAD_S
    needed_tokens = min(quota.burst_tokens, max(waiting_tokens, ahead_tokens))
    lacking_tokens = max(0.0, needed_tokens - share.tokens)
    if not waiting_tokens and lacking_tokens < ahead_tokens / 2:
        lacking_tokens = 0.0
    # Refunds need free capacity too, or they are lost.
    lacking_burst = needed_tokens + share.refundable_tokens - share.cap_tokens
    burst_units = to_units(lacking_burst, quota.burst_tokens)
    rate_units = to_units(lacking_rate, quota.rate_tokens_per_s)
    # Borrow equal rate and burst, or the bucket could not hold the added refill.
    units = max(rate_units, burst_units)
    return Amount(units, units, lacking_tokens)


def find_spare(
    share: Share, demand_tokens_per_s: float, waiting_tokens: float
) -> Amount:
    """Return what the home can lend while it still serves its own demand."""
    if waiting_tokens:
        return Amount()
    quota = share.quota
    rate = share.rate_tokens_per_s - demand_tokens_per_s * DEMAND_HEADROOM
    reserve_tokens = demand_tokens_per_s * DEMAND_RESERVE_S
    return Amount(
        rate_units=min(to_units(rate, quota.rate_tokens_per_s), share.free_rate_units),
        burst_units=min(
            to_units(
                share.free_capacity_tokens + share.tokens - reserve_tokens,
                quota.burst_tokens,
            ),
            share.free_burst_units,
        ),
        tokens=max(0.0, share.tokens - reserve_tokens),
    )


def find_loan(share: Share, wanted: Amount, spare: Amount) -> Amount:
    """Return what to lend, leaving enough capacity for the lender's own tokens."""
    tokens = min(wanted.tokens, spare.tokens)
    capacity_tokens = share.free_capacity_tokens + tokens
    capacity_units = to_units(capacity_tokens, share.quota.burst_tokens)
    return Amount(
        rate_units=min(wanted.rate_units, spare.rate_units),
        burst_units=min(wanted.burst_units, spare.burst_units, capacity_units),
        tokens=tokens,
    )


def is_short_of_rate(share: Share, demand_tokens_per_s: float) -> bool:
    """Return whether a home's rate is below its demand; it then renews no lent loan."""
    return share.rate_tokens_per_s < demand_tokens_per_s


def is_loan_needed(
    share: Share, loan: Loan, demand_tokens_per_s: float, waiting_tokens: float
) -> bool:
    """Return whether a borrower should renew a loan rather than return it."""
    quota = share.quota
    rate = share.rate_tokens_per_s
    rate -= quota.rate_tokens_per_s * loan.amount.rate_units / WHOLE_UNITS
    needed_rate = min(quota.rate_tokens_per_s, demand_tokens_per_s * DEMAND_HEADROOM**2)
    if loan.amount.rate_units and rate < needed_rate:
        return True
    cap_tokens = share.cap_tokens
    cap_tokens -= quota.burst_tokens * loan.amount.burst_units / WHOLE_UNITS
    needed_tokens = max(waiting_tokens, demand_tokens_per_s * DEMAND_LOOKAHEAD_S)
    needed_tokens += share.refundable_tokens
    return bool(loan.amount.burst_units) and cap_tokens < min(
        quota.burst_tokens, needed_tokens
    )
