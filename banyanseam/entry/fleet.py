"""This process's part in the fleet: heartbeats out, heartbeats in.

Heartbeats are single datagrams. They need no connection that could go silent, and one
that is lost is made good by the next.
"""

import random
from collections.abc import Callable, Iterable

import anyio
from anyio.abc import UDPSocket

from banyanseam.entry.const import (
    FLEET_TERM_S,
    FULL_LIST_PERIOD_S,
    GOSSIP_PERIOD_S,
    JOIN_PERIOD_S,
    MAX_DATAGRAM_BYTES,
    MAX_GOSSIP_PEERS,
    PEER_TERM_S,
    REGION_GOSSIP_PERIOD_S,
    REGION_REPORTERS,
    REMOTE_PEER_TERM_S,
)
from banyanseam.entry.heartbeats import Heartbeats
from banyanseam.entry.members import Member, Members
from banyanseam.entry.messages import Gossip, decode_gossip, encode_gossip, make_digest
from banyanseam.entry.models import EntrySettings
from banyanseam.entry.quota import FleetQuota
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.observe.events import MESSAGE_DROPPED, PEER_HEARD, PEER_SILENT, log
from banyanseam.peers.errors import InvalidPeerMessage


class Fleet:
    """Sends and receives heartbeats, and says who is heard."""

    def __init__(
        self,
        settings: EntrySettings,
        members: Members,
        upstreams: UpstreamList,
        quota: FleetQuota,
        heartbeats: Heartbeats,
    ) -> None:
        """Take what heartbeats are made of."""
        self.settings = settings
        self.members = members
        self._upstreams = upstreams
        self._quota = quota
        self._heartbeats = heartbeats
        self._socket: UDPSocket | None = None
        # anyio's socket refuses a second writer while one waits.
        self._writing = anyio.Lock()
        self._alive: set[str] = set()
        self._started_s = anyio.current_time()
        # Those of the region whose turn to be told has yet to come.
        self._turns: list[str] = []
        # The list of upstreams that was last sent in full, and when.
        self._shared_digest = -1
        self._shared_s = -1e9
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
        """Tell the whole region at once what changed about this process."""
        self._beat()
        await self._send(self._list_region(), self._heartbeats.describe_near())

    async def share_upstreams(self) -> None:
        """Pass a list of upstreams that was just read on to the region.

        A list that is as it was is passed on as its digest.
        """
        now_s = anyio.current_time()
        digest = make_digest(self._upstreams.list_upstreams())
        is_known = (
            digest == self._shared_digest
            and now_s - self._shared_s < FULL_LIST_PERIOD_S
        )
        if not is_known:
            self._shared_digest = digest
            self._shared_s = now_s
        gossip = self._heartbeats.describe_upstreams(is_known=is_known)
        await self._send(self._list_region(), gossip)

    async def _receive(self) -> None:
        async for data, (ip, _) in self._socket:
            try:
                gossip = decode_gossip(data)
                answer = self._take(gossip)
            except InvalidPeerMessage as error:
                log(MESSAGE_DROPPED, code=error.code, ip=ip)
                continue
            if answer is not None:
                await self._send([ip], answer)

    def _take(self, gossip: Gossip) -> Gossip | None:
        """Take a heartbeat in and return what is answered at once, if anything."""
        if gossip.wants_upstreams:
            return self._heartbeats.describe_upstreams(is_known=False)
        is_known = self._heartbeats.merge(gossip)
        if gossip.is_hello:
            return self._heartbeats.describe_all()
        if not is_known:
            # Its short rows say nothing to who has not had the full one.
            return self._make_hello()
        if self._heartbeats.take_upstreams(gossip):
            return self._heartbeats.ask_for_upstreams()
        return None

    def _make_hello(self) -> Gossip:
        return self._heartbeats.describe_all().model_copy(update={"is_hello": True})

    async def _join(self) -> None:
        # Seeds may be stale, dead or late: they are asked until others are known, and
        # again whenever nobody is heard any more.
        while True:
            now_s = anyio.current_time()
            others = {row.region for row in self.members.list_alive(now_s)}
            regions = set(self.settings.regions.values())
            if regions - others or not others:
                wanted = [
                    ip
                    for ip in self.settings.first_peers
                    if ip != self.settings.ip and self._is_wanted(ip, others)
                ]
                await self._send(wanted, self._make_hello())
            is_early = now_s - self._started_s < 2 * PEER_TERM_S
            await anyio.sleep(JOIN_PERIOD_S if is_early else REMOTE_PEER_TERM_S / 2)

    def _is_wanted(self, ip: str, heard_regions: set[str]) -> bool:
        known = self.members.find(ip)
        return known is None or known.region not in heard_regions

    async def _beat_in_region(self) -> None:
        while True:
            self._beat()
            self._note_changes()
            await self._send(self._take_turns(), self._heartbeats.describe_near())
            await anyio.sleep(GOSSIP_PERIOD_S)

    async def _beat_between_regions(self) -> None:
        while True:
            now_s = anyio.current_time()
            regions = self._list_regions_to_tell(now_s)
            alive = [self.members.list_alive(now_s, region) for region in regions]
            chosen = [random.choice(found).ip for found in alive if found]
            if chosen:
                await self._send(chosen, self._heartbeats.describe_region())
            self.members.forget(now_s)
            await anyio.sleep(REGION_GOSSIP_PERIOD_S * random.uniform(0.9, 1.1))

    def _list_regions_to_tell(self, now_s: float) -> list[str]:
        """Return the other regions, if this process speaks for its own.

        A few speak for a region, since all of them would say the same. While two
        processes disagree on who lives, more or fewer speak for a moment.
        """
        region = self.settings.region
        alive = [each.ip for each in self.members.list_alive(now_s, region)]
        if sum(1 for ip in alive if ip < self.settings.ip) >= REGION_REPORTERS:
            return []
        return sorted(set(self.settings.regions.values()) - {region})

    def _beat(self) -> None:
        is_serving, is_accepting, running = self.describe_me()
        self.members.beat(
            is_serving=is_serving,
            is_accepting=is_accepting,
            running=running,
            now_s=anyio.current_time(),
        )
        self._heartbeats.note_own_spending()

    def _list_region(self) -> list[str]:
        now_s = anyio.current_time()
        alive: list[Member] = self.members.list_alive(now_s, self.settings.region)
        return [member.ip for member in alive]

    def _take_turns(self) -> list[str]:
        """Return whom of the region to tell now: all, or in turn so many of them."""
        alive = self._list_region()
        if len(alive) <= MAX_GOSSIP_PEERS:
            return alive
        self._turns = [ip for ip in self._turns if ip in alive]
        if len(self._turns) < MAX_GOSSIP_PEERS:
            waiting = [ip for ip in alive if ip not in self._turns]
            self._turns += random.sample(waiting, len(waiting))
        chosen = self._turns[:MAX_GOSSIP_PEERS]
        del self._turns[:MAX_GOSSIP_PEERS]
        return chosen

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
        self._quota.record_unused_refill(now_s)

    async def _send(self, ips: Iterable[str], gossip: Gossip) -> None:
        data = encode_gossip(gossip)
        for ip in ips:
            await self._send_data(ip, data)

    async def _send_data(self, ip: str, data: bytes) -> None:
        if len(data) > MAX_DATAGRAM_BYTES:
            log(MESSAGE_DROPPED, code="peers.too_large", ip=ip, size_bytes=len(data))
            return
        try:
            async with self._writing:
                await self._socket.sendto(data, ip, self.settings.gossip_port)
        except OSError as error:
            log(MESSAGE_DROPPED, code="peers.unreachable", ip=ip, error=repr(error))
