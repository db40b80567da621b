"""Gossip over UDP: sends this process's heartbeats and receives those of its peers.

Each heartbeat is a single datagram. That avoids connections that could stall, and the
next heartbeat makes up for a lost one.
"""

import random
from collections.abc import Awaitable, Callable, Iterable

import anyio
from anyio.abc import UDPSocket

from banyanseam.entry.const import (
    FLEET_TERM_S,
    FREQUENT_REPAIR_S,
    FULL_LIST_PERIOD_S,
    GOSSIP_PERIOD_S,
    JOIN_PERIOD_S,
    MAX_DATAGRAM_BYTES,
    MAX_MESH_PEERS,
    OUTAGE_S,
    PEER_TERM_S,
    REGION_GOSSIP_PERIOD_S,
    REGION_REPORTERS,
    REMOTE_PEER_TERM_S,
    REPAIR_HEARTBEATS,
    REPAIRS_PER_REPAIR_ACROSS,
    RESUMED_ASKED_PEERS,
)
from banyanseam.entry.heartbeats import Heartbeats
from banyanseam.entry.members import Member, Members
from banyanseam.entry.messages import Gossip, decode_gossip, encode_gossip, make_digest
from banyanseam.entry.models import EntrySettings
from banyanseam.entry.origins.messages import is_origins
from banyanseam.entry.quota import FleetQuota
from banyanseam.entry.region_grid import Neighbours, choose_neighbours
from banyanseam.entry.relay_log import Direction
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.observe.events import MESSAGE_DROPPED, PEER_ALIVE, PEER_SILENT, log
from banyanseam.peers.errors import InvalidPeerMessage


