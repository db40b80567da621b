"""Constants of at-most-once execution."""

from typing import Final

# How long a key is remembered, and so how long a caller may go on resending it.
RETENTION_S: Final = 3600.0
TICKET_LIFE_S: Final = 600.0
TICKET_ID_BYTES: Final = 16
TICKET_MAC_BYTES: Final = 16
TICKET_PREFIX: Final = "bt1."
MAX_KEY_LENGTH: Final = 255
REGION_SEPARATOR: Final = ":"

# A key stamped further ahead of the home's clock than this is refused.
MAX_STAMP_AHEAD_S: Final = 2.0
# The clocks of two daemons differ from true time by at most this much each.
MAX_CLOCK_SKEW_S: Final = 0.5
# A published configuration is in force everywhere in reach within this time.
CONFIG_SPREAD_S: Final = 5.0
# A home trusts a stamp only when it lies this far after the home began to know:
# another process may have taken keys stamped ahead, by a clock that was off, under
# a configuration that it still held.
KNOWLEDGE_MARGIN_S: Final = CONFIG_SPREAD_S + MAX_STAMP_AHEAD_S + 2 * MAX_CLOCK_SKEW_S

# A home that has stopped as planned is stood in for by one of this many seats.
STANDBYS: Final = 3
# A standby acts for this long at most; a home that starts and cannot ask every standby
# waits as long.
STANDBY_TERM_S: Final = 300.0
# A process holds the keys of at most this many other homes.
MAX_ACTING: Final = 2
# A stopping home tries this long to hand its keys over.
HAND_OVER_LIMIT_S: Final = 10.0
HAND_OVER_TIMEOUT_S: Final = 2.0
HAND_OVER_PAUSE_S: Final = 0.2
# A home that has started takes no claims until its standbys have had this long.
TAKE_OVER_PATIENCE_S: Final = 2.0
TAKE_OVER_PAUSE_S: Final = 1.0
# Records that travel in one message, by the memory that they take.
PAGE_BYTES: Final = 256 * 1024
MAX_PAGE_RECORDS: Final = 1024
# Of how many processes before it a seat runs the tickets.
MAX_ISSUERS: Final = 16
# How long a standby can repeat keys that it gave back.
GIVEN_KEPT_S: Final = 60.0

CLAIM_TIMEOUT_S: Final = 2.0
CLAIM_PATIENCE_S: Final = 4.0
CLAIM_PAUSE_S: Final = 0.1
# A claim comes to its home within this time, else its sender gives it up.
MAX_TRANSIT_S: Final = CLAIM_TIMEOUT_S
# The home answers a claim that must wait after at most this long.
POLL_S: Final = 1.0
RELEASE_TIMEOUT_S: Final = 1.0
REPORT_PATIENCE_S: Final = 30.0
REPORT_PAUSE_S: Final = 0.5
# Added to the time that an entry says its run takes at most.
RUN_GRACE_S: Final = 5.0
SWEEP_INTERVAL_S: Final = 5.0

MAX_ANSWER_BYTES: Final = 64 * 1024
MAX_ANSWER_HEADERS: Final = 200
MEMORY_BYTES: Final = 8 * 1024 * 1024
RECORD_BYTES: Final = 600
# One organisation may hold at most this share of the memory.
ORGANISATION_SHARE: Final = 0.5
# Answers may fill this share; the rest is kept for records of new keys.
ANSWER_SHARE: Final = 0.75
MAX_MAPPINGS: Final = 16
CLAIM_ID_BYTES: Final = 16
REPLAYED_HEADER: Final = b"idempotent-replayed"
KEY_HEADER: Final = b"idempotency-key"
