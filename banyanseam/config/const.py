"""Constants of reading the configuration and handing it on."""

from typing import Final

BASE_KEY: Final = "base"
ORGANISATIONS_PREFIX: Final = "organisations/"
SITES_PREFIX: Final = "sites/"
MAX_NESTING: Final = 12

# How long the service may hold a watch before it answers that nothing changed.
WATCH_MS: Final = 3000
# What a call may take beyond the time that the service may hold it.
CALL_MARGIN_S: Final = 1.0
# An answer holds one value of up to a megabyte, whose text may be escaped.
MAX_REPLY_BYTES: Final = 2_500_000
READERS_PER_REGION: Final = 2
# What all processes that only poll may ask of the service together, at their slowest;
# a small fleet polls at the floor, a very large one at the ceiling.
POLL_CALLS_PER_S: Final = 100.0
POLL_FLOOR_S: Final = 3.0
POLL_CEILING_S: Final = 30.0
# How often a process that polls slowly looks whether it became a reader.
ROLE_CHECK_S: Final = 1.0
# A pause is drawn from this share of its nominal length up to all of it.
JITTER_FLOOR: Final = 0.5
BACKOFF_FIRST_S: Final = 0.25
BACKOFF_READER_S: Final = 4.0
BACKOFF_OTHERS_S: Final = 60.0
READ_ATTEMPTS: Final = 5

PEER_TIMEOUT_S: Final = 2.0
# The values in one message between daemons; the rest is asked for again.
VALUES_BYTES: Final = 1024 * 1024
# What the service holds at most in one value, and how hard peers compress it.
MAX_VALUE_BYTES: Final = 1024 * 1024
ZLIB_LEVEL: Final = 1
JOIN_ROUND_S: Final = 1.0
# How long a new process looks for a peer that serves before the service alone
# is enough.
JOIN_ALONE_S: Final = 10.0
JOIN_PEERS_OWN_REGION: Final = 8
JOIN_PEERS_OTHER_REGION: Final = 2
