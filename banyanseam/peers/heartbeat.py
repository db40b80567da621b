"""Exchange heartbeats with a few neighbour seats.

A heartbeat carries rows. A row holds the heartbeat counter and flags of the process at
one seat.
"""

import random

import anyio
from anyio.abc import TaskGroup
from pydantic import Field

from banyanseam.errors import BanyanseamError
from banyanseam.peers.const import (
    HEARTBEAT_JITTER,
    HEARTBEAT_PERIOD_S,
    HEARTBEAT_TIMEOUT_S,
    MAX_ROWS,
)
from banyanseam.peers.contract import Network
from banyanseam.peers.errors import InvalidPeerMessage
from banyanseam.peers.membership import Membership, SeatState
from banyanseam.peers.messages import Message, PeerIdentity
from banyanseam.peers.neighbours import choose_in_other_region, choose_in_region
from banyanseam.peers.rows import ROW_BYTES, Row, hash_seat, pack_rows, unpack_rows
from banyanseam.peers.sections import Sections

_NOT_GONE_STATES = (SeatState.ALIVE, SeatState.LEAVING, SeatState.SUSPECT)


class Heartbeat(Message):
    """The sender's row, the rows that it relays, and the sections of other features."""

    kind = "peers.heartbeat"

    rows: bytes = Field(min_length=ROW_BYTES, max_length=MAX_ROWS * ROW_BYTES)
    sections: dict[str, bytes]


class HeartbeatReply(Message):
    """The receiver's row and the newest incarnation it has for the sender's seat."""

    kind = "peers.heartbeat_reply"

    row: bytes = Field(min_length=ROW_BYTES, max_length=ROW_BYTES)
    newest_incarnation: int = Field(ge=0)


class Heartbeats:
    """Sends heartbeats and tracks which rows each neighbour already has."""

    def __init__(
        self,
        membership: Membership,
        network: Network,
        sections: Sections,
        rng: random.Random,
    ) -> None:
        """Register the handler for heartbeats; `run` sends them."""
        self._membership = membership
        self._network = network
        self._sections = sections
        self._rng = rng
        self._periods = 0
        self._in_flight: set[str] = set()
        self._rows_by_peer: dict[str, dict[int, Row]] = {}
        network.handle_call(Heartbeat, self._handle_heartbeat)

    async def run(self) -> None:
        """Send heartbeats until cancelled; receivers count this process as alive."""
        async with anyio.create_task_group() as group:
            while True:
                self.send_heartbeats(anyio.current_time(), group)
                jitter = self._rng.uniform(-HEARTBEAT_JITTER, HEARTBEAT_JITTER)
                await anyio.sleep(HEARTBEAT_PERIOD_S * (1 + jitter))

    def send_heartbeats(self, now_s: float, group: TaskGroup) -> None:
        """Start a heartbeat to each neighbour that has no earlier one in flight."""
        self._membership.increment_counter(now_s)
        self._periods += 1
        neighbours = self.neighbours()
        self._rows_by_peer = {
            seat: rows
            for seat, rows in self._rows_by_peer.items()
            if seat in neighbours
        }
        sections = self._sections.collect()
        for seat in self._choose_targets(neighbours) - self._in_flight:
            self._in_flight.add(seat)
            group.start_soon(self._send, seat, sections)

    def neighbours(self) -> set[str]:
        """Return the seats that this process sends heartbeats to, in all regions."""
        membership = self._membership
        region = membership.region
        present = membership.seats_in_state(region, *_NOT_GONE_STATES)
        found = set(choose_in_region(membership.seat, present))
        for other in membership.regions():
            if other != region:
                there = membership.seats_in_state(other, *_NOT_GONE_STATES)
                seat = choose_in_other_region(membership.seat, present, other, there)
                found |= {seat} if seat is not None else set()
        return found

    def _choose_targets(self, neighbours: set[str]) -> set[str]:
        membership = self._membership
        targets = set(neighbours)
        if self._periods % membership.gossip_timing.other_region_interval:
            own = membership.seats_in_state(membership.region, *_NOT_GONE_STATES)
            targets &= set(own)
        # After a partition each side counts the other's seats as gone. They are no
        # neighbours, so a heartbeat to a random one restores the contact.
        gone = [
            seat
            for region in membership.regions()
            for seat in membership.seats_in_state(region, SeatState.GONE)
        ]
        if gone:
            targets.add(self._rng.choice(gone))
        return targets

    async def _send(self, seat: str, sections: dict[str, bytes]) -> None:
        membership = self._membership
        peer_rows = self._rows_by_peer.setdefault(seat, {})
        forwarded = membership.list_rows_to_forward(seat, peer_rows)
        rows = pack_rows([membership.own_row(), *forwarded])
        message = Heartbeat(rows=rows, sections=sections)
        sent_s = anyio.current_time()
        try:
            reply = await self._network.call(
                seat, message, HeartbeatReply, HEARTBEAT_TIMEOUT_S
            )
            (row,) = unpack_rows(reply.row)
            if row.seat_hash != hash_seat(seat):
                raise InvalidPeerMessage(f"{seat} replied with the row of another seat")
        except BanyanseamError:
            return
        finally:
            self._in_flight.discard(seat)
        now_s = anyio.current_time()
        for sent in forwarded:
            _record_row(peer_rows, sent)
        membership.merge_row(row, now_s)
        membership.record_round_trip(seat, now_s - sent_s)
        membership.handle_newest_incarnation(reply.newest_incarnation, now_s)

    async def _handle_heartbeat(self, peer: PeerIdentity, message: Message) -> Message:
        heartbeat = Heartbeat.model_validate(message)
        own, *others = unpack_rows(heartbeat.rows)
        if own.seat_hash != hash_seat(peer.seat):
            raise InvalidPeerMessage(
                f"{peer.seat} sent the row of another seat as its own"
            )
        membership = self._membership
        newest = max(membership.incarnation_of(peer.seat), own.incarnation)
        if own.incarnation == newest:
            now_s = anyio.current_time()
            membership.merge_row(own, now_s)
            peer_rows = self._rows_by_peer.setdefault(peer.seat, {})
            for row in others:
                membership.merge_row(row, now_s)
                _record_row(peer_rows, row)
            sender = PeerIdentity(peer.seat, own.incarnation)
            self._sections.deliver(sender, heartbeat.sections)
        return HeartbeatReply(
            row=pack_rows([membership.own_row()]), newest_incarnation=newest
        )


def _record_row(peer_rows: dict[int, Row], row: Row) -> None:
    previous = peer_rows.get(row.seat_hash)
    if previous is None or (previous.incarnation, previous.counter) < (
        row.incarnation,
        row.counter,
    ):
        peer_rows[row.seat_hash] = row
