"""The platform's settings file, decoded into the entry daemon's settings."""

import tomllib
from pathlib import Path
from typing import Final

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from banyanseam.entry.models import Bounds, EntrySettings
from banyanseam.settings import InvalidSettings

# Descriptors of `max_fds` that the platform reserves for files.
RESERVED_DESCRIPTORS: Final = 200


class _Document(BaseModel):
    model_config = ConfigDict(extra="ignore")


class _Listen(_Document):
    front: str
    ready: str
    control: str
    directory: str


class _Limits(_Document):
    memory_mb: int = Field(gt=0)
    max_fds: int | None = Field(default=None, gt=RESERVED_DESCRIPTORS)


class _Bounds(_Document):
    # The defaults are the values in the platform's published examples.
    grace_s: float = 8
    ttl_max_s: float = 5
    budget_ratio: float = 0.2
    budget_window_s: float = 10
    budget_extra: float = 50
    quota_slack: float = 0
    quota_window_s: float = 0
    quota_over: float = 0


class _Platform(_Document):
    address: str


class SettingsDocument(_Document):
    """A process's settings; other fields are ignored."""

    node: str
    ip: str
    zone: str
    region: str
    # First and last port that are free for traffic between the gateway's processes.
    port_range: tuple[int, int]
    seeds: list[str] = Field(default_factory=list)
    # False once the whole system has been started before.
    bootstrap: bool = True
    zones: dict[str, str] = Field(default_factory=dict)
    listen: _Listen
    limits: _Limits
    bounds: _Bounds = Field(default_factory=_Bounds)
    platform: _Platform


def read_settings(path: Path) -> EntrySettings:
    """Read and check the platform's file; raise InvalidSettings with the reason."""
    try:
        document = SettingsDocument.model_validate(tomllib.loads(path.read_text()))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise InvalidSettings(f"{path}: {error}") from error
    except ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        where = ".".join(str(part) for part in first["loc"]) or "$"
        raise InvalidSettings(f"{path}: {where}: {first['msg']}") from error
    return _to_settings(document)


def _to_settings(document: SettingsDocument) -> EntrySettings:
    bounds = document.bounds
    max_fds = document.limits.max_fds
    return EntrySettings(
        vm=document.node,
        ip=document.ip,
        data_centre=document.zone,
        region=document.region,
        regions=document.zones or {document.zone: document.region},
        callers_address=document.listen.front,
        readiness_address=document.listen.ready,
        directory_address=document.listen.directory,
        operators_address=document.listen.control,
        peers_port=document.port_range[0],
        gossip_port=document.port_range[0],
        # The seeds contain the port of the operators' interface. The peers' port is
        # the same on all VMs, so only the IP address is used.
        first_peers=tuple(seed.rpartition(":")[0] for seed in document.seeds),
        platform_address=document.platform.address,
        memory_mb=document.limits.memory_mb,
        max_sockets=None if max_fds is None else max_fds - RESERVED_DESCRIPTORS,
        is_first_start=document.bootstrap,
        bounds=Bounds(
            stop_grace_s=bounds.grace_s,
            max_list_age_s=bounds.ttl_max_s,
            retry_ratio=bounds.budget_ratio,
            retry_window_s=bounds.budget_window_s,
            retry_extra=bounds.budget_extra,
            quota_slack_tokens=bounds.quota_slack,
            quota_period_s=bounds.quota_window_s,
            quota_excess_share=bounds.quota_over,
        ),
    )
