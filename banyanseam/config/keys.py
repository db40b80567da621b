"""Callers' API keys: 256 random bits, of which only the SHA-256 is published.

See docs/design/keys.md for how a key is withdrawn and what may delay it.
"""

import hashlib
import secrets
from typing import Final

from banyanseam.config.compiled import Config, Organisation

KEY_PREFIX: Final = "bsk_"
_KEY_BYTES: Final = 32
_SHOWN_HEX_DIGITS: Final = 8


def make_key() -> str:
    """Return a new key; show it once and never store it."""
    return KEY_PREFIX + secrets.token_urlsafe(_KEY_BYTES)


def digest_key(key: bytes) -> bytes:
    """Return the SHA-256 of a key.

    A plain hash is enough: a key has 256 random bits, so that a published digest
    can't be attacked with a list of likely keys.
    """
    return hashlib.sha256(key).digest()


def find_organisation(config: Config, key: bytes) -> Organisation | None:
    """Return the organisation that a key belongs to, or None.

    The lookup compares digests, not keys. Its timing reveals at most the start of a
    digest, which doesn't help to find a key with that digest.
    """
    name = config.organisation_by_digest.get(digest_key(key))
    return config.organisations[name] if name is not None else None


def is_still_valid(config: Config, digest: bytes, organisation: str) -> bool:
    """Return whether a key's digest still belongs to the given organisation."""
    return config.organisation_by_digest.get(digest) == organisation


def redact_digest(digest: bytes) -> str:
    """Return the start of a key's digest, which is safe to log."""
    return f"sha256:{digest.hex()[:_SHOWN_HEX_DIGITS]}"
