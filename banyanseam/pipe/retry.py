"""Retry a failed request once, within a budget, and never add to an overload.

The budget follows the retry budgets of Finagle: retries may make up a share of recent
first attempts, so that a failing fleet does not receive every request twice.
"""

import math
from collections.abc import Callable

import anyio

from banyanseam.errors import BanyanseamError
from banyanseam.peers.errors import PeerUnreachable
from banyanseam.pipe.errors import (
    AnswerCrossed,
    AnswerGap,
    AnswerMalformed,
    AnswerTruncated,
    ForwardLost,
)
from banyanseam.pipe.models import Exchange, Filter, Next
from banyanseam.upstreams.errors import (
    UpstreamFailed,
    UpstreamRefused,
    UpstreamTimedOut,
    UpstreamUnreachable,
)

DECAY_TIME_S = 10.0
# Retries that a daemon with little traffic may still make within DECAY_TIME_S.
MIN_RETRIES = 1.0
_RETRYABLE_ERRORS = (
    UpstreamFailed,
    ForwardLost,
    AnswerCrossed,
    AnswerGap,
    AnswerMalformed,
    AnswerTruncated,
)


class RetryBudget:
    """Counts recent first attempts and retries, decaying over DECAY_TIME_S; no I/O."""

    def __init__(self) -> None:
        """Start with empty counts."""
        self._first_attempts = 0.0
        self._retries = 0.0
        self._decayed_s = 0.0

    def record_first_attempt(self, now_s: float) -> None:
        """Count the first attempt of a request."""
        self._decay(now_s)
        self._first_attempts += 1

    def allow_retry(self, share: float, now_s: float) -> bool:
        """Count and allow a retry if retries stay within `share` of first attempts."""
        self._decay(now_s)
        if self._retries + 1 > MIN_RETRIES + share * self._first_attempts:
            return False
        self._retries += 1
        return True

    def _decay(self, now_s: float) -> None:
        factor = math.exp(-max(0.0, now_s - self._decayed_s) / DECAY_TIME_S)
        self._first_attempts *= factor
        self._retries *= factor
        self._decayed_s = now_s


def may_retry(exchange: Exchange, error: BanyanseamError, now_s: float) -> bool:
    """Return whether a retry is safe and may succeed.

    Lack of capacity and timeouts are not retried: a retry would add to the load.
    A failure after the first byte is retried only for idempotent requests.
    """
    if exchange.reply.started or now_s >= exchange.deadline_s:
        return False
    if isinstance(error, UpstreamUnreachable | UpstreamRefused | PeerUnreachable):
        return exchange.is_idempotent or not exchange.upstream_started
    if isinstance(error, UpstreamTimedOut):
        return False
    return isinstance(error, _RETRYABLE_ERRORS) and exchange.is_idempotent


def retry_once(budget: RetryBudget, get_share: Callable[[], float]) -> Filter:
    """Return the filter; the second attempt avoids the upstream that failed."""

    async def filter_(exchange: Exchange, next_: Next) -> None:
        budget.record_first_attempt(anyio.current_time())
        try:
            await next_(exchange)
            return
        except BanyanseamError as error:
            now_s = anyio.current_time()
            if not may_retry(exchange, error, now_s):
                raise
            if not budget.allow_retry(get_share(), now_s):
                raise
            if exchange.upstream is not None:
                exchange.avoided_upstreams.add(exchange.upstream)
        await next_(exchange)

    return filter_
