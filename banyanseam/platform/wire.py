"""The names of the platform's wire format; only this package uses them."""

from typing import Final

# Headers, in lower case.
REQUEST_ID: Final = b"request-id"
DEADLINE: Final = b"request-deadline"
PREFIX: Final = b"prompt-prefix"
USAGE: Final = b"token-usage"
MODEL: Final = b"model"
LAST_EVENT_ID: Final = b"last-event-id"
RESUMES: Final = b"resumes"
SIGNATURE: Final = b"upstream-signature"
TENANT: Final = b"tenant-id"
EXPECT_INSTANCE: Final = b"expect-instance"
NOT_EXECUTED: Final = b"not-executed"
PRIORITY: Final = b"request-priority"
LEAVING: Final = b"server-leaving"
REQUEST_LIMIT: Final = b"server-limit"
BRITTLE: Final = b"server-brittle"
STORE_ERA: Final = b"store-era"

# Headers that only the gateway may send to an upstream; those of callers are dropped.
SYSTEM_HEADERS: Final = frozenset(
    {
        DEADLINE,
        TENANT,
        EXPECT_INSTANCE,
        PRIORITY,
        NOT_EXECUTED,
        SIGNATURE,
        b"expect-version",
        b"pin-duration",
        b"hold",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"authorization",
    }
)
SINGLE_HEADERS: Final = (
    REQUEST_ID,
    DEADLINE,
    PREFIX,
    USAGE,
    MODEL,
    LAST_EVENT_ID,
    RESUMES,
)

# Paths of calls.
READY_PATH: Final = "/v1/ready"
RESOLVE_PATH: Final = "/v1/resolve"
REPORT_PATH: Final = "/v1/report"
RANGE_PATH: Final = "/v1/kv-range"
WATCH_PATH: Final = "/v1/kv-watch"

# Keys of published values, and prefixes of such keys.
CONFIG_KEY: Final = "op/config"
OPERATOR_PREFIX: Final = "op/"
EVACUATION_PREFIX: Final = "op/evacuate/"
UPSTREAM_PREFIX: Final = "servers/"

# The environment variable that names the settings file.
SETTINGS_VARIABLE: Final = "BANYANSEAM_BOOT"
