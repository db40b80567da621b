"""Replicate newer configurations between daemons: announce, then pull.

A daemon announces the versions that it holds to its heartbeat neighbours. A neighbour
that lacks them requests the listing of changes and fetches only the changed values,
from one peer at a time.
"""

import struct
from collections.abc import Callable, Iterable
from typing import Final

import anyio

from banyanseam.config.const import PEER_TIMEOUT_S, VALUES_REPLY_BYTES
from banyanseam.config.errors import InconsistentValues
from banyanseam.config.messages import (
    Announce,
    ListReply,
    ListRequest,
    ValuesReply,
    ValuesRequest,
    pack_value,
    unpack_value,
)
from banyanseam.config.snapshot import Listing, Snapshot, Value, extend_snapshot
from banyanseam.config.store import ConfigStore
from banyanseam.errors import BanyanseamError
from banyanseam.peers.contract import Network
from banyanseam.peers.errors import InvalidPeerMessage
from banyanseam.peers.messages import Message, PeerIdentity
from banyanseam.peers.sections import Sections

_VERSIONS: Final = struct.Struct(">QQ")


class Replicator:
    """Announces this process's versions to its neighbours and pulls newer ones."""

    def __init__(
        self,
        store: ConfigStore,
        network: Network,
        neighbours: Callable[[], Iterable[str]],
        is_serving: Callable[[], bool],
    ) -> None:
        """Register the message handlers; `run` announces and pulls."""
        self._store = store
        self._network = network
        self._neighbours = neighbours
        self._is_serving = is_serving
        self._announced: dict[str, Announce] = {}
        self._wake = anyio.Event()
        self._announce_due = False
        store.on_changed(self._mark_announce_due)
        network.handle_cast(Announce, self._handle_announce)
        network.handle_call(ListRequest, self._answer_list)
        network.handle_call(ValuesRequest, self._answer_values)

    def attach(self, sections: Sections) -> None:
        """Add the versions to each heartbeat, in case an announcement is lost."""
        sections.register("config", self._encode_section, self._handle_section)

    def make_announce(self) -> Announce:
        """Return the versions that this process holds, as an announcement."""
        store = self._store
        return Announce(in_force=store.in_force.version, newest=store.newest.version)

    def receive(self, seat: str, announce: Announce) -> None:
        """If a peer's versions are newer, record them and wake `run` to pull them."""
        if self._store.is_behind(announce.in_force, announce.newest):
            self._announced[seat] = announce
            self._wake.set()

    async def run(self) -> None:
        """Announce and pull until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            if self._announce_due:
                self._announce_due = False
                await self._announce()
            while (seat := self._choose_peer()) is not None:
                del self._announced[seat]
                await self.pull(seat)

    async def request_listing(
        self, seat: str, *, in_force_only: bool = False
    ) -> ListReply:
        """Return a peer's listing of newer values; raise as Network.call does."""
        after = self._select_snapshot(in_force_only).version
        request = ListRequest(after=after, in_force_only=in_force_only)
        return await self._network.call(seat, request, ListReply, PEER_TIMEOUT_S)

    async def pull(self, seat: str) -> bool:
        """Pull a peer's newer versions; return False if a call or its reply failed."""
        try:
            version = await self._pull_snapshot(seat, in_force_only=False)
            if version > self._store.in_force.version:
                # The newest version was rejected here: get the peer's last valid one.
                await self._pull_snapshot(seat, in_force_only=True)
        except BanyanseamError:
            return False
        return True

    def _select_snapshot(self, in_force_only: bool) -> Snapshot:
        return self._store.in_force if in_force_only else self._store.newest

    async def _pull_snapshot(self, seat: str, *, in_force_only: bool) -> int:
        known = self._select_snapshot(in_force_only)
        reply = await self.request_listing(seat, in_force_only=in_force_only)
        if reply.version > known.version:
            values = await self._fetch(seat, reply.changed)
            listing = Listing(reply.version, reply.changed)
            self._store.try_adopt(extend_snapshot(known, listing, values))
        return reply.version

    async def _fetch(self, seat: str, changed: dict[str, int]) -> list[Value]:
        values = []
        missing = {}
        for key, revision in changed.items():
            local = self._store.find(key, revision)
            if local is None:
                missing[key] = revision
            else:
                values.append(local)
        while missing:
            request = ValuesRequest(wanted=missing)
            reply = await self._network.call(seat, request, ValuesReply, PEER_TIMEOUT_S)
            received = [
                unpack_value(value)
                for value in reply.values
                if missing.pop(value.key, None) == value.revision
            ]
            if not received:
                raise InconsistentValues(
                    f"{seat} no longer holds the values that it listed"
                )
            values += received
        return values

    def _encode_section(self) -> bytes:
        store = self._store
        return _VERSIONS.pack(store.in_force.version, store.newest.version)

    def _handle_section(self, peer: PeerIdentity, content: bytes) -> None:
        if len(content) != _VERSIONS.size:
            raise InvalidPeerMessage("the config section has the wrong length")
        in_force, newest = _VERSIONS.unpack(content)
        self.receive(peer.seat, Announce(in_force=in_force, newest=newest))

    async def _announce(self) -> None:
        announce = self.make_announce()
        async with anyio.create_task_group() as group:
            for seat in self._neighbours():
                group.start_soon(self._announce_to, seat, announce)

    async def _announce_to(self, seat: str, announce: Announce) -> None:
        # Every heartbeat also carries the versions, which makes up for a lost
        # announcement.
        try:
            await self._network.cast(seat, announce)
        except BanyanseamError:
            return

    def _choose_peer(self) -> str | None:
        newer = {
            seat: announce
            for seat, announce in self._announced.items()
            if self._store.is_behind(announce.in_force, announce.newest)
        }
        self._announced = newer
        if not newer:
            return None
        return max(newer, key=lambda seat: (newer[seat].newest, newer[seat].in_force))

    def _mark_announce_due(self) -> None:
        self._announce_due = True
        self._wake.set()

    def _handle_announce(self, peer: PeerIdentity, message: Message) -> None:
        if isinstance(message, Announce):
            self.receive(peer.seat, message)

    async def _answer_list(self, peer: PeerIdentity, message: Message) -> Message:
        request = ListRequest.model_validate(message)
        listing = self._select_snapshot(request.in_force_only).list_after(request.after)
        return ListReply(
            version=listing.version,
            changed=listing.changed,
            is_serving=self._is_serving(),
        )

    async def _answer_values(self, peer: PeerIdentity, message: Message) -> Message:
        request = ValuesRequest.model_validate(message)
        values = []
        free_bytes = VALUES_REPLY_BYTES
        for key, revision in request.wanted.items():
            value = self._store.find(key, revision)
            if value is None:
                continue
            if values and len(value.content) > free_bytes:
                break
            free_bytes -= len(value.content)
            values.append(pack_value(value))
        return ValuesReply(values=values)
