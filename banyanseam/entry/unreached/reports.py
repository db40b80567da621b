"""Which services and upstreams each VM doesn't reach, as its own heartbeats say.

Designed for cuts of many VMs at the same time: nothing is sent in calm, and what is
passed on between peers becomes invalid by itself.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING
from zlib import crc32

from banyanseam.entry.unreached.const import (
    MAX_REPORTED_SERVICES,
    REPORT_HEARTBEATS,
)

if TYPE_CHECKING:
    from banyanseam.entry.members import Member


@lru_cache(maxsize=1024)
def make_service_tag(service: str) -> int:
    """Return a number for a service that is shorter than its name."""
    return crc32(service.encode())


@dataclass(frozen=True, slots=True)
class UnreachedReport:
    """What a VM didn't reach at a heartbeat, by tag."""

    heartbeat_count: int
    # Those of which it reaches no upstream of its region.
    services: tuple[int, ...]
    # Further upstreams of its region.
    upstreams: tuple[int, ...] = ()


class UnreachedReports:
    """The latest report of each peer, and what this process will report."""

    def __init__(self) -> None:
        """Start without reports."""
        self.own: frozenset[str] = frozenset()
        self.own_upstreams: tuple[int, ...] = ()
        # By address, with the incarnation of the process.
        self._reports: dict[str, tuple[int, UnreachedReport]] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no peer has reported anything."""
        return not self._reports

    def record(self, member: "Member", report: UnreachedReport) -> None:
        """Store a peer's report unless a later one is known.

        `member` is its latest row, which comes with the report or after it.
        """
        if report.heartbeat_count > member.heartbeat_count:
            # It is of a predecessor: a restarted process counts from zero.
            return
        incarnation, known = self._reports.get(member.ip, (None, report))
        if (
            incarnation != member.incarnation
            or known.heartbeat_count <= report.heartbeat_count
        ):
            self._reports[member.ip] = member.incarnation, report

    def clear(self, ip: str) -> None:
        """Drop the report of a peer whose own heartbeat has none."""
        self._reports.pop(ip, None)

    def find(self, member: "Member") -> UnreachedReport | None:
        """Return the report of a peer unless it has become invalid."""
        incarnation, report = self._reports.get(member.ip, (None, None))
        if report is None or incarnation != member.incarnation:
            return None
        age = member.heartbeat_count - report.heartbeat_count
        return report if 0 <= age < REPORT_HEARTBEATS else None

    def has_way(self, member: "Member", service: str) -> bool:
        """Return whether a peer has not reported that it has no way to a service."""
        report = self.find(member) if self._reports else None
        return report is None or make_service_tag(service) not in report.services

    def list_unreached_by_all(self, members: Iterable["Member"]) -> frozenset[int]:
        """Return the tags of the upstreams that none of some peers reaches."""
        common: frozenset[int] | None = None
        for member in members:
            report = self.find(member) if self._reports else None
            if report is None or not report.upstreams:
                return frozenset()
            own = frozenset(report.upstreams)
            common = own if common is None else common & own
        return common or frozenset()

    def reaches(self, member: "Member", upstream_tag: int) -> bool:
        """Return whether a peer has not named an upstream as one it doesn't reach."""
        report = self.find(member) if self._reports else None
        return report is None or upstream_tag not in report.upstreams

    def count_services(self, member: "Member") -> int:
        """Return the number of services that a peer has no way to."""
        report = self.find(member) if self._reports else None
        return 0 if report is None else len(report.services)

    def count_upstreams(self, member: "Member") -> int:
        """Return the number of single upstreams that a peer doesn't reach."""
        report = self.find(member) if self._reports else None
        return 0 if report is None else len(report.upstreams)

    def list_reports(
        self, me: "Member", members: Iterable["Member"]
    ) -> dict[str, UnreachedReport]:
        """Return the valid reports of this process and peers by IP, for heartbeats."""
        found = {}
        if self.own or self.own_upstreams:
            tags = sorted(map(make_service_tag, self.own))[:MAX_REPORTED_SERVICES]
            found[me.ip] = UnreachedReport(
                me.heartbeat_count, tuple(tags), self.own_upstreams
            )
        if self._reports:
            for member in members:
                report = self.find(member)
                if report is not None:
                    found[member.ip] = report
        return found

    def prune(self, ips: Iterable[str]) -> None:
        """Keep the reports of some peers only."""
        if self._reports:
            kept = set(ips)
            self._reports = {
                ip: each for ip, each in self._reports.items() if ip in kept
            }
