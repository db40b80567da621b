"""Decides how long a leaving VM accepts requests.

Designed for planned stops of all VMs of a region within a short time: its callers would
have nobody until the first of them is back.
"""

import math

from banyanseam.entry.const import (
    LAST_LEAVE_S,
    LEAVE_S,
    MAX_LEAVE_SHARE,
    SAME_LEAVE_S,
)
from banyanseam.entry.members import Members


class Leaving:
    """The planned stop of this process, until it accepts no more requests."""

    def __init__(self, members: Members, grace_s: float, began_s: float) -> None:
        """Begin to leave."""
        self._members = members
        self._began_s = began_s
        self._leave_s = min(LEAVE_S, grace_s / 3)
        # When callers last had no other VM of the region.
        self._needed_s = -math.inf
        self._latest_s = began_s + max(MAX_LEAVE_SHARE * grace_s, self._leave_s)

    def find_left_s(self, now_s: float) -> float:
        """Return for how much longer requests are accepted, as far as is known."""
        if self._is_last(now_s):
            self._needed_s = now_s
        end_s = max(self._began_s + self._leave_s, self._needed_s + LAST_LEAVE_S)
        return min(end_s, self._latest_s) - now_s

    def is_extended(self, now_s: float) -> bool:
        """Return whether requests are accepted only because no other VM did."""
        return now_s > self._began_s + self._leave_s

    def _is_last(self, now_s: float) -> bool:
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
