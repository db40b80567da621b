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
