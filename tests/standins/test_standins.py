import asyncio
import unittest

import anyio
import httpcore

from standins.batching import EngineLimits
from standins.callers import Caller
from standins.config_service import ConfigService
from standins.engine import Engine, serve_engine
from standins.platform_fleet import call
from standins.platform_upstream import (
    REPORT_TARGET,
    PlatformUpstream,
    complete_stream_body,
)
from standins.relay import Relay
from standins.service import PlainService
from standins.serving import serve
from standins.vm_list import VmList
from tests.common import run_with_mock_clock, wait_until

FAST = EngineLimits(
    stream_tokens_per_s=1000, memory_tokens=500, load_lag_ms=0, disconnect_grace_ms=0
)


def run(function):
    async def bounded():
        with anyio.fail_after(20):
            await function()

    anyio.run(bounded)


class EngineTests(unittest.TestCase):
    def test_resumes_after_a_broken_stream(self):
        async def check():
            engine = Engine(EngineLimits(stream_tokens_per_s=1000))
            async with serve_engine(engine) as address, Caller() as caller:
                engine.set_faults(drop_next="mid_stream")
                named = {"x-request-id": "first"}
                broken = await caller.chat(address, headers=named, max_tokens=50)
                self.assertFalse(broken.is_whole)
                seen = len(broken.words)
                rest = await caller.request(
                    "GET", address, f"/v1/streams/first?after={seen}"
                )
                self.assertIn(f'"w{seen + 1} "'.encode(), rest.content)
                self.assertTrue(rest.content.endswith(b"data: [DONE]\n\n"))
                self.assertEqual(len(engine.records), 1)

        run(check)

    def test_faults(self):
        cases = {
            "crossed": lambda result: self.assertEqual(
                result.chunk_ids, {"crossed-mine"}
            ),
            "truncate": lambda result: self.assertFalse(result.is_whole),
            "leaving": lambda result: self.assertEqual(
                result.headers["x-not-started"], "true"
            ),
            "die": lambda result: self.assertIsNotNone(result.broken),
        }

        async def check():
            for fault, verify in cases.items():
                engine = Engine(FAST)
                async with serve_engine(engine) as address, Caller() as caller:
                    engine.set_faults(**{fault: True})
                    with self.subTest(fault):
                        named = {"x-request-id": "mine"}
                        verify(await caller.chat(address, headers=named))

        run(check)

    def test_suspended_engine_answers_nothing_until_resumed(self):
        async def check():
            engine = Engine(FAST)
            async with serve_engine(engine) as address, Caller() as caller:
                engine.set_faults(frozen=True)
                with anyio.move_on_after(0.1) as scope:
                    await caller.request("GET", address, "/load")
                self.assertTrue(scope.cancelled_caught)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(caller.chat, address)
                    await anyio.sleep(0.05)
                    self.assertFalse(engine.records)
                    engine.set_faults(frozen=False)
                self.assertEqual(engine.records[0].run.generated_tokens, 8)

        run(check)

    def test_crashes_out_of_memory_and_on_poison(self):
        async def check():
            for content, max_tokens in (("long " * 500, 1), ("a CRASH", 1), ("x", 600)):
                engine = Engine(FAST)
                async with serve_engine(engine) as address, Caller() as caller:
                    with self.subTest(content[:8]):
                        await caller.chat(address, content, max_tokens=max_tokens)
                        self.assertEqual(engine.deaths, 1)
                        lost_incarnation = engine.incarnation
                        engine.revive()
                        report = await caller.request("GET", address, "/load")
                        self.assertIn(b"incarnation", report.content)
                        self.assertNotIn(lost_incarnation.encode(), report.content)
                        result = await caller.chat(address, "hello")
                        self.assertTrue(result.is_whole)

        run(check)

    def test_prefix_is_cached_and_a_closed_stream_cancelled(self):
        async def check():
            engine = Engine(FAST)
            async with serve_engine(engine) as address, Caller() as caller:
                for _ in range(2):
                    result = await caller.chat(address, "same " * 30)
                self.assertGreater(result.usage["cached_tokens"], 0)
                with anyio.move_on_after(0.05):
                    await caller.chat(address, max_tokens=400)
                last = engine.records[-1].run
                await wait_until(lambda: last.finished_s is not None)
                self.assertLess(last.generated_tokens, 400)

        run(check)


