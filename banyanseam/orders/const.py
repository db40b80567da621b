"""Constants of orders to engines."""

from typing import Final

ORDERS_PATH: Final = "/orders"
# How often an engine that is as desired is looked at.
LOOK_PERIOD_S: Final = 30.0
# How often one that is being changed is looked at.
CHANGE_PERIOD_S: Final = 1.0
# An engine that refused or did not answer is left alone for so long.
RETRY_PAUSE_S: Final = 10.0
CALL_TIMEOUT_S: Final = 3.0
MAX_STATE_BYTES: Final = 64 * 1024
# A load may take this many times what the rate allows, and this much more.
LOAD_PATIENCE: Final = 2.0
LOAD_PATIENCE_S: Final = 60.0
# Beyond the time by which a seat that is cut off counts the others as lost.
TURN_MARGIN_S: Final = 2.0
