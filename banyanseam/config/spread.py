"""Handing newer configurations from daemon to daemon: announce, then pull.

A daemon tells its heartbeat neighbours which versions it holds; one that lacks them
asks what changed and fetches just those values, from one peer at a time.
"""

import struct
from collections.abc import Callable, Iterable
from typing import Final

import anyio

from banyanseam.config.const import PEER_TIMEOUT_S, VALUES_BYTES
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
from banyanseam.config.store import Store
from banyanseam.errors import BanyanseamError
from banyanseam.peers.contract import Network
from banyanseam.peers.errors import InvalidPeerMessage
from banyanseam.peers.messages import Message, PeerIdentity
from banyanseam.peers.sections import Sections

_VERSIONS: Final = struct.Struct(">QQ")


class Spread:
    """Offers what this process holds to its neighbours and pulls what they hold."""

    def __init__(
        self,
        store: Store,
        network: Network,
        neighbours: Callable[[], Iterable[str]],
        is_serving: Callable[[], bool],
    ) -> None:
        """Register the handlers; `run` does the work."""
        self._store = store
        self._network = network
        self._neighbours = neighbours
        self._is_serving = is_serving
        self._heard: dict[str, Announce] = {}
        self._wake = anyio.Event()
        self._announce_due = False
        store.on_changed(self._note_change)
        network.handle_cast(Announce, self._take_announce)
        network.handle_call(ListRequest, self._answer_list)
        network.handle_call(ValuesRequest, self._answer_values)

    def attach(self, sections: Sections) -> None:
        """Put the versions held into each heartbeat, in case announcements are lost."""
        sections.register("config", self._supply, self._take_section)

    def describe(self) -> Announce:
        """Return what this process holds, for an announcement or a heartbeat."""
        store = self._store
        return Announce(in_force=store.in_force.version, newest=store.newest.version)

    def hear(self, seat: str, announce: Announce) -> None:
        """Note what a peer holds and wake the puller if that is newer."""
        if self._store.wants(announce.in_force, announce.newest):
            self._heard[seat] = announce
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
                del self._heard[seat]
                await self.pull(seat)

    async def ask(self, seat: str, *, in_force_only: bool = False) -> ListReply:
        """Return what a peer holds beyond this process; raise as Network.call does."""
        after = self._known(in_force_only).version
        request = ListRequest(after=after, in_force_only=in_force_only)
        return await self._network.call(seat, request, ListReply, PEER_TIMEOUT_S)

    async def pull(self, seat: str) -> bool:
        """Take over what one peer holds; return whether it answered to the end."""
        try:
            version = await self._pull_snapshot(seat, in_force_only=False)
            if version > self._store.in_force.version:
                # The newest one was rejected here, so the peer's last good one counts.
                await self._pull_snapshot(seat, in_force_only=True)
        except BanyanseamError:
            return False
        return True

    def _known(self, in_force_only: bool) -> Snapshot:
        return self._store.in_force if in_force_only else self._store.newest

    async def _pull_snapshot(self, seat: str, *, in_force_only: bool) -> int:
        known = self._known(in_force_only)
        reply = await self.ask(seat, in_force_only=in_force_only)
        if reply.version > known.version:
            values = await self._fetch(seat, reply.changed)
            listing = Listing(reply.version, reply.changed)
            self._store.offer(extend_snapshot(known, listing, values))
        return reply.version

    async def _fetch(self, seat: str, changed: dict[str, int]) -> list[Value]:
        values = []
        missing = {}
        for key, revision in changed.items():
            held = self._store.find(key, revision)
            if held is None:
                missing[key] = revision
            else:
                values.append(held)
        while missing:
            request = ValuesRequest(wanted=missing)
            reply = await self._network.call(seat, request, ValuesReply, PEER_TIMEOUT_S)
            got = [
                unpack_value(value)
                for value in reply.values
                if missing.pop(value.key, None) == value.revision
            ]
            if not got:
                raise InconsistentValues(f"{seat} no longer holds what it listed")
            values += got
        return values

    def _supply(self) -> bytes:
        store = self._store
        return _VERSIONS.pack(store.in_force.version, store.newest.version)

    def _take_section(self, peer: PeerIdentity, content: bytes) -> None:
        if len(content) != _VERSIONS.size:
            raise InvalidPeerMessage("the length of the versions")
        in_force, newest = _VERSIONS.unpack(content)
        self.hear(peer.seat, Announce(in_force=in_force, newest=newest))

    async def _announce(self) -> None:
        announce = self.describe()
        async with anyio.create_task_group() as group:
            for seat in self._neighbours():
                group.start_soon(self._announce_to, seat, announce)

    async def _announce_to(self, seat: str, announce: Announce) -> None:
        # The versions are in every heartbeat too, which mends a lost announcement.
        try:
            await self._network.cast(seat, announce)
        except BanyanseamError:
            return

    def _choose_peer(self) -> str | None:
        newer = {
            seat: announce
            for seat, announce in self._heard.items()
            if self._store.wants(announce.in_force, announce.newest)
        }
        self._heard = newer
        if not newer:
            return None
        return max(newer, key=lambda seat: (newer[seat].newest, newer[seat].in_force))

    def _note_change(self) -> None:
        self._announce_due = True
        self._wake.set()

    def _take_announce(self, peer: PeerIdentity, message: Message) -> None:
        if isinstance(message, Announce):
            self.hear(peer.seat, message)

    async def _answer_list(self, peer: PeerIdentity, message: Message) -> Message:
        request = ListRequest.model_validate(message)
        listing = self._known(request.in_force_only).list_after(request.after)
        return ListReply(
            version=listing.version,
            changed=listing.changed,
            is_serving=self._is_serving(),
        )

    async def _answer_values(self, peer: PeerIdentity, message: Message) -> Message:
        request = ValuesRequest.model_validate(message)
        values = []
        room_bytes = VALUES_BYTES
        for key, revision in request.wanted.items():
            value = self._store.find(key, revision)
            if value is None:
                continue
            if values and len(value.content) > room_bytes:
                break
            room_bytes -= len(value.content)
            values.append(pack_value(value))
        return ValuesReply(values=values)
