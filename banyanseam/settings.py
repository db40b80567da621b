"""The settings of one process: its location, listen addresses and services."""

from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, SecretStr, ValidationError

from banyanseam.config.models import Address, Name
from banyanseam.errors import BanyanseamError

Listen = Annotated[Address, Field(description="IP address and port")]


class InvalidSettings(BanyanseamError):
    """The settings file is missing, is not JSON or does not match the schema."""

    code = "settings.invalid"
    event = 1001
    status = 500
    title = "The settings file is not valid"
    not_run = True


class TlsSettings(BaseModel):
    """Certificates for the links between daemons."""

    model_config = ConfigDict(extra="forbid")

    certificate_path: Path
    key_path: Path
    authority_path: Path


class Settings(BaseModel):
    """Settings of one daemon process, read from a file on its VM.

    `peer_address_overrides` maps a seat to the address that this process dials in
    place of the published one. An override does not change how peers authenticate.
    """

    model_config = ConfigDict(extra="forbid")

    seat: Name
    region: Name
    data_centre: Name
    callers_address: Listen
    peers_address: Listen
    operators_address: Listen
    config_service_addresses: list[Address] = Field(min_length=1)
    # Address of the platform's list of live and leaving VMs. If unset, the state
    # of peers is derived from their heartbeats alone.
    vm_list_address: Address | None = None
    fleet_secret: SecretStr = Field(min_length=16)
    # Peers that a new process asks for a configuration until it has read one.
    first_peers: list[Address] = Field(default_factory=list)
    # Addresses that replace the published ones of seats, for example when a tunnel or
    # a relay connects two regions.
    peer_address_overrides: dict[Name, Address] = Field(default_factory=dict)
    peers_tls: TlsSettings | None = None
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


def read_settings(path: Path) -> Settings:
    """Read and check a settings file; raise InvalidSettings with the first error."""
    try:
        return Settings.model_validate_json(path.read_bytes())
    except OSError as error:
        raise InvalidSettings(f"{path}: {error.strerror}") from error
    except ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        where = ".".join(str(part) for part in first["loc"]) or "$"
        raise InvalidSettings(f"{path}: {where}: {first['msg']}") from error
