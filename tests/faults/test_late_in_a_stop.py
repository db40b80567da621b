"""Guards against requests that a planned stop cuts off without an answer."""

import asyncio
import signal
import unittest

import anyio

from standins.platform_demo import USAGE_HEADERS
from standins.platform_fleet import HOST, KEY, PlatformFleet, start_platform_fleet

UPSTREAMS = {"e1": ("pool", "gulf"), "d1": ("desk", "gulf")}
# After this time a VM that stops takes no more requests, and within the grace it ends.
CLOSING_S = 3.0
GRACE_S = 8.0
SHORT_GRACE_S = 2
OUTLASTS_GRACE_S = 20.0
BODY = b"a booking"


def make_head(path: str) -> bytes:
    lines = [
        f"POST {path} HTTP/1.1",
        f"host: {HOST}",
        "request-id: late-1",
        "request-deadline: 20000",
        f"authorization: Bearer {KEY}",
        f"content-length: {len(BODY)}",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def send_body_late(fleet: PlatformFleet, path: str, pause_s: float) -> bytes:
    """Send the last byte of a request after a pause; return the answer's bytes."""
    ip, port = fleet.vms["gulf-1"].ip, fleet.ports["front"]
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(make_head(path) + BODY[:-1])
        await anyio.sleep(pause_s)
        writer.write(BODY[-1:])
        return await reader.read()
    finally:
        writer.close()


async def lengthen_timeouts(fleet: PlatformFleet) -> None:
    """Let requests take longer than a stop."""
    for route in fleet.config["routes"]:
        route["timeout_ms"] = 1000 * OUTLASTS_GRACE_S
    fleet.publish()
    await anyio.sleep(1.0)


class LateRequestTests(unittest.TestCase):
    # A request whose body ended late in the stop was passed on, with no time left.
    def test_a_request_that_is_whole_only_late_in_a_stop_does_not_run(self):
        async def scenario():
            async with start_platform_fleet({"gulf": 1}, UPSTREAMS) as fleet:
                await lengthen_timeouts(fleet)
                answers = []

                async def send():
                    answers.append(await send_body_late(fleet, "/book/x", CLOSING_S))

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send)
                    await anyio.sleep(0.2)
                    fleet.stop("gulf-1", signal.SIGTERM)
                self.assertTrue(answers[0].startswith(b"HTTP/1.1 503 "), answers[0])
                self.assertIn(b"entry.leaving", answers[0])
                self.assertEqual(fleet.upstreams["d1"].runs, [])
                self.assertEqual(await fleet.vms["gulf-1"].child.wait(GRACE_S), 0)

        anyio.run(scenario, backend_options={"use_uvloop": True})

    # Requests that outlasted the grace period ended with their connection.
    def test_a_request_that_outlasts_the_grace_period_gets_an_answer(self):
        async def scenario():
            async with start_platform_fleet({"gulf": 1}, UPSTREAMS) as fleet:
                await lengthen_timeouts(fleet)
                for upstream in fleet.upstreams.values():
                    upstream.pause_s = OUTLASTS_GRACE_S
                answers = {}

                async def ask(path):
                    headers = USAGE_HEADERS | {"request-deadline": "20000"}
                    answers[path] = await fleet.ask(
                        "gulf-1", path, headers=headers, timeout_s=OUTLASTS_GRACE_S
                    )

                async with anyio.create_task_group() as tasks:
                    for path in ("/book/x", "/read/x", "/query/x"):
                        tasks.start_soon(ask, path)
                    await anyio.sleep(0.3)
                    fleet.stop("gulf-1", signal.SIGTERM)
                for path, answer in answers.items():
                    with self.subTest(path):
                        self.assertEqual((answer.status, answer.broken), (504, None))
                self.assertEqual(await fleet.vms["gulf-1"].child.wait(GRACE_S), 0)

        anyio.run(scenario, backend_options={"use_uvloop": True})

    # The exit of the process was given the same time in a grace period of any length.
    def test_a_short_grace_period_is_used_and_still_leaves_time_for_an_answer(self):
        async def scenario():
            async with start_platform_fleet(
                {"gulf": 1}, UPSTREAMS, grace_s=SHORT_GRACE_S
            ) as fleet:
                await lengthen_timeouts(fleet)
                fleet.upstreams["d1"].pause_s = OUTLASTS_GRACE_S
                answers = []

                async def ask():
                    long = {"request-deadline": "20000"}
                    answers.append(await fleet.ask("gulf-1", "/read/x", headers=long))
                    answers.append(anyio.current_time())

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(ask)
                    await anyio.sleep(0.3)
                    began_s = anyio.current_time()
                    fleet.stop("gulf-1", signal.SIGTERM)
                    # As the platform does, if the process has not ended.
                    await anyio.sleep(SHORT_GRACE_S)
                    if fleet.vms["gulf-1"].child.is_running:
                        fleet.stop("gulf-1", signal.SIGKILL)
                answer, ended_s = answers
                self.assertEqual((answer.status, answer.broken), (504, None))
                self.assertGreater(ended_s - began_s, 5 / 6 * SHORT_GRACE_S)

        anyio.run(scenario, backend_options={"use_uvloop": True})

    def test_a_grace_period_that_was_just_shortened_cuts_off_no_answer(self):
        async def scenario():
            async with start_platform_fleet({"gulf": 1}, UPSTREAMS) as fleet:
                await lengthen_timeouts(fleet)
                fleet.upstreams["d1"].pause_s = OUTLASTS_GRACE_S
                answers = []

                async def ask():
                    long = {"request-deadline": "20000"}
                    answers.append(await fleet.ask("gulf-1", "/read/x", headers=long))

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(ask)
                    await anyio.sleep(0.3)
                    path = fleet.folder / "gulf-1.toml"
                    text = path.read_text()
                    path.write_text(text.replace("grace_s = 8", "grace_s = 4"))
                    fleet.stop("gulf-1", signal.SIGTERM)
                    await anyio.sleep(4.0)
                    # As the platform does, if the process has not ended.
                    if fleet.vms["gulf-1"].child.is_running:
                        fleet.stop("gulf-1", signal.SIGKILL)
                self.assertEqual((answers[0].status, answers[0].broken), (504, None))

        anyio.run(scenario, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    unittest.main()
