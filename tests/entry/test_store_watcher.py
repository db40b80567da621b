import unittest

import anyio

from banyanseam.config.errors import ConfigServiceUnavailable, InvalidConfig
from banyanseam.entry.const import (
    LIST_PERIOD_S,
    MAX_WATCH_WAIT_S,
    REGION_WATCHERS,
    WATCH_RENEWALS_PER_S,
    WATCH_WAIT_S,
)
from banyanseam.entry.errors import HistoryForgotten
from banyanseam.entry.messages import ValuesMessage
from banyanseam.entry.models import Listing, PublishedValue, ValueChanges
from banyanseam.entry.store_watcher import StoreWatcher, choose_watch_wait_s
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.values import Decoders, PublishedValues
from tests.common import run_with_mock_clock
from tests.entry.common import make_catalogue, make_member, make_members, make_upstream

# Within this time after a disruption a VM must follow the store again. Source: the
# shortest of the operators' bounds for a VM to be in touch.
MAX_CATCH_UP_S = 5.0

# From this time after a disruption on, all other bounds hold again for a VM.
CONTACT_S = 5.0

# Within this time after the store's acknowledgement no request may reach an upstream
# that leaves; peers and requests on their way need a part of it. Source: the shortest
# of the operators' bounds is 3 s, and 5 s where regions have more than three VMs.
MAX_NOTICE_S = 2.0
# The same where a process has to notice first that others cannot read the list.
MAX_TAKEOVER_S = 3.0


def decode_config(value):
    if not value.isdigit():
        raise InvalidConfig("$", "no number")
    return make_catalogue(version=int(value))


DECODERS = Decoders(
    "op/config",
    decode_config,
    lambda key: key.removeprefix("out/") if key.startswith("out/") else None,
    lambda item: make_upstream(item.key, revision=item.revision),
)


class WatchWaitTests(unittest.TestCase):
    def test_the_watches_of_a_fleet_are_renewed_at_a_limited_rate(self):
        for vms in (1, 9, 70, 195):
            with self.subTest(vms=vms):
                renewals_per_s = vms / choose_watch_wait_s(vms, REGION_WATCHERS)
                self.assertLessEqual(renewals_per_s, WATCH_RENEWALS_PER_S)
        # The store keeps its history for 20 s at least.
        self.assertEqual(choose_watch_wait_s(342, REGION_WATCHERS), MAX_WATCH_WAIT_S)

    def test_the_first_of_a_region_renew_their_watches_often(self):
        for rank in range(REGION_WATCHERS):
            self.assertEqual(choose_watch_wait_s(342, rank), WATCH_WAIT_S)


class FakeStore:
    """A store with lagging replicas, truncated history and outages on demand."""

    def __init__(self):
        self.values = {"op/config": (1, b"1"), "e1": (1, b"")}
        self.revision = 1
        self.era = 0
        self.replica = None
        self.is_failing = False
        # Calls that begin or wait while the store is silent get no answer, even later.
        self.is_silent = False
        self.truncated_at = 0
        self.reads = []

    def put(self, key, value=b""):
        self.revision += 1
        self.values[key] = (self.revision, value)

    def drop(self, key):
        self.revision += 1
        self.values[key] = (self.revision, None)

    def copy(self):
        return dict(self.values), self.revision

    def restore(self, copy):
        """Go back to a copy; calls that wait are cut."""
        self.values, self.revision = dict(copy[0]), copy[1]
        self.era += 1

    async def list_values(self, prefix, *, may_be_stale, timeout_s):
        self.reads.append((prefix, may_be_stale))
        await anyio.sleep(0.004)
        if self.is_failing:
            raise ConfigServiceUnavailable
        if self.is_silent:
            await anyio.sleep(timeout_s)
            raise ConfigServiceUnavailable("no answer in time")
        values, revision = self.values, self.revision
        if may_be_stale and self.replica is not None:
            values, revision = self.replica
        found = {
            key: PublishedValue(key, value, at)
            for key, (at, value) in values.items()
            if value is not None and (prefix == "e") == key.startswith("e")
        }
        return Listing(found, revision, self.era)

    async def wait_for_changes(self, prefix, after, wait_s, timeout_s):
        started_s, era = anyio.current_time(), self.era
        while True:
            await anyio.sleep(0.01)
            if self.is_failing or era != self.era:
                raise ConfigServiceUnavailable
            if self.is_silent:
                waited_s = anyio.current_time() - started_s
                await anyio.sleep(wait_s + timeout_s - waited_s)
                raise ConfigServiceUnavailable("no answer in time")
            if after < self.truncated_at or after > self.revision:
                raise HistoryForgotten
            found = tuple(
                (key, None if value is None else PublishedValue(key, value, at))
                for key, (at, value) in self.values.items()
                if at > after and (prefix == "e") == key.startswith("e")
            )
            if found or anyio.current_time() - started_s >= wait_s:
                return ValueChanges(found, self.revision, self.era)


