"""Tracks which processes of other regions accept connections.

Heartbeats of a partitioned region time out only after seconds, and may even go on
arriving if just the outgoing direction fails. So the outcome of each connection for a
forwarded request is recorded, which saves later requests the same failed attempt.
"""

from banyanseam.entry.const import PEER_SUSPECT_S, UNREACHABLE_REGION_PEERS
from banyanseam.entry.members import Member


class PeerReachability:
    """Processes that could not be connected to at the last attempt."""

    def __init__(self) -> None:
        """Start with all peers assumed to be reachable."""
        self._retry_at_s: dict[str, float] = {}

    def filter_reachable(self, peers: list[Member], now_s: float) -> list[Member]:
        """Return the peers of one region to which a connection may be attempted.

        If several don't answer, the whole region is probably unreachable. Then only
        peers that are due for another attempt are returned, and `record_attempt` limits
        each of them to one attempt at a time.
        """
        unreachable = [peer for peer in peers if peer.ip in self._retry_at_s]
        due = [peer for peer in unreachable if now_s >= self._retry_at_s[peer.ip]]
        if len(unreachable) >= min(UNREACHABLE_REGION_PEERS, len(peers)):
            return due
        return [peer for peer in peers if peer not in unreachable or peer in due]

    def record_attempt(self, peer: Member, now_s: float) -> None:
        """Postpone other attempts to an unreachable peer while one is in progress."""
        if peer.ip in self._retry_at_s:
            self._retry_at_s[peer.ip] = now_s + PEER_SUSPECT_S

    def record_unreachable(self, peer: Member, now_s: float) -> None:
        """Record that a connection to a process failed."""
        self._retry_at_s[peer.ip] = now_s + PEER_SUSPECT_S

    def record_reachable(self, peer: Member, peers: list[Member]) -> None:
        """Record that a process answered, so that its region is reachable again."""
        if peer.ip in self._retry_at_s:
            for each in peers:
                self._retry_at_s.pop(each.ip, None)
