"""The plan of a fleet on one host and the documents that it publishes."""

import hashlib
import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.processes import Child

# Location of the configuration service in the names of the relay's links.
PLATFORM = "platform"
PUBLISHED_ENGINE_OPTIONS = (
    "decode_tokens_per_s",
    "prefill_tokens_per_s",
    "memory_tokens",
    "max_in_flight",
)

Documents = dict[str, Any]
EditDocuments = Callable[[Documents, dict[str, Documents]], None]


@dataclass(slots=True)
class OrganisationPlan:
    """Quota and further settings of one organisation."""

    rate_tokens_per_s: float = 100_000
    burst_tokens: int = 1_000_000
    extra_settings: Documents = field(default_factory=dict)


@dataclass(slots=True)
class FleetPlan:
    """What to start; `edit_documents` edits the documents before publication."""

    regions: tuple[str, ...] = ("gulf", "piedmont", "delta")
    seats: int = 3
    engines: int = 1
    services: int = 1
    organisations: dict[str, OrganisationPlan] = field(
        default_factory=lambda: {"acme": OrganisationPlan()}
    )
    engine_options: dict[str, Any] = field(default_factory=dict)
    service_options: dict[str, Any] = field(default_factory=dict)
    delay_ms: float = 0
    link_bytes_per_s: float | None = None
    uses_relay: bool = True
    settings: Documents = field(default_factory=dict)
    edit_documents: EditDocuments | None = None
    daemon_module: str = "banyanseam.daemon.main"


@dataclass(slots=True)
class Daemon:
    """One seat, its addresses and the process that currently occupies it."""

    seat: str
    region: str
    data_centre: str
    callers_address: str
    peers_address: str
    operators_address: str
    settings_path: Path
    child: Child | None = None


@dataclass(slots=True)
class UpstreamProcess:
    """One stand-in of an upstream, with its region and process."""

    name: str
    region: str
    is_model: bool
    child: Child

    @property
    def address(self) -> str:
        """Return the address on which the upstream listens."""
        return self.child.address

    def describe(self, plan: FleetPlan) -> Documents:
        """Return the upstream as the site's overlay publishes it."""
        document = {
            "kind": "model" if self.is_model else "service",
            "serves": ["oak"] if self.is_model else ["desk"],
            "address": self.address,
            "data_centre": f"{self.region}-dc1",
        }
        if not self.is_model:
            return document
        options = plan.engine_options
        return document | {
            name: options[name] for name in PUBLISHED_ENGINE_OPTIONS if name in options
        }


def make_base(plan: FleetPlan, keys: dict[str, str]) -> Documents:
    """Return the base document; the desk has a route only if the plan has services."""
    routes = {
        "chat": {
            "path_prefix": "/v1/chat/completions",
            "kind": "model",
            "request_class": "quick",
        }
    }
    if plan.services:
        routes["desk"] = {
            "path_prefix": "/desk/",
            "kind": "service",
            "request_class": "service",
            "service": "desk",
        }
    organisations = {
        name: {
            "keys": [{"sha256_hex": _hash_key(keys[name]), "label": "run"}],
            "rate_tokens_per_s": organisation.rate_tokens_per_s,
            "burst_tokens": organisation.burst_tokens,
            **organisation.extra_settings,
        }
        for name, organisation in plan.organisations.items()
    }
    return {"organisations": organisations, "routes": routes}


def make_overlay(
    plan: FleetPlan, daemons: Iterable[Daemon], upstreams: Iterable[UpstreamProcess]
) -> Documents:
    """Return the overlay of the region that has these daemons and upstreams."""
    seats = {
        daemon.seat: {
            "data_centre": daemon.data_centre,
            "callers_address": daemon.callers_address,
            "peers_address": daemon.peers_address,
        }
        for daemon in daemons
    }
    described = {upstream.name: upstream.describe(plan) for upstream in upstreams}
    return {"seats": seats, "upstreams": described}


def write_settings(
    plan: FleetPlan,
    daemon: Daemon,
    others: Iterable[Daemon],
    config_service: str,
    legs: dict[str, str],
    secret: str,
) -> None:
    """Write a daemon's settings; `legs` maps seats to the relay's addresses."""
    settings = {
        "seat": daemon.seat,
        "region": daemon.region,
        "data_centre": daemon.data_centre,
        "callers_address": daemon.callers_address,
        "peers_address": daemon.peers_address,
        "operators_address": daemon.operators_address,
        "config_service_addresses": [legs.get(PLATFORM, config_service)],
        "fleet_secret": secret,
        "first_peers": [legs.get(other.seat, other.peers_address) for other in others],
        "peer_address_overrides": {
            seat: leg for seat, leg in legs.items() if seat != PLATFORM
        },
        **plan.settings,
    }
    daemon.settings_path.write_text(json.dumps(settings, indent=2))


def _hash_key(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()
