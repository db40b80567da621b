"""Constants of at-most-once execution."""

from typing import Final

# How long a key's record is retained, and so how long a caller may resend the key.
RETENTION_S: Final = 3600.0
TICKET_LIFE_S: Final = 600.0
TICKET_ID_BYTES: Final = 16
TICKET_MAC_BYTES: Final = 16
TICKET_PREFIX: Final = "bt1."
MAX_KEY_LENGTH: Final = 255
REGION_SEPARATOR: Final = ":"

# Keys whose time stamp is further ahead of the home's clock than this are refused.
MAX_STAMP_AHEAD_S: Final = 2.0
# Each daemon's clock differs from true time by at most this much.
MAX_CLOCK_SKEW_S: Final = 0.5
# All reachable daemons adopt a published configuration within this time.
CONFIG_SPREAD_S: Final = 5.0
# A home accepts a key as unused only if its stamp is this much later than the start of
# the home's records: another process with an older configuration and a wrong clock may
# still have accepted keys whose stamps lay in the future.
COVERAGE_MARGIN_S: Final = CONFIG_SPREAD_S + MAX_STAMP_AHEAD_S + 2 * MAX_CLOCK_SKEW_S

# After a planned stop, one of this many seats acts for the home.
STANDBYS: Final = 3
# Longest time that a standby acts for a home. A home that starts and cannot reach
# every standby accepts no key made within this time as new.
STANDBY_TERM_S: Final = 300.0
# Number of other homes that a process acts for at most.
MAX_ACTING_HOMES: Final = 2
# How long a stopping home tries to hand its keys over.
HAND_OVER_LIMIT_S: Final = 10.0
HAND_OVER_TIMEOUT_S: Final = 2.0
HAND_OVER_PAUSE_S: Final = 0.2
# A home that has started accepts no claims until all its standbys have replied or
# this time has passed.
TAKE_OVER_WAIT_S: Final = 2.0
TAKE_OVER_PAUSE_S: Final = 1.0
# Maximum size of the records in one message, measured by their size in memory.
PAGE_BYTES: Final = 256 * 1024
MAX_PAGE_RECORDS: Final = 1024
# A seat's records cover the tickets of at most this many processes, the newest ones.
MAX_ISSUERS: Final = 16
# How long a standby can resend keys that it has returned to the successor.
RETURNED_RETENTION_S: Final = 60.0

CLAIM_TIMEOUT_S: Final = 2.0
CLAIM_RETRY_LIMIT_S: Final = 4.0
CLAIM_PAUSE_S: Final = 0.1
# Longest transit of a claim to its home; its sender gives up after that.
MAX_TRANSIT_S: Final = CLAIM_TIMEOUT_S
# The home replies to a claim that waits for a running request within this time.
POLL_S: Final = 1.0
RELEASE_TIMEOUT_S: Final = 1.0
REPORT_RETRY_LIMIT_S: Final = 30.0
REPORT_PAUSE_S: Final = 0.5
# Added to the longest run time that a claim states, to bound when the run has ended.
RUN_GRACE_S: Final = 5.0
SWEEP_INTERVAL_S: Final = 5.0

MAX_ANSWER_BYTES: Final = 64 * 1024
MAX_ANSWER_HEADERS: Final = 200
MEMORY_BYTES: Final = 8 * 1024 * 1024
# Estimated memory use of one record, without its key and its answer.
RECORD_BYTES: Final = 600
# Share of the memory that one organisation may use at most.
ORGANISATION_SHARE: Final = 0.5
# An answer is stored only while all records use at most this share of the memory;
# the remaining memory is reserved for new keys.
ANSWER_SHARE: Final = 0.75
MAX_MAPPINGS: Final = 16
CLAIM_ID_BYTES: Final = 16
REPLAYED_HEADER: Final = b"idempotent-replayed"
KEY_HEADER: Final = b"idempotency-key"
