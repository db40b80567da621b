"""Sending heartbeats to few neighbours and taking in theirs."""

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
from banyanseam.peers.membership import Membership, State
from banyanseam.peers.messages import Message, PeerIdentity
from banyanseam.peers.neighbours import choose_across, choose_in_region
from banyanseam.peers.rows import ROW_BYTES, Row, hash_seat, pack_rows, unpack_rows
from banyanseam.peers.sections import Sections

_NOT_GONE = (State.ALIVE, State.LEAVING, State.SUSPECT)


class Heartbeat(Message):
    """The sender's row, rows that it passes on, and other concerns' sections."""

    kind = "peers.heartbeat"

    rows: bytes = Field(min_length=ROW_BYTES, max_length=MAX_ROWS * ROW_BYTES)
    sections: dict[str, bytes]


class HeartbeatReply(Message):
    """The receiver's row and the newest process that it knows at the sender's seat."""

    kind = "peers.heartbeat_reply"

    row: bytes = Field(min_length=ROW_BYTES, max_length=ROW_BYTES)
    newest_incarnation: int = Field(ge=0)


class Heartbeats:
    """Beats for this process and remembers what each neighbour was told."""

    def __init__(
        self,
        membership: Membership,
        network: Network,
        sections: Sections,
        chance: random.Random,
    ) -> None:
        """Register the handler; `run` sends."""
        self._membership = membership
        self._network = network
        self._sections = sections
        self._chance = chance
        self._beats = 0
        self._in_flight: set[str] = set()
        self._told: dict[str, dict[int, Row]] = {}
        network.handle_call(Heartbeat, self._answer)

    async def run(self) -> None:
        """Beat until cancelled; a process that never beat is not alive to others."""
        async with anyio.create_task_group() as group:
            while True:
                self.beat(anyio.current_time(), group)
                jitter = self._chance.uniform(-HEARTBEAT_JITTER, HEARTBEAT_JITTER)
                await anyio.sleep(HEARTBEAT_PERIOD_S * (1 + jitter))

    def beat(self, now_s: float, group: TaskGroup) -> None:
        """Start one heartbeat to each neighbour that has answered the last one."""
        self._membership.beat(now_s)
        self._beats += 1
        neighbours = self.neighbours()
        self._told = {
            seat: told for seat, told in self._told.items() if seat in neighbours
        }
        sections = self._sections.collect()
        for seat in self._choose_targets(neighbours) - self._in_flight:
            self._in_flight.add(seat)
            group.start_soon(self._send, seat, sections)

    def neighbours(self) -> set[str]:
        """Return the seats that this process sends to, in all regions."""
        membership = self._membership
        region = membership.region
        present = membership.seats_in_state(region, *_NOT_GONE)
        found = set(choose_in_region(membership.seat, present))
        for other in membership.regions():
            if other != region:
                there = membership.seats_in_state(other, *_NOT_GONE)
                seat = choose_across(membership.seat, present, other, there)
                found |= {seat} if seat is not None else set()
        return found

    def _choose_targets(self, neighbours: set[str]) -> set[str]:
        membership = self._membership
        targets = set(neighbours)
        if self._beats % membership.pace.other_region_beats:
            own = membership.seats_in_state(membership.region, *_NOT_GONE)
            targets &= set(own)
        # After a cut each side takes the other for gone; one of them must call.
        gone = [
            seat
            for region in membership.regions()
            for seat in membership.seats_in_state(region, State.GONE)
        ]
        if gone:
            targets.add(self._chance.choice(gone))
        return targets

    async def _send(self, seat: str, sections: dict[str, bytes]) -> None:
        membership = self._membership
        told = self._told.setdefault(seat, {})
        news = membership.list_news(seat, told)
        rows = pack_rows([membership.own_row(), *news])
        message = Heartbeat(rows=rows, sections=sections)
        sent_s = anyio.current_time()
        try:
            reply = await self._network.call(
                seat, message, HeartbeatReply, HEARTBEAT_TIMEOUT_S
            )
            (row,) = unpack_rows(reply.row)
            if row.seat_hash != hash_seat(seat):
                raise InvalidPeerMessage(f"{seat} answers for another seat")
        except BanyanseamError:
            return
        finally:
            self._in_flight.discard(seat)
        now_s = anyio.current_time()
        for passed_on in news:
            _note_told(told, passed_on)
        membership.hear(row, now_s)
        membership.measure_delay(seat, now_s - sent_s)
        membership.hear_verdict(reply.newest_incarnation, now_s)

    async def _answer(self, peer: PeerIdentity, message: Message) -> Message:
        heartbeat = Heartbeat.model_validate(message)
        own, *others = unpack_rows(heartbeat.rows)
        if own.seat_hash != hash_seat(peer.seat):
            raise InvalidPeerMessage(f"{peer.seat} speaks for another seat")
        membership = self._membership
        newest = max(membership.incarnation_of(peer.seat), own.incarnation)
        if own.incarnation == newest:
            now_s = anyio.current_time()
            membership.hear(own, now_s)
            told = self._told.setdefault(peer.seat, {})
            for row in others:
                membership.hear(row, now_s)
                _note_told(told, row)
            sender = PeerIdentity(peer.seat, own.incarnation)
            self._sections.deliver(sender, heartbeat.sections)
        return HeartbeatReply(
            row=pack_rows([membership.own_row()]), newest_incarnation=newest
        )


def _note_told(told: dict[int, Row], row: Row) -> None:
    known = told.get(row.seat_hash)
    if known is None or (known.incarnation, known.counter) < (
        row.incarnation,
        row.counter,
    ):
        told[row.seat_hash] = row
