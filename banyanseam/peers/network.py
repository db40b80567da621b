"""The network between daemons: normally one websocket per pair of linked peers."""

import ssl
from collections.abc import Callable
from contextlib import suppress

import anyio
from anyio.abc import TaskGroup
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import InvalidHandshake, WebSocketException

from banyanseam.config.addresses import split_address
from banyanseam.observe.events import LINK_DOWN, LINK_REFUSED, LINK_UP, log
from banyanseam.peers.const import (
    HANDSHAKE_TIMEOUT_S,
    MAX_MESSAGE_BYTES,
    PING_INTERVAL_S,
    PING_TIMEOUT_S,
    REDIAL_PAUSE_S,
    WRITE_LIMIT_BYTES,
)
from banyanseam.peers.contract import CallHandler, CastHandler, Reply
from banyanseam.peers.errors import (
    CannotListen,
    InvalidPeerMessage,
    PeerRefused,
    PeerSuperseded,
    PeerUnreachable,
)
from banyanseam.peers.handshake import Handshake, dial_handshake, listen_handshake
from banyanseam.peers.incarnation import Incarnation
from banyanseam.peers.keepalive import DiallingConnection, ListeningConnection
from banyanseam.peers.link import Link, MessageHandlers
from banyanseam.peers.messages import Message, PeerIdentity
from banyanseam.settings import TlsSettings

FindAddress = Callable[[str], str | None]
_CONNECTION_OPTIONS = {
    "compression": None,
    "max_size": MAX_MESSAGE_BYTES,
    "ping_interval": PING_INTERVAL_S,
    "ping_timeout": PING_TIMEOUT_S,
    "write_limit": WRITE_LIMIT_BYTES,
}


