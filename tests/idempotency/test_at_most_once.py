import unittest

import anyio

from banyanseam.idempotency.const import (
    CLAIM_TIMEOUT_S,
    COVERAGE_MARGIN_S,
    MAX_ANSWER_HEADERS,
    RETENTION_S,
    TICKET_LIFE_S,
)
from banyanseam.idempotency.errors import (
    AnswerNotKept,
    GrantTooLate,
    HomeIsNew,
    HomeUnreachable,
    IssuerGone,
    KeyFreed,
    KeyMalformed,
    KeyRegionExcluded,
    KeyReused,
    KeyStampedInFuture,
    KeyTooOld,
    OutcomeUnknown,
    TicketExpired,
)
from banyanseam.idempotency.mapping import make_mapping
from banyanseam.idempotency.models import State, Verdict
from banyanseam.pipe.idempotency import read_key, run_claimed
from banyanseam.upstreams.errors import UpstreamUnreachable
from tests.common import make_exchange, run_with_mock_clock
from tests.idempotency.fleet import (
    Fleet,
    Sink,
    fail_after,
    fail_before,
    make_clinic_config,
    make_key,
)

SETTLED_S = 100.0


def with_fleet(test):
    """Run an async test with a settled fleet, and check its guarantees afterwards."""

    def run(self):
        async def body():
            async with anyio.create_task_group() as tasks:
                fleet = Fleet(tasks)
                await fleet.start(*fleet.config.seats)
                await anyio.sleep(SETTLED_S)
                await test(self, fleet)
                await anyio.sleep(SETTLED_S)
                self.check(fleet)
                tasks.cancel_scope.cancel()

        run_with_mock_clock(body)

    run.__name__ = test.__name__
    return run


class GuaranteeTestCase(unittest.TestCase):
    def check(self, fleet):
        self.assertLessEqual(max(fleet.runs.values(), default=0), 1, fleet.runs)
        self.assertEqual(fleet.violations, [])

    def assert_booked(self, receipt, *, replayed):
        self.assertIsNone(receipt.error)
        self.assertEqual((receipt.sink.status, receipt.sink.body), (201, b"booked"))
        is_replay = (b"idempotent-replayed", b"true") in receipt.sink.headers
        self.assertEqual(is_replay, replayed)


def pick(fleet, home, *, same_region=True):
    """Return a seat other than the home, in the home's region or in another."""
    region = fleet.config.seats[home].region
    return next(
        seat.name
        for seat in fleet.config.seats.values()
        if seat.name != home and (seat.region == region) == same_region
    )


