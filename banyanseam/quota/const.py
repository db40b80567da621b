"""Constants of quota: terms, margins, waits and the unit that parts are counted in."""

from dataclasses import dataclass
from typing import Final

# Parts are whole numbers of this, so that lending and returning never round.
WHOLE_UNITS: Final = 10**12
HOMES_PER_REGION: Final = 3

# A change of configuration is in force everywhere within this time.
SPREAD_BOUND_S: Final = 5.0
# A process that was suspended for longer counts as newly started.
FREEZE_GAP_S: Final = 1.5
LOAN_TERM_S: Final = 3.0
# Covers clocks that run up to 1% fast or slow against each other.
DRIFT_MARGIN: Final = 1.05
# Refill by a clock that runs up to 0.1% fast stays within the published rate.
REFILL_FACTOR: Final = 1 / 1.001


@dataclass(frozen=True, slots=True)
class Timing:
    """The terms that keep the bound; every daemon of a fleet uses the same."""

    spread_s: float = SPREAD_BOUND_S
    freeze_gap_s: float = FREEZE_GAP_S
    term_s: float = LOAN_TERM_S

    @property
    def lender_term_s(self) -> float:
        """Return how long the lender goes without what it lent."""
        return self.term_s * DRIFT_MARGIN

    @property
    def withhold_s(self) -> float:
        """Return how long a home waits before it spends a part that is new to it.

        Until then another process may hold that part by an older configuration,
        or by a loan that was made from it.
        """
        return (self.spread_s + self.freeze_gap_s + self.lender_term_s) * DRIFT_MARGIN


DEFAULT_TIMING: Final = Timing()

TICK_S: Final = 0.25
# How often a home looks about while it has nothing to do for any organisation.
IDLE_TICK_S: Final = 1.0
# A loan with less than this left is renewed or returned.
RENEW_BEFORE_S: Final = 1.5
# A loan that was not renewed by then goes back with its tokens.
RETURN_BEFORE_S: Final = 0.5
PEER_TIMEOUT_S: Final = 0.75
# A lender that had too little to spare is not asked again for this long.
LENDER_PAUSE_S: Final = 1.0

DEMAND_WINDOW_S: Final = 5.0
# A home holds this many times its measured demand before it lends the rest.
DEMAND_HEADROOM: Final = 1.25
# A home that lacks less than this share of the rate it needs borrows none.
LEAST_LOAN_SHARE: Final = 0.02
# A home keeps tokens and burst for this much of its own demand.
DEMAND_RESERVE_S: Final = 1.0
# A home borrows tokens once it holds less than this much of its demand.
DEMAND_LOOKAHEAD_S: Final = 2.0

# An entry asks its home again after this long, so that a dead home is noticed.
CHARGE_CHUNK_S: Final = 0.5
CHARGE_MARGIN_S: Final = 0.5
# A waiting request keeps its place this long between two asks of its entry.
PLACE_KEPT_S: Final = 1.0
RESULT_KEPT_S: Final = 10.0
SETTLE_HORIZON_S: Final = 3600.0
SETTLE_TIMEOUT_S: Final = 2.0
CANCEL_TIMEOUT_S: Final = 0.25
# A home that failed to answer is passed over for this long, doubled each time.
HOME_PAUSE_S: Final = 1.0
MAX_HOME_PAUSE_S: Final = 8.0
# An entry refuses by itself for at most this long before it asks its home again.
REFUSAL_HOLD_S: Final = 1.0
# With no home in reach, an entry gives up after this long.
NO_HOME_PATIENCE_S: Final = 3.0
NO_HOME_PAUSE_S: Final = 0.1
