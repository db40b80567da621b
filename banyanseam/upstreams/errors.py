"""Failures of finding room on an upstream and of sending to it."""

from banyanseam.errors import BanyanseamError


class NoUpstreamAllowed(BanyanseamError):
    """No upstream that serves this lies where the request may be served."""

    code = "upstreams.none_allowed"
    event = 1400
    status = 421
    title = "No upstream may serve this request where it must stay"
    not_run = True


class NoUpstreamAvailable(BanyanseamError):
    """Upstreams exist but none is healthy and has room in time."""

    code = "upstreams.none_available"
    event = 1401
    status = 503
    title = "No upstream can take this request now"
    not_run = True


class NoneUsable(NoUpstreamAvailable):
    """Every upstream of the asked pool is out of use: another place may serve."""

    code = "upstreams.none_usable"
    event = 1410
    title = "Every upstream of the pool is out of use"


class AllTried(NoUpstreamAvailable):
    """Every upstream that may serve the request has failed it already."""

    code = "upstreams.all_tried"
    event = 1411
    title = "Every upstream that may serve the request was tried in vain"


class RequestTooLarge(BanyanseamError):
    """The request would not fit in any allowed upstream, even in an idle one."""

    code = "upstreams.request_too_large"
    event = 1402
    status = 413
    title = "The request is larger than the memory of any upstream"
    not_run = True


class NotKeeper(BanyanseamError):
    """This daemon does not keep the pool; the asker's view differs for a moment."""

    code = "upstreams.not_keeper"
    event = 1403
    status = 503
    title = "Another daemon keeps this pool of upstreams"
    not_run = True


class KeeperChanged(BanyanseamError):
    """The asked keeper no longer keeps the pool in this daemon's view."""

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
    title = "The upstream failed while it may have run the request"
    not_run = False


class UpstreamTimedOut(UpstreamFailed):
    """The upstream fell silent after the request was sent: it may still run."""

    code = "upstreams.timed_out"
    event = 1407
    status = 504
    title = "The upstream did not answer in time"


class InvalidSection(BanyanseamError):
    """A heartbeat's section on upstreams does not validate."""

    code = "upstreams.invalid_section"
    event = 1408
    status = 502
    title = "A region's summary of its upstreams is not valid"
