"""Constants of orders to engines."""

from typing import Final

ORDERS_PATH: Final = "/orders"
# Interval of state queries to an engine that is in the desired state.
CHECK_PERIOD_S: Final = 30.0
# Interval of state queries to an engine that is being changed.
CHANGE_PERIOD_S: Final = 1.0
# Pause after a call to an engine has failed, or while its load is overdue.
RETRY_PAUSE_S: Final = 10.0
CALL_TIMEOUT_S: Final = 3.0
MAX_STATE_BYTES: Final = 64 * 1024
# A load is overdue after its time at the permitted rate, times LOAD_TIME_FACTOR, plus
# LOAD_TIME_ALLOWANCE_S.
LOAD_TIME_FACTOR: Final = 2.0
LOAD_TIME_ALLOWANCE_S: Final = 60.0
# Added to the time after which a partitioned seat considers the others lost.
ELECTION_MARGIN_S: Final = 2.0