class WatcherSetup:
    """A store watcher and the components that it updates."""

    def __init__(self):
        self.store = FakeStore()
        self.upstreams = UpstreamList()
        self.values = PublishedValues(DECODERS, self.upstreams)
        self.members = make_members("10.1.0.1")
        self.shared_count = 0
        # What the store held at each of the last tenths of a second.
        self.past = [(dict(self.store.values), 1)] * 50
        self.watcher = StoreWatcher(
            self.store,
            self.values,
            self.upstreams,
            self.members,
            self.share,
            "op",
            "e",
        )

    async def share(self):
        self.shared_count += 1

    def add_peers(self, count):
        """Add live processes of other regions, so that this one ranks first."""
        for number in range(count):
            row = make_member(
                f"10.2.{number // 200}.{number % 200}",
                region="piedmont",
                heartbeat_count=1,
            )
            self.members.merge([row], anyio.current_time())

    async def keep_ranks_before_alive(self, count, for_s, *, has_list=False):
        """Send heartbeats of processes that rank first, and their list if any."""
        end_s = anyio.current_time() + for_s
        while (now_s := anyio.current_time()) < end_s:
            beat = 10**6 + round(now_s * 1000)
            rows = [
                make_member(f"10.1.0.0.{rank}", heartbeat_count=beat)
                for rank in range(count)
            ]
            self.members.merge(rows, now_s)
            if has_list:
                self.values.adopt_upstreams([make_upstream("e1")], 1, now_s)
            await anyio.sleep(0.25)

    async def lag_for(self, lag_s, for_s, key="e2"):
        """Write often while the store's replicas show what it held `lag_s` before."""
        for _ in range(round(for_s * 10)):
            self.store.put(key)
            self.past.append((dict(self.store.values), self.store.revision))
            self.store.replica = self.past[-1 - round(lag_s * 10)]
            await anyio.sleep(0.1)

    def list_ids(self):
        return sorted(each.upstream_id for each in self.upstreams.list_upstreams())


def run_scenario(scenario):
    async def run():
        setup = WatcherSetup()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(setup.watcher.run)
            await anyio.sleep(1)
            await scenario(setup)
            tasks.cancel_scope.cancel()

    run_with_mock_clock(run)


