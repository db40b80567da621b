"""Infer crashes of upstreams that no running VM has seen.

Crash records are kept in memory only. If all VMs of a fleet die at the same time, they
are lost, but upstreams that crashed have started again, and their registrations say
when. Where several of a service started shortly before the oldest VM did, a request
that crashes upstreams may still be coming, and one more crash is enough to refuse it.
"""

from collections.abc import Callable, Iterable
from typing import Final

from banyanseam.entry.const import CRASHES_TO_REFUSE, REFUSAL_MEMORY_S
from banyanseam.entry.members import Members
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.peers.incarnation import read_start_ms

# Upstreams that were started together may differ by this.
START_SPREAD_MS: Final = 5_000
# An upstream that crashed before the VMs started may be back this much after them.
RESTART_MS: Final = 5_000
# How long a process that has started notes which upstreams it finds.
OBSERVED_S: Final = 10.0
MEMORY_MS: Final = REFUSAL_MEMORY_S * 1000

# Returns whether a service's upstreams probably crashed before any VM started.
HasEarlierCrashes = Callable[[str, float], bool]


def count_earlier_restarts(
    starts_ms: Iterable[int], oldest_ms: int, memory_began_ms: int
) -> int:
    """Return how many upstreams started again before a VM could record why.

    All times are Unix milliseconds; `oldest_ms` is the first start of any upstream,
    and `memory_began_ms` that of any VM.
    """
    after_ms = max(oldest_ms + START_SPREAD_MS, memory_began_ms - MEMORY_MS)
    before_ms = memory_began_ms + RESTART_MS
    return sum(after_ms < start_ms <= before_ms for start_ms in starts_ms)


class EarlierCrashes:
    """The starts of the upstreams that this process found when it began."""

    def __init__(
        self, members: Members, upstreams: UpstreamList, started_s: float
    ) -> None:
        """Begin with no upstreams; the process started at `started_s`."""
        self._members = members
        self._upstreams = upstreams
        self._started_s = started_s
        # Unix milliseconds by upstream's id, by service.
        self._starts_ms: dict[str, dict[str, int]] = {}

    def observe(self, now_s: float) -> None:
        """Note the upstreams' starts; call this often while the process is new.

        Upstreams without a start time can't be judged.
        """
        if now_s - self._started_s > OBSERVED_S:
            return
        for each in self._upstreams.listing:
            if each.started_ms > 0:
                starts_ms = self._starts_ms.setdefault(each.service, {})
                # It may crash once more while this process runs.
                starts_ms.setdefault(each.upstream_id, each.started_ms)

    def are_probable(self, service: str, now_s: float) -> bool:
        """Return whether crashes of the service's upstreams are probably not recorded.

        A fleet that has run for as long as refused requests are remembered has records
        of its own.
        """
        starts_ms = self._starts_ms.get(service)
        if not starts_ms:
            return False
        own_start_ms = read_start_ms(self._members.me.incarnation)
        vms = [self._members.me, *self._members.list_alive(now_s)]
        memory_began_ms = min(read_start_ms(each.incarnation) for each in vms)
        now_ms = own_start_ms + (now_s - self._started_s) * 1000
        if now_ms - memory_began_ms > MEMORY_MS:
            return False
        oldest_ms = min(min(each.values()) for each in self._starts_ms.values())
        restarts = count_earlier_restarts(
            starts_ms.values(), oldest_ms, memory_began_ms
        )
        return restarts >= CRASHES_TO_REFUSE
