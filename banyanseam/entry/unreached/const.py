"""Constants of unreached upstreams."""

from typing import Final

# A VM has no way to a service if all of its region's upstreams are unreached, or so
# many were tried in vain since the last answer of any, or half of them are where they
# are too many to be named.
FAILURES_FOR_NO_WAY: Final = 3
NO_WAY_SHARE: Final = 0.5
MAX_REPORTED_UPSTREAMS: Final = 8
# For how many heartbeats of a VM its report is valid: it reaches peers at least once in
# that time, over other peers too, and the way is back for less than the shortest time
# after a disruption at which the published bounds hold again.
REPORT_HEARTBEATS: Final = 8
MAX_REPORTED_SERVICES: Final = 16
# How often a VM without a way to a service checks one of its upstreams. An upstream
# that several VMs don't reach may be down; they check it less often.
CHECK_PERIOD_S: Final = 0.3
MAX_CHECK_PERIOD_S: Final = 1.5
CHECK_TIMEOUT_S: Final = 0.5
# A VM that runs more requests is not asked to serve those of others.
MAX_RUNNING_TO_RELAY: Final = 256
# Cost of the way over another VM of the region, as waiting time.
RELAYED_MS: Final = 40.0
# When fewer of a region's VMs have a way to its services, callers are directed to the
# others too.
MIN_NAMED_SHARE: Final = 0.25
