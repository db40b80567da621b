"""Failures of the memory budget, of slow readers and of request headers."""

from banyanseam.errors import BanyanseamError


class BudgetExhausted(BanyanseamError):
    """Other requests and answers use up the memory that this daemon has for bodies."""

    code = "memory.exhausted"
    event = 1730
    status = 503
    title = "This daemon has no memory left for another request"
    not_run = True


class SlowReader(BanyanseamError):
    """The caller read its answer too slowly."""

    code = "caller.slow_reader"
    event = 1731
    status = 408
    title = "The answer was read too slowly"


class TargetTooLong(BanyanseamError):
    """The request's target exceeds the length limit, which suffices for every route."""

    code = "request.target_too_long"
    event = 1732
    status = 414
    title = "The target is too long"
    not_run = True


class HeaderTooLarge(BanyanseamError):
    """The request's header has too many fields or bytes."""

    code = "request.header_too_large"
    event = 1733
    status = 431
    title = "The header is too large"
    not_run = True


class HeaderTooSlow(BanyanseamError):
    """The request's header did not arrive in time."""

    code = "request.header_too_slow"
    event = 1734
    status = 408
    title = "The header did not arrive in time"
    not_run = True
