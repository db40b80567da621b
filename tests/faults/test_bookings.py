import hashlib
import unittest

import anyio
import httpcore
from uuid6 import uuid7

from standins.callers import Caller, PlainResult
from standins.fleet import Fleet, FleetPlan, start_fleet

FAULTS = ("before_run", "after_run", "kill")


class BookingTests(unittest.TestCase):
    def test_no_booking_runs_twice_and_none_that_ran_is_denied(self):
        async def scenario():
            async with (
                start_fleet(FleetPlan(seats=1)) as fleet,
                Caller(fleet.keys["acme"], timeout_s=20) as caller,
            ):
                await self.wait_known(fleet, caller)
                for fault in FAULTS:
                    for is_ticket in (False, True):
                        with self.subTest(fault, is_ticket=is_ticket):
                            await self.try_fault(fleet, caller, fault, is_ticket)

        anyio.run(scenario)

    async def wait_known(self, fleet: Fleet, caller: Caller) -> None:
        """Wait until every daemon takes a new key."""
        for daemon in fleet.daemons.values():
            with anyio.fail_after(60):
                while True:
                    key = str(uuid7())
                    reply = await self.book(caller, daemon.callers_address, "a", key)
                    if reply is not None and reply.status == 201:
                        break
                    await anyio.sleep(0.5)

    async def book(
        self, caller: Caller, address: str, body: str, key: str
    ) -> PlainResult | None:
        """Return the answer, or None when the connection broke."""
        try:
            return await caller.book(
                address, "/desk/book", body.encode(), idempotency_key=key
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            return None

    async def try_fault(
        self, fleet: Fleet, caller: Caller, fault: str, is_ticket: bool
    ) -> None:
        gulf, delta = fleet.daemons["gulf-1"], fleet.daemons["delta-1"]
        body = f"{fault} {is_ticket} {uuid7()}"
        key = str(uuid7())
        if is_ticket:
            issued = await caller.request("POST", gulf.callers_address, "/v1/tickets")
            key = issued.value["ticket"]
        if fault == "kill":
            await fleet.set_upstream_faults("gulf-service-1", slow_ms=3000)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.book, caller, gulf.callers_address, body, key)
                with anyio.fail_after(30):
                    while True:
                        if await self.count(fleet, body):
                            break
                        await anyio.sleep(0.02)
                fleet.kill("gulf-1")
            await fleet.set_upstream_faults("gulf-service-1", slow_ms=0)
        else:
            await fleet.set_upstream_faults("gulf-service-1", drop_next=fault)
            await self.book_checked(fleet, caller, gulf.callers_address, body, key)
            await self.book_checked(fleet, caller, gulf.callers_address, body, key)
        await self.book_checked(fleet, caller, delta.callers_address, body, key)
        await fleet.restart("gulf-1")
        for address in (gulf.callers_address, delta.callers_address):
            await self.book_checked(fleet, caller, address, body, key)

    async def book_checked(
        self, fleet: Fleet, caller: Caller, address: str, body: str, key: str
    ) -> None:
        """Resend, and hold the answer against the services' own record."""
        reply = await self.book(caller, address, body, key)
        runs = await self.count(fleet, body)
        self.assertLessEqual(runs, 1, reply)
        if reply is None:
            return
        if reply.status == 201:
            self.assertEqual(runs, 1, reply)
        elif reply.value.get("not_run"):
            self.assertEqual(runs, 0, reply)

    async def count(self, fleet: Fleet, body: str) -> int:
        """Return how often a body ran by the services' own record."""
        digest = hashlib.sha256(body.encode()).hexdigest()
        return sum(
            [
                (await fleet.list_runs(name))["by_body"].get(digest, 0)
                for name, one in fleet.upstreams.items()
                if not one.is_model
            ]
        )