class KeyTests(GuaranteeTestCase):
    @with_fleet
    async def test_a_resend_anywhere_gets_the_first_answer(self, fleet):
        key = make_key(SETTLED_S)
        self.assert_booked(await fleet.ask("gulf-1", key), replayed=False)
        for seat in fleet.config.seats:
            self.assert_booked(await fleet.ask(seat, key), replayed=True)

    @with_fleet
    async def test_two_at_once_run_once_and_get_the_same_answer(self, fleet):
        key = make_key(SETTLED_S)

        async def run_slowly(exchange):
            await anyio.sleep(5)

        fleet.at["sent"] = run_slowly
        first = fleet.send("gulf-1", key)
        await anyio.sleep(0.5)
        self.assert_booked(await fleet.ask("delta-2", key), replayed=True)
        await first.ended.wait()
        self.assert_booked(first, replayed=False)

    @with_fleet
    async def test_another_body_is_an_error(self, fleet):
        key = make_key(SETTLED_S)
        await fleet.ask("gulf-1", key)
        other = await fleet.ask("delta-1", key, b"wednesday")
        self.assertIsInstance(other.error, KeyReused)

    @with_fleet
    async def test_failure_before_the_first_byte_frees_the_key(self, fleet):
        key = make_key(SETTLED_S)
        fleet.at["before"] = fail_before
        first = await fleet.ask("gulf-1", key)
        self.assertTrue(first.says_not_run)
        at_once = await fleet.ask("delta-1", key)
        self.assertIsInstance(at_once.error, KeyFreed)
        await anyio.sleep(at_once.error.retry_after_ms / 1000)
        self.assert_booked(await fleet.ask("delta-1", key), replayed=False)

    @with_fleet
    async def test_not_run_is_not_reported_while_another_receipt_waits(self, fleet):
        key = make_key(SETTLED_S)

        async def fail_slowly(exchange):
            await anyio.sleep(5)
            raise UpstreamUnreachable

        fleet.at["before"] = fail_slowly
        first = fleet.send("gulf-1", key)
        await anyio.sleep(0.5)
        second = await fleet.ask("delta-2", key)
        self.assertIsInstance(first.error, OutcomeUnknown)
        self.assert_booked(second, replayed=False)

    @with_fleet
    async def test_failure_after_the_first_byte_is_never_run_again(self, fleet):
        for number, phase in enumerate(("sent", "started", "answered")):
            with self.subTest(phase=phase):
                key = make_key(SETTLED_S, number)
                fleet.at[phase] = fail_after
                await fleet.ask("gulf-1", key)
                for seat in ("gulf-1", "gulf-2", "delta-1"):
                    receipt = await fleet.ask(seat, key)
                    self.assertIsInstance(receipt.error, OutcomeUnknown)

    @with_fleet
    async def test_the_entry_or_the_home_dies_at_any_point(self, fleet):
        """Kill the entry or the home in each phase of a run, then resend to all seats.

        The resends reach the same seat, another, a restarted one and other regions.
        """
        number = 0
        for phase in ("before", "sent", "started", "answered"):
            for victim in ("entry", "home", "both"):
                for restarts in (False, True):
                    number += 1
                    key = make_key(anyio.current_time(), number)
                    home = fleet.home_of(key)
                    entry = pick(fleet, home, same_region=number % 2)
                    killed = {"entry": [entry], "home": [home]}.get(
                        victim, [entry, home]
                    )

                    async def kill_seats(exchange, killed=killed):
                        for seat in killed:
                            fleet.kill(seat)

                    with self.subTest(phase=phase, victim=victim, restarts=restarts):
                        fleet.at[phase] = kill_seats
                        fleet.send(entry, key)
                        await anyio.sleep(1)
                        await fleet.start(*(killed if restarts else ()))
                        for seat in list(fleet.entries):
                            receipt = await fleet.ask(seat, key)
                            is_answered = (
                                receipt.error or receipt.sink.body == b"booked"
                            )
                            self.assertTrue(is_answered)
                        self.check(fleet)
                    await fleet.start(*(set(fleet.config.seats) - set(fleet.entries)))
                    await anyio.sleep(COVERAGE_MARGIN_S + 1)

    @with_fleet
    async def test_lost_messages_cost_no_second_run(self, fleet):
        fleet.fabric.loss = 0.3
        for number in range(40):
            key = make_key(anyio.current_time(), number)
            for seat in ("gulf-1", "delta-1", "gulf-1"):
                await fleet.ask(seat, key)
        self.assertGreater(sum(fleet.runs.values()), 30)

    @with_fleet
    async def test_the_deadline_of_a_waiting_receipt_claims_nothing(self, fleet):
        key = make_key(SETTLED_S)

        async def hang(exchange):
            exchange.upstream_started = True
            await anyio.sleep_forever()

        fleet.at["before"] = hang
        first = fleet.send("gulf-1", key)
        await anyio.sleep(0.5)
        second = await fleet.ask("gulf-2", key, b"tuesday", 10.0)
        self.assertFalse(second.says_not_run)
        await first.ended.wait()

    @with_fleet
    async def test_a_grant_with_a_lost_reply_is_released(self, fleet):
        key = make_key(SETTLED_S)
        entry = pick(fleet, fleet.home_of(key))
        fleet.fabric.delay_s = CLAIM_TIMEOUT_S + 0.5
        receipt = await fleet.ask(entry, key)
        self.assertIsInstance(receipt.error, HomeUnreachable)
        fleet.fabric.delay_s = 0.001
        await anyio.sleep(5 * CLAIM_TIMEOUT_S)
        self.assert_booked(await fleet.ask(entry, key), replayed=False)

    @with_fleet
    async def test_an_outcome_is_reported_until_the_home_replies(self, fleet):
        key = make_key(SETTLED_S)
        home = fleet.home_of(key)
        entry = pick(fleet, home)

        async def partition_link(exchange):
            fleet.fabric.partitions = {frozenset((entry, home))}

        fleet.at["answered"] = partition_link
        await fleet.ask(entry, key)
        await anyio.sleep(5)
        fleet.fabric.partitions = set()
        await anyio.sleep(1)
        self.assert_booked(await fleet.ask(entry, key), replayed=True)

    @with_fleet
    async def test_waiting_ends_when_the_runner_is_lost(self, fleet):
        key = make_key(SETTLED_S)
        home = fleet.home_of(key)
        entry = pick(fleet, home)

        async def hang(exchange):
            await anyio.sleep_forever()

        fleet.at["sent"] = hang
        fleet.send(entry, key)
        await anyio.sleep(1)
        second = fleet.send(home, key)
        await anyio.sleep(1)
        fleet.kill(entry)
        await anyio.sleep(0.01)
        self.assertIsInstance(second.error, OutcomeUnknown)

    @with_fleet
    async def test_a_new_home_takes_only_keys_made_since(self, fleet):
        key = make_key(SETTLED_S)
        home = fleet.home_of(key)
        entry = pick(fleet, home)
        await fleet.ask(entry, key)
        await fleet.restart(home)
        self.assertIsInstance((await fleet.ask(entry, key)).error, HomeIsNew)
        await anyio.sleep(2 * COVERAGE_MARGIN_S)
        self.assertIsInstance((await fleet.ask(entry, key)).error, HomeIsNew)
        fresh = fleet.make_key_at(home)
        self.assert_booked(await fleet.ask(entry, fresh), replayed=False)

    @with_fleet
    async def test_a_resumed_home_accepts_no_older_key(self, fleet):
        key = make_key(SETTLED_S)
        home = fleet.home_of(key)
        known = fleet.make_key_at(home)
        await fleet.ask("gulf-1", known)
        fleet.entries[home].homes.reset_after_suspension()
        entry = pick(fleet, home)
        self.assertIsInstance((await fleet.ask(entry, key)).error, HomeIsNew)
        self.assert_booked(await fleet.ask(entry, known), replayed=True)

    @with_fleet
    async def test_unstamped_keys_wait_out_the_retention(self, fleet):
        receipt = await fleet.ask("gulf-1", "order 7")
        self.assertIsInstance(receipt.error, HomeIsNew)
        self.assertFalse(receipt.says_not_run)
        await anyio.sleep(RETENTION_S)
        receipt = await fleet.ask("gulf-1", "order 7")
        self.assert_booked(receipt, replayed=False)

    @with_fleet
    async def test_stamps_outside_the_window_are_refused(self, fleet):
        await anyio.sleep(2 * RETENTION_S)
        now_s = anyio.current_time()
        for age_s, kind in ((RETENTION_S + 1, KeyTooOld), (-10, KeyStampedInFuture)):
            with self.subTest(age_s=age_s):
                receipt = await fleet.ask("gulf-1", make_key(now_s - age_s))
                self.assertIsInstance(receipt.error, kind)

    @with_fleet
    async def test_a_partitioned_region_accepts_keys_that_name_it(self, fleet):
        fleet.partition("delta")
        regional = "delta:" + make_key(SETTLED_S)
        self.assert_booked(await fleet.ask("delta-1", regional), replayed=False)
        outside = await fleet.ask("gulf-1", regional)
        self.assertIsInstance(outside.error, HomeUnreachable)
        self.assertFalse(outside.says_not_run)
        fleet.fabric.partitions = set()
        self.assert_booked(await fleet.ask("gulf-1", regional), replayed=True)

    @with_fleet
    async def test_a_key_with_an_unreachable_home_runs_nowhere_else(self, fleet):
        fleet.partition("delta")
        key = fleet.make_key_at("gulf")
        receipt = await fleet.ask("delta-1", key)
        self.assertIsInstance(receipt.error, HomeUnreachable)
        self.assertFalse(receipt.says_not_run)
        self.assert_booked(await fleet.ask("piedmont-1", key), replayed=False)

    @with_fleet
    async def test_an_answer_with_too_many_headers_is_reported_as_not_stored(
        self, fleet
    ):
        fleet.headers = [(b"a", b"b")] * (MAX_ANSWER_HEADERS + 1)
        for home in ("gulf-1", "gulf-2"):
            key = fleet.make_key_at(home)
            self.assert_booked(await fleet.ask("gulf-1", key), replayed=False)
            await anyio.sleep(1)
            receipt = await fleet.ask("gulf-3", key)
            self.assertIsInstance(receipt.error, AnswerNotKept)

    @with_fleet
    async def test_a_moved_home_runs_no_key_twice(self, fleet):
        """An added seat moves some homes, and daemons adopt the mapping one by one."""
        keys = [make_key(SETTLED_S, number) for number in range(60)]
        for key in keys[:30]:
            await fleet.ask("gulf-1", key)
        old_homes = {key: fleet.home_of(key) for key in keys}
        fleet.config = make_clinic_config(version=2, seats=4)
        await fleet.start(*(set(fleet.config.seats) - set(fleet.entries)))
        moved = [key for key in keys if fleet.home_of(key) != old_homes[key]]
        self.assertGreater(len(moved), 5)
        await fleet.ask("gulf-4", moved[-1])
        for name in ("gulf-1", "delta-1"):
            fleet.entries[name].homes.adopt(make_mapping(fleet.config))
        for key in moved:
            for seat in ("gulf-1", "gulf-2", "delta-1"):
                await fleet.ask(seat, key)

    @with_fleet
    async def test_an_entry_behind_on_versions_runs_nothing_at_the_old_home(
        self, fleet
    ):
        key = "gulf:" + make_key(SETTLED_S + 50)
        old = fleet.home_of(key)
        fleet.config = make_clinic_config(version=2)
        del fleet.config.seats[old]
        behind = pick(fleet, fleet.home_of(key))
        for entry in fleet.entries.values():
            if entry.me.seat != behind:
                entry.homes.adopt(make_mapping(fleet.config))
        await anyio.sleep(50)
        receipt = await fleet.ask(behind, key)
        self.assertIsInstance(receipt.error, HomeUnreachable)
        ahead = pick(fleet, fleet.home_of(key), same_region=False)
        self.assert_booked(await fleet.ask(ahead, key), replayed=False)

    @with_fleet
    async def test_a_moved_home_without_restarts_refuses_older_keys(self, fleet):
        key = "gulf:" + make_key(SETTLED_S)
        self.assert_booked(await fleet.ask("gulf-1", key), replayed=False)
        old = fleet.home_of(key)
        smaller = make_clinic_config(version=2)
        del smaller.seats[old]
        for entry in fleet.entries.values():
            entry.homes.adopt(make_mapping(smaller))
        receipt = await fleet.ask("delta-1", key)
        self.assertIsInstance(receipt.error, HomeIsNew)

    @with_fleet
    async def test_a_clock_set_right_late_does_not_make_old_keys_new(self, fleet):
        key = make_key(SETTLED_S)
        home = fleet.home_of(key)
        await fleet.ask(pick(fleet, home), key)
        right = fleet.entries[home].home._wall_clock
        fleet.kill(home)
        await fleet.start(home)
        new = fleet.entries[home].home
        new._wall_clock = lambda: 0.0
        new._coverage._periods.clear()
        new.adopt(make_mapping(fleet.config))
        new._wall_clock = right
        receipt = await fleet.ask(pick(fleet, home), key)
        self.assertIsInstance(receipt.error, HomeIsNew)