class ConfigServiceTests(unittest.TestCase):
    def test_watch_stale_down_and_limit(self):
        async def check():
            service = ConfigService(calls_per_s=20)
            async with serve(service.handle) as address, Caller() as caller:

                async def get(path):
                    return await caller.request("GET", address, path)

                seen = []

                async def watch():
                    reply = await get("/v1/revisions?after=0&wait_ms=10000")
                    seen.append(reply.value)

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(watch)
                    await wait_until(lambda: service.watches)
                    service.publish("sites/gulf", {"a": 1})
                self.assertEqual(seen[0], {"revision": 1, "changed": {"sites/gulf": 1}})
                service.set_faults(stale=True)
                service.publish("sites/gulf", {"a": 2})
                reply = await get("/v1/values/sites/gulf")
                self.assertEqual(reply.value["value"], {"a": 1})
                self.assertEqual((await get("/v1/values/none")).status, 404)
                statuses = {(await get("/v1/revisions")).status for _ in range(40)}
                self.assertEqual(statuses, {200, 429})

        run(check)


class VmListTests(unittest.TestCase):
    def test_returns_states_with_a_lag(self):
        async def check():
            vms = VmList(lag_ms=1000)
            vms.set_state("gulf-1", "live")
            await anyio.sleep(2)
            vms.set_state("gulf-1", "leaving")
            for wanted in ("live", "leaving"):
                shown = vms.list_visible(anyio.current_time())
                self.assertEqual(shown, {"gulf-1": wanted})
                await anyio.sleep(1)

        run_with_mock_clock(check)


class ServiceTests(unittest.TestCase):
    def test_counts_runs_also_when_the_answer_is_lost(self):
        async def check():
            for drop, runs in (("before_run", 0), ("after_run", 1)):
                service = PlainService()
                async with serve(service.handle) as address, Caller() as caller:
                    service.set_faults(drop_next=drop)
                    with self.subTest(drop):
                        with self.assertRaises(httpcore.ProtocolError):
                            await caller.book(address, "/desk/", b"order")
                        self.assertEqual(len(service.records), runs)

        run(check)


class PlatformUpstreamTests(unittest.TestCase):
    def test_events_name_an_unusual_software_and_a_restart_breaks_streams(self):
        async def check():
            upstream = PlatformUpstream("e1", is_stream=True)
            headers = {"host": "a", "request-id": "r"}
            async with upstream.serve() as address:
                usual = await call(address, "POST", "/query/x", headers)
                self.assertEqual(usual.body, complete_stream_body())
                self.assertNotIn(b"by", usual.body)

                def restart(_):
                    upstream.on_run = lambda _: None
                    loop = asyncio.get_running_loop()
                    loop.call_later(3.5 * upstream.pause_s, upstream.restart, "v2")

                upstream.on_run = restart
                broken = await call(address, "POST", "/query/x", headers)
                self.assertIsNotNone(broken.broken)
                self.assertTrue(usual.body.startswith(broken.body))
                later = headers | {"last-event-id": "2"}
                rest = await call(address, "POST", "/query/x", later)
                self.assertEqual(rest.body, complete_stream_body("v2", 2))
                self.assertIn(b"id: 3\ndata: word 3 by v2\n\n", rest.body)
                report = await call(address, "GET", REPORT_TARGET, headers)
                self.assertEqual(report.body, b'{"born": 2}')

        run(check)


class RelayTests(unittest.TestCase):
    def test_delays_partitions_and_resets(self):
        async def check():
            service = PlainService()
            async with (
                anyio.create_task_group() as tasks,
                serve(service.handle) as target,
                Caller() as caller,
            ):
                relay = Relay(tasks)
                leg = await relay.open_leg("leg", target, "gulf", "delta")
                relay.find_link("gulf", "delta").configure(delay_ms=20)

                async def ask(body):
                    return await caller.request("PUT", leg.address, "/", body=body)

                before_s = anyio.current_time()
                self.assertEqual((await ask(b"1")).status, 200)
                self.assertGreaterEqual(anyio.current_time() - before_s, 0.02)
                relay.find_link("gulf", "delta").configure(cut=True)
                with anyio.move_on_after(0.1) as scope:
                    await ask(b"2")
                self.assertTrue(scope.cancelled_caught)
                self.assertEqual(len(service.records), 1)
                relay.find_link("gulf", "delta").configure(cut=False)
                await wait_until(lambda: not leg.connections)
                service.set_faults(frozen=True)
                async with anyio.create_task_group() as asking:
                    asking.start_soon(self._expect_break, ask)
                    await wait_until(lambda: len(leg.connections) == 1)
                    await wait_until(lambda: next(iter(leg.connections)).target_stream)
                    relay.reset("gulf", "delta")
                self.assertFalse(leg.connections)
                tasks.cancel_scope.cancel()

        run(check)

    async def _expect_break(self, ask):
        with self.assertRaises((httpcore.NetworkError, httpcore.ProtocolError)):
            await ask(b"3")


if __name__ == "__main__":
    unittest.main()
