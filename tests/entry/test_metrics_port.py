import tomllib
import unittest
from dataclasses import replace
from pathlib import Path
from unittest import mock

import anyio

from banyanseam.entry import app
from banyanseam.entry.const import METRICS_PORT
from banyanseam.entry.main import make_entry
from banyanseam.observe.events import METRICS_NOT_SERVED
from standins.ports import find_free_ports
from tests.common import wait_until
from tests.entry.common import make_settings

ROOT = Path(__file__).resolve().parents[2]


class MetricsPortTests(unittest.TestCase):
    def test_the_deploy_file_names_the_port_of_the_metrics(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.assertEqual(deploy["roles"]["entry"]["metrics"], f"{METRICS_PORT}/metrics")

    def test_metrics_are_served_and_a_port_in_use_does_no_harm(self):
        async def run(port: int) -> tuple[bytes, list[int]]:
            settings = replace(make_settings(), ip="127.0.0.1")
            first, second = (
                make_entry(settings, None, lambda: settings) for _ in range(2)
            )
            events = []
            with (
                mock.patch.object(app, "METRICS_PORT", port),
                mock.patch.object(
                    app, "log", lambda event, **_: events.append(event.number)
                ),
            ):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(first._serve_metrics)
                    answer = await self.fetch(port)
                    tasks.start_soon(second._serve_metrics)
                    await wait_until(lambda: events)
                    self.assertEqual(await self.fetch(port), answer)
                    tasks.cancel_scope.cancel()
            return answer, events

        answer, events = anyio.run(run, *find_free_ports("127.0.0.1", 1))
        self.assertIn(b"banyanseam_requests_total", answer)
        self.assertEqual(events, [METRICS_NOT_SERVED.number])

    async def fetch(self, port: int) -> bytes:
        with anyio.fail_after(10):
            while True:
                try:
                    stream = await anyio.connect_tcp("127.0.0.1", port)
                    break
                except OSError:
                    await anyio.sleep(0.05)
            async with stream:
                await stream.send(b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n")
                return await stream.receive()


if __name__ == "__main__":
    unittest.main()
