"""Composition and life cycle of one entry daemon."""

import gc
import signal
from collections.abc import Callable

import anyio

from banyanseam.daemon.lifecycle import Lifecycle, Stage
from banyanseam.entry.admission import Admission
from banyanseam.entry.const import (
    ANSWER_MEMORY_SHARE,
    BODY_MEMORY_SHARE,
    CATCH_UP_S,
    LEAVE_CHECK_S,
    LEAVING_LIST_VALIDITY_S,
    LIST_VALIDITY_S,
    METRICS_PORT,
    MIN_KEEP_ALIVE_S,
    SETTINGS_PERIOD_S,
    SUSPENDED_S,
)
from banyanseam.entry.crash_suspects import CrashSuspects
from banyanseam.entry.crash_trials import make_choose_trial_delay
from banyanseam.entry.crash_watch import CrashWatch
from banyanseam.entry.directory import choose_entries
from banyanseam.entry.earlier_crashes import EarlierCrashes
from banyanseam.entry.frontend import (
    CallerFormat,
    Frontend,
    make_callers_app,
    make_peers_app,
)
from banyanseam.entry.gossip import GossipExchange
from banyanseam.entry.heartbeats import Heartbeats
from banyanseam.entry.leaving import Leaving, StopLimits
from banyanseam.entry.listed_upstream import ListedUpstream
from banyanseam.entry.local_candidates import list_local_candidates
from banyanseam.entry.local_endpoints import make_directory_app, make_readiness_app
from banyanseam.entry.members import Member, Members
from banyanseam.entry.metrics import Metrics
from banyanseam.entry.models import Catalogue, EntrySettings
from banyanseam.entry.operators import make_operators_app
from banyanseam.entry.origins.network import OriginNetwork
from banyanseam.entry.origins.records import OriginRecords
from banyanseam.entry.origins.takeups import TakeUps
from banyanseam.entry.origins.versions import SoftwareVersions
from banyanseam.entry.placing import Candidate
from banyanseam.entry.quota import FleetQuota
from banyanseam.entry.reach import PeerReachability
from banyanseam.entry.relay import Relay, UpstreamFormat
from banyanseam.entry.retry_budget import RetryBudget
from banyanseam.entry.signals import ignore_signals, receive_signals
from banyanseam.entry.start_checks import StartChecks
from banyanseam.entry.store_watcher import Store, StoreWatcher
from banyanseam.entry.unreached.records import UnreachedUpstreams
from banyanseam.entry.unreached.service_checks import ServiceChecks
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.upstreams import UpstreamLoads
from banyanseam.entry.values import Decoders, PublishedValues
from banyanseam.entry.values_fetcher import ValuesFetcher
from banyanseam.errors import BanyanseamError
from banyanseam.observe.events import (
    DAEMON_READY,
    DAEMON_STARTED,
    DAEMON_STOPPED,
    DRAIN_STARTED,
    ENTRIES_IN_OTHER_REGION,
    METRICS_NOT_SERVED,
    SETTINGS_REJECTED,
    SETTINGS_RELOADED,
    STOP_DELAYED,
    log,
)
from banyanseam.peers.errors import CannotListen
from banyanseam.peers.incarnation import (
    SuspensionDetector,
    make_incarnation,
    read_boot_clock_s,
)
from banyanseam.server.budget import ByteBudget
from banyanseam.server.connections import make_connection_table
from banyanseam.server.serve import EmbeddedServer, make_server


