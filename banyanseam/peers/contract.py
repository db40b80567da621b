"""What other concerns may ask of the network between daemons.

`banyanseam.peers.network` provides it over websockets; tests provide it in memory.
"""

from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

from banyanseam.peers.messages import Message, PeerIdentity

Reply = TypeVar("Reply", bound=Message)
CallHandler = Callable[[PeerIdentity, Message], Awaitable[Message]]
CastHandler = Callable[[PeerIdentity, Message], None]


class Network(Protocol):
    """Calls and one-way messages between seats."""

    async def call(
        self, seat: str, message: Message, reply_type: type[Reply], timeout_s: float
    ) -> Reply:
        """Send a message and return the reply.

        Raise PeerUnreachable when nothing was sent, PeerCallLost when it was sent
        and no reply came, PeerCallFailed when the peer's handler raised.
        """
        ...

    async def cast(self, seat: str, message: Message) -> None:
        """Send a message without a reply; raise PeerUnreachable when it was not.

        Messages to one seat arrive in the order sent, or not at all.
        """
        ...

    def handle_call(self, message_type: type[Message], handler: CallHandler) -> None:
        """Let the handler answer calls of this type, each in a task of its own."""
        ...

    def handle_cast(self, message_type: type[Message], handler: CastHandler) -> None:
        """Let the handler take casts of this type, in order, without waiting."""
        ...
