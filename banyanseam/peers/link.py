"""One websocket between two daemons, carrying calls, replies and casts."""

import anyio
from anyio.abc import TaskGroup
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from banyanseam.errors import BanyanseamError
from banyanseam.observe.events import INTERNAL_FAILURE, MESSAGE_DROPPED, log
from banyanseam.peers.const import MAX_CALLS_PER_LINK
from banyanseam.peers.contract import CallHandler, CastHandler
from banyanseam.peers.errors import (
    InvalidPeerMessage,
    PeerCallFailed,
    PeerCallLost,
    PeerUnreachable,
    TooManyPeerCalls,
)
from banyanseam.peers.messages import (
    Envelope,
    Failure,
    Message,
    PeerIdentity,
    decode,
    encode,
)


class MessageHandlers:
    """Message handlers by message type, shared by all links of a process."""

    def __init__(self) -> None:
        """Start without handlers."""
        self.calls: dict[type[Message], CallHandler] = {}
        self.casts: dict[type[Message], CastHandler] = {}


class PendingCall:
    """A sent call that has no reply yet."""

    def __init__(self) -> None:
        """Start without a reply."""
        self.done = anyio.Event()
        self.reply: Message | None = None

    def resolve(self, reply: Message | None) -> None:
        """Set the reply, or None when the link has closed, and resume the caller."""
        self.reply = reply
        self.done.set()


class Link:
    """A link to `peer`, which was authenticated by the handshake."""

    def __init__(
        self,
        peer: PeerIdentity,
        connection: Connection,
        handlers: MessageHandlers,
        tasks: TaskGroup,
    ) -> None:
        """Use a connection whose handshake is complete."""
        self.peer = peer
        self.is_open = True
        self._connection = connection
        self._handlers = handlers
        self._tasks = tasks
        self._pending: dict[int, PendingCall] = {}
        self._last_call_number = 0
        self._calls_in_progress = 0

    async def call(self, message: Message, timeout_s: float) -> Message:
        """Send a call and return its reply.

        Raise PeerUnreachable, PeerCallLost or PeerCallFailed.
        """
        self._last_call_number += 1
        number = self._last_call_number
        pending = self._pending[number] = PendingCall()
        try:
            with anyio.move_on_after(timeout_s):
                await self._send(Envelope(number, False, message))
                await pending.done.wait()
        finally:
            del self._pending[number]
        reply = pending.reply
        if reply is None:
            raise PeerCallLost(f"{self.peer.seat}: {message.kind}")
        if isinstance(reply, Failure):
            raise PeerCallFailed(
                reply.code,
                reply.detail,
                peer_not_run=reply.not_run,
                retry_after_ms=reply.retry_after_ms,
            )
        return reply

    async def cast(self, message: Message) -> None:
        """Send a one-way message; raise PeerUnreachable or PeerCallLost."""
        await self._send(Envelope(0, False, message))

    async def _send(self, envelope: Envelope) -> None:
        if not self.is_open:
            raise PeerUnreachable(self.peer.seat)
        try:
            await self._connection.send(encode(envelope))
        except ConnectionClosed as error:
            raise PeerCallLost(self.peer.seat) from error

    async def receive_until_closed(self) -> None:
        """Handle messages until the link closes; then fail all pending calls."""
        try:
            async for data in self._connection:
                await self._dispatch(decode(data))
        except (ConnectionClosed, InvalidPeerMessage):
            await self.close()
        finally:
            self.is_open = False
            for pending in self._pending.values():
                pending.resolve(None)

    async def close(self) -> None:
        """Close the connection; safe to repeat."""
        self.is_open = False
        await self._connection.close()

    async def _dispatch(self, envelope: Envelope) -> None:
        message = envelope.message
        if envelope.is_reply:
            pending = self._pending.get(envelope.call)
            # A reply that arrives after the timeout is dropped.
            if pending is not None:
                pending.resolve(message)
            return
        if envelope.call:
            self._tasks.start_soon(self._serve_call, envelope)
            return
        handler = self._handlers.casts.get(type(message))
        if handler is None:
            raise InvalidPeerMessage(f"{message.kind} is not a cast")
        try:
            handler(self.peer, message)
        except InvalidPeerMessage:
            raise
        except BanyanseamError as error:
            # Senders expect that casts may be lost, so one that fails is only logged.
            log(
                MESSAGE_DROPPED, peer=self.peer.seat, kind=message.kind, code=error.code
            )

    async def _serve_call(self, envelope: Envelope) -> None:
        self._calls_in_progress += 1
        try:
            reply = await self._run_handler(envelope.message)
        finally:
            self._calls_in_progress -= 1
        try:
            await self._send(Envelope(envelope.call, True, reply))
        except (PeerUnreachable, PeerCallLost):
            # The caller gets PeerCallLost from its own timeout or the closed link.
            return

    async def _run_handler(self, message: Message) -> Message:
        handler = self._handlers.calls.get(type(message))
        try:
            if handler is None:
                raise InvalidPeerMessage(f"{message.kind} is not a call")
            if self._calls_in_progress > MAX_CALLS_PER_LINK:
                raise TooManyPeerCalls(self.peer.seat)
            return await handler(self.peer, message)
        except BanyanseamError as error:
            return Failure(
                code=error.code,
                detail=error.detail,
                not_run=error.not_run,
                retry_after_ms=error.retry_after_ms,
            )
        except Exception as error:
            # No message may crash the process: the sender would retry it at another
            # daemon and crash that one too.
            log(INTERNAL_FAILURE, kind=message.kind, error=repr(error))
            return Failure(code=BanyanseamError.code, detail="", not_run=False)
