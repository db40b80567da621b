import unittest

import anyio

from standins.callers import Caller
from standins.fleet import Fleet, FleetPlan, start_fleet


async def leave_engines_to_gulf(fleet: Fleet) -> None:
    """Publish that only gulf has a model engine."""
    for region in ("piedmont", "delta"):
        upstreams = fleet.overlays[region]["upstreams"]
        for name in list(upstreams):
            if "engine" in name:
                del upstreams[name]
    await fleet.publish()


class PathTests(unittest.TestCase):
    def test_a_request_is_served_by_separate_processes(self):
        async def scenario():
            async with (
                start_fleet(FleetPlan(seats=1)) as fleet,
                Caller(fleet.keys["acme"]) as caller,
            ):
                gulf, delta = fleet.daemons["gulf-1"], fleet.daemons["delta-1"]
                entries = await caller.request(
                    "GET", gulf.callers_address, "/v1/entries"
                )
                self.assertIn(
                    delta.callers_address,
                    [entry["address"] for entry in entries.value["entries"]],
                )
                local = await caller.chat(gulf.callers_address, max_tokens=5)
                self.assertTrue(local.is_whole, local)
                self.assertEqual(local.chunk_ids, {local.headers["x-request-id"]})
                booked = await caller.book(gulf.callers_address, "/desk/book", b"{}")
                self.assertEqual(booked.status, 201)
                await leave_engines_to_gulf(fleet)
                await self.wait_for_remote_answer(fleet, caller)

        anyio.run(scenario)

    async def wait_for_remote_answer(self, fleet: Fleet, caller: Caller) -> None:
        address = fleet.daemons["delta-1"].callers_address
        with anyio.fail_after(30):
            while True:
                remote = await caller.chat(address, max_tokens=5)
                self.assertTrue(remote.is_whole, remote)
                self.assertEqual(remote.chunk_ids, {remote.headers["x-request-id"]})
                runs = await fleet.list_runs("gulf-engine-1")
                if remote.headers["x-request-id"] in str(runs):
                    return
