"""Reports to a few peers where streams began, and asks them.

While one version of the software serves, nothing is reported, unless the list of
upstreams is incomplete: a question shows that no other can have begun the stream.
"""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field, replace

import anyio

from banyanseam.entry.members import Members
from banyanseam.entry.origins.const import (
    ASK_TIMEOUT_S,
    ASKED_IN_REGION,
    CHOSEN_REGIONS,
    MAX_REPORTED_ROWS,
    OTHER_REGION_HOLDERS,
    OWN_REGION_HOLDERS,
    REPORT_PERIOD_S,
    TAKE_UP_S,
)
from banyanseam.entry.origins.messages import (
    OriginMessage,
    OriginQuestion,
    OriginReply,
    OriginRow,
    decode_origins,
    encode_origins,
    from_origin_row,
    to_origin_row,
)
from banyanseam.entry.origins.records import OriginRecord, OriginRecords
from banyanseam.entry.origins.versions import ServiceVersion, SoftwareVersions
from banyanseam.peers.rendezvous import rank, rank_first

# The address and the incarnation of a process.
_Process = tuple[str, int]


@dataclass(slots=True)
class _Question:
    """A question that peers have not all answered."""

    awaited: set[str]
    replies: dict[str, OriginReply] = field(default_factory=dict)
    answered: anyio.Event = field(default_factory=anyio.Event)


@dataclass(frozen=True, slots=True)
class _BegunStream:
    """A stream that began here, and the services that may have begun it."""

    record: OriginRecord
    services: frozenset[str]

    @property
    def version(self) -> ServiceVersion:
        """Return the version that began it."""
        return self.record.origin.service, self.record.origin.software


