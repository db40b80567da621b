import random
import unittest
import zlib

import anyio

from banyanseam.config.const import MAX_VALUE_BYTES
from banyanseam.config.errors import ConfigServiceOverLimit, ConfigServiceUnavailable
from banyanseam.config.join import choose_join_peers, wait_until_current
from banyanseam.config.messages import pack_value, unpack_value
from banyanseam.config.replication import Replicator
from banyanseam.config.snapshot import Listing, Value
from banyanseam.config.store import ConfigStore
from banyanseam.config.versions import era_of, make_version, revision_of
from banyanseam.config.watch import ServiceClient, ServiceWatcher
from banyanseam.peers.errors import InvalidPeerMessage
from tests.common import FakeFabric, run_with_mock_clock
from tests.config.test_store import make_history, shard

SEATS = [f"{region}-{i}" for region in ("gulf", "piedmont", "delta") for i in (1, 2, 3)]
GULF = SEATS[:3]


class FakeService:
    """A configuration service that serves a history at a version set by tests.

    It names the era of its history, and takes a caller's revision for one of its own.
    """

    def __init__(self, history, version=1):
        self.history = history
        self.version = version
        self.fault = None
        self.calls = 0
        self.calls_per_s = 2000
        self.second = 0
        self.calls_in_second = 0
        self.changed = anyio.Event()

    def publish(self, version):
        self.version = version
        self.changed.set()
        self.changed = anyio.Event()

    async def list_revisions(self, after, wait_ms):
        self._register_call()
        if self.version <= revision_of(after):
            with anyio.move_on_after(wait_ms / 1000):
                await self.changed.wait()
        self._register_call(0)
        snapshot = self.history[self.version - 1]
        era = era_of(snapshot.version)
        listing = snapshot.list_after(make_version(era, revision_of(after)))
        return Listing(make_version(era, self.version), listing.changed)

    async def read(self, key):
        self._register_call()
        await anyio.sleep(0.002)
        return self.history[self.version - 1].values[key]

    def _register_call(self, calls=1):
        self.calls += calls
        if self.fault is not None:
            raise self.fault()
        if self.second != int(anyio.current_time()):
            self.second, self.calls_in_second = int(anyio.current_time()), 0
        self.calls_in_second += calls
        if self.calls_in_second > self.calls_per_s:
            raise ConfigServiceOverLimit

    @property
    def client(self):
        return ServiceClient(self.list_revisions, self.read)


class FakeProcess:
    """The store, replication and watch of a process at one seat."""

    def __init__(self, fabric, seat, service, is_reader=True, seed=1, seats=9):
        self.seat = seat
        self.rng = random.Random(seed)
        self.store = ConfigStore()
        self.is_serving = False
        self.first_peers = [] if seat == "gulf-1" else ["gulf-1"]
        others = [other for other in SEATS if other != seat]
        self.replicator = Replicator(
            self.store, fabric.join(seat), lambda: others, lambda: self.is_serving
        )
        self.watch = ServiceWatcher(
            self.store,
            [service.client],
            lambda: is_reader,
            lambda: seats,
            self.rng,
        )

    async def join(self):
        region = self.seat.split("-")[0]
        await wait_until_current(
            self.store,
            self.replicator,
            lambda: choose_join_peers(
                self.store, self.seat, region, self.first_peers, self.rng
            ),
        )
        self.is_serving = True

    def start(self, group):
        group.start_soon(self.watch.run)
        group.start_soon(self.replicator.run)
        group.start_soon(self.join)

    @property
    def version(self):
        return self.store.in_force.version


async def wait_for(condition, bound_s=60):
    with anyio.fail_after(bound_s):
        for _ in iter(condition, True):
            await anyio.sleep(0.05)


