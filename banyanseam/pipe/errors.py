"""Refusals and failures of the request pipe."""

from banyanseam.errors import BanyanseamError


class LoopDetected(BanyanseamError):
    """The request already passed one of our daemons."""

    code = "request.loop"
    event = 1300
    status = 508
    title = "The request already passed this gateway"
    not_run = True


class KeyMissing(BanyanseamError):
    """The route is not open to all and no key came with the request."""

    code = "key.missing"
    event = 1301
    status = 401
    title = "A key is needed"
    not_run = True


class KeyWithdrawn(BanyanseamError):
    """The key was withdrawn while an answer was streaming; the rest is not sent."""

    code = "key.withdrawn"
    event = 1313
    status = 401
    title = "The key was withdrawn"


class KeyUnknown(BanyanseamError):
    """The key belongs to no organisation, or was withdrawn."""

    code = "key.unknown"
    event = 1302
    status = 401
    title = "The key is not valid"
    not_run = True


class RouteUnknown(BanyanseamError):
    """No route has a prefix of this path."""

    code = "request.no_route"
    event = 1303
    status = 404
    title = "No route serves this path"
    not_run = True


class RequestMalformed(BanyanseamError):
    """The body of a model request cannot be read."""

    code = "request.malformed"
    event = 1304
    status = 400
    title = "The request cannot be read"
    not_run = True


class ResidencyExcluded(BanyanseamError):
    """Rules of the route and of the organisation leave no region."""

    code = "residency.excluded"
    event = 1305
    status = 403
    title = "No region may serve this request"
    not_run = True


class RegionUnreachable(BanyanseamError):
    """No daemon of the region that should serve the request can be reached."""

    code = "forward.region_unreachable"
    event = 1306
    status = 503
    title = "The region that should serve this request cannot be reached"
    not_run = True


class DeadlineExceeded(BanyanseamError):
    """The time of the route ran out."""

    code = "request.deadline"
    event = 1307
    status = 504
    title = "The request did not end in time"
    # The pipe withdraws this claim once an upstream was sent the first byte.
    not_run = True


class BodyTooLarge(BanyanseamError):
    """The body is larger than any route takes."""

    code = "request.body_too_large"
    event = 1309
    status = 413
    title = "The body is too large"
    not_run = True


class BodyTooSlow(BanyanseamError):
    """The body did not arrive in time."""

    code = "request.body_too_slow"
    event = 1310
    status = 408
    title = "The body did not arrive in time"
    not_run = True


class ForwardLost(BanyanseamError):
    """The daemon that served the request was lost while it did."""

    code = "forward.lost"
    event = 1311
    status = 502
    title = "The daemon that served the request was lost"


class ForwardFailed(BanyanseamError):
    """The serving daemon refused or failed; it carries that daemon's own words."""

    code = "forward.failed"
    event = 1312
    status = 502
    title = "The serving daemon could not answer"

    def __init__(
        self,
        code: str,
        detail: str,
        status: int,
        *,
        not_run: bool,
        retry_after_ms: int | None,
    ) -> None:
        """Take over code, status and advice of the serving daemon."""
        super().__init__(detail, retry_after_ms=retry_after_ms)
        self.code = code
        self.status = status
        self.not_run = not_run


class CallerGone(BanyanseamError):
    """The caller closed its connection."""

    code = "caller.gone"
    event = 1320
    status = 499
    title = "The caller closed its connection"


class AnswerCrossed(BanyanseamError):
    """A part of another request's answer arrived."""

    code = "answer.crossed"
    event = 1740
    status = 502
    title = "The upstream sent a part of another answer"


class AnswerGap(BanyanseamError):
    """A part of the answer is missing, repeated or out of order."""

    code = "answer.gap"
    event = 1741
    status = 502
    title = "The upstream left out a part of the answer"


class AnswerTruncated(BanyanseamError):
    """The answer stopped before its end."""

    code = "answer.truncated"
    event = 1742
    status = 502
    title = "The upstream stopped before the end of the answer"


class AnswerMalformed(BanyanseamError):
    """A part of the answer cannot be read."""

    code = "answer.malformed"
    event = 1743
    status = 502
    title = "The upstream sent what cannot be read"
