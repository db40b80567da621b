"""Errors of the request pipeline."""

from banyanseam.errors import BanyanseamError


class LoopDetected(BanyanseamError):
    """The request already passed through a daemon of this gateway."""

    code = "request.loop"
    event = 1300
    status = 508
    title = "The request already passed through this gateway"
    not_run = True


class KeyMissing(BanyanseamError):
    """The route is not open to all and the request has no API key."""

    code = "key.missing"
    event = 1301
    status = 401
    title = "An API key is required"
    not_run = True


class KeyWithdrawn(BanyanseamError):
    """The API key was withdrawn while an answer was streaming; the rest is not sent."""

    code = "key.withdrawn"
    event = 1313
    status = 401
    title = "The API key was withdrawn"


class KeyUnknown(BanyanseamError):
    """The API key belongs to no organisation, or was withdrawn."""

    code = "key.unknown"
    event = 1302
    status = 401
    title = "The API key is not valid"
    not_run = True


class RouteUnknown(BanyanseamError):
    """No route has a prefix of this path."""

    code = "request.no_route"
    event = 1303
    status = 404
    title = "No route serves this path"
    not_run = True


class RequestMalformed(BanyanseamError):
    """The path, a header or the body of the request is not valid."""

    code = "request.malformed"
    event = 1304
    status = 400
    title = "The request is malformed"
    not_run = True


class ResidencyExcluded(BanyanseamError):
    """The residency rules of the route and of the organisation allow no region."""

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
    """The route's deadline passed before the request ended."""

    code = "request.deadline"
    event = 1307
    status = 504
    title = "The request did not end in time"
    # The pipeline withdraws this claim once the first byte was sent to an upstream.
    not_run = True


class MayOutlastStop(BanyanseamError):
    """The request may last longer than this process, which is stopping."""

    code = "request.may_outlast_stop"
    event = 1308
    status = 503
    title = "This daemon is stopping; use another one"
    not_run = True


class BodyTooLarge(BanyanseamError):
    """The body is larger than any route accepts."""

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
    """The connection to the daemon was lost while it served the request."""

    code = "forward.lost"
    event = 1311
    status = 502
    title = "The daemon that served the request became unreachable"


class ForwardFailed(BanyanseamError):
    """The serving daemon refused or failed; code and detail are that daemon's."""

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
        """Copy code, status and retry advice of the serving daemon."""
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
    """The upstream sent a part of another request's answer."""

    code = "answer.crossed"
    event = 1740
    status = 502
    title = "The upstream sent a part of another request's answer"


class AnswerGap(BanyanseamError):
    """A part of the answer is missing, repeated or out of order."""

    code = "answer.gap"
    event = 1741
    status = 502
    title = "The upstream sent an answer with a missing, repeated or misplaced part"


class AnswerTruncated(BanyanseamError):
    """The answer stopped before its end, or the upstream reported an error in it."""

    code = "answer.truncated"
    event = 1742
    status = 502
    title = "The upstream's answer ended early"


class AnswerMalformed(BanyanseamError):
    """A part of the answer cannot be parsed."""

    code = "answer.malformed"
    event = 1743
    status = 502
    title = "The upstream sent a malformed answer"