class ReplicationTests(unittest.TestCase):
    def setUp(self):
        self.history = make_history(
            [shard("one", 5), shard("two", 6), shard("one", -1), shard("two", 7)]
        )

    def run_processes(self, scenario, readers=("gulf-1",), seats=GULF):
        async def main():
            fabric = FakeFabric()
            service = FakeService(self.history)
            processes = {
                seat: FakeProcess(fabric, seat, service, seat in readers, seed)
                for seed, seat in enumerate(seats)
            }
            async with anyio.create_task_group() as group:
                for process in processes.values():
                    process.start(group)
                await wait_for(lambda: all(n.is_serving for n in processes.values()))
                await scenario(fabric, service, processes, group)
                group.cancel_scope.cancel()

        run_with_mock_clock(main)

    def test_one_reader_updates_all_processes_within_the_bound(self):
        async def scenario(fabric, service, processes, group):
            service.publish(3)
            await wait_for(lambda: all(n.version == 3 for n in processes.values()), 5)

        self.run_processes(scenario, seats=SEATS)

    def test_a_change_that_only_a_poller_sees_is_in_force_within_the_bound(self):
        async def scenario(fabric, service, processes, group):
            updated_service = FakeService(self.history, 3)
            processes["delta-3"].watch._clients[0] = updated_service.client
            await wait_for(lambda: all(n.version == 3 for n in processes.values()), 5)

        self.run_processes(scenario, seats=SEATS)

    def test_new_process_ignores_a_stale_service(self):
        async def scenario(fabric, service, processes, group):
            service.publish(3)
            await wait_for(lambda: all(n.version == 3 for n in processes.values()), 5)
            service.publish(1)
            new = FakeProcess(fabric, "gulf-3", service, seed=9)
            new.start(group)
            await wait_for(lambda: new.is_serving)
            self.assertEqual(new.version, 3)
            await anyio.sleep(120)
            self.assertEqual({n.version for n in [new, processes["gulf-1"]]}, {3})

        self.run_processes(scenario)

    def test_new_process_pulls_the_last_valid_version_from_peers(self):
        async def scenario(fabric, service, processes, group):
            service.publish(3)
            await wait_for(lambda: all(n.version == 3 for n in processes.values()), 5)
            service.publish(5)
            await wait_for(
                lambda: all(n.store.newest.version == 5 for n in processes.values()), 5
            )
            new = FakeProcess(fabric, "gulf-3", service, seed=9)
            new.start(group)
            await wait_for(lambda: new.is_serving)
            self.assertEqual((new.version, new.store.newest.version), (3, 5))
            self.assertEqual(
                str(new.store.rejection), str(processes["gulf-1"].store.rejection)
            )

        self.run_processes(scenario)

    def test_new_process_without_peers_waits_before_using_the_service(self):
        async def main():
            fabric = FakeFabric()
            process = FakeProcess(fabric, "gulf-1", FakeService(self.history))
            async with anyio.create_task_group() as group:
                process.start(group)
                await anyio.sleep(9)
                self.assertFalse(process.is_serving)
                await wait_for(lambda: process.is_serving)
                group.cancel_scope.cancel()

        run_with_mock_clock(main)

    def test_new_processes_do_not_confirm_each_others_version(self):
        async def scenario(fabric, service, processes, group):
            service.publish(1)
            fabric.partitions |= {frozenset(("gulf-1", seat)) for seat in GULF[1:]}
            new = [FakeProcess(fabric, seat, service, seed=9) for seat in GULF[1:]]
            for process in new:
                process.start(group)
            await anyio.sleep(9)
            self.assertEqual([process.version for process in new], [1, 1])
            self.assertFalse(new[0].is_serving or new[1].is_serving)

        self.run_processes(scenario)

    def test_new_process_does_not_serve_while_the_service_is_unavailable(self):
        async def main():
            service = FakeService(self.history)
            service.fault = ConfigServiceUnavailable
            process = FakeProcess(FakeFabric(), "gulf-1", service)
            async with anyio.create_task_group() as group:
                process.start(group)
                await anyio.sleep(3600)
                self.assertFalse(process.is_serving)
                service.fault = None
                await wait_for(lambda: process.is_serving)
                group.cancel_scope.cancel()

        run_with_mock_clock(main)

    def test_partitioned_processes_catch_up_after_the_partition(self):
        async def scenario(fabric, service, processes, group):
            partition = {frozenset(("gulf-1", seat)) for seat in GULF[1:]}
            fabric.partitions |= partition
            service.publish(2)
            await wait_for(lambda: processes["gulf-1"].version == 2, 5)
            await anyio.sleep(1)
            fabric.partitions -= partition
            processes["gulf-2"].replicator.receive(
                "gulf-1", processes["gulf-1"].replicator.make_announce()
            )
            await wait_for(lambda: all(n.version == 2 for n in processes.values()), 5)

        self.run_processes(scenario)


