"""Checks what a process makes of a configuration service that came back from a copy."""

import random
import unittest

import anyio

from banyanseam.config.store import ConfigStore
from banyanseam.config.watch import ServiceWatcher
from tests.common import run_with_mock_clock
from tests.config.test_replication import FakeService
from tests.config.test_store import make_history, shard

# Several polls and watches.
LONG_S = 60.0


class RestoredServiceTests(unittest.TestCase):
    def test_a_change_with_a_version_given_out_again_is_not_missed(self):
        lost = make_history([shard("one", 5)])
        written_again = make_history([shard("one", 6), shard("two", 7)])

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


if __name__ == "__main__":
    unittest.main()
