"""Constants for reading the configuration and replicating it between daemons."""

from typing import Final

BASE_KEY: Final = "base"
ORGANISATIONS_PREFIX: Final = "organisations/"
SITES_PREFIX: Final = "sites/"
MAX_NESTING: Final = 12

# Longest time that the service may hold a watch call open before it answers that
# nothing changed.
WATCH_MS: Final = 3000
# The timeout of a call is the time that the service may hold it open plus this margin.
CALL_MARGIN_S: Final = 1.0
# A reply holds one value of up to a megabyte; escaped JSON text can be longer.
MAX_REPLY_BYTES: Final = 2_500_000
READERS_PER_REGION: Final = 2
# Total call rate to the service of all processes that only poll, before jitter, which
# can double it. The poll period grows with the number of seats, between the floor
# (small fleets) and the ceiling (very large ones).
POLL_CALLS_PER_S: Final = 100.0
POLL_FLOOR_S: Final = 3.0
POLL_CEILING_S: Final = 30.0
# Interval at which a waiting process checks whether it has become a reader.
ROLE_CHECK_S: Final = 1.0
# A pause is drawn uniformly from this fraction of its nominal length up to all of it.
JITTER_FLOOR: Final = 0.5
BACKOFF_FIRST_S: Final = 0.25
MAX_BACKOFF_READER_S: Final = 4.0
MAX_BACKOFF_OTHERS_S: Final = 60.0
READ_ATTEMPTS: Final = 5

PEER_TIMEOUT_S: Final = 2.0
# Limit on the values in one reply between daemons; the requester asks for the rest
# in further calls.
VALUES_REPLY_BYTES: Final = 1024 * 1024
# Largest value that the service stores, and the compression level between peers.
MAX_VALUE_BYTES: Final = 1024 * 1024
ZLIB_LEVEL: Final = 1
JOIN_RETRY_S: Final = 1.0
# How long a new process looks for a serving peer before it relies on the
# configuration service alone.
JOIN_WITHOUT_PEERS_S: Final = 10.0
# How many peers a new process asks in its own region and in each other one.
JOIN_PEERS_OWN_REGION: Final = 8
JOIN_PEERS_OTHER_REGION: Final = 2
