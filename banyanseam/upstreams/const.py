"""Constants for choosing upstreams and for accounting for their memory."""

from typing import Final

# Memory leases; these terms apply to a region whose seats form a full mesh.
RENEW_PERIOD_S: Final = 1.0
LARGE_REGION_RENEW_PERIOD_S: Final = 4.0
# The encoded size of a lease number in the digest of an entry's leases.
NUMBER_BYTES: Final = 8
CALL_RENEW_TIMEOUT_S: Final = 0.8
LEASE_TERM_S: Final = 3.5
ANNOUNCE_TERM_S: Final = 2.5
# The learning period: a new keeper (the seat that grants a pool's leases) collects the
# existing leases for this long before it grants more than LEARNING_SHARE.
LEARNING_S: Final = 3.0
# A keeper grants the whole memory after this long without a sign of another keeper.
NO_CONFLICT_TERM_S: Final = 10.0
# A gap longer than this between two runs of a periodic task means that the process was
# suspended.
SUSPENSION_GAP_S: Final = 1.5
EXPIRE_PERIOD_S: Final = 0.05
GRANT_VALIDITY_S: Final = 1.0
# How long the lease of an aborted request still counts, since it may still be running.
LINGER_S: Final = 2.0
# Shares of an upstream's memory: never granted, and granted in the learning period.
MARGIN_SHARE: Final = 0.1
LEARNING_SHARE: Final = 0.05
# The share of the free memory that is granted while another keeper may be granting too;
# it needs a load report, which shows that keeper's grants.
DISPUTED_SHARE: Final = 0.25

# Load reports.
MIN_POLL_PERIOD_S: Final = 0.5
MAX_POLL_PERIOD_S: Final = 2.0
# A keeper with many upstreams polls each less often to stay below this, but at least
# once in MAX_POLL_PERIOD_S.
MAX_POLLS_PER_S: Final = 10
POLL_TIMEOUT_S: Final = 1.0
REPORT_TERM_S: Final = 3.0
# The tolerance when a report's sampling time is compared with the time of a grant: the
# request may still have been on its way to the upstream.
REPORT_TIME_TOLERANCE_S: Final = 0.1

# Pools and their queues.
MAX_POOL_UPSTREAMS: Final = 8
# No request goes to an upstream with more pending prefill than this, because requests
# queued inside an engine are not subject to the fair order.
MAX_PREFILL_AHEAD_S: Final = 0.5
# No request goes to a busy upstream if its decode steps would then exceed this.
MAX_DECODE_STEP_S: Final = 0.063
# Without a load report, prompts sent longer ago than this count as prefilled.
UNREPORTED_PREFILL_TERM_S: Final = 10.0
# How many later requests may be served before one that does not fit; after that, an
# upstream is withheld from them.
MAX_BYPASSES: Final = 8
# How many requests of each organisation are tried until one fits.
LOOK_AHEAD: Final = 4
# The cost of an output token in prompt tokens.
OUTPUT_WEIGHT: Final = 2.0
# The weight of one request in the moving average of the used share of its output.
USED_SHARE_STEP: Final = 0.02
# How long an entry daemon waits for a keeper's reply beyond the request's deadline.
RESERVE_SLACK_S: Final = 1.0
# How often the counters of idle organisations are dropped.
FORGET_PERIOD_S: Final = 60.0
RESERVE_RETRY_S: Final = 0.05
DESTINATION_RETRY_S: Final = 0.1
# How long to look for another pool or region after an upstream was unreachable.
UNREACHABLE_RETRY_TERM_S: Final = 3.0
KEEPER_PERIOD_S: Final = 0.25
# How often a daemon recomputes the pools' keepers while no request is queued.
KEEPER_CHECK_PERIOD_S: Final = 0.5
# How long the computed summary of a pool is reused.
ROW_CACHE_TERM_S: Final = 0.1

# Health.
FAILURES_TO_EJECT: Final = 3
FIRST_PAUSE_S: Final = 1.0
MAX_PAUSE_S: Final = 60.0
PROBE_TERM_S: Final = 30.0

# Prefix affinity.
PREFIX_BLOCK_BYTES: Final = 1024
MAX_PREFIX_BLOCKS: Final = 32
MAX_PREFIX_ENTRIES: Final = 20_000
# The block whose hash places a prompt: low enough that most sessions reach it, high
# enough to lie beyond a common preamble.
RENDEZVOUS_BLOCK: Final = 3
# A request avoids an upstream whose load would exceed this multiple of the pool's mean.
LOAD_BOUND: Final = 1.25
# An upstream with a cached prefix is used up to this share of its memory, whatever the
# pool's mean load is.
LIGHT_LOAD_SHARE: Final = 0.5

# Other regions.
ROW_TERM_S: Final = 3.0
REGION_TERM_S: Final = 5.0
# How long a region that is reachable again takes to get its full share of requests.
RAMP_S: Final = 30.0
SHARE_HALF_LIFE_S: Final = 10.0
# The factor on the margin while requests are already sent to other regions.
HYSTERESIS: Final = 0.5
ROUND_TRIP_BETWEEN_REGIONS_S: Final = 0.11
MAX_SECTION_BYTES: Final = 4096
BYTES_PER_TOKEN: Final = 4
MIN_RETRY_AFTER_MS: Final = 100
MAX_RETRY_AFTER_MS: Final = 30_000

# Connections to upstreams.
CONNECT_TIMEOUT_S: Final = 1.0
POOL_TIMEOUT_S: Final = 1.0
READ_TIMEOUT_S: Final = 30.0
WRITE_TIMEOUT_S: Final = 10.0
# Connections reserved for polls and cancellations, beyond the requests in flight.
SPARE_CONNECTIONS: Final = 4
MAX_IDLE_CONNECTIONS: Final = 32
IDLE_CONNECTION_S: Final = 5.0
# The bytes that a connection buffers for a request that reads its answer slowly.
READ_AHEAD_BYTES: Final = 64 * 1024
# An answer's head, with the interim answers before it.
MAX_ANSWER_HEAD_BYTES: Final = 64 * 1024
MAX_LOAD_BODY_BYTES: Final = 64 * 1024
# The longest time between a grant and the first written byte of its request, with the
# error of a report's sampling time.
MAX_SEND_DELAY_S: Final = (
    GRANT_VALIDITY_S + POOL_TIMEOUT_S + CONNECT_TIMEOUT_S + POLL_TIMEOUT_S / 2
)
VIA: Final = b"1.1 banyanseam"
