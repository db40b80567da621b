"""Errors of quota; each is raised before the request runs."""

from banyanseam.errors import BanyanseamError


class CostExceedsBurst(BanyanseamError):
    """The request's cost exceeds the whole burst, so it can never be admitted."""

    code = "quota.cost_exceeds_burst"
    event = 1800
    status = 413
    title = "The request costs more than the organisation's whole burst"
    not_run = True

    def __init__(self, cost_tokens: int, burst_tokens: float) -> None:
        """State both numbers, so that the caller can shorten the request."""
        super().__init__(
            f"the cost is {cost_tokens} tokens, the burst is {int(burst_tokens)}"
        )


class QuotaExceeded(BanyanseamError):
    """The tokens are not available before the request's deadline."""

    code = "quota.exceeded"
    event = 1801
    status = 429
    title = "The organisation is over its rate and burst"
    not_run = True


class QuotaUnavailable(BanyanseamError):
    """No home of the organisation's quota could be reached in time."""

    code = "quota.unavailable"
    event = 1802
    status = 503
    title = "The organisation's quota cannot be checked now"
    not_run = True
