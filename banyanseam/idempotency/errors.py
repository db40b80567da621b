"""Refusals and failures of at-most-once execution.

`not_run` refers to the key: it is True only if no request with this key can have run,
whatever the caller sent before.
"""

from banyanseam.errors import BanyanseamError


class OutcomeUnknown(BanyanseamError):
    """A request with this key ran or may have run, and its answer is not known."""

    code = "idempotency.outcome_unknown"
    event = 1700
    status = 409
    title = "It is unknown whether the request ran"


class AnswerNotKept(OutcomeUnknown):
    """The request ran, but its answer was too large or the memory for it full."""

    code = "idempotency.answer_not_kept"
    event = 1701
    title = "The request ran but its answer is not stored"


class KeyReused(BanyanseamError):
    """The key was used before with another method, path, query or body."""

    code = "idempotency.key_reused"
    event = 1702
    status = 422
    title = "The idempotency key belongs to another request"


class KeyMalformed(BanyanseamError):
    """The idempotency-key header is empty, too long, or not printable ASCII."""

    code = "idempotency.key_malformed"
    event = 1703
    status = 400
    title = "The idempotency key cannot be read"
    not_run = True


class KeyTooOld(OutcomeUnknown):
    """The key's time stamp is older than the retention of its home's records."""

    code = "idempotency.key_too_old"
    event = 1704
    title = "The idempotency key is too old"


class KeyStampedInFuture(BanyanseamError):
    """The key's time stamp is more than MAX_STAMP_AHEAD_S ahead of the home's clock."""

    code = "idempotency.key_in_future"
    event = 1705
    status = 422
    title = "The idempotency key is stamped in the future"


class HomeIsNew(OutcomeUnknown):
    """The key may have been used before the records of its home began."""

    code = "idempotency.home_is_new"
    event = 1706
    title = "The home of this key has no record of its earlier use"


class HomeUnreachable(OutcomeUnknown):
    """The home did not answer, or no allowed region has one; the key may be resent."""

    code = "idempotency.home_unreachable"
    event = 1707
    status = 503
    title = "The home of this idempotency key cannot be reached"


class NotHome(BanyanseamError):
    """By its configuration the daemon is not the home, or its home is not open now."""

    code = "idempotency.not_home"
    event = 1708
    status = 503
    title = "This daemon is not the home of the key"


class MemoryFull(BanyanseamError):
    """The memory for keys or the organisation's share is full; no key was claimed."""

    code = "idempotency.memory_full"
    event = 1709
    status = 503
    title = "The memory for idempotency keys is full"
    not_run = True


class GrantTooLate(BanyanseamError):
    """The grant arrived after the request's deadline, so the run was not started."""

    code = "idempotency.grant_too_late"
    event = 1710
    status = 503
    title = "The permission to run arrived too late"
    not_run = True


class TicketInvalid(BanyanseamError):
    """The ticket is damaged, forged or belongs to another organisation."""

    code = "idempotency.ticket_invalid"
    event = 1711
    status = 400
    title = "The ticket is not valid"
    not_run = True


class TicketExpired(BanyanseamError):
    """The ticket has expired, and the issuer's records show no run of it."""

    code = "idempotency.ticket_expired"
    event = 1712
    status = 410
    title = "The ticket expired unused"
    not_run = True


class IssuerGone(OutcomeUnknown):
    """No process that has the issuer's records of its tickets can be reached."""

    code = "idempotency.issuer_gone"
    event = 1713
    title = "The process that issued the ticket does not answer"


class KeyRegionExcluded(BanyanseamError):
    """The key names a region where the request may not be served."""

    code = "idempotency.region_excluded"
    event = 1714
    status = 422
    title = "The key names a region that may not serve this request"


class KeyFreed(BanyanseamError):
    """A caller was told that the key did not run, so an older receipt may not run it.

    A receipt is one arrival of a request. Later receipts may run the key,
    so this refusal itself must not claim `not_run`.
    """

    code = "idempotency.key_freed"
    event = 1715
    status = 503
    title = "The key was just released and may be sent again soon"
