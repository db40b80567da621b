"""Constants of the containment of poison requests."""

from typing import Final

# At this many crashes a request is refused.
CONDEMNED_CRASHES: Final = 2
SUSPECT_TTL_S: Final = 600.0
MAX_SUSPECTS: Final = 4096
# Daemons see one crash of an upstream within this time of one another.
SAME_CRASH_S: Final = 5.0
MAX_CLEARED: Final = 4096
CRASH_ID_BYTES: Final = 4
SECTION_BYTES: Final = 1024
FINGERPRINT_BYTES: Final = 8
# A suspect waits this long after its crash before it asks to run again, so that runs
# elsewhere of the same request are known to the seat that is asked.
SPREAD_S: Final = 0.25
ASK_TIMEOUT_S: Final = 1.0
ASK_PAUSE_S: Final = 0.1
# So many seats are asked for permission before the own one decides.
ASKED_SEATS: Final = 2
RERUNS_KEY: Final = b"poison reruns"
# A daemon tells so many seats of another region, which tell the rest of it.
RELAYS: Final = 2
# Upstreams beyond so many are not kept free for a suspect by name: a request for
# room names at most 64 to avoid.
MAX_AVOIDED: Final = 60
