"""Errors of the communication between daemons and with platform services."""

from banyanseam.errors import BanyanseamError


class CannotListen(BanyanseamError):
    """A configured listen address, or its certificates, cannot be used."""

    code = "daemon.cannot_listen"
    event = 1003
    title = "The daemon cannot listen at an address of its settings"
    not_run = True


class PlatformUnreadable(BanyanseamError):
    """A platform service gave no complete response within the size and time limits."""

    code = "platform.unreadable"
    event = 1211
    status = 502
    title = "The platform's response cannot be read"
    not_run = True


class PeerUnreachable(BanyanseamError):
    """No link to the peer is open or could be opened, so the message was not sent."""

    code = "peers.unreachable"
    event = 1200
    status = 503
    title = "The peer daemon cannot be reached"
    not_run = True


class PeerCallLost(BanyanseamError):
    """A call got no reply or the link closed during a send: the peer may have acted."""

    code = "peers.call_lost"
    event = 1201
    status = 502
    title = "The peer daemon did not answer"
    not_run = False


class PeerRefused(BanyanseamError):
    """A link was refused, such as for a wrong proof or a newer process at the seat."""

    code = "peers.refused"
    event = 1202
    status = 502
    title = "The peer daemon refused the link"
    not_run = True


class PeerProtocolMismatch(PeerRefused):
    """The peer uses a protocol version that this daemon does not support."""

    code = "peers.protocol_mismatch"
    event = 1203
    title = "The peer daemon uses another protocol version"


class PeerSuperseded(PeerRefused):
    """A newer process holds this seat; the older one must stop serving."""

    code = "peers.superseded"
    event = 1206
    title = "A newer process holds this seat"

    def __init__(self, seat: str, newest_incarnation: int) -> None:
        """Store the newest incarnation known for the seat."""
        super().__init__(f"seat {seat} is held by incarnation {newest_incarnation}")
        self.newest_incarnation = newest_incarnation


class InvalidPeerMessage(BanyanseamError):
    """A message can't be decoded, is rejected by its handler or is of the wrong type.

    A message that can't be decoded and a rejected cast close the link; a rejected call
    gets a `Failure` reply.
    """

    code = "peers.invalid_message"
    event = 1204
    status = 502
    title = "A message between daemons is not valid"


class PeerCallFailed(BanyanseamError):
    """The peer replied with a `Failure`, which sets `peer_code` and `peer_not_run`."""

    code = "peers.call_failed"
    event = 1205
    status = 502
    title = "The peer daemon answered with a failure"

    def __init__(
        self,
        peer_code: str,
        detail: str,
        *,
        peer_not_run: bool,
        retry_after_ms: int | None = None,
    ) -> None:
        """Store the fields of the peer's `Failure` message."""
        super().__init__(f"{peer_code}: {detail}", retry_after_ms=retry_after_ms)
        self.peer_code = peer_code
        self.peer_not_run = peer_not_run


class TooManyPeerCalls(BanyanseamError):
    """A peer has more calls in progress than a daemon serves at once for one link."""

    code = "peers.too_many_calls"
    event = 1207
    status = 503
    title = "A peer has too many calls in progress"
    not_run = True
