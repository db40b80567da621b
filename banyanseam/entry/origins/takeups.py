"""Finds the software version at which a stream may go on."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, replace

import anyio

from banyanseam.entry.choosing import choose_retry_after_ms
from banyanseam.entry.errors import StreamOriginUnknown, StreamVersionGone
from banyanseam.entry.exchange import Exchange
from banyanseam.entry.models import StreamOrigin, Upstream
from banyanseam.entry.origins.const import ASK_TIMEOUT_S, CHECK_TIMEOUT_S
from banyanseam.entry.origins.messages import OriginReply, from_origin_row
from banyanseam.entry.origins.network import OriginNetwork
from banyanseam.entry.origins.records import (
    OriginRecord,
    OriginRecords,
    make_stream_key,
)
from banyanseam.entry.origins.versions import SoftwareVersions, has_unknown
from banyanseam.observe.events import STREAM_TAKEN_UP, log


@dataclass(frozen=True, slots=True)
class TakeUps:
    """Knows where streams began, by this process, by peers or since one version serves.

    Nothing is guessed: a version that can't be known isn't found.
    """

    records: OriginRecords
    versions: SoftwareVersions
    network: OriginNetwork
    # Notices a suspension that no task has noticed yet.
    check_running: Callable[[], object]
    # Asks an upstream for its start, and records it if it is a later one.
    check_start: Callable[[Upstream], Awaitable[bool]]
    # Asks the store whether it shows the list of upstreams in force.
    check_list: Callable[[], Awaitable[bool]]

    def record_begin(self, exchange: Exchange) -> None:
        """Record that the caller is about to get the first event of a stream."""
        now_s = anyio.current_time()
        key = _find_key(exchange)
        record = OriginRecord(exchange.origin, now_s)
        exchange.begun_s = now_s
        self.records.record(key, record, now_s)
        self.network.add(key, record, _list_services(exchange))

    def record_end(self, exchange: Exchange) -> None:
        """Record that the caller has got the whole stream."""
        self.network.discard(_find_key(exchange))

    async def find(self, exchange: Exchange) -> None:
        """Find the origin of a stream that is taken up.

        Raise StreamOriginUnknown, or StreamVersionGone if the route leads elsewhere.
        """
        self.check_running()
        started_s = anyio.current_time()
        key = _find_key(exchange)
        services = _list_services(exchange)
        record = self.records.find(key, started_s)
        source = "record"
        replies: dict[str, OriginReply] = {}
        if record is None:
            replies = await self.network.ask(key, services)
            record = self._adopt(key, replies.values())
            source = "peer"
        if record is not None:
            await self._check_upstream(record)
            record = self.records.find(key, anyio.current_time())
        origin = None if record is None else record.origin
        if origin is None or origin.software is None:
            origin = await self._infer(key, services, replies)
            source = "only version" if origin is not None else "none"
        now_s = anyio.current_time()
        log(
            STREAM_TAKEN_UP,
            request_id=exchange.head.request_id,
            begun_as=exchange.head.begun_as,
            after_event=exchange.head.last_event_id,
            software=None if origin is None else origin.software,
            source=source,
            replies=len(replies),
            took_ms=round((now_s - started_s) * 1000),
        )
        if origin is None:
            self._refuse(exchange)
        if origin.service not in services:
            raise StreamVersionGone(
                f"the route no longer leads to service {origin.service}",
                retry_after_ms=_choose_retry_after_ms(exchange),
            )
        exchange.origin = origin
        exchange.service = origin.service
        exchange.begun_s = now_s if record is None else record.begun_s
        # Peers that knew of it may be gone before it is taken up once more.
        record = OriginRecord(origin, exchange.begun_s)
        self.records.record(key, record, now_s)
        self.network.add(key, record, services)

    async def confirm(self, exchange: Exchange) -> None:
        """Look again where a stream began that is to go on within its answer.

        Raise StreamOriginUnknown if that is no longer certain: its upstream may turn
        out to have started again as another version before.
        """
        record = OriginRecord(exchange.origin, exchange.begun_s)
        await self._check_upstream(record)
        origin = self.records.resolve(record)
        if origin.software is None:
            self.check_running()
            origin = await self._infer(_find_key(exchange), [origin.service], {})
        if origin is None:
            self._refuse(exchange)
        exchange.origin = replace(origin, service=exchange.origin.service)

    async def _check_upstream(self, record: OriginRecord) -> None:
        """Check the upstream that began a stream, unless that takes too long.

        It may have started again before it began the stream, and not be listed yet, or
        this process doesn't follow the list. Otherwise no check is needed.
        """
        upstream = self.records.find_upstream(record)
        if upstream is None or record.begun_s < self.records.restarts_listed_until_s:
            return
        with anyio.move_on_after(CHECK_TIMEOUT_S):
            await self.check_start(upstream)

    def _adopt(self, key: int, replies: Iterable[OriginReply]) -> OriginRecord | None:
        """Record what peers know of a stream, and return it."""
        now_s = anyio.current_time()
        found = [
            from_origin_row(reply.found, now_s)
            for reply in replies
            if reply.found is not None
        ]
        # The first counts. A peer without the version may know of a restart that others
        # may not have noticed.
        found.sort(key=lambda each: not each.is_uncertain)
        for record in found:
            self.records.record(key, record, now_s)
        return self.records.find(key, now_s)

    async def _infer(
        self, key: int, services: list[str], replies: dict[str, OriginReply]
    ) -> StreamOrigin | None:
        """Return the only version that may have begun a stream, None if others may."""
        origin = self._find_only_version(services, replies)
        if origin is None or self.network.has_replies_of_all_regions(key, replies):
            return origin
        # A version that has just come may have begun the stream in a region that does
        # not answer. Whoever is cut off from all peers doesn't know what they report.
        if not replies and self.network.has_recent_peers():
            return None
        with anyio.move_on_after(ASK_TIMEOUT_S):
            if await self.check_list():
                return self._find_only_version(services, replies)
        return None

    def _find_only_version(
        self, services: list[str], replies: dict[str, OriginReply]
    ) -> StreamOrigin | None:
        now_s = anyio.current_time()
        found = set(self.versions.list_recent(services, now_s))
        is_complete = self.versions.is_complete(now_s)
        for reply in replies.values():
            found.update(reply.versions)
            is_complete = is_complete or reply.is_complete
        if len(found) != 1 or has_unknown(found) or not is_complete:
            return None
        ((service, software),) = found
        return StreamOrigin(service, software)

    def _refuse(self, exchange: Exchange) -> None:
        raise StreamOriginUnknown(
            f"stream {exchange.head.begun_as or exchange.head.request_id}",
            retry_after_ms=_choose_retry_after_ms(exchange),
        )


def _choose_retry_after_ms(exchange: Exchange) -> int:
    """Return the longest delay, since the answer will hardly change in time."""
    left_ms = exchange.deadline_left_ms()
    return choose_retry_after_ms(left_ms, left_ms)


def _list_services(exchange: Exchange) -> list[str]:
    return [service for service, _ in exchange.route.services]


def _find_key(exchange: Exchange) -> int:
    organisation = exchange.organisation
    return make_stream_key(
        None if organisation is None else organisation.name,
        exchange.head.begun_as or exchange.head.request_id,
    )
