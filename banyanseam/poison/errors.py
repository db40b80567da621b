"""Errors for requests that crash upstreams; none sets `not_run`, as they have run."""

from banyanseam.errors import BanyanseamError


class PoisonRefused(BanyanseamError):
    """Upstreams crashed twice under the request: it is refused for a limited time."""

    code = "poison.refused"
    event = 1720
    status = 422
    title = "The request crashed the upstreams that ran it"


class SuspectHeld(BanyanseamError):
    """The request may have crashed an upstream and could not be rerun alone in time."""

    code = "poison.suspect_held"
    event = 1721
    status = 503
    title = "The request may have crashed an upstream and could not be rerun alone"


class InvalidSuspects(BanyanseamError):
    """A peer's summary of suspects is malformed."""

    code = "poison.invalid_marks"
    event = 1722
    status = 502
    title = "A peer's summary of suspect requests is malformed"
