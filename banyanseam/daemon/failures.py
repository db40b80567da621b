"""Log the failure that ends a process."""

from banyanseam.errors import BanyanseamError
from banyanseam.observe.events import DAEMON_FAILED, INTERNAL_FAILURE, log
from banyanseam.observe.logs import format_traceback


def report_failure(error: Exception) -> None:
    """Log the failure that ends the daemon, in one line."""
    known = find_banyanseam_error(error)
    if known is not None:
        log(DAEMON_FAILED, code=known.code, detail=known.detail)
    else:
        log(INTERNAL_FAILURE, error=repr(error), trace=format_traceback(error))


def find_banyanseam_error(error: BaseException) -> BanyanseamError | None:
    """Return the first BanyanseamError in an exception or group of exceptions."""
    if isinstance(error, BanyanseamError):
        return error
    if isinstance(error, BaseExceptionGroup):
        found = (find_banyanseam_error(each) for each in error.exceptions)
        return next((each for each in found if each is not None), None)
    return None