class PackedValueTests(unittest.TestCase):
    def test_truncated_or_oversized_values_are_rejected(self):
        whole = pack_value(Value("base", 2, bytes(MAX_VALUE_BYTES)))
        self.assertEqual(len(unpack_value(whole).content), MAX_VALUE_BYTES)
        faults = {
            "too long": zlib.compress(bytes(MAX_VALUE_BYTES + 1)),
            "cut short": whole.content[:-1],
            "not compressed": b"{}",
        }
        for name, content in faults.items():
            with self.subTest(name), self.assertRaises(InvalidPeerMessage):
                unpack_value(whole.model_copy(update={"content": content}))


class WatchTests(unittest.TestCase):
    def test_calls_are_bounded_under_faults(self):
        faults = [ConfigServiceUnavailable, ConfigServiceOverLimit, None]
        for fault in faults:
            with self.subTest(fault=fault):
                calls = run_with_mock_clock(self.count_calls_in_an_hour, fault, True, 9)
                self.assertLess(calls, 3600)
            for seats in (9, 340, 2500):
                with self.subTest(fault=fault, seats=seats):
                    calls = run_with_mock_clock(
                        self.count_calls_in_an_hour, fault, False, seats
                    )
                    # Together, polls may use a tenth of the service's call limit.
                    self.assertLess(calls * seats, 200 * 3600)

    async def count_calls_in_an_hour(self, fault, is_reader, seats):
        service = FakeService(make_history([]))
        service.fault = fault
        process = FakeProcess(FakeFabric(), "gulf-1", service, is_reader, seats=seats)
        with anyio.move_on_after(3600):
            await process.watch.run()
        return service.calls

    def test_watch_switches_from_a_stale_or_failed_address(self):
        history = make_history([shard("one", 5), shard("two", 5)])
        for fault in (None, ConfigServiceUnavailable):
            with self.subTest(fault=fault):
                run_with_mock_clock(
                    self.check_switch_to_the_good_address, history, fault
                )

    async def check_switch_to_the_good_address(self, history, fault):
        bad, good = FakeService(history, 2), FakeService(history, 2)
        store = ConfigStore()
        clients = [bad.client, good.client]
        watch = ServiceWatcher(
            store, clients, lambda: True, lambda: 9, random.Random(1)
        )
        store.try_adopt(history[1])
        bad.version, bad.fault = 1, fault
        async with anyio.create_task_group() as group:
            group.start_soon(watch.run)
            await anyio.sleep(20)
            self.assertTrue(watch.reaches_service)
            good.publish(3)
            await wait_for(lambda: store.in_force.version == 3, 5)
            group.cancel_scope.cancel()

    def test_many_new_processes_over_the_limit_all_catch_up(self):
        async def main():
            changes = [shard(str(number), 5) for number in range(30)]
            history = make_history(changes)
            service = FakeService(history, len(history))
            service.calls_per_s = 20
            fabric = FakeFabric()
            processes = [
                FakeProcess(fabric, seat, service, seed=seat) for seat in SEATS
            ]
            async with anyio.create_task_group() as group:
                for process in processes:
                    group.start_soon(process.watch.run)
                newest = len(history)
                await wait_for(lambda: all(n.version == newest for n in processes), 120)
                group.cancel_scope.cancel()

        run_with_mock_clock(main)

    def test_change_between_listing_and_reading_is_listed_again(self):
        async def main(history):
            service = FakeService(history, 2)
            store = ConfigStore()
            watch = ServiceWatcher(
                store, [service.client], lambda: True, lambda: 9, random.Random(1)
            )
            async with anyio.create_task_group() as group:
                group.start_soon(watch.fetch, 0)
                await anyio.sleep(0.001)
                service.publish(3)
            self.assertEqual(store.in_force, history[2])

        within = make_history([shard("one", 5), shard("one", 6)])
        for last in (within[2], make_history([shard("one", 6)], era=1)[1]):
            with self.subTest(version=last.version):
                run_with_mock_clock(main, [*within[:2], last])
