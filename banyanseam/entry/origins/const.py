"""Constants of what is known of the origins of streams."""

from typing import Final

# How long a stream may be taken up after it began, and how long an upstream that is no
# longer listed may have begun streams. Callers' deadlines and the time in which a
# leaving upstream still serves are shorter together.
TAKE_UP_S: Final = 20.0
MAX_ORIGINS: Final = 16_384
# Streams are reported to this many processes of the own region, and of each of the
# regions that a hash of the stream chooses.
OWN_REGION_HOLDERS: Final = 2
OTHER_REGION_HOLDERS: Final = 1
CHOSEN_REGIONS: Final = 2
# Processes of each region that are asked: some of the holders may be gone since, or
# others have started that rank before them.
ASKED_IN_REGION: Final = 3
# More than the round trip to any other region.
ASK_TIMEOUT_S: Final = 0.2
# How often streams that began while one version served are examined again.
REPORT_PERIOD_S: Final = 0.25
# Rows in one datagram.
MAX_REPORTED_ROWS: Final = 256
# How long the versions of a service are reused.
VERSIONS_VIEW_S: Final = 0.1
# A caller waits for the check of an upstream that may hang.
CHECK_TIMEOUT_S: Final = 0.15
