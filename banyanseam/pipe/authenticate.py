"""Find the organisation that owns the request's API key."""

from collections.abc import Callable

from banyanseam.config.compiled import Config
from banyanseam.config.keys import digest_key, find_organisation, is_still_valid
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
    organisation = exchange.organisation
    if organisation is None or not is_still_valid(
        config, exchange.key_digest, organisation.name
    ):
        raise KeyUnknown


def authenticate(get_config: Callable[[], Config]) -> Filter:
    """Return the filter; it removes the credentials before any later filter runs."""

    async def filter_(exchange: Exchange, next_: Next) -> None:
        key = find_key(exchange.headers)
        exchange.headers = [
            header for header in exchange.headers if header[0] not in CREDENTIAL_HEADERS
        ]
        if key is not None:
            exchange.organisation = find_organisation(get_config(), key)
            if exchange.organisation is None:
                raise KeyUnknown
            exchange.key_digest = digest_key(key)
        await next_(exchange)

    return filter_
