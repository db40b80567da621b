"""Compute a digest of a request's content, to recognise the request when resent."""

import hashlib
import re

from banyanseam.pipe.models import Exchange
from banyanseam.poison.const import FINGERPRINT_BYTES

_WHITE_SPACE = b" \t\r\n"
# JSON fields whose values may change when a caller resends a request.
_IDS = re.compile(rb'"(?:request_id|trace_id|id|user)":"[^"\\]*",?')


def make_poison_fingerprint(exchange: Exchange) -> bytes:
    """Return a short digest of organisation, route, method, path, query and body.

    White space and ids in the body are ignored, so that a resent request is
    recognised. Requests that differ only in these are treated as the same
    request, which is harmless.
    """
    body = _IDS.sub(b"", exchange.body.translate(None, _WHITE_SPACE))
    organisation = exchange.organisation.name if exchange.organisation else ""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (organisation, exchange.route.name, exchange.method, exchange.path):
        digest.update(part.encode() + b"\0")
    digest.update(exchange.query + b"\0" + body)
    return digest.digest()
