"""Callers' keys: made from 256 random bits, published only as their SHA-256.

See docs/design/keys.md for what a withdrawal does and what may delay it.
"""

import hashlib
import secrets
from typing import Final

from banyanseam.config.compiled import Config, Organisation

KEY_PREFIX: Final = "bsk_"
_KEY_BYTES: Final = 32
_SHOWN_HEX_DIGITS: Final = 8


def make_key() -> str:
    """Return a new key; whoever calls shows it once and keeps it nowhere."""
    return KEY_PREFIX + secrets.token_urlsafe(_KEY_BYTES)


def digest_key(key: bytes) -> bytes:
    """Return the SHA-256 of a key.

    A plain hash is enough: a key has 256 random bits, so no list of likely keys
    can be tried against a published digest.
    """
    return hashlib.sha256(key).digest()


def find_organisation(config: Config, key: bytes) -> Organisation | None:
    """Return whose key this is, or None.

    The lookup compares digests, not keys. Its timing tells at most how a digest
    begins, which helps nobody to find a key with that digest.
    """
    name = config.organisation_by_digest.get(digest_key(key))
    return config.organisations[name] if name is not None else None


def is_still_valid(config: Config, digest: bytes, organisation: str) -> bool:
    """Say whether a digest seen before is still a key of the same organisation."""
    return config.organisation_by_digest.get(digest) == organisation


def redact(digest: bytes) -> str:
    """Return what logs may show of a key: the start of its digest."""
    return f"sha256:{digest.hex()[:_SHOWN_HEX_DIGITS]}"
