"""Failures between daemons."""

from banyanseam.errors import BanyanseamError


class CannotListen(BanyanseamError):
    """An address of the settings, or the certificates for it, cannot be used."""

    code = "daemon.cannot_listen"
    event = 1003
    title = "The daemon cannot listen at an address of its settings"
    not_run = True


class PlatformUnreadable(BanyanseamError):
    """A service of the platform gave no whole answer of a bounded size in time."""

    code = "platform.unreadable"
    event = 1211
    status = 502
    title = "The platform's answer cannot be read"
    not_run = True


class PeerUnreachable(BanyanseamError):
    """No link to the peer could be had, so the message was never sent."""

    code = "peers.unreachable"
    event = 1200
    status = 503
    title = "The peer daemon cannot be reached"
    not_run = True


class PeerCallLost(BanyanseamError):
    """The message was sent and no answer came: the peer may have acted on it."""

    code = "peers.call_lost"
    event = 1201
    status = 502
    title = "The peer daemon did not answer"
    not_run = False


class PeerRefused(BanyanseamError):
    """The peer refused the link: wrong proof or a newer process at the seat."""

    code = "peers.refused"
    event = 1202
    status = 502
    title = "The peer daemon refused the link"
    not_run = True


class PeerProtocolMismatch(PeerRefused):
    """The peer speaks a version of the protocol that this one does not know."""

    code = "peers.protocol_mismatch"
    event = 1203
    title = "The peer daemon speaks another protocol version"


class PeerSuperseded(PeerRefused):
    """A newer process holds this seat; the older one must stop serving."""

    code = "peers.superseded"
    event = 1206
    title = "A newer process holds this seat"

    def __init__(self, seat: str, newest_incarnation: int) -> None:
        """Keep which process is the newest known."""
        super().__init__(f"seat {seat} has process {newest_incarnation}")
        self.newest_incarnation = newest_incarnation


class InvalidPeerMessage(BanyanseamError):
    """A message does not validate; the link that carried it is closed."""

    code = "peers.invalid_message"
    event = 1204
    status = 502
    title = "A message between daemons is not valid"


class PeerCallFailed(BanyanseamError):
    """The peer's handler raised; `peer_code` and `peer_not_run` say what it said."""

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
        """Keep what the peer said."""
        super().__init__(f"{peer_code}: {detail}", retry_after_ms=retry_after_ms)
        self.peer_code = peer_code
        self.peer_not_run = peer_not_run


class TooManyPeerCalls(BanyanseamError):
    """One peer keeps more calls open than a daemon serves at once."""

    code = "peers.too_many_calls"
    event = 1207
    status = 503
    title = "Too many calls of one peer are open"
    not_run = True
