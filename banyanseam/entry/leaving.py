"""Decides how long a leaving VM accepts requests, and which.

Designed for planned stops of all VMs of a region within a short time: its callers would
have nobody until the first of them is back.
"""

import math

import anyio

from banyanseam.entry.const import (
    LAST_LEAVE_S,
    LEAVE_S,
    LEAVING_RETRY_MS,
    MAX_LEAVE_SHARE,
    MAX_STOP_MARGIN_SHARE,
    SAME_LEAVE_S,
    STOP_MARGIN_S,
)
from banyanseam.entry.errors import EntryLeaving
from banyanseam.entry.exchange import Exchange
from banyanseam.entry.members import Members


def choose_leave_s(grace_s: float) -> float:
    """Return how long a stopping process accepts requests of any duration."""
    return min(LEAVE_S, grace_s / 3)


class StopLimits:
    """Which requests may still be sent by a process that has a planned stop.

    How long a request will take is never estimated: one that takes longer than any
    before would be cut off.
    """

    def __init__(self) -> None:
        """Start without a planned stop."""
        # When running requests are ended, and how long before the process ends.
        self.stop_s = math.inf
        self.margin_s = 0.0
        # Whether callers have other VMs in this region, as far as is known.
        self.has_others = True
        # From then on, callers have had time to get a newer list of VMs.
        self._certain_from_s = math.inf

    @property
    def retry_after_ms(self) -> int:
        """Return when a refused caller will find a VM of this region."""
        return 0 if self.has_others else LEAVING_RETRY_MS

    def begin(self, grace_s: float, began_s: float) -> None:
        """Begin the planned stop of a process that ends after its grace period."""
        self.margin_s = min(STOP_MARGIN_S, MAX_STOP_MARGIN_SHARE * grace_s)
        self.stop_s = began_s + grace_s - self.margin_s
        self._certain_from_s = began_s + choose_leave_s(grace_s)

    def check(self, exchange: Exchange) -> None:
        """Raise EntryLeaving if a request that has not run might outlast the process.

        Nothing has run yet, so the sender can use another VM. A request or stream that
        may have run goes on: its caller could not repeat it elsewhere.
        """
        # Unless the stop limits its deadline, that is the request's own.
        if exchange.deadline_s < self.stop_s or exchange.may_have_run:
            return
        is_forwarded = exchange.forwarding is not None
        if is_forwarded or anyio.current_time() >= self._certain_from_s:
            raise EntryLeaving(retry_after_ms=self.retry_after_ms)

    def allows(self, exchange: Exchange) -> bool:
        """Return whether a request may still be sent."""
        try:
            self.check(exchange)
        except EntryLeaving:
            return False
        return True


class Leaving:
    """The planned stop of this process, until it accepts no more requests."""

    def __init__(self, members: Members, grace_s: float, began_s: float) -> None:
        """Begin to leave."""
        self._members = members
        self._began_s = began_s
        self._leave_s = choose_leave_s(grace_s)
        # When callers last had no other VM of the region.
        self._needed_s = -math.inf
        self._latest_s = began_s + max(MAX_LEAVE_SHARE * grace_s, self._leave_s)

    def find_left_s(self, now_s: float) -> float:
        """Return for how much longer requests are accepted, as far as is known."""
        if self.is_last(now_s):
            self._needed_s = now_s
        end_s = max(self._began_s + self._leave_s, self._needed_s + LAST_LEAVE_S)
        return min(end_s, self._latest_s) - now_s

    def is_extended(self, now_s: float) -> bool:
        """Return whether requests are accepted only because no other VM did."""
        return now_s > self._began_s + self._leave_s

    def is_last(self, now_s: float) -> bool:
        """Return whether callers of the region have this VM only, for now.

        If no other was there lately, they have one again the sooner the sooner this
        process ends.
        """
        region = self._members.me.region
        if any(each.is_serving for each in self._members.list_alive(now_s, region)):
            return False
        return bool(self._members.list_recent(now_s, region)) and not any(
            self._stays_longer(ip, since_s)
            for ip, since_s in self._list_leaving(now_s, region)
        )

    def _list_leaving(self, now_s: float, region: str) -> list[tuple[str, float]]:
        leaving = self._members.list_leaving(now_s, region)
        return [(member.ip, since_s) for member, since_s in leaving]

    def _stays_longer(self, ip: str, since_s: float) -> bool:
        """Return whether a peer that leaves too is the one that callers still use."""
        if abs(since_s - self._began_s) <= SAME_LEAVE_S:
            return ip > self._members.me.ip
        return since_s > self._began_s