class PeerNetwork:
    """Implements `banyanseam.peers.contract.Network` for one process."""

    def __init__(
        self,
        seat: str,
        incarnation: Incarnation,
        secret: bytes,
        find_address: FindAddress,
        on_superseded: Callable[[int], None],
        tls: TlsSettings | None = None,
    ) -> None:
        """Use the identity of this process and a function that looks up addresses.

        `on_superseded` receives the newer incarnation that a peer has for this seat.
        """
        self._seat = seat
        self._incarnation = incarnation
        self._secret = secret
        self._find_address = find_address
        self._on_superseded = on_superseded
        self._tls = tls
        self._handlers = MessageHandlers()
        self._links: dict[str, list[Link]] = {}
        self._incarnations: dict[str, int] = {}
        # Addresses from the settings, mapped to the seat that authenticated there.
        self._seats_by_address: dict[str, str] = {}
        self._dial_locks: dict[str, anyio.Lock] = {}
        self._last_failure_s: dict[str, float] = {}
        self._lost_link_watchers: list[Callable[[PeerIdentity], None]] = []
        self._tasks: TaskGroup | None = None

    @property
    def me(self) -> PeerIdentity:
        """Return the identity of this process; its incarnation may still be raised."""
        return PeerIdentity(self._seat, self._incarnation.number)

    def handle_call(self, message_type: type[Message], handler: CallHandler) -> None:
        """Register the handler for calls of this type; each runs in its own task."""
        self._handlers.calls[message_type] = handler

    def handle_cast(self, message_type: type[Message], handler: CastHandler) -> None:
        """Register the synchronous handler for casts of this type, run in order."""
        self._handlers.casts[message_type] = handler

    def on_link_lost(self, watcher: Callable[[PeerIdentity], None]) -> None:
        """Call the watcher each time that a link to a process is lost."""
        self._lost_link_watchers.append(watcher)

    def linked_seats(self) -> list[str]:
        """Return the seats with an open link, sorted by name."""
        return sorted(seat for seat, links in self._links.items() if links)

    async def call(
        self, seat: str, message: Message, reply_type: type[Reply], timeout_s: float
    ) -> Reply:
        """Send a call and return its reply; raise as `contract.Network.call` does."""
        deadline_s = anyio.current_time() + timeout_s
        link = None
        # This scope must end before the message is sent: from then on the peer may have
        # received it, and PeerUnreachable would be wrong.
        with anyio.move_on_after(timeout_s):
            link = await self._get_link(seat)
        if link is None:
            raise PeerUnreachable(f"{seat}: no link within {timeout_s} s")
        reply = await link.call(message, deadline_s - anyio.current_time())
        if not isinstance(reply, reply_type):
            raise InvalidPeerMessage(f"unexpected reply {reply.kind} to {message.kind}")
        return reply

    async def cast(self, seat: str, message: Message) -> None:
        """Send a one-way message; raise PeerUnreachable or PeerCallLost."""
        link = await self._get_link(seat)
        await link.cast(message)

    async def run(self, listen: str, started: anyio.Event) -> None:
        """Listen for peers until cancelled; all links run in its task group.

        Raise CannotListen.
        """
        host, port = split_address(listen)
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                context = self._make_tls_context(ssl.Purpose.CLIENT_AUTH)
                server = serve(
                    self._accept,
                    host,
                    port,
                    ssl=context,
                    create_connection=ListeningConnection,
                    **_CONNECTION_OPTIONS,
                )
                async with server:
                    started.set()
                    await anyio.sleep_forever()
            except OSError as error:
                raise CannotListen(f"{listen}: {error}") from error

    def _make_handshake(self) -> Handshake:
        return Handshake(self.me, self._secret, self._admit)

    def _make_tls_context(self, purpose: ssl.Purpose) -> ssl.SSLContext | None:
        if self._tls is None:
            return None
        context = ssl.create_default_context(purpose, cafile=self._tls.authority_path)
        context.load_cert_chain(self._tls.certificate_path, self._tls.key_path)
        context.verify_mode = ssl.CERT_REQUIRED
        # The handshake authenticates the seat; a certificate only proves that the peer
        # belongs to the fleet.
        context.check_hostname = False
        return context

    def _admit(self, peer: PeerIdentity) -> None:
        if peer.seat == self._seat:
            if peer.incarnation > self._incarnation.number:
                self._on_superseded(peer.incarnation)
                raise PeerRefused("this process is superseded")
            raise PeerSuperseded(self._seat, self._incarnation.number)
        newest = self._incarnations.get(peer.seat, 0)
        if peer.incarnation < newest:
            raise PeerSuperseded(peer.seat, newest)
        if peer.incarnation == newest:
            return
        self._incarnations[peer.seat] = peer.incarnation
        for link in self._links.get(peer.seat, []):
            link.is_open = False
            self._start_task(link.close)

    def _start_task(self, function: Callable, *args: object) -> None:
        if self._tasks is None:
            raise PeerUnreachable("the network is not running")
        self._tasks.start_soon(function, *args)

    async def _get_link(self, target: str) -> Link:
        """Return a link to a seat, or to the seat that listens at an address."""
        link = self._find_open_link(target)
        if link is not None:
            return link
        lock = self._dial_locks.setdefault(target, anyio.Lock())
        async with lock:
            link = self._find_open_link(target)
            if link is not None:
                return link
            failed_s = self._last_failure_s.get(target, -REDIAL_PAUSE_S)
            if anyio.current_time() < failed_s + REDIAL_PAUSE_S:
                raise PeerUnreachable(f"{target}: a dial failed a moment ago")
            try:
                return await self._dial_target(target)
            except PeerUnreachable:
                self._last_failure_s[target] = anyio.current_time()
                raise

    async def _dial_target(self, target: str) -> Link:
        if ":" in target:
            link = await self._dial(target, "")
            self._seats_by_address[target] = link.peer.seat
            return link
        address = self._find_address(target)
        if address is None or target == self._seat:
            raise PeerUnreachable(f"{target}: no address")
        return await self._dial(address, target)

    def _find_open_link(self, target: str) -> Link | None:
        seat = self._seats_by_address.get(target, target)
        return next((link for link in self._links.get(seat, []) if link.is_open), None)

    async def _dial(self, address: str, seat: str) -> Link:
        context = self._make_tls_context(ssl.Purpose.SERVER_AUTH)
        scheme = "wss" if context else "ws"
        try:
            with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                connection = await connect(
                    f"{scheme}://{address}",
                    ssl=context,
                    proxy=None,
                    create_connection=DiallingConnection,
                    **_CONNECTION_OPTIONS,
                )
                peer = await dial_handshake(
                    self._make_handshake(), seat, connection.send, connection.recv
                )
        except PeerSuperseded as error:
            self._on_superseded(error.newest_incarnation)
            raise
        except (OSError, TimeoutError, InvalidHandshake, WebSocketException) as error:
            raise PeerUnreachable(f"{seat or address}: {error!r}") from error
        except (PeerRefused, InvalidPeerMessage) as error:
            log(LINK_REFUSED, peer=seat or address, code=error.code)
            raise PeerUnreachable(f"{seat or address}: {error.detail}") from error
        link = self._add_link(peer, connection)
        self._start_task(self._serve_link, link)
        return link

    async def _accept(self, connection: ServerConnection) -> None:
        try:
            with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                peer = await listen_handshake(
                    self._make_handshake(), connection.send, connection.recv
                )
        except (TimeoutError, PeerRefused, InvalidPeerMessage) as error:
            log(LINK_REFUSED, peer=str(connection.remote_address), code=repr(error))
            return
        except WebSocketException:
            return
        await self._serve_link(self._add_link(peer, connection))

    def _add_link(self, peer: PeerIdentity, connection: Connection) -> Link:
        if self._tasks is None:
            raise PeerUnreachable("the network is not running")
        link = Link(peer, connection, self._handlers, self._tasks)
        self._links.setdefault(peer.seat, []).append(link)
        log(LINK_UP, peer=peer.seat, peer_incarnation=peer.incarnation)
        return link

    async def _serve_link(self, link: Link) -> None:
        try:
            await link.receive_until_closed()
        finally:
            links = self._links.get(link.peer.seat, [])
            with suppress(ValueError):
                links.remove(link)
            log(LINK_DOWN, peer=link.peer.seat)
            for watcher in self._lost_link_watchers:
                watcher(link.peer)
