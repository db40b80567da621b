import json
import random
import unittest

import anyio
import httpcore

from banyanseam.config.const import MAX_REPLY_BYTES
from banyanseam.config.errors import ConfigServiceOverLimit, ConfigServiceUnavailable
from banyanseam.config.service_client import make_service_client
from banyanseam.config.snapshot import Listing, Value
from banyanseam.config.store import ConfigStore
from banyanseam.config.versions import make_version
from banyanseam.config.watch import ServiceWatcher
from standins.config_service import NO_FAULTS, ConfigService
from standins.serving import serve
from tests.config.test_store import make_values, shard

WAIT_S = 60
sent_bytes = []


async def answer_invalid_fields(request):
    await request.answer(200, {"revision": -1, "changed": [], "value": 1})


async def answer_invalid_json(request):
    await request.start(200, {})
    await request.write(b"[" * 5000, more=False)


async def answer_endlessly(request):
    await request.start(200, {})
    while not request.transport.is_closing():
        sent_bytes.append(100_000)
        await request.write(b" " * 100_000)
        await anyio.sleep(0.001)


async def answer_byte_by_byte(request):
    await request.start(200, {})
    while not request.transport.is_closing():
        await request.write(b" ")
        await anyio.sleep(0.2)


async def drop(request):
    request.drop()


class ServiceTests(unittest.TestCase):
    def run_against(self, handler, scenario):
        async def main():
            async with (
                serve(handler) as address,
                httpcore.AsyncConnectionPool() as pool,
            ):
                with anyio.fail_after(WAIT_S):
                    await scenario(make_service_client(pool, address))

        anyio.run(main)

    def test_values_and_changes_are_read(self):
        service = ConfigService()
        service.publish("base", {"a": 1})

        async def scenario(client):
            self.assertEqual(await client.list_revisions(0, 0), Listing(1, {"base": 1}))
            self.assertEqual(await client.list_revisions(1, 50), Listing(1, {}))
            self.assertEqual(await client.read("base"), Value("base", 1, b'{"a":1}'))

        self.run_against(service.handle, scenario)

    def test_answers_after_a_return_are_in_the_next_era(self):
        service = ConfigService()
        service.publish("base", {"a": 1})
        service.take_copy()
        service.publish("base", {"a": 2})
        service.return_from_copy()
        copied, changed = make_version(1, 1), make_version(1, 2)

        async def scenario(client):
            # Watches that wait longer than the test may take.
            listing = await client.list_revisions(2, 1000 * WAIT_S)
            self.assertEqual(listing, Listing(copied, {}))
            with anyio.move_on_after(0.1):
                await client.list_revisions(copied, 1000 * WAIT_S)
                self.fail("the watch of the last revision ended")
            value = await client.read("base")
            self.assertEqual(value, Value("base", copied, b'{"a":1}'))
            service.publish("base", {"a": 3})
            listing = await client.list_revisions(copied, 1000 * WAIT_S)
            self.assertEqual(listing, Listing(changed, {"base": changed}))

        self.run_against(service.handle, scenario)

    def test_each_service_fault_raises_unavailable(self):
        def faulty(**faults):
            service = ConfigService()
            service.set_faults(**faults)
            return service.handle

        table = [
            ("down", faulty(down=True), ConfigServiceUnavailable),
            ("over the limit", faulty(calls_per_s=0), ConfigServiceOverLimit),
            ("too slow", faulty(slow_ms=5000), ConfigServiceUnavailable),
            ("invalid fields", answer_invalid_fields, ConfigServiceUnavailable),
            ("invalid JSON", answer_invalid_json, ConfigServiceUnavailable),
            ("dropped", drop, ConfigServiceUnavailable),
            ("endless", answer_endlessly, ConfigServiceUnavailable),
            ("byte by byte", answer_byte_by_byte, ConfigServiceUnavailable),
        ]
        for name, handler, error in table:
            with self.subTest(name):

                async def scenario(client, error=error):
                    with self.assertRaises(error):
                        await client.list_revisions(0, 0)
                    with self.assertRaises(error):
                        await client.read("base")

                self.run_against(handler, scenario)
        # The bytes that the client reads, plus those in socket buffers.
        self.assertLess(sum(sent_bytes), 2 * (MAX_REPLY_BYTES + 10_000_000))

    def test_refused_connection_is_unavailable(self):
        async def main():
            async with serve(drop) as address:
                pass
            async with httpcore.AsyncConnectionPool() as pool:
                with self.assertRaises(ConfigServiceUnavailable):
                    await make_service_client(pool, address).read("base")

        anyio.run(main)

    def test_watch_resumes_after_each_service_fault(self):
        service = ConfigService()
        for key, value in make_values().items():
            service.publish(key, json.loads(value.content))

        async def scenario(client):
            store = ConfigStore()
            watch = ServiceWatcher(
                store, [client], lambda: True, lambda: 9, random.Random(1)
            )
            adopted = anyio.Event()
            store.on_adopted(lambda _: adopted.set())
            async with anyio.create_task_group() as group:
                group.start_soon(watch.run)
                await adopted.wait()
                for fault in (
                    {"down": True},
                    {"stale": True},
                    {"calls_per_s": 0},
                    {"slow_ms": 4500},
                    {"answers": "garbage"},
                    {"answers": "too_large"},
                ):
                    service.set_faults(**fault)
                    adopted = anyio.Event()
                    revision = service.publish(*shard("one", service.revision))
                    await anyio.sleep(0.1)
                    self.assertLess(store.in_force.version, revision)
                    service.set_faults(**NO_FAULTS)
                    await adopted.wait()
                    self.assertEqual(store.in_force.version, revision)
                group.cancel_scope.cancel()

        self.run_against(service.handle, scenario)
