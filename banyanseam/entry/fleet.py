"""This process's part in the fleet: heartbeats out, heartbeats in.

Heartbeats are single datagrams. They need no connection that could go silent, and one
that is lost is made good by the next.
"""

import random
from collections.abc import Callable

import anyio
from anyio.abc import UDPSocket

from banyanseam.entry.const import (
    FLEET_TERM_S,
    GOSSIP_PERIOD_S,
    JOIN_PERIOD_S,
    MAX_DATAGRAM_BYTES,
    MAX_GOSSIP_PEERS,
    MAX_ROWS,
    PEER_TERM_S,
    REGION_GOSSIP_PERIOD_S,
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
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.upstreams import Loads
from banyanseam.entry.values import Values
from banyanseam.observe.events import MESSAGE_DROPPED, PEER_HEARD, PEER_SILENT, log
from banyanseam.peers.errors import InvalidPeerMessage

OnUpstreams = Callable[[Gossip, float], None]


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
        self._spent: dict[str, tuple[int, dict[str, float]]] = {}
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
            for region in sorted(set(self.settings.regions.values())):
                if region == self.settings.region:
                    continue
                alive = self.members.list_alive(now_s, region)
                if alive:
                    await self._send(random.choice(alive).ip, self._describe(region))
            self.members.forget(now_s)
            await anyio.sleep(REGION_GOSSIP_PERIOD_S * random.uniform(0.9, 1.1))

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
        now_s = anyio.current_time()
        rows = self.members.list_rows(now_s)
        if len(rows) > MAX_ROWS:
            rows = [rows[0], *random.sample(rows[1:], MAX_ROWS - 1)]
        is_near = region == self.settings.region
        me = self.members.me
        spent = [(me.ip, me.incarnation, _round(self._quota.own_spent))]
        for member in self.members.list_alive(now_s):
            known = self._spent.get(member.ip)
            if known is not None and (is_near or member.region != region):
                spent.append((member.ip, *known))
        candidates = {} if is_near else self.list_candidates()
        return Gossip(
            members=[to_member_row(row) for row in rows],
            config_version=self._values.version,
            evacuation_revision=self._values.evacuation_revision,
            loads=self._loads.list_own() if is_near else {},
            part_uses=self._loads.list_part_uses(now_s) if is_near else [],
            region_parts=[] if is_near else self._loads.list_region_parts(),
            candidates=_to_rows(candidates),
            relayed=self._describe_relayed(now_s) if is_near else {},
            spent=spent,
            levels=self._quota.list_levels(),
            crashes=self._suspects.list_recent(now_s - 5.0),
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
        for ip, incarnation, spent in gossip.spent:
            if ip != self.settings.ip:
                self._spent[ip] = (incarnation, spent)
                self._quota.hear(ip, incarnation, spent)
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


def _round(spent: dict[str, float]) -> dict[str, float]:
    return {name: round(total) for name, total in spent.items()}


def _to_rows(candidates: dict[str, list[Candidate]]) -> dict[str, list[CandidateRow]]:
    return {
        service: [to_candidate_row(each) for each in found]
        for service, found in candidates.items()
    }


def _from_rows(rows: dict[str, list[CandidateRow]]) -> dict[str, list[Candidate]]:
    return {
        service: [Candidate(*row) for row in found] for service, found in rows.items()
    }
