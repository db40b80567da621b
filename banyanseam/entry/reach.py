"""Which processes of other regions can be connected to.

Heartbeats end seconds after a region was cut off, and may go on arriving while nothing
can be sent there. Who hands a request over finds out with each connection; what one
request has paid for is kept for those that follow.
"""

from banyanseam.entry.const import PEER_SUSPECT_S, UNREACHABLE_REGION_PEERS
from banyanseam.entry.members import Member


class PeerReach:
    """The processes that could not be connected to when that was last tried."""

    def __init__(self) -> None:
        """Doubt nobody."""
        self._tried_again_s: dict[str, float] = {}

    def filter_reachable(self, peers: list[Member], now_s: float) -> list[Member]:
        """Return those of one region to which a connection may be tried.

        If several do not answer, the others of the region are as likely cut off: then
        one connection after the other tries whether the region is back.
        """
        doubted = [peer for peer in peers if peer.ip in self._tried_again_s]
        due = [peer for peer in doubted if now_s >= self._tried_again_s[peer.ip]]
        if len(doubted) >= min(UNREACHABLE_REGION_PEERS, len(peers)):
            return due
        return [peer for peer in peers if peer not in doubted or peer in due]

    def note_tried(self, peer: Member, now_s: float) -> None:
        """Keep others from a doubted process while one connection tries it."""
        if peer.ip in self._tried_again_s:
            self._tried_again_s[peer.ip] = now_s + PEER_SUSPECT_S

    def note_failed(self, peer: Member, now_s: float) -> None:
        """Note that no connection to a process was possible."""
        self._tried_again_s[peer.ip] = now_s + PEER_SUSPECT_S

    def note_answered(self, peer: Member, peers: list[Member]) -> None:
        """Note that a process answered: its region can be reached."""
        if peer.ip in self._tried_again_s:
            for each in peers:
                self._tried_again_s.pop(each.ip, None)
