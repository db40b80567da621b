"""Find the organisation whose key came with the request."""

import hashlib
from collections.abc import Callable

from banyanseam.config.compiled import Config
from banyanseam.pipe.const import CREDENTIAL_HEADERS
from banyanseam.pipe.errors import KeyUnknown
from banyanseam.pipe.models import Exchange, Filter, Headers, Next

_BEARER = b"bearer "


def find_key(headers: Headers) -> bytes | None:
    """Return the key that a caller presents, if any."""
    for name, value in headers:
        if name == b"authorization" and value[: len(_BEARER)].lower() == _BEARER:
            return value[len(_BEARER) :].strip()
        if name == b"x-api-key":
            return value.strip()
    return None


def check_key(config: Config, exchange: Exchange) -> None:
    """Raise KeyUnknown when the key of the exchange is no longer published."""
    if exchange.key_digest is None:
        return
    name = config.organisation_by_digest.get(exchange.key_digest)
    if exchange.organisation is None or name != exchange.organisation.name:
        raise KeyUnknown


def authenticate(get_config: Callable[[], Config]) -> Filter:
    """Return the filter; it strips the credentials before anything else sees them."""

    async def filter_(exchange: Exchange, next_: Next) -> None:
        key = find_key(exchange.headers)
        exchange.headers = [
            header for header in exchange.headers if header[0] not in CREDENTIAL_HEADERS
        ]
        if key is not None:
            # Looking a digest up leaks nothing about the key: its timing depends on
            # the digest alone, which whoever lacks the key cannot steer.
            digest = hashlib.sha256(key).digest()
            config = get_config()
            name = config.organisation_by_digest.get(digest)
            if name is None:
                raise KeyUnknown
            exchange.key_digest = digest
            exchange.organisation = config.organisations[name]
        await next_(exchange)

    return filter_
