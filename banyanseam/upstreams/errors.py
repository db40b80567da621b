"""Failures of upstreams."""

from banyanseam.errors import BanyanseamError


class UpstreamUnreachable(BanyanseamError):
    """No connection could be made, so not a byte was sent."""

    code = "upstream.unreachable"
    event = 1400
    status = 503
    title = "The upstream cannot be reached"
    not_run = True


class UpstreamFailed(BanyanseamError):
    """The upstream failed after the first byte of the request was sent."""

    code = "upstream.failed"
    event = 1401
    status = 502
    title = "The upstream failed"


class UpstreamCrossed(BanyanseamError):
    """The upstream answered another request than the one it was sent."""

    code = "upstream.crossed"
    event = 1402
    status = 502
    title = "The upstream answered another request"
