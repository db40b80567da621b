"""Where streams began."""

from dataclasses import dataclass

from banyanseam.entry.models import Upstream


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The incarnation of an upstream that brought the first event of a stream.

    `upstream_id` is empty if only the software is known, and `software` is None if it
    is not.
    """

    service: str
    software: str | None
    upstream_id: str = ""
    started_ms: int = 0


def make_origin(upstream: Upstream) -> StreamOrigin:
    """Return the origin of the streams that an incarnation begins."""
    return StreamOrigin(
        upstream.service,
        upstream.software,
        upstream.upstream_id,
        upstream.started_ms,
    )
