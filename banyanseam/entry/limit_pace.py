"""Paces requests to an upstream that has named a limit for all VMs together.

Each VM takes an equal part of the limit, so that their sum stays within it without
messages. This answers the load on upstreams that recover or run short of something, and
ask for fewer requests than placement would give them.
"""

from typing import Final

# Part of a limit that the VMs use. The rest is for VMs that are not counted yet.
LIMIT_SHARE: Final = 0.9
# A lower limit is taken for this one: an answer is needed to learn that it has risen.
MIN_LIMIT_PER_S: Final = 0.5


class LimitPace:
    """This VM's share of the requests that an upstream takes, and when it sends next.

    Without a limit it may always send.
    """

    def __init__(self) -> None:
        """Start without a limit."""
        self.limit_per_s: float | None = None
        self._next_send_s = 0.0

    def set_limit(
        self, limit_per_s: float | None, vms: int, rank: int, now_s: float
    ) -> bool:
        """Set what the latest answer named, or None; return whether that is new.

        `vms` share the limit. They begin one after the other, in the order of their
        rank: all have just learned of the limit.
        """
        before = self.limit_per_s
        if limit_per_s is not None:
            limit_per_s = max(limit_per_s, MIN_LIMIT_PER_S)
        self.limit_per_s = limit_per_s
        if limit_per_s is None:
            return before is not None
        pause_s = self._pause_s(vms)
        if before is None:
            self._next_send_s = now_s + pause_s * (min(rank, vms - 1) + 1) / vms
        else:
            self._next_send_s = min(self._next_send_s, now_s + pause_s)
        return limit_per_s != before

    def wait_s(self, now_s: float) -> float:
        """Return the time until the next request may be sent, 0 if it may now."""
        if self.limit_per_s is None:
            return 0.0
        return max(0.0, self._next_send_s - now_s)

    def record_send(self, vms: int, now_s: float) -> None:
        """Record that a request is sent now."""
        if self.limit_per_s is None:
            return
        pause_s = self._pause_s(vms)
        # The order among the VMs persists if each keeps its own times.
        planned_s = self._next_send_s + pause_s
        self._next_send_s = planned_s if planned_s > now_s else now_s + pause_s

    def _pause_s(self, vms: int) -> float:
        return vms / (LIMIT_SHARE * self.limit_per_s)
