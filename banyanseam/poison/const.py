"""Constants for containing poison requests, which crash the upstream running them."""

from typing import Final

# A request with this many crashes is condemned, that is, refused.
CONDEMNED_CRASHES: Final = 2
SUSPECT_TTL_S: Final = 600.0
MAX_SUSPECTS: Final = 4096
# Daemons observe the same crash of an upstream within this time of one another.
SAME_CRASH_WINDOW_S: Final = 5.0
MAX_CLEARED: Final = 4096
CRASH_ID_BYTES: Final = 4
MAX_SECTION_BYTES: Final = 1024
FINGERPRINT_BYTES: Final = 8
# A suspect (a request that ran on an upstream when it crashed) waits this long after
# the crash to request a rerun, so that the permitting seat knows of its other runs.
RERUN_DELAY_S: Final = 0.25
RERUN_REQUEST_TIMEOUT_S: Final = 1.0
RERUN_RETRY_PAUSE_S: Final = 0.1
# A rerun is requested from the seat ranked first, and from the next only if that one
# fails to answer. If none answers, the suspect tries again until its deadline.
MAX_PERMITTING_SEATS: Final = 2
RERUNS_KEY: Final = b"poison reruns"
# A daemon reports to this many seats of another region; they relay within it.
RELAYS_PER_REGION: Final = 2
# With more upstreams than this, a suspect is not confined to one: it would have to
# avoid all others, and a reservation can name at most 64 upstreams to avoid.
MAX_AVOIDED_UPSTREAMS: Final = 60
