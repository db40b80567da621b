import unittest

import anyio

from standins.callers import Caller
from standins.config_service import NO_FAULTS
from standins.fleet import FleetPlan, start_fleet
from tests.common import wait_until

FAULTS = (
    {"down": True},
    {"slow_ms": 4500},
    {"calls_per_s": 0},
    {"answers": "garbage"},
    {"answers": "too_large"},
)
# Longer than a reader's retry pauses after failures, with a margin for a busy VM.
IN_FORCE_S = 40
DOWN = '"event": 5003'


class ConfigServiceFaultTests(unittest.TestCase):
    def test_daemons_keep_serving_start_from_peers_and_catch_up(self):
        anyio.run(self.check)

    async def check(self):
        plan = FleetPlan(regions=("gulf",), seats=2, uses_relay=False)
        async with start_fleet(plan) as fleet, Caller(fleet.keys["acme"]) as caller:
            daemons = list(fleet.daemons.values())

            for number, fault in enumerate(FAULTS, 1):
                with self.subTest(fault):
                    await fleet.set_config_faults(**fault)
                    fleet.base["organisations"]["acme"]["weight"] = number + 1
                    revision = await fleet.publish()
                    await self.wait_for_event(daemons[0], number)
                    await fleet.restart("gulf-2")
                    for one in daemons:
                        answer = await caller.chat(one.callers_address)
                        self.assertTrue(answer.is_whole, answer)
                        config = await read_config(caller, one)
                        self.assertLess(config["version"], revision)
                    await fleet.set_config_faults(**NO_FAULTS)
                    cleared_s = anyio.current_time()
                    with anyio.fail_after(IN_FORCE_S):
                        for one in daemons:
                            await catch_up(caller, one, revision, cleared_s)

    async def wait_for_event(self, daemon, number):
        """Wait until the daemon has logged this number of outages."""
        read_log = daemon.child.read_log
        await wait_until(lambda: read_log().count(DOWN) == number, IN_FORCE_S)


async def read_config(caller, daemon):
    reply = await caller.request("GET", daemon.operators_address, "/status")
    return reply.value["config"]


async def catch_up(caller, daemon, revision, cleared_s):
    """Return once the revision is in force and the service has answered again."""
    while True:
        config = await read_config(caller, daemon)
        since_ms = (anyio.current_time() - cleared_s) * 1000
        has_answered = (config["service_answered_ms_ago"] or 10**9) < since_ms
        if config["version"] == revision and has_answered:
            return
        await anyio.sleep(0.1)


if __name__ == "__main__":
    unittest.main()
