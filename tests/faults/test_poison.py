"""Guards against one request that crashes engine after engine when it is resent.

A caller resends a request that kills each engine that runs it, to every daemon.
"""

import unittest
from collections.abc import Awaitable, Callable

import anyio

from standins.callers import Caller
from standins.fleet import Fleet, FleetPlan, OrganisationPlan, start_fleet

CRASH_EXIT_CODE = 70
ROUNDS = 3
PLAN = FleetPlan(
    seats=2,
    engines=2,
    organisations={"acme": OrganisationPlan(), "other": OrganisationPlan()},
)


class PoisonTests(unittest.TestCase):
    def run_poisoned(self, check: Callable[[Fleet, list[str]], Awaitable[None]]):
        async def scenario():
            async with start_fleet(PLAN) as fleet:
                await check(fleet, await self.send_poison(fleet))

        anyio.run(scenario)

    async def send_poison(self, fleet: Fleet) -> list[str]:
        """Resend one poison request to every daemon; return the engines that died."""
        async with Caller(fleet.keys["acme"]) as caller:
            for _ in range(ROUNDS):
                for daemon in fleet.daemons.values():
                    answer = await caller.chat(daemon.callers_address, "a CRASH")
                    self.assertFalse(answer.is_whole, answer)
                    self.assertTrue(answer.broken or answer.problem, answer)
        upstreams = fleet.upstreams
        return [
            name
            for name, upstream in upstreams.items()
            if not upstream.child.is_running
        ]

    def test_a_resent_poison_request_kills_at_most_two_engines(self):
        async def check(fleet: Fleet, dead: list[str]) -> None:
            self.assertGreaterEqual(len(dead), 1)
            self.assertLessEqual(len(dead), 2, dead)
            for name in dead:
                status = fleet.upstreams[name].child.popen.returncode
                self.assertEqual(status, CRASH_EXIT_CODE)

        self.run_poisoned(check)

    def test_chats_of_others_complete_after_poison(self):
        async def check(fleet: Fleet, dead: list[str]) -> None:
            async with Caller(fleet.keys["other"]) as bystander:
                for seat, daemon in fleet.daemons.items():
                    answer = await bystander.chat(daemon.callers_address)
                    self.assertTrue(answer.is_whole, (seat, dead, answer))

        self.run_poisoned(check)
