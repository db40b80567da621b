import random
import unittest

import anyio
from pydantic import ValidationError

from banyanseam.peers.vm_list import VmListReader, VmListReply
from standins.serving import serve
from standins.vm_list import VmList


class VmListTests(unittest.TestCase):
    def test_only_vms_listed_as_leaving_are_leaving(self):
        async def scenario():
            platform = VmList(lag_ms=0)
            platform.set_state("gulf-engine-1", "leaving")
            platform.set_state("gulf-1", "live")
            received = anyio.Event()
            lists = []

            def record(live, leaving):
                lists.append((live, leaving))
                received.set()

            async with serve(platform.handle) as address:
                reader = VmListReader(address, record, random.Random(1))
                with anyio.fail_after(20):
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(reader.run)
                        await received.wait()
                        tasks.cancel_scope.cancel()
            self.assertEqual(lists[0], ({"gulf-1"}, {"gulf-engine-1"}))
            self.assertEqual(reader.leaving, {"gulf-engine-1"})

        anyio.run(scenario)

    def test_a_list_that_cannot_be_read_changes_nothing(self):
        reader = VmListReader("127.0.0.1:1", lambda *_: None, random.Random(1))
        listed = [{"name": "a", "state": "leaving"}]
        reader.apply(VmListReply.model_validate({"vms": listed}))
        with self.assertRaises(ValidationError):
            VmListReply.model_validate({"vms": [{"name": "a", "state": "odd"}]})

        async def read():
            with anyio.move_on_after(0.5):
                await reader.run()

        anyio.run(read)
        self.assertEqual(reader.leaving, {"a"})
