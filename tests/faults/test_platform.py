"""Guards against broken promises of entry daemons on the users' platform.

Real daemons run against stand-ins of the platform's store and upstreams, which fail,
stall, mix up or truncate answers, move or disappear.
"""

import signal
import unittest
from itertools import count

import anyio

from standins.platform_fleet import KEY, PlatformFleet, start_platform_fleet
from standins.platform_upstream import STALL_S, complete_stream_body
from tests.common import wait_until

USAGE = {"model": "m", "token-usage": "400,40", "prompt-prefix": "a1:92,b2:308"}
ONE_REGION = {"e1": ("pool", "gulf"), "e2": ("pool", "gulf"), "d1": ("desk", "gulf")}
# The fault of an upstream, and the status that a caller must receive for a request
# that may be repeated and for one that may not.
PLAIN_FAULTS = (
    ("", 200, 200),
    ("error", 200, 500),
    ("unframed", 200, 200),
    ("extra", 200, 200),
    ("truncated", 200, 502),
    ("crossed", 200, 502),
    ("unsigned", 200, 502),
    ("encoded", 200, 502),
    ("garbage", 200, 502),
    ("no answer", 200, 502),
)


def run(scenario):
    anyio.run(scenario, backend_options={"use_uvloop": True})


class OneRegionTests(unittest.TestCase):
    def test_every_kind_of_request_is_served_and_bad_ones_are_refused(self):
        async def scenario():
            async with start_platform_fleet({"gulf": 1}, ONE_REGION) as fleet:
                for path, headers, expected in (
                    ("/query/x", USAGE, complete_stream_body()),
                    ("/summary/x", USAGE, complete_stream_body()),
                    ("/book/x", {"request-id": "r7"}, b"answer to r7"),
                    ("/read/x?y=1", {"request-id": "r8"}, b"answer to r8"),
                    ("/open/x", {"request-id": "r9", "authorization": None}, None),
                ):
                    with self.subTest(path):
                        answer = await fleet.ask("gulf-1", path, headers=headers)
                        self.assertEqual((answer.status, answer.broken), (200, None))
                        self.assertIn("upstream-signature", answer.headers)
                        if expected is not None:
                            self.assertEqual(answer.body, expected)
                for path, headers, status in (
                    ("/nowhere/x", {}, 404),
                    ("/read/x", {"authorization": None}, 401),
                    ("/read/x", {"authorization": "Bearer wrong"}, 401),
                    ("/read/x", {"request-id": None}, 400),
                    ("/query/x", USAGE | {"token-usage": "many"}, 400),
                    ("/query/x", USAGE | {"token-usage": "30000,70000"}, 200),
                    ("/query/x", USAGE | {"token-usage": "30000,70000"}, 429),
                ):
                    with self.subTest(path, status=status):
                        answer = await fleet.ask("gulf-1", path, headers=headers)
                        self.assertEqual(answer.status, status)
                        if status != 200:
                            self.assertNotIn("upstream-signature", answer.headers)
                runs = [run for each in fleet.upstreams.values() for run in each.runs]
                for seen in runs:
                    self.assertNotIn(KEY, str(seen))
                    expected = None if seen.target.startswith("/open") else "acme"
                    self.assertEqual(seen.headers.get("tenant-id"), expected)

        run(scenario)

    def test_no_fault_of_an_answer_reaches_a_caller_and_no_booking_runs_twice(self):
        async def scenario():
            async with start_platform_fleet({"gulf": 1}, ONE_REGION) as fleet:
                desk = fleet.upstreams["d1"]
                for fault, repeatable, booking in PLAIN_FAULTS:
                    for path, status in (("/read/x", repeatable), ("/book/x", booking)):
                        with self.subTest(fault, path=path):
                            await self.check_plain(fleet, desk, fault, path, status)
                with self.subTest("full"):
                    desk.faults[:] = ["full"]
                    answer = await fleet.ask("gulf-1", "/book/x")
                    self.assertEqual(answer.status, 503)
                    self.assertIn("retry-after", answer.headers)

        run(scenario)

    def test_a_stalled_stream_resumes_at_another_engine_if_the_route_allows(self):
        async def scenario():
            async with start_platform_fleet({"gulf": 1}, ONE_REGION) as fleet:
                stalling, other = fleet.upstreams["e1"], fleet.upstreams["e2"]
                stalling.faults[:] = ["stall"]
                for _ in range(50):
                    begun_s = anyio.current_time()
                    answer = await fleet.ask("gulf-1", "/query/x", headers=USAGE)
                    self.assertEqual(answer.body, complete_stream_body())
                    if stalling.runs:
                        break
                self.assertLess(anyio.current_time() - begun_s, STALL_S)
                resumed = [run for run in other.runs if "last-event-id" in run.headers]
                self.assertEqual(len(resumed), 1)
                # On a route that is not resumable, the stalled stream is waited for.
                for engine in (stalling, other):
                    engine.faults[:] = ["stall"]
                    engine.runs.clear()
                answer = await fleet.ask("gulf-1", "/summary/x", headers=USAGE)
                self.assertEqual(
                    (answer.body, answer.broken), (complete_stream_body(), None)
                )
                self.assertEqual(len(stalling.runs) + len(other.runs), 1)

        run(scenario)

    async def wait_status(self, fleet, name, path, status):
        async def has_status():
            return (await fleet.ask(name, path)).status == status

        await wait_until_async(has_status)

    async def check_plain(self, fleet, desk, fault, path, status):
        desk.faults[:] = [fault]
        runs = len(desk.runs)
        answer = await fleet.ask("gulf-1", path, headers={"request-id": "r1"})
        self.assertEqual(answer.status, status, answer)
        if status == 200:
            self.assertEqual(answer.body, b"answer to r1")
        if path.startswith("/book"):
            self.assertEqual(len(desk.runs) - runs, 1)
        self.assertLessEqual(len(desk.runs) - runs, 2)

    def test_an_interrupted_stream_is_resumed_or_visibly_broken(self):
        # No two requests are alike: one that breaks at both engines is refused.
        bodies = map(str, count())

        async def scenario():
            async with start_platform_fleet({"gulf": 1}, ONE_REGION) as fleet:

                async def ask(path):
                    body = next(bodies).encode()
                    return await fleet.ask("gulf-1", path, headers=USAGE, body=body)

                for fault in ("cut", "skip"):
                    for engine in ("e1", "e2"):
                        fleet.upstreams[engine].faults[:] = [fault]
                    answer = await ask("/summary/x")
                    with self.subTest(fault, route="not resumable"):
                        self.assertIsNotNone(answer.broken)
                        self.assertTrue(complete_stream_body().startswith(answer.body))
                    for engine in ("e1", "e2"):
                        fleet.upstreams[engine].faults[:] = []
                    fleet.upstreams["e1"].faults[:] = [fault]
                    fleet.upstreams["e2"].faults[:] = [fault]
                    answer = await ask("/query/x")
                    with self.subTest(fault, route="both engines break"):
                        self.assertTrue(complete_stream_body().startswith(answer.body))
                        if answer.broken is None:
                            self.assertEqual(answer.body, complete_stream_body())
                    for engine in ("e1", "e2"):
                        fleet.upstreams[engine].faults[:] = []
                one, other = fleet.upstreams["e1"], fleet.upstreams["e2"]
                one.faults[:] = ["cut"]
                seen = 0
                while one.faults and seen < 50:
                    answer = await ask("/query/x")
                    seen += 1
                with self.subTest("resumed"):
                    self.assertEqual(answer.body, complete_stream_body())
                    self.assertIsNone(answer.broken)
                    resumed = [
                        run for run in other.runs if "last-event-id" in run.headers
                    ]
                    self.assertTrue(resumed)

        run(scenario)

    def test_a_request_that_crashes_engines_is_not_sent_to_more_of_them(self):
        async def scenario():
            async with start_platform_fleet({"gulf": 1}, ONE_REGION) as fleet:
                statuses = []
                engines = [fleet.upstreams[name] for name in ("e1", "e2")]
                for _ in range(12):
                    for engine in engines:
                        engine.faults[:] = ["no answer"]
                    answer = await fleet.ask(
                        "gulf-1", "/summary/x", headers=USAGE, body=b"crash"
                    )
                    statuses.append(answer.status)
                self.assertEqual(statuses[-1], 503, statuses)
                runs = [run for engine in engines for run in engine.runs]
                self.assertEqual(statuses.count(502), len(runs))
                self.assertLess(len(runs), 12)
                for engine in engines:
                    engine.faults[:] = []
                answer = await fleet.ask(
                    "gulf-1", "/summary/x", headers=USAGE, body=b"another"
                )
                self.assertEqual(answer.status, 200)

        run(scenario)

    def test_a_disconnected_caller_frees_its_engine(self):
        async def scenario():
            async with start_platform_fleet({"gulf": 1}, ONE_REGION) as fleet:
                for engine in ("e1", "e2"):
                    fleet.upstreams[engine].pause_s = 1.0
                await fleet.ask("gulf-1", "/query/x", headers=USAGE, timeout_s=0.3)

                def count_cancelled():
                    return sum(each.cancelled for each in fleet.upstreams.values())

                await wait_until(count_cancelled, 0.5)

        run(scenario)

    def test_a_request_ends_at_the_deadline_of_its_route(self):
        async def scenario():
            async with start_platform_fleet({"gulf": 1}, ONE_REGION) as fleet:
                desk = fleet.upstreams["d1"]
                desk.faults[:] = ["hang"]
                began_s = anyio.current_time()
                answer = await fleet.ask("gulf-1", "/book/x")
                duration_s = anyio.current_time() - began_s
                self.assertEqual(answer.status, 504)
                self.assertLess(abs(duration_s - 3.0), 0.5)
                self.assertLessEqual(
                    int(desk.runs[-1].headers["request-deadline"]), 3000
                )

        run(scenario)

    def test_a_withdrawn_key_is_refused_after_the_store_dropped_its_history(self):
        async def scenario():
            async with start_platform_fleet({"gulf": 2}, ONE_REGION) as fleet:
                fleet.store.compact()
                tenant = fleet.config["tenants"][0] | {"api_keys": ["another"]}
                fleet.publish(tenants=[tenant])
                with anyio.fail_after(3):
                    for name in fleet.vms:
                        await self.wait_status(fleet, name, "/read/x", 401)

        run(scenario)

    def test_requests_are_served_while_the_store_is_unavailable(self):
        async def scenario():
            async with start_platform_fleet({"gulf": 2}, ONE_REGION) as fleet:
                for failing in (0, 503, 429):
                    with self.subTest(failing=failing):
                        fleet.store.failing = failing
                        await anyio.sleep(1.0)
                        answer = await fleet.ask("gulf-1", "/read/x")
                        self.assertEqual(answer.status, 200)
                        fleet.store.failing = None
                name = f"/late-{fleet.config['version']}/"
                route = fleet.config["routes"][-1] | {"path_prefix": name}
                fleet.publish(routes=[*fleet.config["routes"], route])
                with anyio.fail_after(5):
                    for vm in fleet.vms:
                        await self.wait_status(fleet, vm, f"{name}x", 200)

        run(scenario)

    def test_an_upstream_with_a_reused_address_runs_nothing(self):
        async def scenario():
            async with start_platform_fleet({"gulf": 1}, ONE_REGION) as fleet:
                fleet.upstreams["d1"].upstream_id = "somebody-else"
                answer = await fleet.ask("gulf-1", "/book/x")
                self.assertEqual(answer.status, 503)
                self.assertEqual(fleet.upstreams["d1"].runs, [])

        run(scenario)

    def test_malformed_store_entries_are_ignored(self):
        async def scenario():
            async with start_platform_fleet({"gulf": 1}, ONE_REGION) as fleet:
                fleet.store.put("servers/strange", b"\xff\x00")
                fleet.store.put("servers/other", {"service": 5})
                fleet.store.put("op/evacuate/nowhere", {})
                await anyio.sleep(1.5)
                self.assertEqual((await fleet.ask("gulf-1", "/book/x")).status, 200)
                fleet.store.put("op/config", b"{}")
                await anyio.sleep(0.5)
                self.assertEqual((await fleet.ask("gulf-1", "/book/x")).status, 200)

        run(scenario)

    def test_an_evacuated_data_centre_and_leaving_upstreams_get_nothing(self):
        async def scenario():
            async with start_platform_fleet({"gulf": 1}, ONE_REGION) as fleet:
                fleet.store.put("op/evacuate/gulf-a", {})
                await anyio.sleep(1.0)
                begun_s = anyio.current_time()
                self.assertEqual((await fleet.ask("gulf-1", "/book/x")).status, 503)
                # No upstream can serve it, so the entry refuses without waiting.
                self.assertLess(anyio.current_time() - begun_s, 0.2)
                fleet.store.delete("op/evacuate/gulf-a")
                await anyio.sleep(1.0)
                self.assertEqual((await fleet.ask("gulf-1", "/book/x")).status, 200)
                fleet.register("d1", "127.0.0.1:1", service="desk", state="draining")
                await anyio.sleep(2.0)
                self.assertEqual((await fleet.ask("gulf-1", "/book/x")).status, 503)

        run(scenario)


