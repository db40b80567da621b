"""Asks upstreams for their start when connections to them fail.

A refused or broken connection may mean that the upstream has started again under its
id. Nothing is sent to it until that is known: an upstream that has just started takes
few requests, and crashes when it gets more.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Final

import anyio
from anyio.abc import TaskGroup

from banyanseam.entry.const import (
    START_ANNOUNCE_SPREAD_S,
    START_CHECK_LEAD_S,
    START_CHECK_PERIOD_S,
    START_CHECK_TIMEOUT_S,
    START_REPORT_PATIENCE_S,
)
from banyanseam.entry.errors import ConnectionBroken
from banyanseam.entry.listed_upstream import ListedUpstream
from banyanseam.entry.local_candidates import list_cold_senders
from banyanseam.entry.members import Members
from banyanseam.entry.models import Catalogue, Upstream
from banyanseam.entry.sending import OutgoingRequest, is_refused, send
from banyanseam.entry.unreached.const import CHECK_PERIOD_S
from banyanseam.entry.unreached.records import UnreachedUpstreams
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.upstream_starts import StartFinding, make_start_key
from banyanseam.observe.events import UPSTREAM_CHECKED, log
from banyanseam.upstreams.errors import UpstreamTimedOut, UpstreamUnreachable

# A report lists the running requests, of which an engine has a few hundred at most.
MAX_REPORT_BYTES: Final = 64 * 1024


class Failure(Enum):
    """Why a check has found no start."""

    REFUSED = auto()
    UNREACHABLE = auto()
    # Connected, but without an answer.
    NO_ANSWER = auto()
    # Connected, and the connection broke.
    BROKEN = auto()
    # Answered without a start.
    NO_REPORT = auto()


@dataclass(frozen=True, slots=True)
class ReportFormat:
    """The platform's path of an upstream's report, and what reads its start."""

    target: bytes
    # Takes the status and the body; returns Unix milliseconds.
    read_start: Callable[[int, bytes], int | None]


@dataclass(slots=True)
class StartChecks:
    """Checks the upstreams of this region's engines, one task for each."""

    report_format: ReportFormat
    upstreams: UpstreamList
    members: Members
    get_catalogue: Callable[[], Catalogue | None]
    unreached: UnreachedUpstreams
    # Sends the findings to all peers of the region.
    announce: Callable[[], Awaitable[None]]
    # Set before the first check.
    tasks: TaskGroup | None = None
    _running: set[tuple[str, int]] = field(default_factory=set)

    def start(self, listed: ListedUpstream) -> None:
        """Check an upstream to which a connection has failed; hold it until then."""
        if self.upstreams.is_listed(listed) and self._can_check(listed.upstream):
            self.upstreams.starts.hold(listed.upstream)
            self.follow(listed)

    def follow(self, listed: ListedUpstream) -> None:
        """Check an upstream again and again until it is no longer held or unreached."""
        key = make_start_key(listed.upstream)
        if key in self._running or not self._can_check(listed.upstream):
            return
        self._running.add(key)
        self.tasks.start_soon(self._follow, listed)

    def follow_cold(self, listed: ListedUpstream) -> None:
        """Check an upstream that has started again once more before it is warm."""
        if self._can_check(listed.upstream):
            self.tasks.start_soon(self._follow_cold, listed)

    async def is_running(self, upstream: Upstream) -> bool:
        """Return whether an incarnation answers now, rather than a later one.

        An upstream that reports no start is taken for the one that is listed.
        """
        if upstream.started_ms == 0 or not self._can_check(upstream):
            return True
        found = await self._ask(upstream)
        if found is Failure.NO_REPORT:
            return True
        if isinstance(found, Failure):
            return False
        if found > upstream.started_ms:
            now_s = anyio.current_time()
            finding = StartFinding(make_start_key(upstream), found, now_s)
            if self.upstreams.record_start(finding, now_s):
                await self._announce(finding)
        return found == upstream.started_ms

    def _can_check(self, upstream: Upstream) -> bool:
        """Return whether it is an engine, which reports its start, of this region."""
        catalogue = self.get_catalogue()
        if self.tasks is None or catalogue is None:
            return False
        service = catalogue.services.get(upstream.service)
        if service is None or service.engine is None:
            return False
        region = self.members.regions.get(upstream.data_centre)
        return region == self.members.me.region

    async def _follow(self, listed: ListedUpstream) -> None:
        upstream = listed.upstream
        starts = self.upstreams.starts
        began_s = anyio.current_time()
        try:
            while self._must_check(listed):
                wait_s = self._find_wait_s(listed)
                if wait_s > 0:
                    await anyio.sleep(wait_s)
                    continue
                await self._check(listed, began_s)
                if self._must_check(listed):
                    await self._pause(upstream.service)
        finally:
            starts.release(upstream)
            self._running.discard(make_start_key(upstream))

    def _must_check(self, listed: ListedUpstream) -> bool:
        upstream = listed.upstream
        is_held = self.upstreams.starts.is_held(upstream)
        is_in_doubt = is_held or self.unreached.is_unreached(upstream)
        return is_in_doubt and self.upstreams.is_listed(listed)

    async def _pause(self, service: str) -> None:
        """Wait until the next check of an upstream.

        Without a way to a service, the checks of its upstreams share one rate, and the
        first answer of one ends all pauses.
        """
        spread = random.uniform(0.8, 1.2)
        if self.unreached.has_way(service):
            await anyio.sleep(START_CHECK_PERIOD_S * spread)
            return
        count = max(1, self.unreached.count_unreached(service))
        await self.unreached.wait_for_answer(service, CHECK_PERIOD_S * count * spread)

    async def _follow_cold(self, listed: ListedUpstream) -> None:
        await anyio.sleep_until(listed.cold_until_s - START_CHECK_LEAD_S)
        if self._is_sender(listed) and self.upstreams.is_listed(listed):
            await self._check(listed, anyio.current_time())
            if self.upstreams.starts.is_held(listed.upstream):
                self.follow(listed)

    def _is_sender(self, listed: ListedUpstream) -> bool:
        """Return whether this process checks a cold upstream for its region."""
        now_s = anyio.current_time()
        return self.members.me.ip in list_cold_senders(listed, self.members, now_s)

    def _find_wait_s(self, listed: ListedUpstream) -> float:
        """Return how long others are left to check an upstream that is down.

        The processes that may send to it while it is cold check it for their region.
        """
        finding = self.upstreams.starts.find(listed.upstream)
        if finding is None or finding.found_ms is not None:
            return 0.0
        period_s = START_REPORT_PATIENCE_S
        if self._is_sender(listed):
            period_s = START_CHECK_PERIOD_S
        return finding.at_s + period_s - anyio.current_time()

    async def _check(self, listed: ListedUpstream, began_s: float) -> None:
        upstream = listed.upstream
        asked_s = anyio.current_time()
        found = await self._ask(upstream)
        self._record_outcome(listed, found, asked_s)
        now_s = anyio.current_time()
        is_own_way_lost = self.unreached.is_own_way_lost(upstream)
        if found is Failure.UNREACHABLE or (
            found is Failure.REFUSED and is_own_way_lost
        ):
            # Another VM may reach it, so this is not reported to peers.
            self.upstreams.starts.hold(upstream)
            return
        may_be_slow = now_s - began_s < START_REPORT_PATIENCE_S
        if found in (Failure.NO_ANSWER, Failure.BROKEN) and may_be_slow:
            # An upstream that has just started is slow.
            self.upstreams.starts.hold(upstream)
            return
        self.upstreams.starts.release(upstream)
        if found in (Failure.NO_ANSWER, Failure.BROKEN, Failure.NO_REPORT):
            self.upstreams.record_missing_report(upstream, now_s)
            return
        found_ms = None if found is Failure.REFUSED else found
        finding = StartFinding(make_start_key(upstream), found_ms, now_s)
        if not self.upstreams.record_start(finding, now_s):
            return
        log(
            UPSTREAM_CHECKED,
            upstream=upstream.upstream_id,
            listed_start_ms=upstream.started_ms,
            found_start_ms=found_ms,
        )
        await self._announce(finding)

    def _record_outcome(
        self, listed: ListedUpstream, found: int | Failure, asked_s: float
    ) -> None:
        """Record whether an upstream was reached; a slow report shows neither."""
        if found in (Failure.REFUSED, Failure.UNREACHABLE, Failure.BROKEN):
            self.unreached.record_failure(listed, asked_s)
        elif found is not Failure.NO_ANSWER:
            self.unreached.record_answer(listed.upstream, asked_s)

    async def _announce(self, finding: StartFinding) -> None:
        """Send a finding to the region unless a peer is quicker."""
        vms = self.members.count_recent(anyio.current_time(), self.members.me.region)
        await anyio.sleep(random.uniform(0, START_ANNOUNCE_SPREAD_S * vms))
        if not self.upstreams.starts.is_reported(finding):
            await self.announce()

    async def _ask(self, upstream: Upstream) -> int | Failure:
        """Return the start that an upstream reports."""
        outgoing = OutgoingRequest(
            address=upstream.address,
            method="GET",
            target=self.report_format.target,
            headers=[(b"host", upstream.address.encode())],
            body=b"",
            connect_timeout_s=START_CHECK_TIMEOUT_S,
            first_byte_timeout_s=START_CHECK_TIMEOUT_S,
        )
        body = bytearray()
        try:
            with anyio.fail_after(2 * START_CHECK_TIMEOUT_S):
                async with send(outgoing, lambda: None) as incoming:
                    async for chunk in incoming.body:
                        body += chunk
                        if len(body) > MAX_REPORT_BYTES:
                            return Failure.NO_REPORT
        except UpstreamUnreachable as error:
            return Failure.REFUSED if is_refused(error) else Failure.UNREACHABLE
        except ConnectionBroken:
            return Failure.BROKEN
        except (UpstreamTimedOut, TimeoutError):
            return Failure.NO_ANSWER
        found_ms = self.report_format.read_start(incoming.status, bytes(body))
        return Failure.NO_REPORT if found_ms is None else found_ms
