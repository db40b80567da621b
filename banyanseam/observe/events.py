"""Numbered log events; docs/EVENTS.md is the catalogue for operators.

Numbers: 1xxx failures (defined by the error classes), 2xxx life cycle,
3xxx requests, 4xxx peers, 5xxx configuration, 6xxx upstreams, 7xxx quota.
"""

from dataclasses import dataclass
from typing import Any, Final

from loguru import logger


@dataclass(frozen=True, slots=True)
class Event:
    """A kind of log line with a stable number, a level and a constant message."""

    number: int
    level: str
    message: str


INTERNAL_FAILURE: Final = Event(2000, "ERROR", "Internal error in the daemon")
DAEMON_STARTED: Final = Event(2007, "INFO", "The daemon started")
DAEMON_READY: Final = Event(2001, "INFO", "The daemon is ready for requests")
DRAIN_STARTED: Final = Event(
    2003, "INFO", "The daemon is draining before a planned stop"
)
METRICS_NOT_SERVED: Final = Event(
    2024, "WARNING", "The port for metrics is in use; metrics are not served on it"
)
CONNECTIONS_CLOSED: Final = Event(
    2025, "WARNING", "Connections were closed because of the limits of the ports"
)
STOP_DELAYED: Final = Event(
    2026, "INFO", "The daemon delays its stop: its region has no other that serves"
)
DAEMON_STOPPED: Final = Event(2002, "INFO", "The daemon stopped")
DAEMON_FAILED: Final = Event(2004, "ERROR", "The daemon failed and is exiting")
LIBRARY_ERROR: Final = Event(2010, "ERROR", "A library logged an error")
LIBRARY_WARNING: Final = Event(2011, "WARNING", "A library logged a warning")
LIBRARY_INFO: Final = Event(2012, "INFO", "A library logged an information message")
REQUEST_ENDED: Final = Event(3001, "INFO", "A request ended")
REQUEST_FAILED: Final = Event(3002, "WARNING", "A request was refused or failed")
UPSTREAM_CHOSEN: Final = Event(3010, "INFO", "An upstream was chosen for a request")
SEND_FAILED: Final = Event(3011, "WARNING", "Sending a request to an upstream failed")
REQUEST_FORWARDED: Final = Event(
    3012, "INFO", "A request is forwarded to a VM of another region"
)
SUSPECT_TRIED: Final = Event(
    3014, "WARNING", "A request that may crash upstreams is tried once more"
)
CRASH_RECORDED: Final = Event(
    3013, "WARNING", "An upstream crashed while it ran a request"
)
STREAM_TAKEN_UP: Final = Event(
    3015, "INFO", "A caller takes up a stream that broke off"
)
SETTINGS_RELOADED: Final = Event(2005, "INFO", "Changed settings were applied")
SETTINGS_REJECTED: Final = Event(
    2006, "ERROR", "Changed settings are invalid and were not applied"
)
LINK_UP: Final = Event(4001, "INFO", "A link to a peer is up")
LINK_DOWN: Final = Event(4002, "WARNING", "A link to a peer is down")
LINK_REFUSED: Final = Event(4003, "WARNING", "A link to a peer was refused")
MESSAGE_DROPPED: Final = Event(
    4004, "WARNING", "A message from or to a peer was dropped"
)
SEAT_SUPERSEDED: Final = Event(
    4010, "ERROR", "A newer process has taken over this seat"
)
PROCESS_WAS_SUSPENDED: Final = Event(
    4011, "WARNING", "The process was suspended for too long"
)
VM_LIST_DOWN: Final = Event(4013, "WARNING", "The list of VMs cannot be fetched")
HEARTBEAT_SECTION_DROPPED: Final = Event(
    4012, "ERROR", "A heartbeat section was dropped because it is too large"
)
CONFIG_ADOPTED: Final = Event(5001, "INFO", "A configuration is in force")
CONFIG_REJECTED: Final = Event(
    5002, "ERROR", "A published configuration is invalid and was rejected"
)
CONFIG_SERVICE_DOWN: Final = Event(
    5003, "WARNING", "The configuration service does not respond"
)
CONFIG_SERVICE_BACK: Final = Event(
    5004, "INFO", "The configuration service responds again"
)
VALUES_NOT_FETCHED: Final = Event(
    5005, "WARNING", "Configuration values could not be fetched from a peer"
)
EVACUATION_CHANGED: Final = Event(
    5006, "INFO", "The set of evacuated data centres changed"
)
STORE_RESTORED: Final = Event(5007, "WARNING", "The store was restored from a copy")
ENTRIES_IN_OTHER_REGION: Final = Event(
    4022, "INFO", "Callers are directed to VMs of another region"
)
PEER_ALIVE: Final = Event(4020, "INFO", "Heartbeats from a peer are received")
PEER_SILENT: Final = Event(4021, "WARNING", "Heartbeats from a peer have stopped")
UPSTREAM_REGISTERED: Final = Event(6020, "INFO", "An upstream is registered")
UPSTREAM_STATE_CHANGED: Final = Event(6021, "INFO", "An upstream changed its state")
UPSTREAM_DEREGISTERED: Final = Event(6022, "INFO", "An upstream was deregistered")
UPSTREAM_LIMIT_CHANGED: Final = Event(
    6023, "INFO", "An upstream changed the limit of requests that it takes"
)
PERFORMANCE_CHANGED: Final = Event(
    6024, "INFO", "The observed speed of a service changed"
)
UPSTREAM_RESTARTED: Final = Event(
    6025, "INFO", "An upstream has started again under its id"
)
UPSTREAM_CHECKED: Final = Event(
    6026, "INFO", "An upstream was asked for its start after a failed connection"
)
UPSTREAM_BRITTLE: Final = Event(
    6027, "INFO", "An upstream has said that it is brittle, or no longer is"
)
WAY_LOST: Final = Event(
    6028, "WARNING", "This VM has no way to a service's upstreams of its region"
)
WAY_RESTORED: Final = Event(
    6029, "INFO", "This VM has a way to a service's upstreams of its region again"
)
KEEPER_CHANGED: Final = Event(6001, "INFO", "A pool of upstreams changed its keeper")
UPSTREAM_POLL_FAILED: Final = Event(
    6002, "WARNING", "An upstream did not report its load"
)
ENGINE_RESTARTED: Final = Event(
    6003, "WARNING", "An upstream restarted under the name that it had"
)

KEYS_HANDED_OVER: Final = Event(
    2020, "INFO", "The idempotency keys of a stopping home were sent to a standby"
)
KEYS_NOT_HANDED_OVER: Final = Event(
    2021, "WARNING", "No standby took over the idempotency keys of a stopping home"
)
KEYS_RESTORED: Final = Event(
    2022, "INFO", "This home restored its idempotency keys from a standby"
)
STANDBYS_SILENT: Final = Event(
    2023, "WARNING", "A standby has not reported whether it acts for this home"
)
ORDER_SENT: Final = Event(6010, "INFO", "An order was sent to an engine")
ORDER_FAILED: Final = Event(6011, "WARNING", "An order to an engine failed")
LOAD_OVERDUE: Final = Event(
    6012, "WARNING", "An engine exceeded its time limit for loading"
)
ENGINE_CONVERGED: Final = Event(6013, "INFO", "An engine reached its desired state")

QUOTA_WITHHELD: Final = Event(
    7001, "WARNING", "Quota is withheld: this process was suspended or superseded"
)


def log(event: Event, **fields: Any) -> None:
    """Log an event with its fields; callers must not pass keys or bodies."""
    logger.bind(event=event.number, **fields).log(event.level, event.message)
