"""Checks what a process makes of a configuration service that came back from a copy."""

import random
import unittest

import anyio

from banyanseam.config.errors import ConfigServiceUnavailable
from banyanseam.config.snapshot import Snapshot
from banyanseam.config.store import ConfigStore
from banyanseam.config.watch import ServiceWatcher
from tests.common import FakeFabric, run_with_mock_clock
from tests.config.test_replication import FakeProcess, FakeService, wait_for
from tests.config.test_store import make_history, shard

# Several polls and watches.
LONG_S = 60.0


class RestoredServiceTests(unittest.TestCase):
    def test_a_change_with_a_version_given_out_again_is_not_missed(self):
        lost = make_history([shard("one", 5)])
        written_again = make_history([shard("one", 6), shard("two", 7)], era=1)

        async def run() -> None:
            service = FakeService(lost, 2)
            store = ConfigStore()
            watch = ServiceWatcher(
                store, [service.client], lambda: True, lambda: 9, random.Random(1)
            )
            async with anyio.create_task_group() as group:
                group.start_soon(watch.run)
                await anyio.sleep(LONG_S)
                self.assertEqual(store.in_force, lost[1])
                service.history = written_again
                for version in (1, 2, 3):
                    service.publish(version)
                    await anyio.sleep(LONG_S)
                group.cancel_scope.cancel()
            self.assertEqual(store.in_force, written_again[2])

        run_with_mock_clock(run)

    def test_processes_at_any_version_follow_the_new_era(self):
        lost = make_history([shard("one", 5), shard("two", 7)])
        (copied,) = make_history([], era=1)
        held_by_peers = [
            lost[2],
            # Of the release before: merged into what was lost, or without its era.
            Snapshot(copied.version, lost[2].values | copied.values),
            make_history([shard("one", 6)] * 4)[4],
        ]

        async def run(held: Snapshot) -> None:
            fabric, silent = FakeFabric(), FakeService(lost)
            silent.fault = ConfigServiceUnavailable
            early = FakeProcess(fabric, "gulf-1", silent)
            without_service = FakeProcess(fabric, "gulf-2", silent)
            late = FakeProcess(fabric, "gulf-3", FakeService([copied]))
            early.store.try_adopt(held)
            async with anyio.create_task_group() as group:
                for process in (early, without_service, late):
                    process.start(group)
                    await wait_for(lambda process=process: process.is_serving)
                self.assertEqual(late.store.in_force, copied)
                await wait_for(lambda: without_service.store.in_force == copied)
                await wait_for(lambda: early.version == copied.version)
                group.cancel_scope.cancel()

        for held in held_by_peers:
            with self.subTest(version=held.version, values=len(held.values)):
                run_with_mock_clock(run, held)


if __name__ == "__main__":
    unittest.main()
