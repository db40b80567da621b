"""The registered upstreams, and whether each may get new requests now."""

import math
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import replace

from banyanseam.entry.const import (
    COPIED_ENTRY_S,
    EXPIRED_ENTRY_GRACE_S,
    FAILURES_TO_SUSPECT,
    FORMER_USAGE_S,
    LEAVING_MEMORY_S,
    LIST_PATIENCE_S,
    LIST_PERIOD_S,
    OUTAGE_S,
    REPLACED_REPORT_S,
    RESUMED_PATIENCE_S,
    RETURN_COLD_S,
    SUSPECT_S,
    SUSPENDED_S,
)
from banyanseam.entry.departures import Departures, is_outdated
from banyanseam.entry.exclusions import Exclusions
from banyanseam.entry.fingerprints import make_start_tag
from banyanseam.entry.listed_upstream import ListedUpstream, UpstreamUsage
from banyanseam.entry.models import StorePosition, Upstream, UpstreamState
from banyanseam.entry.upstream_starts import (
    StartFinding,
    StartKey,
    UpstreamStarts,
    make_start_key,
)


class UpstreamList:
    """All registered upstreams by id."""

    def __init__(self) -> None:
        """Start without upstreams."""
        # The store's position at the listing in force.
        self.position = StorePosition(-1, -1)
        # The registrations as the store last listed them, which peers get. What this
        # process retains or knows to be replaced differs from them.
        self.listing: tuple[Upstream, ...] = ()
        # Counts the changes of what `list_known` returns.
        self.changes = 0
        # When this process or a peer last confirmed the list with the store.
        self.confirmed_s = -1e9
        # As of the confirmation before the last: until when the list is sure to show
        # restarts, except for the latest ones, which go unnoticed for a while.
        self.restarts_known_s = -1e9
        self._next_restarts_known_s = -1e9
        # Until when upstreams may still write again after a gap in the confirmations.
        self._written_again_s = -1e9
        # Since when no registration can have come and gone unnoticed.
        self._complete_since_s = math.inf
        # When this process last ran, and when it last ran again after a suspension.
        self._running_s = -1e9
        self._resumed_s = -1e9
        self._listed: dict[str, ListedUpstream] = {}
        # The same by name of the incarnation.
        self._by_start_tag: dict[str, ListedUpstream] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._returned_s: dict[str, float] = {}
        # Ids of the listing's upstreams that are in use.
        self._registered: set[str] = set()
        # Until when entries that are missing from listings are retained.
        self._retain_expired_until_s = -1e9
        # Incarnations whose address another one has taken over, by id and start, and
        # when that was noticed. The store lists them until their entries expire.
        self._replaced_s: dict[tuple[str, int], float] = {}
        # Incarnations that are gone, and until when upstreams write again to a store
        # that came back from a copy.
        self._departures = Departures()
        self._rewritten_at_s = -1e9
        # Incarnations that were gone before that and may be listed by the copy, and
        # when their entries have expired again if the store is then within reach.
        self._copied: set[StartKey] = set()
        self._copies_expired_at_s = -1e9
        # Whether known registrations are kept instead of outdated ones of the listing.
        self._has_outdated = False
        # Usage of incarnations that are no longer listed, and since when. They may be
        # listed again: their entries can expire while the store is away.
        self._former: dict[tuple[str, int], tuple[float, UpstreamUsage]] = {}
        # Called when an upstream is found to have started again under its id.
        self.on_restarted: list[Callable[[ListedUpstream, ListedUpstream], None]] = []
        # Called when an upstream that was not leaving is no longer listed.
        self.on_lost: Callable[[ListedUpstream], None] = lambda _: None
        # What checks have found, and how long a service's upstreams are cold.
        self.starts = UpstreamStarts()
        self.warmups_s: Mapping[str, float] = {}
        # Called with what a peer has found about an incarnation.
        self.on_peers_finding: Callable[[StartFinding], None] = lambda _: None
        # Called when the list may be outdated.
        self.on_resumed: Callable[[], None] = lambda: None
        # Called when an upstream must be checked before it is used.
        self.on_held: Callable[[ListedUpstream], None] = lambda _: None
        # Incarnations that get no requests because their answers said so.
        self._exclusions = Exclusions()

    def adopt(
        self,
        upstreams: Iterable[Upstream],
        revision: int,
        now_s: float,
        *,
        era: int = 0,
    ) -> bool:
        """Adopt a listing unless it is older than the last one.

        Return whether it was adopted.
        """
        position = StorePosition(era, revision)
        if position < self.position:
            return False
        is_restored = 0 <= self.position.era < era
        self._record_confirmation(position, now_s)
        if is_restored:
            self._record_return(now_s)
        self.listing = tuple(map(self._complete, upstreams))
        self.changes += 1
        self._apply_listing(now_s)
        return True

    def _complete(self, upstream: Upstream) -> Upstream:
        """Return a registration with the software that its incarnation is known to run.

        A list from a VM of the release before lacks it.
        """
        listed = self._listed.get(upstream.upstream_id)
        if upstream.software is not None or listed is None:
            return upstream
        if make_start_key(listed.upstream) != make_start_key(upstream):
            return upstream
        return replace(upstream, software=listed.upstream.software)

    def _record_return(self, now_s: float) -> None:
        """Keep what is known until upstreams have written again to the store."""
        self._rewritten_at_s = now_s + EXPIRED_ENTRY_GRACE_S
        # Entries that expired while the store was away are awaited until then too.
        self._retain_expired_until_s = now_s
        known = self.list_upstreams()
        keys = {(each.upstream_id, each.started_ms) for each in known}
        for each in [*known, *self._departures.list_recent(now_s)]:
            if each.state is UpstreamState.LEAVING:
                self.record_leaving(each, now_s)
            elif (each.upstream_id, each.started_ms) not in keys:
                self._copied.add(make_start_key(each))
        self._copies_expired_at_s = now_s + COPIED_ENTRY_S

    def _apply_listing(self, now_s: float) -> None:
        by_id = {each.upstream_id: each for each in self.listing}
        listed = {(each.upstream_id, each.started_ms) for each in by_id.values()}
        known = {make_start_key(each) for each in self.list_upstreams()}
        self.starts.prune(listed | known, now_s)
        self._replaced_s = {
            key: at_s
            for key, at_s in self._replaced_s.items()
            if key in listed or now_s - at_s < REPLACED_REPORT_S
        }
        self._exclusions.prune(now_s)
        for upstream_id in _list_superseded(by_id.values()) | {
            upstream_id for upstream_id, _ in self._replaced_s.keys() & listed
        }:
            del by_id[upstream_id]
            self._remove(upstream_id, now_s)
        self._has_outdated = False
        for upstream in by_id.values():
            self._track(self._apply_restart(upstream, now_s), now_s)
        self._registered = set(by_id)
        self._drop_unregistered(now_s)

    @property
    def revision(self) -> int:
        """Return the store's revision at the listing in force, -1 without one."""
        return self.position.revision

    def confirm(self, position: StorePosition, now_s: float) -> None:
        """Record that the store's list is unchanged since the listing in force."""
        if position.era == self.position.era and position >= self.position:
            self._record_confirmation(position, now_s)
            if self._has_outdated:
                self._apply_listing(now_s)
            self._drop_unregistered(now_s)

    def record_running(self, now_s: float) -> None:
        """Record that this process runs; call this several times a second.

        A gap shows that the process was suspended.
        """
        if now_s - self._running_s > SUSPENDED_S:
            self.record_resumed(now_s)
        self._running_s = now_s

    def record_resumed(self, now_s: float) -> None:
        """Record that this process runs again, or reaches its peers again."""
        self._resumed_s = now_s
        if self.revision >= 0:
            self.on_resumed()

    def is_list_outdated(self, now_s: float) -> bool:
        """Return whether upstreams may have started again while this process was away.

        Its peers answer at once, so an unconfirmed list is used again after a moment.
        """
        is_unconfirmed = self.confirmed_s < self._resumed_s
        return is_unconfirmed and now_s - self._resumed_s < RESUMED_PATIENCE_S

    def _record_confirmation(self, position: StorePosition, now_s: float) -> None:
        self.record_running(now_s)
        # An upstream's entry expires only if it couldn't be renewed. As long as any
        # process of the region could read the store, upstreams are assumed to have
        # reached it too, so a missing entry counts as removed. While this process was
        # suspended, its peers may have read the store.
        unconfirmed_s = now_s - max(self.confirmed_s, self._resumed_s)
        if self.revision >= 0 and unconfirmed_s >= OUTAGE_S:
            # The owner of an expired entry needs a moment to write it again.
            self._retain_expired_until_s = now_s + EXPIRED_ENTRY_GRACE_S
        is_same_era = position.era == self.position.era
        if is_same_era and now_s >= self._copies_expired_at_s:
            self._copied.clear()
        if self._is_interrupted(now_s):
            self._complete_since_s = now_s
        is_late = now_s - self.confirmed_s >= LIST_PERIOD_S + LIST_PATIENCE_S
        if is_late or not is_same_era:
            self._written_again_s = now_s + EXPIRED_ENTRY_GRACE_S
        self.restarts_known_s = self._next_restarts_known_s
        if now_s >= self._written_again_s:
            self._next_restarts_known_s = now_s
        self.position = position
        self.confirmed_s = now_s

    def _is_interrupted(self, now_s: float) -> bool:
        """Return whether registrations may have come and gone since the last time."""
        was_away = self.confirmed_s < self._resumed_s
        return was_away or now_s - self.confirmed_s >= OUTAGE_S

    def find_complete_since_s(self, now_s: float) -> float:
        """Return since when each registration is known; infinite if the list is old."""
        return math.inf if self._is_interrupted(now_s) else self._complete_since_s

    def _drop_unregistered(self, now_s: float) -> None:
        if now_s < self._retain_expired_until_s:
            return
        for upstream_id in self._listed.keys() - self._registered:
            # An entry that the restored store has listed was removed since.
            is_awaited = self._listed[upstream_id].era < self.position.era
            if is_awaited and now_s < self._rewritten_at_s:
                continue
            listed = self._remove(upstream_id, now_s)
            if listed is not None:
                self._forget(listed, now_s)

    def _remove(self, upstream_id: str, now_s: float) -> ListedUpstream | None:
        listed = self._listed.pop(upstream_id, None)
        if listed is None:
            return None
        del self._by_start_tag[make_start_tag(listed.upstream)]
        self._departures.record(listed.upstream, now_s)
        self.changes += 1
        if self.is_lost(listed):
            self.on_lost(listed)
        return listed

    def _forget(self, listed: ListedUpstream, now_s: float) -> None:
        self._former = {
            key: (at_s, usage)
            for key, (at_s, usage) in self._former.items()
            if now_s - at_s < FORMER_USAGE_S
        }
        upstream = listed.upstream
        key = upstream.upstream_id, upstream.started_ms
        self._former[key] = now_s, listed.usage

    def set_evacuated(self, data_centres: frozenset[str], now_s: float) -> None:
        """Set the evacuated data centres, and record when former ones return to use."""
        for data_centre in self._evacuated - data_centres:
            self._returned_s[data_centre] = now_s
        self._evacuated = data_centres

    def list_upstreams(self) -> list[Upstream]:
        """Return the registrations of all upstreams in use."""
        return [listed.upstream for listed in self._listed.values()]

    def list_known(self) -> Iterator[tuple[Upstream, float]]:
        """Return the known registrations and when they went.

        That is infinite for those that are in use or listed.
        """
        for upstream in self.listing:
            yield upstream, math.inf
        for listed in self._listed.values():
            yield listed.upstream, math.inf
        yield from self._departures.list_times()

    def find_software(self, upstream_id: str, started_ms: int) -> str | None:
        """Return the software of an incarnation, None if it isn't known."""
        for each, _ in self.list_known():
            if make_start_key(each) == (upstream_id, started_ms) and (
                each.software is not None
            ):
                return each.software
        return None

    def find(self, upstream_id: str) -> ListedUpstream | None:
        """Return an upstream by its id."""
        return self._listed.get(upstream_id)

    def find_incarnation(self, start_tag: str) -> ListedUpstream | None:
        """Return an upstream by the name of its incarnation."""
        return self._by_start_tag.get(start_tag)

    def is_lost(self, listed: ListedUpstream) -> bool:
        """Return whether an upstream disappeared without having been leaving."""
        return (
            self._listed.get(listed.upstream.upstream_id) is not listed
            and listed.upstream.state is UpstreamState.READY
            and not self._exclusions.is_known(listed.upstream)
            and make_start_key(listed.upstream) not in self._copied
        )

    def list_usable(self, service: str, now_s: float) -> list[ListedUpstream]:
        """Return the upstreams of a service that may get new requests."""
        return [
            listed
            for listed in self._listed.values()
            if listed.upstream.service == service and self._is_usable(listed, now_s)
        ]

    def is_cold(self, listed: ListedUpstream, now_s: float) -> bool:
        """Return whether an upstream has just started or is suspected.

        It also counts as cold if its data centre has just returned to use. Requests to
        it are paced if its service has a cold rate or it is suspected.
        """
        if now_s < listed.cold_until_s or now_s < listed.usage.suspected_until_s:
            return True
        returned_s = self._returned_s.get(listed.upstream.data_centre)
        return returned_s is not None and now_s - returned_s < RETURN_COLD_S

    def record_failure(
        self, listed: ListedUpstream, now_s: float, *, is_connect: bool
    ) -> None:
        """Count a failure; suspect the upstream after several or a failed connect."""
        usage = listed.usage
        usage.consecutive_failures += 1
        usage.failed_s = now_s
        if is_connect or usage.consecutive_failures >= FAILURES_TO_SUSPECT:
            usage.suspected_until_s = now_s + SUSPECT_S
            usage.cold_sent_s = now_s
            usage.cached_segments.clear()

    def record_success(self, listed: ListedUpstream) -> None:
        """Reset the count of consecutive failures."""
        listed.usage.consecutive_failures = 0

    def record_leaving(self, upstream: Upstream, now_s: float) -> None:
        """Send nothing more to an upstream that has answered that it is leaving."""
        self._exclusions.exclude(upstream, now_s + LEAVING_MEMORY_S)

    def record_pause(self, upstream: Upstream, pause_s: float, now_s: float) -> None:
        """Send nothing for a time to an upstream that has asked for a pause."""
        self._exclusions.record_pause(upstream, pause_s, now_s)

    def drop(self, upstream_id: str, now_s: float) -> None:
        """Remove an upstream whose address another incarnation has taken over."""
        listed = self._remove(upstream_id, now_s)
        if listed is not None:
            self._replaced_s[upstream_id, listed.upstream.started_ms] = now_s

    def record_replaced(self, upstream_id: str, started_ms: int, now_s: float) -> None:
        """Remove an upstream if a peer has noticed that this incarnation is gone."""
        listed = self._listed.get(upstream_id)
        if listed is not None and listed.upstream.started_ms == started_ms:
            self.drop(upstream_id, now_s)

    def follow_held(self) -> None:
        """Let upstreams be checked that were held before checks were possible."""
        for listed in list(self._listed.values()):
            if self.starts.is_held(listed.upstream):
                self.on_held(listed)

    def is_listed(self, listed: ListedUpstream) -> bool:
        """Return whether an incarnation is in use, also if it was listed anew."""
        current = self._listed.get(listed.upstream.upstream_id)
        return current is not None and make_start_key(
            current.upstream
        ) == make_start_key(listed.upstream)

    def record_start(self, finding: StartFinding, now_s: float) -> bool:
        """Record what this process found about an incarnation; see `record`."""
        is_news = self.starts.record(finding)
        self._apply_finding(finding, now_s)
        return is_news

    def record_reported_start(self, finding: StartFinding, now_s: float) -> None:
        """Record what a peer found about an incarnation."""
        self.on_peers_finding(finding)
        self.starts.record_report(finding)
        self._apply_finding(finding, now_s)

    def record_missing_report(self, upstream: Upstream, now_s: float) -> None:
        """Record that an upstream accepts connections and does not report its start.

        If it refused them before, it may have started again.
        """
        listed = self._listed.get(upstream.upstream_id)
        if listed is None or not self.starts.is_held(upstream):
            return
        self.starts.forget(upstream)
        warmup_s = self.warmups_s.get(upstream.service, 0.0)
        listed.cold_until_s = max(listed.cold_until_s, now_s + warmup_s)

    def _apply_finding(self, finding: StartFinding, now_s: float) -> None:
        upstream_id, listed_start_ms = finding.key
        listed = self._listed.get(upstream_id)
        if listed is None:
            return
        if self.starts.find_restart(listed.upstream) is not None:
            self._track(self._apply_restart(listed.upstream, now_s), now_s)
        elif listed.upstream.started_ms != listed_start_ms:
            return
        elif self.starts.is_held(listed.upstream):
            self.on_held(listed)

    def _apply_restart(self, upstream: Upstream, now_s: float) -> Upstream:
        """Return the incarnation that has taken the place of a registered one.

        It may have started at the time of the check, so it is cold from then on.
        """
        finding = self.starts.find_restart(upstream)
        if finding is None:
            return upstream
        warmup_s = self.warmups_s.get(upstream.service, 0.0)
        cold_s = max(0.0, finding.at_s + warmup_s - now_s)
        return replace(
            upstream,
            started_ms=finding.found_ms,
            cold_ms=int(cold_s * 1000),
            # The list does not show yet what has started.
            software=None,
        )

    def list_replaced(self, now_s: float) -> list[tuple[str, int]]:
        """Return the incarnations that were just noticed to be gone, for peers."""
        return [
            key
            for key, at_s in self._replaced_s.items()
            if now_s - at_s < REPLACED_REPORT_S
        ]

    def _track(self, upstream: Upstream, now_s: float) -> None:
        listed = self._listed.get(upstream.upstream_id)
        if (
            listed is not None
            and now_s < self._rewritten_at_s
            and is_outdated(upstream, listed.upstream)
        ):
            self._has_outdated = True
            return
        stops_at_s = None
        if upstream.remaining_ms is not None:
            stops_at_s = now_s + upstream.remaining_ms / 1000
        cold_until_s = now_s + upstream.cold_ms / 1000 if upstream.cold_ms > 0 else 0.0
        if listed is None or listed.upstream.started_ms != upstream.started_ms:
            before = self._remove(upstream.upstream_id, now_s)
            if before is not None:
                self._exclusions.keep_pause(before.upstream, upstream, now_s)
            key = upstream.upstream_id, upstream.started_ms
            _, usage = self._former.pop(key, (now_s, UpstreamUsage()))
            listed = ListedUpstream(
                upstream, cold_until_s, stops_at_s, now_s, usage, self.position.era
            )
            self._listed[upstream.upstream_id] = listed
            self.changes += 1
            self._by_start_tag[make_start_tag(upstream)] = listed
            if before is not None:
                for callback in self.on_restarted:
                    callback(before, listed)
            if self.starts.is_held(upstream):
                self.on_held(listed)
            return
        position = StorePosition(self.position.era, upstream.revision)
        if position <= (listed.era, listed.upstream.revision):
            if listed.upstream.software is None:
                # The list was first sent by a VM of the release before.
                listed.upstream = replace(listed.upstream, software=upstream.software)
                self.changes += 1
            return
        listed.upstream = upstream
        self.changes += 1
        listed.era = position.era
        listed.cold_until_s = max(listed.cold_until_s, cold_until_s)
        listed.stops_at_s = stops_at_s

    def _is_usable(self, listed: ListedUpstream, now_s: float) -> bool:
        upstream = listed.upstream
        if upstream.state is not UpstreamState.READY:
            return False
        if upstream.data_centre in self._evacuated:
            return False
        if self._exclusions.is_excluded(upstream, now_s):
            return False
        if make_start_key(upstream) in self._copied:
            return False
        return listed.stops_at_s is None or now_s < listed.stops_at_s


def _list_superseded(upstreams: Iterable[Upstream]) -> set[str]:
    """Return the upstreams whose address belongs to one that started later.

    Only upstreams of the same service are compared, since an entry of an unknown
    service may have any address.
    """
    newest: dict[tuple[str, str], Upstream] = {}
    superseded = set()
    for each in sorted(upstreams, key=lambda upstream: upstream.started_ms):
        key = each.service, each.address
        previous = newest.get(key)
        if previous is not None and previous.started_ms < each.started_ms:
            superseded.add(previous.upstream_id)
        newest[key] = each
    return superseded
