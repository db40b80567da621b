import hashlib
import json
import os
import sys
import unittest
from contextlib import suppress

import anyio

from standins.callers import Caller
from standins.fleet import FleetPlan, start_fleet
from standins.processes import ROOT
from tests.observe.catalogues import find_events

CHAT = "/v1/chat/completions"


async def run_command(address, *arguments):
    result = await anyio.run_process(
        [
            *(sys.executable, "-m", "banyanseam.cli.main", *arguments),
            *("--operators", address, "--json"),
        ],
        check=False,
        cwd=ROOT,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
    )
    return result.returncode, json.loads(result.stdout or result.stderr)


class AgainstDaemonTests(unittest.TestCase):
    def test_commands_show_what_a_daemon_did(self):
        anyio.run(self.check)

    async def check(self):
        plan = FleetPlan(regions=("gulf",), seats=2, uses_relay=False)
        async with start_fleet(plan) as fleet, Caller(fleet.keys["acme"]) as caller:
            gulf = fleet.daemons["gulf-1"]
            address = gulf.operators_address
            answer = await caller.chat(gulf.callers_address)
            self.assertTrue(answer.is_whole, answer)
            await caller.request("GET", gulf.callers_address, "/nowhere")

            code, status = await run_command(address, "status")
            self.assertEqual((code, status.get("state")), (0, "serving"), status)
            self.assertEqual(status["load"]["failures"], {"request.no_route": 1})
            self.assertEqual(status["load"]["in_flight"], 0)
            self.assertEqual([one["seat"] for one in status["peers"]], ["gulf-2"])
            self.assertEqual(len(status["upstreams"]), 2)

            code, entries = await run_command(address, "entries")
            names = sorted(one["seat"] for one in entries["entries"])
            self.assertEqual((code, names), (0, ["gulf-1", "gulf-2"]))

            code, shown = await run_command(
                address, "histograms", "--organisation", "acme"
            )
            counts = {one["measure"]: one["count"] for one in shown["series"]}
            self.assertEqual((code, counts["first_token_ms"]), (0, 1))

            code, explained = await run_command(
                address, "explain", CHAT, "--organisation", "acme", "--model", "oak"
            )
            self.assertEqual((code, explained["steps"][-1]["filter"]), (0, "choose"))
            code, explained = await run_command(address, "explain", CHAT)
            self.assertEqual((code, explained["steps"][-1]["code"]), (0, "key.missing"))

            await self.check_secrets(fleet, gulf)

            code, drained = await run_command(address, "drain")
            self.assertEqual((code, drained["state"]), (0, "draining"))
            self.assertEqual(await gulf.child.wait(), 0)
            code, failure = await run_command(address, "status")
            self.assertEqual((code, failure["code"]), (3, "cli.daemon_unreachable"))

    async def check_secrets(self, fleet, gulf):
        """Send secrets to every port and check that the log and bundle omit them."""
        key = fleet.keys["acme"]
        secret = json.loads(gulf.settings_path.read_text())["fleet_secret"]
        digest = hashlib.sha256(key.encode()).hexdigest()
        planted = f"GET /{key} HTTP/9\r\nauthorization: Bearer {secret}\r\n\r\n"
        ports = (gulf.callers_address, gulf.peers_address, gulf.operators_address)
        for address in ports:
            async with await anyio.connect_tcp(*address.split(":")) as stream:
                await stream.send(planted.encode())
                with anyio.move_on_after(5), suppress(anyio.EndOfStream):
                    await stream.receive()
        path = fleet.folder / "bundle" / "gulf-1.json"
        code, _ = await run_command(
            gulf.operators_address, "diagnostics", "--out", str(path)
        )
        self.assertEqual(code, 0)
        bundle, log = path.read_text(), gulf.child.read_log()
        for text in (bundle, log):
            for planted in (key, secret, digest):
                self.assertNotIn(planted, text)
        numbers = {event.number for event in find_events()}
        logged = {json.loads(line)["event"] for line in log.splitlines()}
        self.assertLessEqual(logged, numbers)
        # The log includes what libraries logged about the planted lines.
        self.assertTrue(logged & {2010, 2011}, logged)
        shown = json.loads(bundle)
        self.assertEqual(shown["status"]["seat"], "gulf-1")
        self.assertEqual(shown["settings"]["fleet_secret"], "**********")
        self.assertIn("base", shown["in_force"]["values"])
        self.assertEqual({one["event"] for one in shown["events"]}, logged)


if __name__ == "__main__":
    unittest.main()