class Entry:
    """One entry daemon: its components, its servers and its planned stop."""

    def __init__(
        self,
        settings: EntrySettings,
        store: Store,
        decoders: Decoders,
        upstream_format: UpstreamFormat,
        caller_format: CallerFormat,
        prefixes: tuple[str, str],
        reload_settings: Callable[[], EntrySettings],
    ) -> None:
        """Create the components.

        `prefixes` are the store's key prefixes of operators' values and of upstreams.
        """
        self.settings = settings
        self._reload_settings = reload_settings
        self.lifecycle = Lifecycle()
        self.stop_limits = StopLimits()
        self.members = Members(
            Member(
                ip=settings.ip,
                region=settings.region,
                data_centre=settings.data_centre,
                callers_address=settings.callers_address,
                incarnation=make_incarnation(),
                heartbeat_count=0,
                is_serving=False,
                is_accepting=False,
                running=0,
            ),
            settings.regions,
        )
        self.upstreams = UpstreamList()
        self.loads = UpstreamLoads(self.upstreams, settings.region)
        self.quota = FleetQuota(
            settings.bounds.quota_slack_tokens,
            settings.bounds.quota_period_s,
            settings.bounds.quota_excess_share,
            is_first_start=settings.is_first_start,
        )
        self.suspects = CrashSuspects(
            make_choose_trial_delay(
                settings.ip, settings.region, settings.regions.values()
            )
        )
        self.earlier_crashes = EarlierCrashes(
            self.members, self.upstreams, anyio.current_time()
        )
        self.suspects.has_earlier_crashes = self.earlier_crashes.are_probable
        self.values = PublishedValues(decoders, self.upstreams)
        self.values_fetcher = ValuesFetcher(
            self.values, settings.ip, settings.peers_port
        )
        self.retries = RetryBudget(settings.bounds)
        memory_bytes = settings.memory_mb * 1024 * 1024
        self.connections = make_connection_table(memory_bytes, settings.max_sockets)
        self.metrics = Metrics(self.connections.closed)
        self.heartbeats = Heartbeats(
            self.members,
            self.values,
            self.upstreams,
            self.loads,
            self.quota,
            self.suspects,
        )
        self.gossip = GossipExchange(
            settings, self.members, self.upstreams, self.quota, self.heartbeats
        )
        self.store_watcher = StoreWatcher(
            store,
            self.values,
            self.upstreams,
            self.members,
            self.gossip.share_upstreams,
            *prefixes,
        )
        crashes = CrashWatch(self.suspects, self.upstreams)
        self.upstreams.on_lost = crashes.record_lost
        # The runtime's clock does not count the time of some suspensions.
        self.suspension_detector = SuspensionDetector(SUSPENDED_S, read_boot_clock_s)
        self.suspension_detector.on_suspended(
            lambda _: self.upstreams.record_resumed(anyio.current_time())
        )
        self.unreached = UnreachedUpstreams(self.upstreams, self.members)
        self.upstreams.on_peers_finding = self.unreached.record_peers_finding
        self.start_checks = StartChecks(
            upstream_format.report,
            self.upstreams,
            self.members,
            lambda: self.values.catalogue,
            self.unreached,
            self.gossip.announce,
        )
        self.service_checks = ServiceChecks(
            self.unreached,
            self.upstreams,
            self.members,
            lambda: self.values.catalogue,
        )
        self.unreached.on_failure = self._check_unreached
        self.unreached.on_break = self.service_checks.start
        self.heartbeats.refreshers += [
            self.unreached.refresh,
            self.earlier_crashes.observe,
        ]
        self.upstreams.on_held = self.start_checks.follow
        self.upstreams.on_restarted.append(
            lambda _, listed: self.start_checks.follow_cold(listed)
        )
        records = OriginRecords(self.upstreams)
        versions = SoftwareVersions(self.upstreams)
        self.origins = OriginNetwork(self.members, records, versions)
        self.origins.send = self.gossip.send_data
        self.origins.check_running = self.suspension_detector.tick
        self.gossip.on_origins = self.origins.receive
        relay = Relay(
            upstream_format,
            self.members,
            self.upstreams,
            self.loads,
            self.retries,
            crashes,
            self.start_checks,
            TakeUps(
                records,
                versions,
                self.origins,
                self.suspension_detector.tick,
                self.start_checks.is_running,
                self.store_watcher.check_list,
            ),
            PeerReachability(),
            self.unreached,
            settings.peers_port,
            self.gossip.announce_loads,
            ByteBudget(int(memory_bytes * ANSWER_MEMORY_SHARE)),
            stop_limits=self.stop_limits,
        )
        self.frontend = Frontend(
            caller_format,
            Admission(self.values, self.quota, self.suspects, self.stop_limits),
            relay,
            self.values_fetcher,
            ByteBudget(int(memory_bytes * BODY_MEMORY_SHARE)),
            self.lifecycle,
            self.metrics,
            frozenset(settings.first_peers),
        )
        self._servers: list[EmbeddedServer] = []
        self._stop_requested = anyio.Event()
        self.values.on_adopted(self._apply_catalogue)
        self.heartbeats.list_candidates = self._list_candidates
        self.heartbeats.on_peer_versions = self.values_fetcher.start_if_newer
        self.gossip.get_own_state = lambda: (
            self.lifecycle.is_ready,
            self.lifecycle.state in (Stage.SERVING, Stage.LEAVING),
            self.lifecycle.running_requests,
        )

    async def run(self) -> None:
        """Serve until a planned stop has ended."""
        receive_signals(self._handle_signal)
        try:
            await self._serve_until_stopped()
        finally:
            ignore_signals()
        log(DAEMON_STOPPED)

    async def _serve_until_stopped(self) -> None:
        log(
            DAEMON_STARTED,
            ip=self.settings.ip,
            region=self.settings.region,
            data_centre=self.settings.data_centre,
            incarnation=self.members.me.incarnation,
            first_peers=list(self.settings.first_peers),
        )
        self._servers = self._make_servers()
        async with anyio.create_task_group() as tasks:
            self.values_fetcher.tasks = tasks
            self.start_checks.tasks = tasks
            self.service_checks.tasks = tasks
            self.upstreams.on_resumed = lambda: tasks.start_soon(
                self.gossip.request_upstreams
            )
            tasks.start_soon(self.suspension_detector.run)
            for server in self._servers:
                tasks.start_soon(server.serve)
            for server in self._servers:
                await server.listening.wait()
            tasks.start_soon(self._serve_metrics)
            tasks.start_soon(self.gossip.run)
            tasks.start_soon(self.store_watcher.run)
            tasks.start_soon(self.origins.run)
            tasks.start_soon(self.frontend.relay.peer_connections.run)
            tasks.start_soon(self._begin_serving)
            tasks.start_soon(self._follow_settings)
            await self._stop_requested.wait()
            await self._stop()
            tasks.cancel_scope.cancel()

    def _make_servers(self) -> list[EmbeddedServer]:
        settings = self.settings
        caller_format = self.frontend.caller_format
        apps = {
            settings.callers_address: make_callers_app(self.frontend),
            f"{settings.ip}:{settings.peers_port}": make_peers_app(self.frontend),
            settings.readiness_address: make_readiness_app(
                caller_format, self.lifecycle
            ),
            settings.directory_address: make_directory_app(
                caller_format, self._list_entries
            ),
            settings.operators_address: make_operators_app(self),
        }
        return [
            make_server(app, address, self.connections) for address, app in apps.items()
        ]

    async def _serve_metrics(self) -> None:
        address = f"{self.settings.ip}:{METRICS_PORT}"
        try:
            app = make_operators_app(self)
            await make_server(app, address, self.connections).serve()
        except CannotListen as error:
            log(METRICS_NOT_SERVED, address=address, detail=error.detail)

    async def _begin_serving(self) -> None:
        # Without a configuration and upstreams, every request would be refused, so the
        # directory does not list this VM before it has both.
        await self.values.complete.wait()
        # The peer that answered first may have been behind the others.
        await self.values_fetcher.catch_up_with_peers(CATCH_UP_S)
        gc.collect()
        gc.freeze()
        if not self.lifecycle.is_stopping:
            self.lifecycle.begin_serving()
            log(DAEMON_READY, version=self.values.version)
            await self.gossip.announce()

    def _apply_catalogue(self, catalogue: Catalogue) -> None:
        now_s = anyio.current_time()
        self.quota.configure(dict(catalogue.organisations), now_s)
        self.upstreams.warmups_s = {
            each.name: each.warmup_s for each in catalogue.services.values()
        }
        self.upstreams.follow_held()
        engines = [each.engine for each in catalogue.services.values() if each.engine]
        self.loads.engine_memory_tokens = min(
            (engine.memory_tokens for engine in engines), default=0
        )
        # Keep connections longer than the callers' idle timeout: callers close first.
        idle_s = catalogue.limits.idle_timeout_ms / 1000
        keep_alive_s = max(2 * idle_s, MIN_KEEP_ALIVE_S)
        for server in self._servers:
            server.config.timeout_keep_alive = keep_alive_s

    def _check_unreached(self, listed: ListedUpstream) -> None:
        self.start_checks.follow(listed)
        self.service_checks.start(listed)

    def _list_candidates(self) -> dict[str, list[Candidate]]:
        catalogue = self.values.catalogue
        if catalogue is None:
            return {}
        now_s = anyio.current_time()
        found = {
            name: list_local_candidates(
                catalogue,
                name,
                self.upstreams,
                self.loads,
                self.members,
                now_s,
                self.unreached,
            )
            for name in catalogue.services
        }
        # An upstream with a limit has nothing to spare for other regions.
        unlimited = {
            name: [each for each in candidates if not self._has_limit(each)]
            for name, candidates in found.items()
        }
        return {name: each for name, each in unlimited.items() if each}

    def _has_limit(self, candidate: Candidate) -> bool:
        listed = self.upstreams.find(candidate.upstream_id)
        return listed is not None and listed.usage.pace.limit_per_s is not None

    def _list_entries(self, region: str, data_centre: str) -> tuple[list[str], int]:
        accepting = self.members.list_accepting(anyio.current_time())
        catalogue = self.values.catalogue
        homes = catalogue.list_home_regions() if catalogue is not None else []
        chosen = choose_entries(
            accepting,
            region,
            data_centre,
            homes,
            self.members.count_services_without_way,
        )
        if not any(member.region == region for member in chosen):
            log(
                ENTRIES_IN_OTHER_REGION,
                region=region,
                named=[member.ip for member in chosen],
                known=len(accepting),
            )
        is_leaving = not any(member.is_serving for member in chosen)
        validity_s = LEAVING_LIST_VALIDITY_S if is_leaving else LIST_VALIDITY_S
        max_list_age_s = self.settings.bounds.max_list_age_s
        return (
            [member.callers_address for member in chosen],
            int(min(validity_s, max_list_age_s)),
        )

    def _handle_signal(self, number: int) -> None:
        if number == signal.SIGHUP:
            self._reload()
        else:
            self._stop_requested.set()

    async def _stop(self) -> None:
        """Leave the directory, serve callers that still connect, then stop.

        The stop ends within the grace period. The quicker it is, the fewer VMs leave at
        the same time in a rolling stop.
        """
        began_s = anyio.current_time()
        # The grace period may have changed since the last look at the settings.
        self._reload()
        grace_s = self.settings.bounds.stop_grace_s
        log(DRAIN_STARTED, grace_s=grace_s, running=self.lifecycle.running_requests)
        self.lifecycle.begin_drain()
        self.stop_limits.begin(grace_s, began_s)
        self.frontend.limit_deadlines()
        await self.gossip.announce()
        await self._leave(Leaving(self.members, grace_s, began_s))
        # New requests are refused from here on; running ones complete.
        self.lifecycle.begin_closing()
        self.frontend.refuse_waiting()
        await self.gossip.announce()
        callers, peers, *_ = self._servers
        callers.stop_listening()
        limits = self.stop_limits
        with anyio.move_on_at(limits.stop_s + limits.margin_s / 2):
            await self.lifecycle.wait_idle()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(callers.close)
                tasks.start_soon(peers.close)

    async def _leave(self, leaving: Leaving) -> None:
        """Accept requests until callers have others to use."""
        is_logged = False
        while True:
            now_s = anyio.current_time()
            left_s = leaving.find_left_s(now_s)
            if left_s <= 0:
                return
            self.stop_limits.has_others = not leaving.is_last(now_s)
            if not is_logged and leaving.is_extended(now_s):
                is_logged = True
                self.frontend.refuse_waiting()
                log(STOP_DELAYED, region=self.settings.region)
            await anyio.sleep(min(left_s, LEAVE_CHECK_S))

    async def _follow_settings(self) -> None:
        while True:
            self._reload()
            await anyio.sleep(SETTINGS_PERIOD_S)

    def _reload(self) -> None:
        try:
            settings = self._reload_settings()
        except BanyanseamError as error:
            log(SETTINGS_REJECTED, code=error.code, detail=error.detail)
            return
        if settings == self.settings:
            return
        self.settings = settings
        self.gossip.settings = settings
        self.retries.bounds = settings.bounds
        self.frontend.first_peers = frozenset(settings.first_peers)
        log(SETTINGS_RELOADED, first_peers=list(settings.first_peers))
