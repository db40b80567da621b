"""Numbered log events; docs/EVENTS.md is the catalogue that operators read.

Numbers: 1xxx failures (the error classes carry them), 2xxx life cycle,
3xxx requests, 4xxx peers, 5xxx configuration, 6xxx upstreams, 7xxx quota.
"""

from dataclasses import dataclass
from typing import Any, Final

from loguru import logger


@dataclass(frozen=True, slots=True)
class Event:
    """One kind of log line: a stable number, a level and a fixed sentence."""

    number: int
    level: str
    message: str


INTERNAL_FAILURE: Final = Event(2000, "ERROR", "A fault in the daemon itself")
DAEMON_STARTED: Final = Event(2007, "INFO", "The daemon has started")
DAEMON_READY: Final = Event(2001, "INFO", "The daemon serves callers")
DRAIN_BEGUN: Final = Event(2003, "INFO", "A planned stop has begun")
DAEMON_STOPPED: Final = Event(2002, "INFO", "The daemon has stopped")
DAEMON_FAILED: Final = Event(2004, "ERROR", "The daemon cannot go on")
LIBRARY_FAULT: Final = Event(2010, "ERROR", "A library reports a fault")
LIBRARY_WARNING: Final = Event(2011, "WARNING", "A library warns")
LIBRARY_NOTE: Final = Event(2012, "INFO", "A library notes something")
REQUEST_ENDED: Final = Event(3001, "INFO", "A request ended")
REQUEST_FAILED: Final = Event(3002, "WARNING", "A request was refused or failed")
UPSTREAM_CHOSEN: Final = Event(3010, "INFO", "A place for a request was chosen")
SEND_FAILED: Final = Event(3011, "WARNING", "A send of a request failed")
REQUEST_HANDED_OVER: Final = Event(
    3012, "INFO", "A request is handed to a VM of another region"
)
SETTINGS_RELOADED: Final = Event(2005, "INFO", "Changed settings are in force")
SETTINGS_REJECTED: Final = Event(2006, "ERROR", "Changed settings are not valid")
LINK_UP: Final = Event(4001, "INFO", "A link to a peer is up")
LINK_DOWN: Final = Event(4002, "WARNING", "A link to a peer is down")
LINK_REFUSED: Final = Event(4003, "WARNING", "A link to a peer was refused")
MESSAGE_DROPPED: Final = Event(4004, "WARNING", "A message of a peer was not taken")
SEAT_SUPERSEDED: Final = Event(4010, "ERROR", "A newer process holds this seat")
PROCESS_WAS_FROZEN: Final = Event(4011, "WARNING", "The process stood still too long")
VM_LIST_DOWN: Final = Event(4013, "WARNING", "The list of VMs cannot be read")
HEARTBEAT_SECTION_DROPPED: Final = Event(
    4012, "ERROR", "A section is too large for a heartbeat"
)
CONFIG_ADOPTED: Final = Event(5001, "INFO", "A configuration is in force")
CONFIG_REJECTED: Final = Event(5002, "ERROR", "A published configuration is invalid")
CONFIG_SERVICE_DOWN: Final = Event(
    5003, "WARNING", "The configuration service does not answer"
)
CONFIG_SERVICE_BACK: Final = Event(5004, "INFO", "The configuration service is back")
VALUES_NOT_FETCHED: Final = Event(
    5005, "WARNING", "A peer did not hand on the values that it holds"
)
DATA_CENTRES_EVACUATED: Final = Event(
    5006, "INFO", "The data centres that get no requests have changed"
)
ENTRIES_ELSEWHERE: Final = Event(
    4022, "INFO", "Callers are told to use VMs of another region"
)
PEER_HEARD: Final = Event(4020, "INFO", "A peer is heard")
PEER_SILENT: Final = Event(4021, "WARNING", "A peer is no longer heard")
UPSTREAM_APPEARED: Final = Event(6020, "INFO", "An upstream is registered")
UPSTREAM_LEAVING: Final = Event(6021, "INFO", "An upstream changed its state")
UPSTREAM_GONE: Final = Event(6022, "INFO", "An upstream is no longer registered")
KEEPER_CHANGED: Final = Event(6001, "INFO", "A pool of upstreams changed its keeper")
UPSTREAM_POLL_FAILED: Final = Event(6002, "WARNING", "An upstream did not report load")

KEYS_HANDED_OVER: Final = Event(2020, "INFO", "A standby acts for this home of keys")
KEYS_NOT_HANDED_OVER: Final = Event(
    2021, "WARNING", "No standby took the keys of a home that stops"
)
KEYS_TAKEN_OVER: Final = Event(2022, "INFO", "The keys of this home were taken over")
STANDBYS_SILENT: Final = Event(
    2023, "WARNING", "A standby does not say whether it acts for this home"
)
ORDER_GIVEN: Final = Event(6010, "INFO", "An engine was given an order")
ORDER_FAILED: Final = Event(6011, "WARNING", "An engine did not take an order")
LOAD_OVERDUE: Final = Event(6012, "WARNING", "An engine loads for too long")
ENGINE_CHANGED: Final = Event(6013, "INFO", "An engine is as desired")

QUOTA_RESTARTED: Final = Event(
    7001, "WARNING", "Quota parts are withheld after a suspension"
)


def log(event: Event, **fields: Any) -> None:
    """Write one event with its fields; callers never pass keys or bodies."""
    logger.bind(event=event.number, **fields).log(event.level, event.message)