class TicketTests(GuaranteeTestCase):
    @with_fleet
    async def test_only_the_issuer_runs_a_ticket(self, fleet):
        ticket = fleet.entries["gulf-1"].ticket_issuer.issue(
            "acme", anyio.current_time()
        )
        fleet.partition("delta")
        partitioned = await fleet.ask("delta-1", ticket)
        self.assertIsInstance(partitioned.error, IssuerGone)
        self.assertFalse(partitioned.says_not_run)
        self.assert_booked(await fleet.ask("gulf-2", ticket), replayed=False)
        self.assert_booked(await fleet.ask("gulf-1", ticket), replayed=True)
        fleet.fabric.partitions = set()
        self.assert_booked(await fleet.ask("delta-1", ticket), replayed=True)

    @with_fleet
    async def test_a_restarted_issuer_runs_no_older_ticket(self, fleet):
        ticket = fleet.entries["gulf-1"].ticket_issuer.issue(
            "acme", anyio.current_time()
        )
        await fleet.ask("gulf-1", ticket)
        await fleet.restart("gulf-1")
        for seat in ("gulf-1", "gulf-2", "delta-1"):
            with self.subTest(seat=seat):
                receipt = await fleet.ask(seat, ticket)
                self.assertIsInstance(receipt.error, IssuerGone)

    @with_fleet
    async def test_an_expired_ticket_is_not_run_only_while_its_records_exist(
        self, fleet
    ):
        ticket_issuer = fleet.entries["gulf-1"].ticket_issuer
        used = ticket_issuer.issue("acme", anyio.current_time())
        unused = ticket_issuer.issue("acme", anyio.current_time())
        await fleet.ask("gulf-1", used)
        await anyio.sleep(TICKET_LIFE_S)
        self.assert_booked(await fleet.ask("gulf-2", used), replayed=True)
        receipt = await fleet.ask("gulf-2", unused)
        self.assertIsInstance(receipt.error, TicketExpired)
        self.assertTrue(receipt.says_not_run)
        await anyio.sleep(RETENTION_S - TICKET_LIFE_S + 50)
        self.assertFalse((await fleet.ask("gulf-1", used)).says_not_run)
        await anyio.sleep(2 * RETENTION_S)
        for ticket in (used, unused):
            receipt = await fleet.ask("gulf-1", ticket)
            self.assertFalse(receipt.says_not_run)

    @with_fleet
    async def test_a_region_rule_binds_tickets_and_regional_keys(self, fleet):
        ticket = fleet.entries["gulf-1"].ticket_issuer.issue(
            "acme", anyio.current_time()
        )
        organisation = fleet.config.organisations["acme"]
        object.__setattr__(organisation, "regions", frozenset({"delta"}))
        for entry in fleet.entries.values():
            entry.homes.adopt(make_mapping(fleet.config))
        regional = await fleet.ask("delta-1", "gulf:" + make_key(SETTLED_S))
        self.assertIsInstance(regional.error, KeyRegionExcluded)
        forwarded = await fleet.ask("delta-1", ticket)
        self.assertIsInstance(forwarded.error, KeyRegionExcluded)


