"""Interface of the network between daemons, as the other packages use it.

`banyanseam.peers.network` implements it over websockets, the tests in memory.
"""

from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

from banyanseam.peers.messages import Message, PeerIdentity

Reply = TypeVar("Reply", bound=Message)
CallHandler = Callable[[PeerIdentity, Message], Awaitable[Message]]
CastHandler = Callable[[PeerIdentity, Message], None]


class Network(Protocol):
    """Sends calls, which have a reply, and casts, which have none, between seats."""

    async def call(
        self, seat: str, message: Message, reply_type: type[Reply], timeout_s: float
    ) -> Reply:
        """Send a call and return its reply.

        Raise PeerUnreachable when nothing was sent, PeerCallLost when it may have been
        sent and no reply came, PeerCallFailed when the reply is a `Failure` and
        InvalidPeerMessage when the reply is of another type.
        """
        ...

    async def cast(self, seat: str, message: Message) -> None:
        """Send a one-way message.

        Raise PeerUnreachable when it was not sent, PeerCallLost when the link closed
        while it was being sent.

        Messages to one seat arrive in the order in which they were sent, or not at all.
        """
        ...

    def handle_call(self, message_type: type[Message], handler: CallHandler) -> None:
        """Register the handler for calls of this type; each runs in its own task."""
        ...

    def handle_cast(self, message_type: type[Message], handler: CastHandler) -> None:
        """Register the synchronous handler for casts of this type, run in order."""
        ...
