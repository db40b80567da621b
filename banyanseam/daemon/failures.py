"""Why a process cannot go on, told in one line of its log."""

from banyanseam.errors import BanyanseamError
from banyanseam.observe.events import DAEMON_FAILED, INTERNAL_FAILURE, log
from banyanseam.observe.logs import describe_trace


def report_failure(error: Exception) -> None:
    """Log why the daemon cannot go on, in one line."""
    known = find_known(error)
    if known is not None:
        log(DAEMON_FAILED, code=known.code, detail=known.detail)
    else:
        log(INTERNAL_FAILURE, error=repr(error), trace=describe_trace(error))


def find_known(error: BaseException) -> BanyanseamError | None:
    """Return the first of the project's own failures in a group of exceptions."""
    if isinstance(error, BanyanseamError):
        return error
    if isinstance(error, BaseExceptionGroup):
        found = (find_known(each) for each in error.exceptions)
        return next((each for each in found if each is not None), None)
    return None
