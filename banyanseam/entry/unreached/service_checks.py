"""Asks plain services for their health while connections to them fail.

Nothing is run by that, so no request that may run only once is spent on finding out.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from banyanseam.entry.errors import ConnectionBroken
from banyanseam.entry.listed_upstream import ListedUpstream
from banyanseam.entry.members import Members
from banyanseam.entry.models import Catalogue, Service, Upstream
from banyanseam.entry.sending import OutgoingRequest, send
from banyanseam.entry.unreached.const import (
    CHECK_PERIOD_S,
    CHECK_TIMEOUT_S,
    MAX_CHECK_PERIOD_S,
)
from banyanseam.entry.unreached.records import UnreachedUpstreams
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.upstream_starts import make_start_key
from banyanseam.upstreams.errors import UpstreamTimedOut, UpstreamUnreachable


@dataclass(slots=True)
class ServiceChecks:
    """Checks the unreached upstreams of services without engines, a task for each."""

    unreached: UnreachedUpstreams
    upstreams: UpstreamList
    members: Members
    get_catalogue: Callable[[], Catalogue | None]
    # Set before the first check.
    tasks: TaskGroup | None = None
    _running: set[tuple[str, int]] = field(default_factory=set)

    def start(self, listed: ListedUpstream) -> None:
        """Check an upstream at once, and again until it is reached or not listed."""
        key = make_start_key(listed.upstream)
        service = self._find_service(listed.upstream)
        if self.tasks is None or key in self._running or service is None:
            return
        self._running.add(key)
        self.tasks.start_soon(self._follow, listed, service)

    def _find_service(self, upstream: Upstream) -> Service | None:
        """Return the upstream's service unless its engines are checked otherwise."""
        catalogue = self.get_catalogue()
        if catalogue is None:
            return None
        service = catalogue.services.get(upstream.service)
        return service if service is not None and service.engine is None else None

    async def _follow(self, listed: ListedUpstream, service: Service) -> None:
        upstream = listed.upstream
        try:
            await self._check(listed, service)
            while self.unreached.is_unreached(upstream) and (
                self.upstreams.is_listed(listed)
            ):
                pause_s = self._choose_pause_s(service.name)
                await self.unreached.wait_for_answer(service.name, pause_s)
                await self._check(listed, service)
        finally:
            self._running.discard(make_start_key(upstream))

    def _choose_pause_s(self, service: str) -> float:
        """Return the time until the next check, which all checks of a service share."""
        now_s = anyio.current_time()
        region = self.members.me.region
        alive = self.members.list_alive(now_s, region)
        others = sum(
            not self.members.unreached.has_way(each, service) for each in alive
        )
        period_s = min(MAX_CHECK_PERIOD_S, CHECK_PERIOD_S * (1 + others))
        count = max(1, self.unreached.count_unreached(service))
        return period_s * count * random.uniform(0.8, 1.2)

    async def _check(self, listed: ListedUpstream, service: Service) -> None:
        upstream = listed.upstream
        began_s = anyio.current_time()
        outgoing = OutgoingRequest(
            address=upstream.address,
            method="GET",
            target=service.health_path.encode(),
            headers=[(b"host", upstream.address.encode())],
            body=b"",
            connect_timeout_s=CHECK_TIMEOUT_S,
            first_byte_timeout_s=CHECK_TIMEOUT_S,
        )
        try:
            async with send(outgoing, lambda: None):
                self.unreached.record_answer(upstream, began_s)
        except (UpstreamUnreachable, ConnectionBroken):
            self.unreached.record_failure(listed, began_s)
        except UpstreamTimedOut:
            # It accepts connections and may be busy; the next check may show more.
            return
