"""Constants of the links between daemons."""

from typing import Final

PROTOCOL_VERSION: Final = 2
MAX_MESSAGE_BYTES: Final = 4 * 1024 * 1024
HANDSHAKE_TIMEOUT_S: Final = 3.0
REDIAL_PAUSE_S: Final = 0.25
NONCE_BYTES: Final = 16
MAX_CALLS_PER_LINK: Final = 2000
PING_INTERVAL_S: Final = 4.0
PING_TIMEOUT_S: Final = 4.0
# Small, so that one slow link holds little; large answers flow by credit.
WRITE_LIMIT_BYTES: Final = 256 * 1024

HEARTBEAT_PERIOD_S: Final = 1.0
HEARTBEAT_JITTER: Final = 0.1
HEARTBEAT_TIMEOUT_S: Final = 0.9
# Regions up to this size are a full mesh; larger ones are a ring with chords.
FULL_MESH_SEATS: Final = 10
RING_FANOUT: Final = 5
# Fleets up to this size tell other regions of each seat at every beat.
SMALL_FLEET_SEATS: Final = 36
GONE_FACTOR: Final = 3
# By what the platform's doubt multiplies the silence that is borne.
DOUBT_FACTOR: Final = 0.5
MAX_ROWS: Final = 1024
DELAY_WEIGHT: Final = 0.2
SECTION_BYTES: Final = 1024
SECTIONS_BYTES: Final = 2048

FREEZE_TICK_S: Final = 0.5
INCARNATION_RANDOM_BITS: Final = 16
VM_LIST_PERIOD_S: Final = 2.0
VM_LIST_JITTER_FLOOR: Final = 0.5
VM_LIST_TIMEOUT_S: Final = 1.0
MAX_VM_LIST_BYTES: Final = 1_000_000
