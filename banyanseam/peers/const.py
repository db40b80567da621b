"""Limits, periods and timeouts of links, heartbeats and the platform's VM list."""

from typing import Final

PROTOCOL_VERSION: Final = 2
MAX_MESSAGE_BYTES: Final = 4 * 1024 * 1024
HANDSHAKE_TIMEOUT_S: Final = 3.0
REDIAL_PAUSE_S: Final = 0.25
NONCE_BYTES: Final = 16
MAX_CALLS_PER_LINK: Final = 2000
PING_INTERVAL_S: Final = 4.0
PING_TIMEOUT_S: Final = 4.0
# Kept small, to bound the bytes buffered for one slow link. A large forwarded answer is
# also limited by the credit that its receiver grants.
WRITE_LIMIT_BYTES: Final = 256 * 1024

HEARTBEAT_PERIOD_S: Final = 1.0
HEARTBEAT_JITTER: Final = 0.1
HEARTBEAT_TIMEOUT_S: Final = 0.9
# Regions of up to this many seats form a full mesh, larger ones a ring with chords.
FULL_MESH_SEATS: Final = 10
RING_FANOUT: Final = 5
# Fleets of up to this many seats send heartbeats across regions in every period.
SMALL_FLEET_SEATS: Final = 36
# A silent seat counts as gone after this multiple of the suspect timeout.
GONE_FACTOR: Final = 3
# Factor on the suspect timeout of a process whose VM the platform lists as leaving or
# doesn't list.
PLATFORM_SUSPECT_FACTOR: Final = 0.5
MAX_ROWS: Final = 1024
# Weight of a new sample in the moving average of the delay to a seat.
DELAY_WEIGHT: Final = 0.2
# Limits on one section and on all sections of a heartbeat.
SECTION_BYTES: Final = 1024
SECTIONS_BYTES: Final = 2048

SUSPENSION_TICK_S: Final = 0.5
INCARNATION_RANDOM_BITS: Final = 16
VM_LIST_PERIOD_S: Final = 2.0
VM_LIST_JITTER_FLOOR: Final = 0.5
VM_LIST_TIMEOUT_S: Final = 1.0
MAX_VM_LIST_BYTES: Final = 1_000_000
