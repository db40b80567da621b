"""IP addresses with ports, in one spelling so that equal ones compare equal."""

from functools import lru_cache
from ipaddress import ip_address
from typing import Final

MAX_PORT: Final = 65_535
# Nearly every address of a version was in the one before.
KNOWN_ADDRESSES: Final = 4096


@lru_cache(maxsize=KNOWN_ADDRESSES)
def normalise_address(address: str) -> str:
    """Return the usual spelling of an IP address and port; raise ValueError."""
    host, _, port = address.rpartition(":")
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        parsed = ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        raise ValueError("write an IP address and a port, as 10.0.0.1:8080") from None
    if is_bracketed != (parsed.version == 6):
        raise ValueError("write an IPv6 address in brackets, as [fd00::1]:8080")
    if int(port) > MAX_PORT:
        raise ValueError(f"choose a port up to {MAX_PORT}")
    return f"[{parsed}]:{int(port)}" if is_bracketed else f"{parsed}:{int(port)}"


@lru_cache(maxsize=KNOWN_ADDRESSES)
def can_be_dialled(address: str) -> bool:
    """Say whether a normalised address names one host and one port."""
    host, _, port = address.rpartition(":")
    parsed = ip_address(host.strip("[]"))
    return port != "0" and not parsed.is_unspecified and not parsed.is_multicast


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of `host:port`, with IPv6 hosts in brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
