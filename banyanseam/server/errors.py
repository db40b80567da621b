"""Failures of holding bytes for callers."""

from banyanseam.errors import BanyanseamError


class BudgetExhausted(BanyanseamError):
    """Bodies of other requests fill this daemon's memory for them."""

    code = "memory.exhausted"
    event = 1730
    status = 503
    title = "This daemon holds as many requests as it can"
    not_run = True


class SlowReader(BanyanseamError):
    """The caller read its answer too slowly."""

    code = "caller.slow_reader"
    event = 1731
    status = 408
    title = "The answer was read too slowly"