class GossipExchange:
    """Sends and receives heartbeats, and logs which peers come and go."""

    def __init__(
        self,
        settings: EntrySettings,
        members: Members,
        upstreams: UpstreamList,
        quota: FleetQuota,
        heartbeats: Heartbeats,
    ) -> None:
        """Store the sources of the heartbeats' contents."""
        self.settings = settings
        self.members = members
        self._upstreams = upstreams
        self._quota = quota
        self._heartbeats = heartbeats
        self._socket: UDPSocket | None = None
        # anyio's UDP socket raises if a task sends while another's send is blocked.
        self._send_lock = anyio.Lock()
        self._alive_ips: set[str] = set()
        self._started_s = anyio.current_time()
        # The region's live processes by data centre and address, and the neighbours
        # that follow from them.
        self._places: list[tuple[str, str]] = []
        self._neighbours: Neighbours | None = None
        # When a process of the region last fell silent.
        self._peer_silent_s = -1e9
        # The store's era, digest and time of the list of upstreams that was last sent
        # in full.
        self._full_list_digest = (-1, -1)
        self._full_list_sent_s = -1e9
        # Handles a message about the origins of streams from an address.
        self.on_origins: Callable[[bytes, str], Awaitable[None]] | None = None
        # Returns whether this process is open to new callers, whether it accepts
        # requests, and how many it is running.
        self.get_own_state: Callable[[], tuple[bool, bool, int]] = lambda: (
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
            tasks.start_soon(self._gossip_in_region)
            tasks.start_soon(self._gossip_between_regions)

    async def announce(self) -> None:
        """Send a heartbeat to the whole region at once, after a state change."""
        self._update_own_row()
        await self._send(
            self._list_region_ips(),
            self._heartbeats.compose_own_loads(Direction.REGION),
        )

    async def announce_loads(self) -> None:
        """Send this process's loads to its neighbours at once."""
        neighbours = self._find_neighbours()
        if neighbours is None:
            await self.announce()
            return
        self._update_own_row()
        for ips, direction in (
            (neighbours.row, Direction.ROW),
            (neighbours.column, Direction.COLUMN),
        ):
            await self._send(ips, self._heartbeats.compose_own_loads(direction))

    async def request_upstreams(self) -> None:
        """Ask a few processes of the region for the full list of upstreams.

        After a suspension all seem silent, so any that was alive recently may be asked.
        """
        now_s = anyio.current_time()
        recent = self.members.list_recent(now_s, self.settings.region)
        asked = random.sample(recent, min(len(recent), RESUMED_ASKED_PEERS))
        request = self._heartbeats.compose_upstreams_request()
        await self._send([member.ip for member in asked], request)

    async def share_upstreams(self) -> None:
        """Send the list of upstreams that was just read to the region.

        An unchanged list is sent as its digest only.
        """
        now_s = anyio.current_time()
        digest = self._upstreams.position.era, make_digest(self._upstreams.listing)
        is_unchanged = (
            digest == self._full_list_digest
            and now_s - self._full_list_sent_s < FULL_LIST_PERIOD_S
        )
        if not is_unchanged:
            self._full_list_digest = digest
            self._full_list_sent_s = now_s
        gossip = self._heartbeats.compose_upstreams(is_known=is_unchanged)
        await self._send(self._list_region_ips(), gossip)

    async def _receive(self) -> None:
        async for data, (ip, _) in self._socket:
            try:
                if is_origins(data):
                    await self.on_origins(data, ip)
                    continue
                gossip = decode_gossip(data)
                reply = self._handle_heartbeat(gossip)
            except InvalidPeerMessage as error:
                log(MESSAGE_DROPPED, code=error.code, ip=ip)
                continue
            if reply is not None:
                await self._send([ip], reply)

    def _handle_heartbeat(self, gossip: Gossip) -> Gossip | None:
        """Apply a heartbeat and return the immediate reply, if any."""
        if gossip.wants_upstreams:
            return self._heartbeats.compose_upstreams(is_known=False)
        is_sender_known = self._heartbeats.apply(gossip)
        if gossip.is_hello:
            return self._heartbeats.compose_full()
        if not is_sender_known:
            # Short rows are useless without the full row, so ask for it.
            return self._compose_hello()
        if self._heartbeats.apply_upstreams(gossip):
            return self._heartbeats.compose_upstreams_request()
        return None

    def _compose_hello(self) -> Gossip:
        return self._heartbeats.compose_full().model_copy(update={"is_hello": True})

    async def _join(self) -> None:
        # The configured first peers may be outdated, dead or not started yet: ask them
        # for their state until every region has a live peer, and again if one has none.
        while True:
            now_s = anyio.current_time()
            alive_regions = {row.region for row in self.members.list_alive(now_s)}
            regions = set(self.settings.regions.values())
            if regions - alive_regions or not alive_regions:
                seeds = [
                    ip
                    for ip in self.settings.first_peers
                    if ip != self.settings.ip
                    and self._is_in_missing_region(ip, alive_regions)
                ]
                await self._send(seeds, self._compose_hello())
            has_just_started = now_s - self._started_s < 2 * PEER_TERM_S
            await anyio.sleep(
                JOIN_PERIOD_S if has_just_started else REMOTE_PEER_TERM_S / 2
            )

    def _is_in_missing_region(self, ip: str, alive_regions: set[str]) -> bool:
        known = self.members.find(ip)
        return known is None or known.region not in alive_regions

    async def _gossip_in_region(self) -> None:
        turn = 0
        while True:
            self._update_own_row()
            self._update_liveness()
            neighbours = self._find_neighbours()
            if neighbours is None:
                await self._send_region(self._list_region_ips(), Direction.REGION)
            elif turn % 2 == 0:
                await self._send_region(neighbours.row, Direction.ROW)
            else:
                across = neighbours.list_across(turn // 2)
                await self._send_region(neighbours.column, Direction.COLUMN)
                await self._send_region(across, Direction.ACROSS)
            if neighbours is not None and self._is_repair_due(turn):
                await self._send_repair()
            turn += 1
            await anyio.sleep(GOSSIP_PERIOD_S)

    def _is_repair_due(self, turn: int) -> bool:
        silent_since_s = anyio.current_time() - self._peer_silent_s
        return silent_since_s < FREQUENT_REPAIR_S or turn % REPAIR_HEARTBEATS == 0

    async def _send_repair(self) -> None:
        """Send all rows of the region to one process, even to a silent one.

        Processes that disagree on who is alive have different grids, and heartbeats in
        these do not reach everyone. This makes them agree again, for example after half
        of a region has been killed. Most repairs stay in the data centre.
        """
        is_across = random.randrange(REPAIRS_PER_REPAIR_ACROSS) == 0
        own = self.settings.data_centre
        candidates = [
            each.ip
            for each in self.members.list_recent(
                anyio.current_time(), self.settings.region
            )
            if (each.data_centre != own) == is_across
        ]
        if candidates:
            gossip = self._heartbeats.compose_repair()
            await self._send([random.choice(candidates)], gossip)

    async def _send_region(self, ips: Iterable[str], direction: Direction) -> None:
        await self._send(ips, self._heartbeats.compose_for_own_region(direction))

    async def _gossip_between_regions(self) -> None:
        while True:
            now_s = anyio.current_time()
            regions = self._list_regions_to_report_to(now_s)
            alive = [self.members.list_alive(now_s, region) for region in regions]
            chosen = [random.choice(found).ip for found in alive if found]
            if chosen:
                await self._send(chosen, self._heartbeats.compose_for_other_regions())
            self.members.drop_expired(now_s)
            await anyio.sleep(REGION_GOSSIP_PERIOD_S * random.uniform(0.9, 1.1))

    def _list_regions_to_report_to(self, now_s: float) -> list[str]:
        """Return all other regions if this process reports to them, else none.

        Only a few processes report for a region, since all reports would be the same.
        While processes disagree on who is alive, more or fewer may report briefly.
        """
        region = self.settings.region
        alive = [each.ip for each in self.members.list_alive(now_s, region)]
        if sum(1 for ip in alive if ip < self.settings.ip) >= REGION_REPORTERS:
            return []
        return sorted(set(self.settings.regions.values()) - {region})

    def _update_own_row(self) -> None:
        self._heartbeats.refresh_performance()
        for refresh in self._heartbeats.refreshers:
            refresh(anyio.current_time())
        is_serving, is_accepting, running = self.get_own_state()
        self.members.increment_heartbeat_count(
            is_serving=is_serving,
            is_accepting=is_accepting,
            running=running,
            now_s=anyio.current_time(),
        )
        self._heartbeats.record_own_spending()

    def _list_region_ips(self) -> list[str]:
        now_s = anyio.current_time()
        alive: list[Member] = self.members.list_alive(now_s, self.settings.region)
        return [member.ip for member in alive]

    def _find_neighbours(self) -> Neighbours | None:
        """Return the neighbours in the region's grid, or None in a small region."""
        now_s = anyio.current_time()
        alive = self.members.list_alive(now_s, self.settings.region)
        if len(alive) <= MAX_MESH_PEERS:
            return None
        places = sorted(
            (each.data_centre, each.ip) for each in [*alive, self.members.me]
        )
        if places != self._places:
            self._places = places
            ips: dict[str, list[str]] = {}
            for data_centre, ip in places:
                ips.setdefault(data_centre, []).append(ip)
            self._neighbours = choose_neighbours(
                self.settings.ip, self.settings.data_centre, ips
            )
        return self._neighbours

    def _update_liveness(self) -> None:
        """Log appeared and silent peers; pass the share of live ones to the quota."""
        now_s = anyio.current_time()
        alive_ips = {member.ip for member in self.members.list_alive(now_s)}
        is_old = now_s - self._upstreams.confirmed_s > OUTAGE_S
        if is_old and alive_ips and not self._alive_ips:
            # It was cut off from its peers and from the store.
            self._upstreams.record_resumed(now_s)
        for ip in sorted(alive_ips - self._alive_ips):
            log(PEER_ALIVE, peer=ip)
        for ip in sorted(self._alive_ips - alive_ips):
            log(PEER_SILENT, peer=ip, fleet_term_s=FLEET_TERM_S)
            member = self.members.find(ip)
            if member is not None and member.region == self.settings.region:
                self._peer_silent_s = now_s
        self._alive_ips = alive_ips
        recent = self.members.count_recent(now_s)
        self._quota.heard_share = (len(alive_ips) + 1) / max(recent, 1)
        self._quota.record_unused_refill(now_s)

    async def _send(self, ips: Iterable[str], gossip: Gossip) -> None:
        data = encode_gossip(gossip)
        for ip in ips:
            await self.send_data(ip, data)

    async def send_data(self, ip: str, data: bytes) -> None:
        """Send a datagram to the process at an address; drop it if that fails."""
        if len(data) > MAX_DATAGRAM_BYTES:
            log(MESSAGE_DROPPED, code="peers.too_large", ip=ip, size_bytes=len(data))
            return
        try:
            async with self._send_lock:
                await self._socket.sendto(data, ip, self.settings.gossip_port)
        except OSError as error:
            log(MESSAGE_DROPPED, code="peers.unreachable", ip=ip, error=repr(error))
