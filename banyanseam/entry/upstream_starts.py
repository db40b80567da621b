"""What checks have found of the starts of upstreams, without any I/O.

An upstream that starts again keeps its id and its address. Until the list shows its new
start, only the upstream's own report does.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from banyanseam.entry.const import FORMER_USAGE_S, START_CHECK_PERIOD_S
from banyanseam.entry.models import Upstream

# An upstream's id, and its start in Unix milliseconds as the list shows it.
StartKey = tuple[str, int]


def make_start_key(upstream: Upstream) -> StartKey:
    """Return what identifies an incarnation of an upstream."""
    return upstream.upstream_id, upstream.started_ms


@dataclass(frozen=True, slots=True)
class StartFinding:
    """What a check of an incarnation found, by this process or a peer.

    `found_ms` is the start that the upstream reported, or None if it refused the
    connection.
    """

    key: StartKey
    found_ms: int | None
    at_s: float

    @property
    def is_restart(self) -> bool:
        """Return whether a later incarnation was found."""
        return self.found_ms is not None and self.found_ms > self.key[1]

    @property
    def is_sound(self) -> bool:
        """Return whether no later incarnation was found, and connections work."""
        return self.found_ms is not None and not self.is_restart


class UpstreamStarts:
    """The latest findings, and the incarnations that must be checked before use."""

    def __init__(self) -> None:
        """Start without findings."""
        self._findings: dict[StartKey, StartFinding] = {}
        # The latest start that was found, by the upstream's id.
        self._restarts: dict[str, StartFinding] = {}
        # Incarnations that this process could not reach, or is about to check.
        self._unchecked: set[StartKey] = set()
        # What peers have reported last.
        self._reported: dict[StartKey, int | None] = {}

    def record(self, finding: StartFinding) -> bool:
        """Store a finding unless a later one is known; return whether it is news."""
        known = self._findings.get(finding.key)
        if known is not None and _is_outdated(finding, known):
            return False
        self._findings[finding.key] = finding
        if finding.is_restart:
            upstream_id = finding.key[0]
            latest = self._restarts.get(upstream_id)
            if latest is None or latest.found_ms < finding.found_ms:
                self._restarts[upstream_id] = finding
        return known is None or known.found_ms != finding.found_ms

    def record_report(self, finding: StartFinding) -> bool:
        """Store a peer's finding, as `record`."""
        self._reported[finding.key] = finding.found_ms
        known = self._findings.get(finding.key)
        is_same = known is not None and known.found_ms == finding.found_ms
        # The age of a finding lacks the delays of its way through the peers.
        if is_same and finding.at_s - known.at_s < START_CHECK_PERIOD_S / 2:
            return False
        return self.record(finding)

    def is_reported(self, finding: StartFinding) -> bool:
        """Return whether a peer has reported the same."""
        missing = object()
        return self._reported.get(finding.key, missing) == finding.found_ms

    def hold(self, upstream: Upstream) -> None:
        """Send nothing to an incarnation until it has been checked."""
        self._unchecked.add(make_start_key(upstream))

    def release(self, upstream: Upstream) -> None:
        """End what `hold` began."""
        self._unchecked.discard(make_start_key(upstream))

    def is_held(self, upstream: Upstream) -> bool:
        """Return whether an incarnation is unchecked or has refused connections."""
        key = make_start_key(upstream)
        if key in self._unchecked:
            return True
        finding = self._findings.get(key)
        return finding is not None and finding.found_ms is None

    def is_known_down(self, upstream: Upstream) -> bool:
        """Return whether an incarnation has refused connections, so far as is known."""
        finding = self._findings.get(make_start_key(upstream))
        return finding is not None and finding.found_ms is None

    def find(self, upstream: Upstream) -> StartFinding | None:
        """Return the latest finding about an incarnation."""
        return self._findings.get(make_start_key(upstream))

    def find_restart(self, upstream: Upstream) -> StartFinding | None:
        """Return the finding of the latest start after that of `upstream`, if any."""
        finding = self._restarts.get(upstream.upstream_id)
        if finding is None or finding.found_ms <= upstream.started_ms:
            return None
        return finding

    def forget(self, upstream: Upstream) -> None:
        """Drop the finding about an incarnation."""
        self._findings.pop(make_start_key(upstream), None)

    def list_findings(self, since_s: float) -> list[StartFinding]:
        """Return what was found since a time, for peers."""
        return [each for each in self._findings.values() if each.at_s >= since_s]

    def prune(self, listed: Iterable[StartKey], now_s: float) -> None:
        """Forget old findings about incarnations that the store no longer lists."""
        kept = set(listed)
        ids = {upstream_id for upstream_id, _ in kept}
        self._restarts = {
            upstream_id: finding
            for upstream_id, finding in self._restarts.items()
            if upstream_id in ids or now_s - finding.at_s < FORMER_USAGE_S
        }
        # The list does not show these yet.
        kept |= {(key, each.found_ms) for key, each in self._restarts.items()}
        self._findings = {
            key: finding
            for key, finding in self._findings.items()
            if (key in kept and not finding.is_sound)
            or now_s - finding.at_s < FORMER_USAGE_S
        }
        self._unchecked &= kept
        self._reported = {
            key: found_ms
            for key, found_ms in self._reported.items()
            if key in self._findings
        }


def _is_outdated(finding: StartFinding, known: StartFinding) -> bool:
    if known.is_restart:
        return finding.found_ms is None or finding.found_ms <= known.found_ms
    return known.at_s >= finding.at_s
