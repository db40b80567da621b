"""The software versions that may have begun a stream that is taken up now."""

from collections.abc import Iterable

from banyanseam.entry.models import StreamOrigin
from banyanseam.entry.origins.const import TAKE_UP_S, VERSIONS_VIEW_S
from banyanseam.entry.upstream_list import UpstreamList

# A service and a version of its upstreams' software; None if it isn't known.
ServiceVersion = tuple[str, str | None]


class SoftwareVersions:
    """The versions of each service, also those that have left recently."""

    def __init__(self, upstreams: UpstreamList) -> None:
        """Follow a list of upstreams."""
        self._upstreams = upstreams
        # When each version went, infinite while it is there, at a count of changes.
        self._gone_s: dict[ServiceVersion, float] = {}
        self._gone_changes = -1
        self._seen: frozenset[ServiceVersion] = frozenset()
        self._seen_s = -1e9
        # Versions in reports of peers, and when. The list may not show them yet.
        self._reported_s: dict[ServiceVersion, float] = {}

    def record_reported(self, origin: StreamOrigin, now_s: float) -> None:
        """Record the version in a peer's report of a stream."""
        if origin.software is not None:
            self._reported_s[origin.service, origin.software] = now_s

    def list_recent(
        self, services: Iterable[str], now_s: float
    ) -> frozenset[ServiceVersion]:
        """Return the versions of services that may have begun a stream recently."""
        if not 0 <= now_s - self._seen_s < VERSIONS_VIEW_S:
            since_s = now_s - TAKE_UP_S
            self._reported_s = {
                version: at_s
                for version, at_s in self._reported_s.items()
                if now_s - at_s < TAKE_UP_S
            }
            gone_s = self._find_gone_s()
            known = {version for version, at_s in gone_s.items() if at_s > since_s}
            self._seen = frozenset(known | self._reported_s.keys())
            self._seen_s = now_s
        wanted = set(services)
        return frozenset(each for each in self._seen if each[0] in wanted)

    def _find_gone_s(self) -> dict[ServiceVersion, float]:
        """Return when the last upstream of each version went."""
        if self._gone_changes != self._upstreams.changes:
            self._gone_changes = self._upstreams.changes
            self._gone_s = {}
            for each, at_s in self._upstreams.list_known():
                version = each.service, each.software
                self._gone_s[version] = max(at_s, self._gone_s.get(version, at_s))
        return self._gone_s

    def is_complete(self, now_s: float) -> bool:
        """Return whether no other version can have begun a stream recently.

        False for a while after this process has started, stood still or was cut off.
        """
        return self._upstreams.find_complete_since_s(now_s) <= now_s - TAKE_UP_S

    def is_ambiguous(self, services: Iterable[str], now_s: float) -> bool:
        """Return whether streams of these services may have begun at two versions."""
        found = self.list_recent(services, now_s)
        return len(found) > 1 or not self.is_complete(now_s) or has_unknown(found)


def has_unknown(versions: Iterable[ServiceVersion]) -> bool:
    """Return whether any of the versions isn't known."""
    return any(software is None for _, software in versions)