class GrantTests(unittest.TestCase):
    def test_a_grant_after_the_deadline_is_released(self):
        released = []

        class LateClient:
            async def acquire(self, keyed):
                with anyio.CancelScope(shield=True):
                    await anyio.sleep(60)
                return Verdict(State.RUNNING, granted=True)

            async def release(self, keyed):
                released.append(keyed)
                return True

        async def upstream(exchange):
            self.fail("the request ran")

        async def body():
            route = make_clinic_config().routes["clinic"]
            exchange = make_exchange(Sink(), route=route, deadline_s=30.0)
            with self.assertRaises(GrantTooLate):
                await run_claimed(exchange, upstream, LateClient(), "key")

        run_with_mock_clock(body)
        self.assertEqual(len(released), 1)

    def test_keys_are_checked(self):
        for value, key in (
            (b"order 7", "order 7"),
            (b'"order 7"', "order 7"),
            (b"", None),
            (b"x" * 256, None),
            (b"\xff", None),
            (b"a\x01", None),
        ):
            headers = [(b"idempotency-key", value)]
            exchange = make_exchange(headers=headers)
            with self.subTest(value=value):
                if key is None:
                    self.assertRaises(KeyMalformed, read_key, exchange)
                else:
                    self.assertEqual(read_key(exchange), key)
