"""Guards against engines that keep an old version after their leader was killed.

A new version of the model is published and the daemon that leads the orders is killed
at once; another daemon must take over and load it without failing a chat.
"""

import json
import unittest

import anyio

from standins.callers import Caller
from standins.fleet import FleetPlan, start_fleet

WEIGHT_BYTES = 1000
# One engine loads the weights in a second.
WEIGHT_BYTES_PER_S = 1000
ENGINES = ("gulf-engine-1", "gulf-engine-2")
LOAD_TIMEOUT_S = 60


def make_version_change(version):
    """Return a change of the documents that orders every engine to load a version."""

    def edit_documents(base, overlays):
        base["weight_store"] = {"rate_bytes_per_s": WEIGHT_BYTES_PER_S}
        model = {"version": version, "weight_bytes": WEIGHT_BYTES, "adapters": ["ash"]}
        for overlay in overlays.values():
            for upstream in overlay["upstreams"].values():
                upstream["checks_fencing"] = True
                upstream["desired"] = {"models": {"oak": model}}

    return edit_documents


class OrderTests(unittest.TestCase):
    def test_engines_load_a_new_version_although_their_leader_is_killed(self):
        async def scenario():
            self.failures = []
            plan = FleetPlan(
                regions=("gulf",),
                engines=2,
                services=0,
                engine_options={"weights": json.dumps({"oak": WEIGHT_BYTES})},
                edit_documents=make_version_change(1),
            )
            async with (
                start_fleet(plan) as fleet,
                Caller(fleet.keys["acme"]) as caller,
                anyio.create_task_group() as tasks,
            ):
                await self.wait_loaded(fleet, caller, 1)
                leader = (await self.read_orders(fleet, caller, "gulf-1"))["giver"]
                others = [seat for seat in fleet.daemons if seat != leader]
                tasks.start_soon(self.chat, caller, fleet.daemons[others[0]])
                make_version_change(2)(fleet.base, fleet.overlays)
                await fleet.publish()
                fleet.kill(leader)
                await self.wait_loaded(fleet, caller, 2)
                shown = await self.read_orders(fleet, caller, others[0])
                self.assertIn(shown["giver"], others)
                tasks.cancel_scope.cancel()
            self.assertEqual(self.failures, [])

        anyio.run(scenario)

    async def wait_loaded(self, fleet, caller, version):
        """Wait until every engine holds only this version and its adapter."""
        wanted = {
            "name": "oak",
            "version": version,
            "state": "ready",
            "adapters": ["ash"],
        }
        with anyio.fail_after(LOAD_TIMEOUT_S):
            for name in ENGINES:
                address = fleet.upstreams[name].address
                while True:
                    reply = await caller.request("GET", address, "/orders")
                    if reply.value["models"] == [wanted]:
                        break
                    await anyio.sleep(0.1)

    async def read_orders(self, fleet, caller, seat):
        address = fleet.daemons[seat].operators_address
        return (await caller.request("GET", address, "/orders")).value

    async def chat(self, caller, daemon):
        """Chat all the time: weights are replaced under load, one engine at a time."""
        while True:
            reply = await caller.chat(daemon.callers_address, max_tokens=5)
            if not reply.is_whole:
                self.failures.append((reply.code, reply.broken))
