"""This process's part in the fleet: heartbeats out, heartbeats in.

Heartbeats are single datagrams. They need no connection that could go silent, and one
that is lost is made good by the next.
"""

import random
from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import UDPSocket

from banyanseam.entry.const import (
    CRASH_NEWS_S,
    FLEET_TERM_S,
    GOSSIP_PERIOD_S,
    JOIN_PERIOD_S,
    MAX_DATAGRAM_BYTES,
    MAX_GOSSIP_PEERS,
    MAX_ROWS,
    PEER_TERM_S,
    REGION_GOSSIP_PERIOD_S,
    REGION_SPEAKERS,
    REMOTE_PEER_TERM_S,
)
from banyanseam.entry.crash_suspects import CrashSuspects
from banyanseam.entry.members import Member, Members
from banyanseam.entry.messages import (
    CandidateRow,
    Gossip,
    decode_gossip,
    encode_gossip,
    to_candidate_row,
    to_member_row,
    to_upstream_row,
)
from banyanseam.entry.models import EntrySettings
from banyanseam.entry.placing import Candidate
from banyanseam.entry.quota import FleetQuota
from banyanseam.entry.spending import Spending, Spendings, from_table, to_table
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.upstreams import Loads
from banyanseam.entry.values import Values
from banyanseam.observe.events import MESSAGE_DROPPED, PEER_HEARD, PEER_SILENT, log
from banyanseam.peers.errors import InvalidPeerMessage


