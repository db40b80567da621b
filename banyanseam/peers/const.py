"""Constants of the links between daemons."""

from typing import Final

PROTOCOL_VERSION: Final = 1
MAX_MESSAGE_BYTES: Final = 4 * 1024 * 1024
HANDSHAKE_TIMEOUT_S: Final = 3.0
CALL_TIMEOUT_S: Final = 2.0
# A link that carries no message for this long is closed.
IDLE_LINK_S: Final = 60.0
REDIAL_PAUSE_S: Final = 0.25
NONCE_BYTES: Final = 16
MAX_CALLS_PER_LINK: Final = 2000
PING_INTERVAL_S: Final = 4.0
PING_TIMEOUT_S: Final = 4.0
# Small, so that one slow link holds little; large answers flow by credit.
WRITE_LIMIT_BYTES: Final = 256 * 1024