class OriginNetwork:
    """Exchanges the origins of streams with peers."""

    def __init__(
        self, members: Members, records: OriginRecords, versions: SoftwareVersions
    ) -> None:
        """Store the state to exchange; `send` must be set before the first call."""
        self._members = members
        self._records = records
        self._versions = versions
        # Sends a datagram to the process at an address.
        self.send: Callable[[str, bytes], Awaitable[None]] | None = None
        # Notices a suspension that no task has noticed yet.
        self.check_running: Callable[[], object] = lambda: None
        # Streams that began here, that may be taken up and that no peer knows of.
        self._unreported: dict[int, _BegunStream] = {}
        # Those that were reported to peers, and the processes that got the report.
        self._reported: dict[int, tuple[_BegunStream, frozenset[_Process]]] = {}
        self._has_news = anyio.Event()
        self._questions: dict[int, _Question] = {}

    async def run(self) -> None:
        """Report streams to peers until cancelled."""
        while True:
            with anyio.move_on_after(REPORT_PERIOD_S):
                await self._has_news.wait()
            self._has_news = anyio.Event()
            await self._report()

    def add(self, key: int, record: OriginRecord, services: Iterable[str]) -> None:
        """Report a stream to peers, at once or when another version may have begun it.

        `services` are those that the request's route allows.
        """
        unreported = _BegunStream(record, frozenset(services))
        self._unreported[key] = unreported
        self._reported.pop(key, None)
        if self._must_be_reported(unreported, anyio.current_time()):
            self._has_news.set()

    def discard(self, key: int) -> None:
        """Don't report a stream that has ended well."""
        self._unreported.pop(key, None)
        self._reported.pop(key, None)

    async def ask(self, key: int, services: Iterable[str]) -> dict[str, OriginReply]:
        """Return peers' replies about a stream by address.

        Stop at the first that knows its origin.
        """
        question = self._questions.get(key)
        if question is not None:
            with anyio.move_on_after(ASK_TIMEOUT_S):
                await question.answered.wait()
            return question.replies
        question = _Question(set(self._choose_asked(key)))
        self._questions[key] = question
        body = OriginQuestion.model_construct(key=key, services=sorted(services))
        data = encode_origins(OriginMessage(question=body))
        try:
            with anyio.move_on_after(ASK_TIMEOUT_S):
                for ip in sorted(question.awaited):
                    await self.send(ip, data)
                if question.awaited:
                    await question.answered.wait()
        finally:
            del self._questions[key]
            question.answered.set()
        return question.replies

    async def receive(self, data: bytes, ip: str) -> None:
        """Handle a message of the peer at an address; raise InvalidPeerMessage."""
        message = decode_origins(data)
        now_s = anyio.current_time()
        for row in message.begun:
            record = from_origin_row(row, now_s)
            self._records.record(row[0], record, now_s)
            self._versions.record_reported(record.origin, now_s)
        if message.question is not None:
            reply = OriginMessage(reply=self._make_reply(message.question, now_s))
            await self.send(ip, encode_origins(reply))
        if message.reply is not None:
            self._accept(message.reply, ip)

    def has_replies_of_all_regions(self, key: int, replies: Iterable[str]) -> bool:
        """Return whether processes of each region that was asked have replied.

        Regions whose processes have long been silent count too: they may be cut off.
        """
        replied = {
            member.region for ip in replies if (member := self._members.find(ip))
        }
        return replied.issuperset(self._choose_regions(key))

    def has_recent_peers(self) -> bool:
        """Return whether other processes were alive recently."""
        return self._members.count_recent(anyio.current_time()) > 1

    def _make_reply(self, question: OriginQuestion, now_s: float) -> OriginReply:
        self.check_running()
        record = self._records.find(question.key, now_s)
        return OriginReply.model_construct(
            key=question.key,
            found=None
            if record is None
            else to_origin_row(question.key, record, now_s),
            versions=sorted(
                self._versions.list_recent(question.services, now_s), key=str
            ),
            is_complete=self._versions.is_complete(now_s),
        )

    def _accept(self, reply: OriginReply, ip: str) -> None:
        question = self._questions.get(reply.key)
        if question is None or ip not in question.awaited:
            return
        question.replies[ip] = reply
        question.awaited.remove(ip)
        is_known = reply.found is not None and reply.found[2] is not None
        if is_known or not question.awaited:
            question.answered.set()

    def _must_be_reported(self, unreported: _BegunStream, now_s: float) -> bool:
        recent = self._versions.list_recent(unreported.services, now_s)
        if unreported.version not in recent:
            return True
        return self._versions.is_ambiguous(unreported.services, now_s)

    async def _report(self) -> None:
        now_s = anyio.current_time()
        rows: dict[str, list[OriginRow]] = {}
        # Many streams have begun at few versions.
        must_be_reported: dict[tuple[frozenset[str], ServiceVersion], bool] = {}
        for key, unreported in list(self._unreported.items()):
            if now_s - unreported.record.begun_s > TAKE_UP_S:
                del self._unreported[key]
                continue
            kind = unreported.services, unreported.version
            if kind not in must_be_reported:
                must_be_reported[kind] = self._must_be_reported(unreported, now_s)
            if must_be_reported[kind]:
                del self._unreported[key]
                self._reported[key] = unreported, frozenset()
        self._add_untold(rows, now_s)
        for ip, found in rows.items():
            for start in range(0, len(found), MAX_REPORTED_ROWS):
                # Only peers check the rows: an error here would end the daemon.
                message = OriginMessage.model_construct(
                    begun=found[start : start + MAX_REPORTED_ROWS]
                )
                await self.send(ip, encode_origins(message))

    def _add_untold(self, rows: dict[str, list[OriginRow]], now_s: float) -> None:
        """Add the streams that are to be reported to processes, by address.

        Others are told if one that was told is gone or has started again.
        """
        alive = {
            (each.ip, each.incarnation) for each in self._members.list_alive(now_s)
        }
        for key, (reported, told) in list(self._reported.items()):
            record = reported.record
            if now_s - record.begun_s > TAKE_UP_S:
                del self._reported[key]
                continue
            if told and told <= alive:
                continue
            holders = frozenset(self._choose_holders(key, now_s))
            self._reported[key] = reported, holders
            origin = self._records.resolve(record)
            row = to_origin_row(key, replace(record, origin=origin), now_s)
            for ip, _ in holders - told:
                rows.setdefault(ip, []).append(row)

    def _choose_holders(self, key: int, now_s: float) -> list[_Process]:
        """Return the processes that remember where a stream began."""
        own_region = self._members.me.region
        holders = []
        for region in self._choose_regions(key):
            count = OTHER_REGION_HOLDERS
            if region == own_region:
                count = OWN_REGION_HOLDERS
            alive = {
                each.ip: each.incarnation
                for each in self._members.list_alive(now_s, region)
            }
            first = rank_first(list(alive), str(key), count)
            holders += [(ip, alive[ip]) for ip in first]
        return holders

    def _choose_asked(self, key: int) -> list[str]:
        """Return the processes that may remember a stream, also some that are gone."""
        now_s = anyio.current_time()
        asked = []
        for region in self._choose_regions(key):
            recent = [each.ip for each in self._members.list_recent(now_s, region)]
            asked += rank_first(recent, str(key), ASKED_IN_REGION)
        return asked

    def _choose_regions(self, key: int) -> list[str]:
        """Return the own region and those that remember a stream wherever it began."""
        own_region = self._members.me.region
        chosen = rank(set(self._members.regions.values()), str(key))[:CHOSEN_REGIONS]
        return [own_region, *(each for each in chosen if each != own_region)]