class Fleet:
    """Sends and takes heartbeats, and keeps what they say where it is used."""

    def __init__(
        self,
        settings: EntrySettings,
        members: Members,
        values: Values,
        upstreams: UpstreamList,
        loads: Loads,
        quota: FleetQuota,
        suspects: CrashSuspects,
    ) -> None:
        """Take the places where heartbeats' contents are kept."""
        self.settings = settings
        self.members = members
        self._values = values
        self._upstreams = upstreams
        self._loads = loads
        self._quota = quota
        self._suspects = suspects
        self._socket: UDPSocket | None = None
        # anyio's socket refuses a second writer while one waits.
        self._writing = anyio.Lock()
        self._alive: set[str] = set()
        self._started_s = anyio.current_time()
        # The services and their candidates in this region, asked for at each heartbeat
        # to another region.
        self.list_candidates: Callable[[], dict[str, list[Candidate]]] = dict
        # What others said they have spent, for those who do not hear them.
        self._spendings = Spendings()
        self.note_peer_values: Callable[[str, int, int], None] = lambda *_: None
        self.describe_me: Callable[[], tuple[bool, bool, int]] = lambda: (
            False,
            False,
            0,
        )

    async def run(self) -> None:
        """Exchange heartbeats until cancelled."""
        async with (
            await anyio.create_udp_socket(
                local_host=self.settings.ip, local_port=self.settings.gossip_port
            ) as socket,
            anyio.create_task_group() as tasks,
        ):
            self._socket = socket
            tasks.start_soon(self._receive)
            tasks.start_soon(self._join)
            tasks.start_soon(self._beat_in_region)
            tasks.start_soon(self._beat_between_regions)

    async def announce(self) -> None:
        """Tell the region at once what changed about this process."""
        self._beat()
        for peer in self._choose_region_peers():
            await self._send(peer.ip, self._describe(peer.region))

    async def share_upstreams(self) -> None:
        """Pass a list of upstreams that was just read on to the region."""
        gossip = Gossip(
            members=[to_member_row(self.members.me)],
            upstreams=[
                to_upstream_row(each) for each in self._upstreams.list_upstreams()
            ],
            upstreams_revision=self._upstreams.revision,
        )
        for peer in self.members.list_alive(anyio.current_time(), self.settings.region):
            await self._send(peer.ip, gossip)

    async def _receive(self) -> None:
        async for data, (ip, _) in self._socket:
            try:
                self._take(decode_gossip(data))
            except InvalidPeerMessage as error:
                log(MESSAGE_DROPPED, code=error.code, ip=ip)
                continue
            if self._needs_answer(data):
                await self._send(ip, self._describe(None))

    def _needs_answer(self, data: bytes) -> bool:
        return b"is_hello" in data

    async def _join(self) -> None:
        # Seeds may be stale, dead or late: they are asked until others are known, and
        # again whenever nobody is heard any more.
        while True:
            now_s = anyio.current_time()
            others = {row.region for row in self.members.list_alive(now_s)}
            regions = set(self.settings.regions.values())
            if regions - others or not others:
                hello = self._describe(None).model_copy(update={"is_hello": True})
                for ip in self.settings.first_peers:
                    if ip != self.settings.ip and self._is_wanted(ip, others):
                        await self._send(ip, hello)
            is_early = now_s - self._started_s < 2 * PEER_TERM_S
            await anyio.sleep(JOIN_PERIOD_S if is_early else REMOTE_PEER_TERM_S / 2)

    def _is_wanted(self, ip: str, heard_regions: set[str]) -> bool:
        known = self.members.find(ip)
        return known is None or known.region not in heard_regions

    async def _beat_in_region(self) -> None:
        while True:
            self._beat()
            self._note_changes()
            for peer in self._choose_region_peers():
                await self._send(peer.ip, self._describe(peer.region))
            await anyio.sleep(GOSSIP_PERIOD_S)

    async def _beat_between_regions(self) -> None:
        while True:
            now_s = anyio.current_time()
            for region in self._list_regions_to_tell(now_s):
                alive = self.members.list_alive(now_s, region)
                if alive:
                    await self._send(random.choice(alive).ip, self._describe(region))
            self.members.forget(now_s)
            await anyio.sleep(REGION_GOSSIP_PERIOD_S * random.uniform(0.9, 1.1))

    def _list_regions_to_tell(self, now_s: float) -> list[str]:
        """Return the other regions, if this process speaks for its own.

        A few speak for a region, since all of them would say the same. While two
        processes disagree on who lives, more or fewer speak for a moment.
        """
        region = self.settings.region
        alive = [each.ip for each in self.members.list_alive(now_s, region)]
        if sum(1 for ip in alive if ip < self.settings.ip) >= REGION_SPEAKERS:
            return []
        return sorted(set(self.settings.regions.values()) - {region})

    def _beat(self) -> None:
        is_serving, is_accepting, running = self.describe_me()
        self.members.beat(
            is_serving=is_serving, is_accepting=is_accepting, running=running
        )

    def _choose_region_peers(self) -> list[Member]:
        alive = self.members.list_alive(anyio.current_time(), self.settings.region)
        if len(alive) <= MAX_GOSSIP_PEERS:
            return alive
        return random.sample(alive, MAX_GOSSIP_PEERS)

    def _describe(self, region: str | None) -> Gossip:
        """Return a heartbeat for this region, for another, or for who has just come."""
        if region == self.settings.region:
            return self._describe_near()
        if region is None:
            return self._describe_all()
        return self._describe_region()

    def _describe_near(self) -> Gossip:
        """Return what this process holds, and what it has just heard of others."""
        now_s = anyio.current_time()
        rows = self.members.list_rows_since(now_s - 2 * GOSSIP_PERIOD_S, now_s)
        return self._make_gossip(
            rows,
            # Who passes on that a process lives passes on what it spends: a peer that
            # hears of the one alone would take the whole of the rate for its own.
            self._spendings.list_of(row.ip for row in rows),
            loads=self._loads.list_own(),
            part_uses=self._loads.list_part_uses(now_s),
            relayed=self._describe_relayed(now_s),
            levels=self._quota.list_levels(),
        )

    def _describe_region(self) -> Gossip:
        """Return what another region needs of this one."""
        now_s = anyio.current_time()
        rows = self.members.list_rows(now_s, self.settings.region)
        return self._make_gossip(
            rows,
            self._spendings.list_of(row.ip for row in rows),
            region_parts=self._loads.list_region_parts(),
            candidates=_to_rows(self.list_candidates()),
        )

    def _describe_all(self) -> Gossip:
        """Return all that a process needs that knows nobody."""
        now_s = anyio.current_time()
        rows = self.members.list_rows(now_s)
        return self._make_gossip(
            rows,
            self._spendings.list_of(row.ip for row in rows),
            region_parts=self._loads.list_region_parts(),
            candidates=_to_rows(self.list_candidates()),
            levels=self._quota.list_levels(),
        )

    def _make_gossip(
        self, rows: list[Member], spendings: list[Spending], **fields: Any
    ) -> Gossip:
        me = self.members.me
        if len(rows) > MAX_ROWS:
            rows = [rows[0], *random.sample(rows[1:], MAX_ROWS - 1)]
        mine = Spending(me.ip, me.incarnation, me.beat, self._quota.own_spent)
        names, spent = to_table([mine, *spendings])
        return Gossip(
            members=[to_member_row(row) for row in rows],
            config_version=self._values.version,
            evacuation_revision=self._values.evacuation_revision,
            spent_names=names,
            spent=spent,
            crashes=self._suspects.list_recent(anyio.current_time() - CRASH_NEWS_S),
            **fields,
        )

    def _describe_relayed(
        self, now_s: float
    ) -> dict[str, tuple[dict[str, list[CandidateRow]], list[str]]]:
        return {
            region: (_to_rows(candidates), sorted(parts))
            for region, (candidates, parts) in self._loads.list_just_heard(
                now_s
            ).items()
        }

    def _take(self, gossip: Gossip) -> None:
        now_s = anyio.current_time()
        rows = [Member(*row) for row in gossip.members]
        sender = rows[0]
        self.members.merge(rows, now_s)
        for spending in from_table(gossip.spent_names, gossip.spent):
            self._take_spending(spending, now_s)
        if now_s - self._started_s < PEER_TERM_S:
            self._quota.adopt_levels(gossip.levels, now_s)
        for suspect, upstream_id in gossip.crashes:
            self._suspects.note_crash(suspect, upstream_id, now_s)
        if gossip.upstreams is None:
            self.note_peer_values(
                sender.ip, gossip.config_version, gossip.evacuation_revision
            )
        if sender.region == self.settings.region:
            if gossip.upstreams is not None:
                self._values.take_upstreams(gossip, now_s)
            else:
                self._loads.hear(sender.ip, gossip.loads, now_s)
                for use in gossip.part_uses:
                    self._loads.note_part(*use)
                for region, (rows, parts) in gossip.relayed.items():
                    self._loads.hear_region(
                        region, _from_rows(rows), parts, now_s, is_relayed=True
                    )
        elif gossip.upstreams is None:
            # A region that has none says so as well.
            candidates = _from_rows(gossip.candidates)
            self._loads.hear_region(
                sender.region, candidates, gossip.region_parts, now_s
            )

    def _take_spending(self, spending: Spending, now_s: float) -> None:
        member = self.members.find(spending.ip)
        if member is None or member.incarnation != spending.incarnation:
            # This process itself, or one that has been replaced since.
            return
        if self._spendings.take(spending):
            self._quota.hear(spending, now_s)

    def _note_changes(self) -> None:
        """Log who appeared and who fell silent, and note the share that is heard."""
        now_s = anyio.current_time()
        alive = {member.ip for member in self.members.list_alive(now_s)}
        for ip in sorted(alive - self._alive):
            log(PEER_HEARD, peer=ip)
        for ip in sorted(self._alive - alive):
            log(PEER_SILENT, peer=ip, fleet_term_s=FLEET_TERM_S)
        self._alive = alive
        recent = self.members.count_recent(now_s)
        self._quota.heard_share = (len(alive) + 1) / max(recent, 1)
        self._quota.remember_unused(now_s)

    async def _send(self, ip: str, gossip: Gossip) -> None:
        data = encode_gossip(gossip)
        if len(data) > MAX_DATAGRAM_BYTES:
            log(MESSAGE_DROPPED, code="peers.too_large", ip=ip, size_bytes=len(data))
            return
        try:
            async with self._writing:
                await self._socket.sendto(data, ip, self.settings.gossip_port)
        except OSError as error:
            log(MESSAGE_DROPPED, code="peers.unreachable", ip=ip, error=repr(error))


def _to_rows(candidates: dict[str, list[Candidate]]) -> dict[str, list[CandidateRow]]:
    return {
        service: [to_candidate_row(each) for each in found]
        for service, found in candidates.items()
    }


def _from_rows(rows: dict[str, list[CandidateRow]]) -> dict[str, list[Candidate]]:
    return {
        service: [Candidate(*row) for row in found] for service, found in rows.items()
    }
