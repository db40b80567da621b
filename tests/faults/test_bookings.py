"""Guards against bookings that run twice, or run and are reported as not run.

A service drops the connection before or after a run, or the entry, the home or the
issuer of the ticket is killed during it. Each booking is then resent to every daemon
while the killed one is down, after its restart and once it accepts new keys.
"""

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

KILLED_SEAT = "gulf-1"
TICKET = "ticket"
HOME_IS_NEW = "idempotency.home_is_new"
KEYS_TIMEOUT_S = 60
RUN_TIMEOUT_S = 30
RUN_MS = 6000
DEADLINE_MS = 15_000
CALLER_TIMEOUT_S = 40
# The fault, the entry, the home (or a ticket of gulf-1) and the expected runs.
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
    """One booking and the reply to its latest send."""

    fault: str | None
    entry: str
    home: str
    runs: int
    key: str
    body: str = field(default_factory=lambda: str(uuid7()))
    reply: PlainResult | None = None


class BookingTests(unittest.TestCase):
    def test_no_booking_runs_twice_or_is_reported_as_not_run_after_it_ran(self):
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
                await self.wait_keys_accepted()
                bookings = [await self.make_booking(*case) for case in CASES]
                for booking in bookings:
                    if booking.fault != "kill":
                        await self.send_with_dropped_connection(booking)
                await self.kill_while_running(
                    [booking for booking in bookings if booking.fault == "kill"]
                )
                await self.resend(bookings, "down", "delta-1")
                await fleet.restart(KILLED_SEAT)
                await self.resend(bookings, "restarted", *fleet.daemons)
                await self.wait_keys_accepted()
                await self.resend(bookings, "accepts new keys", *fleet.daemons)
                # Its home learns of the entry's new process before the deadline.
                last = [await self.make_booking("kill", KILLED_SEAT, "delta-1", 1)]
                await self.kill_while_running(last)
                await fleet.restart(KILLED_SEAT)
                await self.resend(last, "restarted", *fleet.daemons)

        anyio.run(scenario)

    async def make_booking(
        self, fault: str | None, entry: str, home: str, runs: int
    ) -> Booking:
        if home != TICKET:
            return Booking(fault, entry, home, runs, make_key(self.mapping, home))
        address = self.fleet.daemons[KILLED_SEAT].callers_address
        issued = await self.caller.request("POST", address, "/v1/tickets")
        return Booking(fault, entry, home, runs, issued.value["ticket"])

    async def wait_keys_accepted(self) -> None:
        """Wait until every home accepts new keys from every entry."""
        for entry in self.fleet.daemons:
            for home in self.fleet.daemons:
                await self.wait_key_accepted(entry, home)

    async def wait_key_accepted(self, entry: str, home: str) -> None:
        """Wait until a home accepts a new key from an entry."""
        with anyio.fail_after(KEYS_TIMEOUT_S):
            while True:
                key = make_key(self.mapping, home)
                reply = await self.book(entry, str(uuid7()), key)
                if reply is not None and reply.status == 201:
                    return
                await anyio.sleep(0.2)

    async def send_with_dropped_connection(self, booking: Booking) -> None:
        """Make the service drop the connection, and send twice to the entry."""
        with self.subTest(booking):
            # A service that failed several times is excluded for a while.
            await self.wait_key_accepted(booking.entry, KILLED_SEAT)
            if booking.fault is not None:
                service = f"{booking.entry.removesuffix('-1')}-service-1"
                await self.fleet.set_upstream_faults(service, drop_next=booking.fault)
            for _ in range(2):
                await self.send(booking, booking.entry)
                await self.check_reply(booking)
                if booking.fault is None:
                    self.assertEqual(booking.reply.status, 201)

    async def kill_while_running(self, bookings: list[Booking]) -> None:
        """Kill gulf-1 while all of these run; other entries must still reply."""
        await self.wait_keys_accepted()
        await self.set_slow_ms(RUN_MS)
        async with anyio.create_task_group() as tasks:
            for booking in bookings:
                tasks.start_soon(self.send, booking, booking.entry)
            with anyio.fail_after(RUN_TIMEOUT_S):
                for booking in bookings:
                    await self.wait_running(booking)
            self.assertFalse([booking.reply for booking in bookings if booking.reply])
            self.fleet.kill(KILLED_SEAT)
        await self.set_slow_ms(0)
        for booking in bookings:
            with self.subTest(booking, state="killed"):
                reply = booking.reply
                if booking.entry == KILLED_SEAT:
                    self.assertIsNone(reply)
                elif booking.home == KILLED_SEAT:
                    self.assertEqual(reply.status, 201, reply)
                else:
                    self.assertFalse(reply.value["not_run"], reply)

    async def wait_running(self, booking: Booking) -> None:
        while True:
            if await self.count_runs(booking):
                return
            await anyio.sleep(0.02)

    async def send(self, booking: Booking, entry: str) -> None:
        booking.reply = await self.book(entry, booking.body, booking.key)

    async def set_slow_ms(self, slow_ms: int) -> None:
        for name, upstream in self.fleet.upstreams.items():
            if not upstream.is_model:
                await self.fleet.set_upstream_faults(name, slow_ms=slow_ms)

    async def resend(self, bookings: list[Booking], state: str, *entries: str) -> None:
        """Resend each booking; a restarted home must report that it is new."""
        for entry in entries:
            async with anyio.create_task_group() as tasks:
                for booking in bookings:
                    tasks.start_soon(self.send, booking, entry)
            for booking in bookings:
                with self.subTest(booking, resent_to=entry, state=state):
                    await self.check_reply(booking)
                    self.assertIsNotNone(booking.reply)
                    if state != "down" and booking.home == KILLED_SEAT:
                        self.assertEqual(booking.reply.code, HOME_IS_NEW)

    async def check_reply(self, booking: Booking) -> None:
        """Compare the last reply with the runs that the services recorded."""
        self.assertEqual(await self.count_runs(booking), booking.runs)
        if booking.reply is None:
            return
        if booking.reply.status == 201:
            self.assertEqual(booking.runs, 1)
        else:
            # Each was sent to a service once, so none may be reported as not run.
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

    async def count_runs(self, booking: Booking) -> int:
        """Return how often the booking ran, as recorded by the services."""
        digest = hashlib.sha256(booking.body.encode()).hexdigest()
        return sum(
            [
                (await self.fleet.list_runs(name))["by_body"].get(digest, 0)
                for name, upstream in self.fleet.upstreams.items()
                if not upstream.is_model
            ]
        )


def shorten_deadline(base: dict[str, Any], _: dict[str, Any]) -> None:
    """Let a home soon stop waiting for an entry that died."""
    base["routes"]["desk"]["deadline_ms"] = DEADLINE_MS


def make_key(mapping: Mapping, home: str) -> str:
    """Return a new key whose home is the given seat."""
    while True:
        key = str(uuid7())
        if find_home(mapping, Scope("acme", key), "desk") == home:
            return key
