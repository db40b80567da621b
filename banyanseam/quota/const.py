"""Constants of quota: loan terms, safety margins, timeouts and the unit of parts."""

from dataclasses import dataclass
from typing import Final

# The units of a whole quota; parts are whole units, so that loans never round.
WHOLE_UNITS: Final = 10**12
# A home is a seat that holds a part of an organisation's quota.
HOMES_PER_REGION: Final = 3

# A configuration change is in force on every daemon within this time.
CONFIG_PROPAGATION_S: Final = 5.0
# A process that was suspended for longer than this is treated as newly started.
MAX_SUSPENSION_S: Final = 1.5
LOAN_TERM_S: Final = 3.0
# Factor on durations; covers clocks that run up to 1% fast or slow against each other.
DRIFT_MARGIN: Final = 1.05
# Lowers the refill, so that a clock up to 0.1% fast stays within the published rate.
REFILL_FACTOR: Final = 1 / 1.001


@dataclass(frozen=True, slots=True)
class Timing:
    """The durations that the quota bound relies on; equal on all daemons of a fleet."""

    propagation_s: float = CONFIG_PROPAGATION_S
    max_suspension_s: float = MAX_SUSPENSION_S
    term_s: float = LOAN_TERM_S

    @property
    def lender_term_s(self) -> float:
        """Return how long the lender leaves what it lent unused."""
        return self.term_s * DRIFT_MARGIN

    @property
    def withhold_s(self) -> float:
        """Return how long a home waits before it spends a newly assigned part.

        During that time another process may still spend the part, under an older
        configuration or through a loan that was made from it.
        """
        return (
            self.propagation_s + self.max_suspension_s + self.lender_term_s
        ) * DRIFT_MARGIN


DEFAULT_TIMING: Final = Timing()

TICK_S: Final = 0.25
# Interval of a home's periodic work while no account is busy.
IDLE_TICK_S: Final = 1.0
# A loan with less time left than this is renewed or returned.
RENEW_BEFORE_S: Final = 1.5
# A loan with less time left than this, still not renewed, is returned with its tokens.
RETURN_BEFORE_S: Final = 0.5
PEER_TIMEOUT_S: Final = 0.75
# A lender that failed or lent less than requested is not asked again for this long.
LENDER_PAUSE_S: Final = 1.0

DEMAND_WINDOW_S: Final = 5.0
# A home keeps this multiple of its measured demand and lends only the rest.
DEMAND_HEADROOM: Final = 1.25
# A home that lacks less than this share of the rate it needs borrows no rate.
MIN_LOAN_SHARE: Final = 0.02
# When lending, a home reserves tokens and burst for this long at its own demand.
DEMAND_RESERVE_S: Final = 1.0
# A home borrows tokens once it holds less than its demand over this time.
DEMAND_LOOKAHEAD_S: Final = 2.0

# An entry daemon repeats a waiting charge at this interval, to detect a dead home.
CHARGE_REPEAT_S: Final = 0.5
CHARGE_MARGIN_S: Final = 0.5
# A waiting charge keeps its queue place this long between two calls of its entry.
PLACE_TTL_S: Final = 1.0
RESULT_TTL_S: Final = 10.0
UNSETTLED_TTL_S: Final = 3600.0
SETTLE_TIMEOUT_S: Final = 2.0
CANCEL_TIMEOUT_S: Final = 0.25
# A home that failed to answer is skipped for this long, doubled on each failure.
HOME_PAUSE_S: Final = 1.0
MAX_HOME_PAUSE_S: Final = 8.0
# An entry refuses from a cached refusal for at most this long, then asks a home.
REFUSAL_CACHE_S: Final = 1.0
# An entry that can reach no home gives up after this long, unless a home has reported
# that it will serve its withheld part before the deadline.
NO_HOME_PATIENCE_S: Final = 3.0
NO_HOME_PAUSE_S: Final = 0.1
