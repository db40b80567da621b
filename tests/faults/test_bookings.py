import hashlib
import unittest
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpcore
from uuid6 import uuid7

from banyanseam.config.compile import compile_config
from banyanseam.idempotency.mapping import Mapping, find_home, make_mapping
from banyanseam.idempotency.models import Scope
from standins.callers import Caller, PlainResult
from standins.fleet import FleetPlan, start_fleet

KILLED = "gulf-1"
TICKET = "ticket"
HOME_IS_NEW = "idempotency.home_is_new"
KNOWN_TIMEOUT_S = 60
RUN_TIMEOUT_S = 30
RUN_MS = 6000
DEADLINE_MS = 15_000
CALLER_TIMEOUT_S = 40
# What goes wrong, the entry, the home (or a ticket of gulf-1) and how often it runs.
CASES = (
    ("before_run", "gulf-1", "gulf-1", 0),
    ("before_run", "gulf-1", "delta-1", 0),
    ("before_run", "gulf-1", TICKET, 0),
    ("after_run", "gulf-1", "gulf-1", 1),
    ("after_run", "gulf-1", "delta-1", 1),
    ("after_run", "gulf-1", TICKET, 1),
    (None, "gulf-1", "gulf-1", 1),
    (None, "delta-1", "gulf-1", 1),
    (None, "gulf-1", TICKET, 1),
    ("kill", "gulf-1", "gulf-1", 1),
    ("kill", "gulf-1", "delta-1", 1),
    ("kill", "delta-1", "gulf-1", 1),
    ("kill", "gulf-1", TICKET, 1),
    ("kill", "delta-1", TICKET, 1),
)


@dataclass
class Booking:
    """One booking and what its last send was told."""

    fault: str | None
    entry: str
    home: str
    runs: int
    key: str
    body: str = field(default_factory=lambda: str(uuid7()))
    reply: PlainResult | None = None


