"""Decide the answer to a request that was refused or has failed.

Pure functions. They answer loads in which upstreams and links fail while callers wait:
a caller sends a request that may run only once again if, and only if, the answer says
that it has not run.
"""

from typing import Final

from banyanseam.entry.answers import NOT_RUN_STATUSES
from banyanseam.entry.choosing import choose_retry_after_ms
from banyanseam.entry.const import FAILURE_RETRY_AFTER_MS
from banyanseam.entry.crash_watch import MIN_SERVER_ERROR_STATUS
from banyanseam.errors import BanyanseamError, Problem
from banyanseam.upstreams.errors import UpstreamFailed

REFUSED_STATUS: Final = 503
MISDIRECTED_STATUS: Final = 421


def make_problem(
    error: BanyanseamError,
    request_id: str,
    left_ms: float | None,
    *,
    may_have_run: bool,
) -> Problem:
    """Return the problem for a caller.

    `left_ms` is the time until the request's deadline, None if it was not admitted. The
    statuses 408, 421, 429 and 503 promise that a request has not run and never will:
    they are used only if that is certain, and 503 always if it is and this gateway is
    the cause.
    """
    if may_have_run and error.status in NOT_RUN_STATUSES:
        error = UpstreamFailed(f"{error.code}: {error.detail}")
    problem = error.to_problem(request_id, is_surely_not_run=not may_have_run)
    if error.status == MISDIRECTED_STATUS:
        problem.status = REFUSED_STATUS
    if problem.not_run and problem.status >= MIN_SERVER_ERROR_STATUS:
        problem.status = REFUSED_STATUS
        if problem.retry_after_ms is None and left_ms is not None:
            problem.retry_after_ms = choose_retry_after_ms(
                FAILURE_RETRY_AFTER_MS, left_ms
            )
    return problem
