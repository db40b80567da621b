"""How far small requests may overdraw an organisation's bucket.

It answers floods in which long prompts use up an organisation's rate. What several VMs
admit at the same time, before their reports arrive, is debt, and while there is debt
nothing else would pass. Refusing a short question frees next to nothing of the rate. So
it may overdraw the bucket, and long prompts wait until that is paid back too.
"""

from typing import Final

# A request is small if it costs at most this share of the organisation's usual cost.
SMALL_COST_SHARE: Final = 0.5
# Part of the tolerated excess that small requests may use. The other part covers what a
# flood spends before its reports arrive.
EXCESS_SHARE: Final = 0.4
# Partitioned parts of the fleet would each overdraw the bucket.
MIN_HEARD_SHARE: Final = 0.9
# Share of the newest request in the usual cost.
COST_WEIGHT: Final = 0.02


def update_usual_cost(usual_cost: float, cost: float) -> float:
    """Return the usual cost with one more request; 0 stands for none before."""
    if usual_cost <= 0:
        return cost
    return usual_cost + COST_WEIGHT * (cost - usual_cost)


def compute_limit(
    rate_per_s: float, burst: float, period_s: float, excess_share: float
) -> float:
    """Return the most that may be overdrawn; the operators publish the last two.

    In any `period_s`, spending may exceed the quota by `excess_share` of it.
    """
    return EXCESS_SHARE * excess_share * (period_s * rate_per_s + burst)


def choose_overdraft(
    cost: float, usual_cost: float, limit: float, heard_share: float
) -> float:
    """Return how far below zero a request may take a bucket that reports emptied."""
    is_small = cost <= SMALL_COST_SHARE * usual_cost
    if not is_small or heard_share < MIN_HEARD_SHARE:
        return 0.0
    return limit