class BookingTests(unittest.TestCase):
    def test_no_booking_runs_twice_and_none_that_ran_is_denied(self):
        async def scenario():
            async with (
                start_fleet(
                    FleetPlan(seats=1, edit_documents=shorten_deadline)
                ) as self.fleet,
                Caller(self.fleet.keys["acme"], CALLER_TIMEOUT_S) as self.caller,
            ):
                fleet = self.fleet
                config = compile_config(1, fleet.base, fleet.overlays)
                self.mapping = make_mapping(config)
                await self.wait_known()
                bookings = [await self.make_booking(*case) for case in CASES]
                for booking in bookings:
                    if booking.fault != "kill":
                        await self.try_drop(booking)
                await self.kill_while_running(
                    [booking for booking in bookings if booking.fault == "kill"]
                )
                await self.resend(bookings, "down", "delta-1")
                await fleet.restart(KILLED)
                await self.resend(bookings, "restarted", *fleet.daemons)
                await self.wait_known()
                await self.resend(bookings, "knows new keys", *fleet.daemons)
                # Its home hears of the entry's next process before its deadline.
                last = [await self.make_booking("kill", KILLED, "delta-1", 1)]
                await self.kill_while_running(last)
                await fleet.restart(KILLED)
                await self.resend(last, "restarted", *fleet.daemons)

        anyio.run(scenario)

    async def make_booking(
        self, fault: str | None, entry: str, home: str, runs: int
    ) -> Booking:
        if home != TICKET:
            return Booking(fault, entry, home, runs, make_key(self.mapping, home))
        address = self.fleet.daemons[KILLED].callers_address
        issued = await self.caller.request("POST", address, "/v1/tickets")
        return Booking(fault, entry, home, runs, issued.value["ticket"])

    async def wait_known(self) -> None:
        """Wait until every home takes a new key at every entry."""
        for entry in self.fleet.daemons:
            for home in self.fleet.daemons:
                await self.wait_until_accepted(entry, home)

    async def wait_until_accepted(self, entry: str, home: str) -> None:
        """Wait until an entry accepts a new key of a home."""
        with anyio.fail_after(KNOWN_TIMEOUT_S):
            while True:
                key = make_key(self.mapping, home)
                reply = await self.book(entry, str(uuid7()), key)
                if reply is not None and reply.status == 201:
                    return
                await anyio.sleep(0.2)

    async def try_drop(self, booking: Booking) -> None:
        """Let the service lose the connection, and send twice at the entry."""
        with self.subTest(booking):
            # A service that failed several times is left out for a while.
            await self.wait_until_accepted(booking.entry, KILLED)
            if booking.fault is not None:
                service = f"{booking.entry.removesuffix('-1')}-service-1"
                await self.fleet.set_upstream_faults(service, drop_next=booking.fault)
            for _ in range(2):
                await self.send(booking, booking.entry)
                await self.check(booking)
                if booking.fault is None:
                    self.assertEqual(booking.reply.status, 201)

    async def kill_while_running(self, bookings: list[Booking]) -> None:
        """Kill gulf-1 while all of these run; those of others end whole."""
        await self.wait_known()
        await self.set_slow_ms(RUN_MS)
        async with anyio.create_task_group() as tasks:
            for booking in bookings:
                tasks.start_soon(self.send, booking, booking.entry)
            with anyio.fail_after(RUN_TIMEOUT_S):
                for booking in bookings:
                    await self.wait_running(booking)
            self.assertFalse([one.reply for one in bookings if one.reply])
            self.fleet.kill(KILLED)
        await self.set_slow_ms(0)
        for booking in bookings:
            with self.subTest(booking, state="killed"):
                reply = booking.reply
                if booking.entry == KILLED:
                    self.assertIsNone(reply)
                elif booking.home == KILLED:
                    self.assertEqual(reply.status, 201, reply)
                else:
                    self.assertFalse(reply.value["not_run"], reply)

    async def wait_running(self, booking: Booking) -> None:
        while True:
            if await self.count(booking):
                return
            await anyio.sleep(0.02)

    async def send(self, booking: Booking, entry: str) -> None:
        booking.reply = await self.book(entry, booking.body, booking.key)

    async def set_slow_ms(self, slow_ms: int) -> None:
        for name, one in self.fleet.upstreams.items():
            if not one.is_model:
                await self.fleet.set_upstream_faults(name, slow_ms=slow_ms)

    async def resend(self, bookings: list[Booking], state: str, *entries: str) -> None:
        """Send each booking again; a home that lost its memory must say so."""
        for entry in entries:
            async with anyio.create_task_group() as tasks:
                for booking in bookings:
                    tasks.start_soon(self.send, booking, entry)
            for booking in bookings:
                with self.subTest(booking, resent_to=entry, state=state):
                    await self.check(booking)
                    self.assertIsNotNone(booking.reply)
                    if state != "down" and booking.home == KILLED:
                        self.assertEqual(booking.reply.code, HOME_IS_NEW)

    async def check(self, booking: Booking) -> None:
        """Hold the last answer against the services' own record."""
        self.assertEqual(await self.count(booking), booking.runs)
        if booking.reply is None:
            return
        if booking.reply.status == 201:
            self.assertEqual(booking.runs, 1)
        else:
            # Each was sent to a service once, so none may be called not run.
            self.assertFalse(booking.reply.value["not_run"])

    async def book(self, entry: str, body: str, key: str) -> PlainResult | None:
        """Return the answer, or None when the connection broke."""
        address = self.fleet.daemons[entry].callers_address
        try:
            return await self.caller.book(
                address, "/desk/book", body.encode(), idempotency_key=key
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            return None

    async def count(self, booking: Booking) -> int:
        """Return how often a booking ran by the services' own record."""
        digest = hashlib.sha256(booking.body.encode()).hexdigest()
        return sum(
            [
                (await self.fleet.list_runs(name))["by_body"].get(digest, 0)
                for name, one in self.fleet.upstreams.items()
                if not one.is_model
            ]
        )


def shorten_deadline(base: dict[str, Any], _: dict[str, Any]) -> None:
    """Let a home give up soon on an entry that died."""
    base["routes"]["desk"]["deadline_ms"] = DEADLINE_MS


def make_key(mapping: Mapping, home: str) -> str:
    """Return a new key whose home is this seat."""
    while True:
        key = str(uuid7())
        if find_home(mapping, Scope("acme", key), "desk") == home:
            return key
