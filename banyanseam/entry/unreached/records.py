"""The upstreams that this process can't connect to, by its own connections only.

Outcomes count in the order in which their connections began: one that hangs fails long
after a later one has been answered.
"""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from banyanseam.entry.listed_upstream import ListedUpstream
from banyanseam.entry.members import Members
from banyanseam.entry.messages import make_upstream_tag
from banyanseam.entry.models import Upstream
from banyanseam.entry.unreached.const import (
    FAILURES_FOR_NO_WAY,
    MAX_REPORTED_UPSTREAMS,
    NO_WAY_SHARE,
)
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.upstream_starts import StartFinding, StartKey, make_start_key
from banyanseam.observe.events import WAY_LOST, WAY_RESTORED, log


@dataclass(slots=True)
class _Failure:
    upstream: Upstream
    # When the first and the last failed connection since an answer began.
    since_s: float
    last_s: float
    # Whether a peer has found the incarnation to be running since.
    is_running: bool = False


class UnreachedUpstreams:
    """Upstreams of this region to which this process's latest connection failed."""

    def __init__(self, upstreams: UpstreamList, members: Members) -> None:
        """Start with all upstreams assumed to be reached."""
        self._upstreams = upstreams
        self._members = members
        self._failures: dict[StartKey, _Failure] = {}
        # When the latest connection that brought an answer began, by service and by
        # incarnation.
        self._service_answered_s: dict[str, float] = {}
        self._answered_s: dict[StartKey, float] = {}
        self._answers: dict[str, anyio.Event] = {}
        # Called with an upstream to which a connection has failed, or broken.
        self.on_failure: Callable[[ListedUpstream], None] = lambda _: None
        self.on_break: Callable[[ListedUpstream], None] = lambda _: None

    def record_failure(self, listed: ListedUpstream, began_s: float) -> None:
        """Record that a connection which began at a time failed, or a check did."""
        upstream = listed.upstream
        key = make_start_key(upstream)
        if began_s <= self._answered_s.get(key, -1e9):
            return
        known = self._failures.get(key)
        if known is None:
            self._failures[key] = _Failure(upstream, began_s, began_s)
        else:
            known.last_s = max(known.last_s, began_s)
        self.refresh(anyio.current_time())
        self.on_failure(listed)

    def record_break(self, listed: ListedUpstream, began_s: float) -> None:
        """Record that a connection was made and broke.

        An upstream in trouble does that too, so a check decides. Ignored if the
        connection had brought an answer.
        """
        if began_s > self._answered_s.get(make_start_key(listed.upstream), -1e9):
            self.on_break(listed)

    def record_answer(self, upstream: Upstream, began_s: float) -> None:
        """Record that a connection which began at a time brought an answer."""
        key, service = make_start_key(upstream), upstream.service
        self._answered_s[key] = max(began_s, self._answered_s.get(key, began_s))
        answered_s = max(began_s, self._service_answered_s.get(service, began_s))
        self._service_answered_s[service] = answered_s
        failure = self._failures.get(key)
        if failure is None or began_s < failure.last_s:
            return
        del self._failures[key]
        listed = self._upstreams.find(upstream.upstream_id)
        if failure.is_running and listed is not None:
            # It was not down, so it needs no careful start.
            listed.usage.suspected_until_s = 0.0
        self.refresh(anyio.current_time())
        self._answers.pop(service, anyio.Event()).set()

    def record_peers_finding(self, finding: StartFinding) -> None:
        """Record that a peer found an incarnation to be running."""
        failure = self._failures.get(finding.key)
        if failure is not None and finding.is_sound and finding.at_s > failure.since_s:
            failure.is_running = True

    def is_unreached(self, upstream: Upstream) -> bool:
        """Return whether the latest connection to an upstream failed."""
        return bool(self._failures) and make_start_key(upstream) in self._failures

    def is_own_way_lost(self, upstream: Upstream) -> bool:
        """Return whether an upstream is unreached though a peer finds it running."""
        failure = self._failures.get(make_start_key(upstream))
        return failure is not None and failure.is_running

    def has_way(self, service: str) -> bool:
        """Return whether this process has a way to a service, as far as it knows."""
        return service not in self._members.unreached.own

    def count_unreached(self, service: str) -> int:
        """Return the number of a service's unreached upstreams."""
        return sum(each.upstream.service == service for each in self._failures.values())

    async def wait_for_answer(self, service: str, timeout_s: float) -> None:
        """Wait until an unreached upstream of a service answers, or for a time."""
        with anyio.move_on_after(timeout_s):
            await self._answers.setdefault(service, anyio.Event()).wait()

    def refresh(self, now_s: float) -> None:
        """Determine anew what this process's heartbeats say about its ways."""
        reports = self._members.unreached
        if not self._failures and not reports.own and not reports.own_upstreams:
            return
        self._prune()
        lost, reached = set(), []
        for service in {each.upstream.service for each in self._failures.values()}:
            failed, total = self._list_failed(service, now_s)
            if self._has_no_way(service, failed, total):
                lost.add(service)
            else:
                reached += failed
        before = reports.own
        for service in sorted(lost - before):
            unreached = self.count_unreached(service)
            log(WAY_LOST, service=service, unreached=unreached)
        for service in sorted(before - lost):
            log(WAY_RESTORED, service=service)
        reports.own = frozenset(lost)
        reached.sort(key=lambda each: -each.last_s)
        reports.own_upstreams = tuple(
            make_upstream_tag(each.upstream.upstream_id)
            for each in reached[:MAX_REPORTED_UPSTREAMS]
        )

    def _prune(self) -> None:
        """Forget incarnations that are no longer listed."""
        listed = {make_start_key(each) for each in self._upstreams.list_upstreams()}
        for known in (self._failures, self._answered_s):
            for key in known.keys() - listed:
                del known[key]

    def _list_failed(self, service: str, now_s: float) -> tuple[list[_Failure], int]:
        """Return a service's unreached upstreams, and the number of all in use."""
        region = self._members.me.region
        keys = {
            make_start_key(each.upstream)
            for each in self._upstreams.list_usable(service, now_s)
            if self._members.regions.get(each.upstream.data_centre) == region
        }
        failed = [self._failures[key] for key in keys & self._failures.keys()]
        return failed, len(keys)

    def _has_no_way(self, service: str, failed: list[_Failure], total: int) -> bool:
        if len(failed) == total:
            return total > 0
        if len(failed) > MAX_REPORTED_UPSTREAMS and len(failed) >= NO_WAY_SHARE * total:
            return True
        answered_s = self._service_answered_s.get(service, -1e9)
        since = sum(each.last_s > answered_s for each in failed)
        return since >= FAILURES_FOR_NO_WAY
