"""Errors of reserving capacity on an upstream and of sending requests to it."""

from banyanseam.errors import BanyanseamError


class NoUpstreamAllowed(BanyanseamError):
    """No upstream in an allowed region serves the requested model or service."""

    code = "upstreams.none_allowed"
    event = 1400
    status = 421
    title = "No upstream in the allowed regions serves this request"
    not_run = True


class NoUpstreamAvailable(BanyanseamError):
    """Upstreams exist but none is healthy with enough free memory in time."""

    code = "upstreams.none_available"
    event = 1401
    status = 503
    title = "No upstream can take this request now"
    not_run = True


class NoneUsable(NoUpstreamAvailable):
    """Every upstream of the pool is unusable; another pool may serve the request."""

    code = "upstreams.none_usable"
    event = 1410
    title = "Every upstream of the pool is unusable"


class AllTried(NoUpstreamAvailable):
    """Every upstream that may serve the request has already failed it."""

    code = "upstreams.all_tried"
    event = 1411
    title = "Every upstream that may serve the request has failed it"


class RequestTooLarge(BanyanseamError):
    """The request exceeds the memory of every allowed upstream, even when idle."""

    code = "upstreams.request_too_large"
    event = 1402
    status = 413
    title = "The request is larger than the memory of any upstream"
    not_run = True


class NotKeeper(BanyanseamError):
    """This daemon is not the pool's keeper; the caller's view differs temporarily."""

    code = "upstreams.not_keeper"
    event = 1403
    status = 503
    title = "Another daemon is the keeper of this pool of upstreams"
    not_run = True


class KeeperChanged(BanyanseamError):
    """In this daemon's view, the pool's keeper changed during the call."""

    code = "upstreams.keeper_changed"
    event = 1409
    status = 503
    title = "The pool of upstreams is changing its keeper"
    not_run = True


class UpstreamUnreachable(BanyanseamError):
    """The upstream could not be reached: no byte of the request was written."""

    code = "upstreams.unreachable"
    event = 1404
    status = 502
    title = "The upstream cannot be reached"
    not_run = True


class UpstreamRefused(BanyanseamError):
    """The upstream proved that it did not start the request."""

    code = "upstreams.refused"
    event = 1405
    status = 503
    title = "The upstream refused the request before it started"
    not_run = True


class UpstreamFailed(BanyanseamError):
    """The upstream failed after the request was sent: it may have run."""

    code = "upstreams.failed"
    event = 1406
    status = 502
    title = "The upstream failed after it may have started the request"
    not_run = False


class UpstreamTimedOut(UpstreamFailed):
    """The upstream stopped responding after the request was sent: it may still run."""

    code = "upstreams.timed_out"
    event = 1407
    status = 504
    title = "The upstream did not answer in time"


class InvalidSection(BanyanseamError):
    """The upstreams section of a heartbeat is not valid."""

    code = "upstreams.invalid_section"
    event = 1408
    status = 502
    title = "A region's summary of its upstreams is not valid"
