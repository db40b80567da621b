"""One more try for a request that failed, within a budget; never into overload.

The budget follows the retry budgets of Finagle: retries may make up a share of recent
first tries, so that a failing fleet is not asked twice for everything.
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

RECENT_S = 10.0
# A quiet daemon may still retry this often in RECENT_S.
MIN_RETRIES = 1.0
_WORTH_ANOTHER_TRY = (
    UpstreamFailed,
    ForwardLost,
    AnswerCrossed,
    AnswerGap,
    AnswerMalformed,
    AnswerTruncated,
)


class RetryBudget:
    """Counts of recent first tries and retries, which fade over RECENT_S; pure."""

    def __init__(self) -> None:
        """Begin with nothing counted."""
        self._first_tries = 0.0
        self._retries = 0.0
        self._faded_s = 0.0

    def note_first_try(self, now_s: float) -> None:
        """Count a request that is tried for the first time."""
        self._fade(now_s)
        self._first_tries += 1

    def spend(self, share: float, now_s: float) -> bool:
        """Count a retry if retries stay within `share` of first tries; say so."""
        self._fade(now_s)
        if self._retries + 1 > MIN_RETRIES + share * self._first_tries:
            return False
        self._retries += 1
        return True

    def _fade(self, now_s: float) -> None:
        factor = math.exp(-max(0.0, now_s - self._faded_s) / RECENT_S)
        self._first_tries *= factor
        self._retries *= factor
        self._faded_s = now_s


def may_try_again(exchange: Exchange, error: BanyanseamError, now_s: float) -> bool:
    """Say whether a second try is safe and may help.

    A lack of room is not retried, nor is silence: another try would add to the load.
    A failure after the first byte is retried only for idempotent requests.
    """
    if exchange.reply.started or now_s >= exchange.deadline_s:
        return False
    if isinstance(error, UpstreamUnreachable | UpstreamRefused | PeerUnreachable):
        return exchange.is_idempotent or not exchange.upstream_started
    if isinstance(error, UpstreamTimedOut):
        return False
    return isinstance(error, _WORTH_ANOTHER_TRY) and exchange.is_idempotent


def retry_once(budget: RetryBudget, get_share: Callable[[], float]) -> Filter:
    """Return the filter; the upstream that failed is avoided by the second try."""

    async def filter_(exchange: Exchange, next_: Next) -> None:
        budget.note_first_try(anyio.current_time())
        try:
            await next_(exchange)
            return
        except BanyanseamError as error:
            now_s = anyio.current_time()
            if not may_try_again(exchange, error, now_s):
                raise
            if not budget.spend(get_share(), now_s):
                raise
            if exchange.upstream is not None:
                exchange.avoided_upstreams.add(exchange.upstream)
        await next_(exchange)

    return filter_