class FleetTests(unittest.TestCase):
    def test_other_regions_serve_a_route_only_if_its_home_regions_allow_it(self):
        async def scenario():
            upstreams = {"e1": ("pool", "gulf"), "d1": ("desk", "delta")}
            regions = {"gulf": 1, "delta": 1}
            async with start_platform_fleet(regions, upstreams) as fleet:
                await self.wait_until_served(fleet, "delta-1", "/query/x")
                for path in ("/query/x", "/kept/x"):
                    answer = await fleet.ask("delta-1", path, headers=USAGE)
                    self.assertEqual(answer.status, 200, path)
                    self.assertEqual(answer.body, complete_stream_body())
                await self.wait_until_served(fleet, "gulf-1", "/book/x")
                kept = {**fleet.config["routes"][2], "home_regions": ["delta"]}
                fleet.publish(routes=[*fleet.config["routes"][:2], kept])
                await anyio.sleep(1.0)
                answer = await fleet.ask("gulf-1", "/kept/x", headers=USAGE)
                self.assertEqual(answer.status, 503)
                forged = USAGE | {"x-banyanseam-sender": "127.0.0.1"}
                answer = await fleet.ask("gulf-1", "/query/x", headers=forged)
                self.assertEqual(answer.status, 200)

        run(scenario)

    def test_two_regions_together_send_no_more_than_the_route_allows(self):
        # Seen in a day-long run of 66 VMs: the region that received a forwarded request
        # sent it twice, and then the forwarding region sent it once more.
        async def scenario():
            engines = {f"e{number}": ("pool", "gulf") for number in range(1, 5)}
            regions = {"gulf": 1, "delta": 1}
            async with start_platform_fleet(regions, engines) as fleet:
                await self.wait_until_served(fleet, "delta-1", "/query/x")
                for fault in ("no answer", "garbage", "cut"):
                    for engine in fleet.upstreams.values():
                        engine.faults[:] = [fault] * 8
                        engine.runs.clear()
                    answer = await fleet.ask(
                        "delta-1", "/query/x", headers=USAGE, body=fault.encode()
                    )
                    runs = [len(each.runs) for each in fleet.upstreams.values()]
                    with self.subTest(fault):
                        self.assertTrue(answer.status == 502 or answer.broken, answer)
                        self.assertEqual(sum(runs), 2)

        run(scenario)

    def test_a_planned_stop_breaks_no_request_and_the_directory_drops_the_vm(self):
        async def scenario():
            async with start_platform_fleet({"gulf": 2}, ONE_REGION) as fleet:
                await wait_until_async(lambda: self.resolves_count(fleet, "gulf-2", 2))
                for engine in ("e1", "e2"):
                    fleet.upstreams[engine].pause_s = 0.2
                answers = []

                async def ask():
                    answers.append(
                        await fleet.ask("gulf-1", "/summary/x", headers=USAGE)
                    )

                async with anyio.create_task_group() as tasks:
                    for _ in range(10):
                        tasks.start_soon(ask)
                    await anyio.sleep(0.3)
                    fleet.stop("gulf-1", signal.SIGTERM)
                    await anyio.sleep(0.3)
                    self.assertFalse(await fleet.is_ready("gulf-1"))
                    named = await fleet.resolve("gulf-2", "gulf")
                    self.assertEqual(
                        [each.split(":")[0] for each in named],
                        [fleet.vms["gulf-2"].ip],
                    )
                    # Callers with an older list are still served.
                    tasks.start_soon(ask)
                self.assertEqual(len(answers), 11)
                for answer in answers:
                    self.assertEqual((answer.status, answer.broken), (200, None))
                    self.assertEqual(answer.body, complete_stream_body())
                self.assertEqual(await fleet.vms["gulf-1"].child.wait(8.0), 0)

        run(scenario)

    def test_the_directory_drops_a_killed_vm_until_it_restarts(self):
        async def scenario():
            async with start_platform_fleet({"gulf": 2}, ONE_REGION) as fleet:
                await wait_until_async(lambda: self.resolves_count(fleet, "gulf-2", 2))
                fleet.stop("gulf-1", signal.SIGKILL)
                await wait_until_async(
                    lambda: self.resolves_count(fleet, "gulf-2", 1), 8.0
                )
                fleet.start_vm("gulf-1")
                await wait_until_async(lambda: self.resolves_count(fleet, "gulf-2", 2))

        run(scenario)

    async def resolves_count(self, fleet: PlatformFleet, name: str, count: int) -> bool:
        return len(await fleet.resolve(name, "gulf")) == count

    async def wait_until_served(
        self, fleet: PlatformFleet, name: str, path: str
    ) -> None:
        async def is_served() -> bool:
            return (await fleet.ask(name, path, headers=USAGE)).status == 200

        await wait_until_async(is_served)


async def wait_until_async(condition, timeout_s=15.0):
    """Return once an asynchronous condition holds; otherwise TimeoutError."""
    with anyio.fail_after(timeout_s):
        while True:
            if await condition():
                return
            await anyio.sleep(0.05)


if __name__ == "__main__":
    unittest.main()
