"""Short names for requests and for crashes of upstreams, the same at all VMs."""

from zlib import crc32

import xxhash

from banyanseam.entry.models import RequestHead, Upstream


def make_start_tag(upstream: Upstream) -> str:
    """Return a short name for an incarnation of an upstream, and for its crash."""
    return f"{crc32(f'{upstream.upstream_id}@{upstream.started_ms}'.encode()):08x}"


def make_fingerprint(organisation: str | None, head: RequestHead, body: bytes) -> int:
    """Return a hash of a request's content, which repeats of the request share.

    Reads without a body have one too. Another organisation's request is another
    request, also with the same target; those of a public route are not told apart.
    """
    digest = xxhash.xxh3_64((organisation or "").encode())
    for part in (head.host.encode(), head.method.encode(), head.target, body):
        digest.update(b"\0" + part)
    return digest.intdigest()