class StoreWatcherTests(unittest.TestCase):
    def test_a_replica_that_lags_evenly_is_noticed(self):
        """Each of its answers is newer than the one before, but seconds old."""

        async def scenario(setup):
            await setup.lag_for(4.0, 12.0)
            setup.store.drop("e1")
            await setup.lag_for(4.0, 2.0)
            self.assertEqual(setup.list_ids(), ["e2"])

        run_scenario(scenario)

    def test_a_change_in_a_quiet_store_is_noticed_though_its_replicas_lag(self):
        """No other change shows that the replicas are behind."""
        for begun_s in (0.0, 0.9, 2.1, 3.3):
            with self.subTest(begun_s=begun_s):
                self.check_quiet_store(begun_s)

    def check_quiet_store(self, begun_s):
        async def scenario(setup):
            setup.add_peers(69)
            await anyio.sleep(4 + begun_s)
            setup.store.replica = (dict(setup.store.values), setup.store.revision)
            setup.store.drop("e1")
            await anyio.sleep(MAX_NOTICE_S)
            self.assertEqual(setup.list_ids(), [])

        run_scenario(scenario)

    def test_replicas_that_lag_little_are_read(self):
        async def scenario(setup):
            setup.store.reads.clear()
            await setup.lag_for(0.5, 12.0, key="other")
            reads = [stale for prefix, stale in setup.store.reads if prefix == "e"]
            self.assertTrue(all(reads))

        run_scenario(scenario)

    def test_a_change_costs_one_read_of_the_store_if_its_replicas_lag_little(self):
        async def scenario(setup):
            await setup.lag_for(0.9, 3.0, key="other")
            setup.store.reads.clear()
            setup.store.put("e2")
            await setup.lag_for(0.9, 6.0, key="other")
            reads = [stale for prefix, stale in setup.store.reads if prefix == "e"]
            self.assertEqual(reads.count(False), 1)
            self.assertEqual(setup.list_ids(), ["e1", "e2"])

        run_scenario(scenario)

    def test_only_the_store_itself_shows_that_a_list_is_in_force(self):
        async def scenario(setup):
            store, check = setup.store, setup.watcher.check_list
            self.assertTrue(await check())
            setup.store.replica = (dict(store.values), store.revision)
            copy = store.copy()
            store.put("e2")
            self.assertFalse(await check())
            await anyio.sleep(8)
            self.assertTrue(await check())
            store.restore(copy)
            self.assertFalse(await check())
            await anyio.sleep(8)
            for fault in ("is_failing", "is_silent"):
                self.assertTrue(await check())
                setattr(store, fault, True)
                self.assertFalse(await check())
                setattr(store, fault, False)

        run_scenario(scenario)

    def test_changes_apply_at_once_and_versions_never_go_back(self):
        async def scenario(setup):
            self.assertTrue(setup.values.complete.is_set())
            setup.store.put("op/config", b"5")
            await anyio.sleep(0.1)
            self.assertEqual(setup.values.version, 5)
            setup.store.put("op/config", b"4")
            setup.store.put("op/config", b"no number")
            await anyio.sleep(1)
            self.assertEqual(setup.values.version, 5)

        run_scenario(scenario)

    def test_truncated_history_causes_a_full_read(self):
        async def scenario(setup):
            setup.store.put("out/gulf-a")
            await anyio.sleep(0.1)
            self.assertEqual(setup.values.evacuated, {"gulf-a"})
            setup.store.revision += 5
            setup.store.truncated_at = setup.store.revision
            setup.store.values["out/gulf-a"] = (setup.store.revision, None)
            setup.store.put("op/config", b"7")
            await anyio.sleep(1)
            self.assertEqual(setup.values.version, 7)
            self.assertEqual(setup.values.evacuated, set())

        run_scenario(scenario)

    def test_watching_resumes_soon_after_an_outage(self):
        async def scenario(setup):
            setup.store.is_failing = True
            await anyio.sleep(20)
            setup.store.put("op/config", b"9")
            setup.store.is_failing = False
            await anyio.sleep(2.5)
            self.assertEqual(setup.values.version, 9)

        run_scenario(scenario)

    def test_changes_made_in_a_silent_outage_are_in_force_soon_after_it(self):
        # Found by the recorded day of incident 0013.
        for vms in (9, 70, 195):
            for outage_s in (0.1, 1.0, 3.0, 5.3, 6.3, 8.0):
                for begun_s in (0.0, 0.7, 2.0, 3.5):
                    with self.subTest(vms=vms, outage_s=outage_s, begun_s=begun_s):
                        self.check_silent_outage(vms, outage_s, begun_s)

    def check_silent_outage(self, vms, outage_s, begun_s):
        async def scenario(setup):
            setup.add_peers(vms - 1)
            await anyio.sleep(6 + begun_s)
            setup.store.is_silent = True
            await anyio.sleep(outage_s)
            setup.store.put("op/config", b"9")
            setup.store.is_silent = False
            await anyio.sleep(MAX_CATCH_UP_S)
            self.assertEqual(setup.values.version, 9)

        run_scenario(scenario)

    def test_calls_made_in_the_last_moments_of_a_silent_outage_delay_no_change(self):
        """Such calls are never answered, and later changes must not wait for them."""
        for begun_s in (0.0, 1.1, 2.3):
            for outage_s in (3.1, 3.3, 3.5):
                for changed_s in (CONTACT_S, CONTACT_S + 1.2, CONTACT_S + 3.7):
                    with self.subTest(
                        begun_s=begun_s, outage_s=outage_s, changed_s=changed_s
                    ):
                        self.check_change_after_outage(begun_s, outage_s, changed_s)

    def check_change_after_outage(self, begun_s, outage_s, changed_s):
        async def scenario(setup):
            setup.add_peers(8)
            await anyio.sleep(6 + begun_s)
            setup.store.is_silent = True
            await anyio.sleep(outage_s)
            setup.store.is_silent = False
            await anyio.sleep(changed_s)
            setup.store.put("op/config", b"9")
            setup.store.drop("e1")
            await anyio.sleep(MAX_NOTICE_S)
            self.assertEqual(setup.values.version, 9)
            self.assertEqual(setup.list_ids(), [])

        run_scenario(scenario)

    def test_entries_that_expired_in_an_outage_are_retained_for_a_while(self):
        async def scenario(setup):
            setup.store.is_failing = True
            await anyio.sleep(5)
            setup.store.drop("e1")
            setup.store.is_failing = False
            await anyio.sleep(1.5)
            self.assertEqual(setup.list_ids(), ["e1"])
            await anyio.sleep(4)
            self.assertEqual(setup.list_ids(), [])

        run_scenario(scenario)

    def test_entries_removed_while_only_this_reader_failed_are_dropped(self):
        # Found by a randomised run (DRAIN): the store refused one reader for nine
        # seconds and served its peer. A removed entry was treated as expired and
        # retained for 2.6 s after the reader had recovered.
        async def scenario(setup):
            setup.store.is_failing = True
            for _ in range(10):
                await anyio.sleep(0.5)
                now_s = anyio.current_time()
                setup.values.adopt_upstreams([make_upstream("e1")], 1, now_s)
            setup.store.drop("e1")
            setup.store.is_failing = False
            await anyio.sleep(1.5)
            self.assertEqual(setup.list_ids(), [])

        run_scenario(scenario)

    def test_lagging_replicas_are_not_read(self):
        # Found in a run under heavy load: while the replicas lagged by six seconds, the
        # removal of an upstream was noticed two seconds late.
        async def scenario(setup):
            setup.store.replica = (dict(setup.store.values), setup.store.revision)
            setup.store.put("e2")
            setup.store.put("e3")
            await anyio.sleep(1)
            self.assertEqual(setup.list_ids(), ["e1", "e2", "e3"])
            setup.store.drop("e2")
            await anyio.sleep(1)
            self.assertEqual(setup.list_ids(), ["e1", "e3"])

        run_scenario(scenario)

    def test_the_next_in_rank_reads_only_when_the_list_gets_old(self):
        async def scenario(setup):
            setup.members.merge([make_member("10.1.0.0", heartbeat_count=10**6)], 1.0)
            setup.store.reads.clear()
            for step in range(20):
                now_s = anyio.current_time()
                row = make_member("10.1.0.0", heartbeat_count=10**6 + 1 + step)
                setup.members.merge([row], now_s)
                setup.values.adopt_upstreams([make_upstream("e1")], 1, now_s)
                await anyio.sleep(0.5)
            list_reads = [read for read in setup.store.reads if read[0] == "e"]
            self.assertEqual(list_reads, [])
            await anyio.sleep(3)
            list_reads = [read for read in setup.store.reads if read[0] == "e"]
            self.assertTrue(list_reads)

        run_scenario(scenario)

    def test_whoever_no_longer_reads_the_list_stops_watching_it(self):
        """All processes of a region read the list when they start together."""

        async def scenario(setup):
            for step in range(40):
                setup.store.put("e2")
                beat = 10**6 + step
                now_s = anyio.current_time()
                row = make_member("10.1.0.0", heartbeat_count=beat)
                setup.members.merge([row], now_s)
                found = [make_upstream("e1"), make_upstream("e2")]
                setup.values.adopt_upstreams(found, setup.store.revision, now_s)
                if step == 20:
                    setup.store.reads.clear()
                await anyio.sleep(0.25)
            list_reads = [read for read in setup.store.reads if read[0] == "e"]
            self.assertEqual(list_reads, [])

        run_scenario(scenario)

    def test_a_low_rank_takes_over_in_time_from_all_that_cannot_read(self):
        """In a large region the store may turn away many that rank before it."""

        async def scenario(setup):
            await setup.keep_ranks_before_alive(60, 10.0, has_list=True)
            setup.store.drop("e1")
            await setup.keep_ranks_before_alive(60, MAX_TAKEOVER_S)
            self.assertEqual(setup.list_ids(), [])

        run_scenario(scenario)

    def test_a_low_rank_reads_as_often_as_the_first_while_those_before_cannot(self):
        async def scenario(setup):
            await setup.keep_ranks_before_alive(10, 15.0)
            setup.store.reads.clear()
            await setup.keep_ranks_before_alive(10, 15.0)
            list_reads = [read for read in setup.store.reads if read[0] == "e"]
            self.assertGreaterEqual(len(list_reads), 15 / (LIST_PERIOD_S + 0.2))

        run_scenario(scenario)

    def test_newer_values_of_a_peer_are_adopted(self):
        async def scenario(setup):
            message = ValuesMessage(
                config=b"8", evacuated=["delta-a"], evacuation_revision=10**9
            )
            setup.values.apply_message(message, "10.1.0.2", anyio.current_time())
            self.assertEqual(setup.values.version, 8)
            self.assertEqual(setup.values.evacuated, {"delta-a"})
            outdated = message.model_copy(update={"config": b"3", "evacuated": []})
            setup.values.apply_message(outdated, "10.1.0.2", anyio.current_time())
            self.assertEqual(setup.values.version, 8)
            self.assertEqual(setup.values.evacuated, {"delta-a"})

        run_scenario(scenario)

    def test_an_older_evacuation_of_a_peer_is_ignored_by_a_new_process(self):
        """The process has read that no data centre is evacuated any more."""

        async def scenario(setup):
            for _ in range(200):
                setup.store.put("other")
            await anyio.sleep(0.1)
            outdated = ValuesMessage(
                config=b"1", evacuated=["gulf-a"], evacuation_revision=150
            )
            setup.values.apply_message(outdated, "10.1.0.2", anyio.current_time())
            self.assertEqual(setup.values.evacuated, set())
            # Nothing newer is fetched from that peer either.
            self.assertGreater(setup.values.confirmed_evacuation_position, (0, 150))

        run_scenario(scenario)

    def test_a_watch_that_lags_behind_a_peer_does_not_revert_an_evacuation(self):
        async def scenario(setup):
            now_s = anyio.current_time()
            setup.values.apply_message(
                ValuesMessage(
                    config=b"1", evacuated=["gulf-a"], evacuation_revision=900
                ),
                "10.1.0.2",
                now_s,
            )
            for revision, expected in ((850, {"gulf-a"}), (950, set())):
                changes = ValueChanges((("out/gulf-a", None),), revision)
                setup.values.apply_changes(changes, now_s)
                self.assertEqual(setup.values.evacuated, expected)

        run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
