"""IP addresses with ports, in canonical form so that equal addresses compare equal."""

from functools import lru_cache
from ipaddress import ip_address
from typing import Final

MAX_PORT: Final = 65_535
# Cached since successive configuration versions have nearly the same addresses.
ADDRESS_CACHE_SIZE: Final = 4096


@lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def normalise_address(address: str) -> str:
    """Return the canonical form of an IP address and port; raise ValueError."""
    host, _, port = address.rpartition(":")
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        parsed = ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        raise ValueError(
            "must be an IP address and a port, such as 10.0.0.1:8080"
        ) from None
    if is_bracketed != (parsed.version == 6):
        raise ValueError(
            "an IPv6 address must be in brackets, such as [fd00::1]:8080, "
            "and an IPv4 address must not"
        )
    if int(port) > MAX_PORT:
        raise ValueError(f"the port must be at most {MAX_PORT}")
    return f"[{parsed}]:{int(port)}" if is_bracketed else f"{parsed}:{int(port)}"


@lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def is_connectable(address: str) -> bool:
    """Return whether a normalised address is a single host and a usable port."""
    host, _, port = address.rpartition(":")
    parsed = ip_address(host.strip("[]"))
    return port != "0" and not parsed.is_unspecified and not parsed.is_multicast


def split_address(address: str) -> tuple[str, int]:
    """Split `host:port`, with IPv6 hosts in brackets, into host and port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
