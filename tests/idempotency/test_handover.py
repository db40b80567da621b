import anyio

from banyanseam.idempotency.const import MAX_ISSUERS, STANDBY_TERM_S, TICKET_LIFE_S
from banyanseam.idempotency.errors import (
    HomeIsNew,
    HomeUnreachable,
    IssuerGone,
    TicketExpired,
)
from banyanseam.idempotency.handover_messages import OfferKeys
from banyanseam.idempotency.mapping import make_mapping
from banyanseam.idempotency.standbys import digest, list_standbys
from banyanseam.peers.errors import PeerCallLost
from tests.idempotency.fleet import make_clinic_config, make_key
from tests.idempotency.test_at_most_once import GuaranteeTestCase, with_fleet

HOME = "gulf-1"


def make_key_now(fleet):
    """Return a key stamped now whose home is HOME."""
    return fleet.make_key_at(HOME)


def next_key(fleet, number):
    """Return a key stamped now whose home is HOME, another one for each number."""
    stamp_s = anyio.current_time()
    keys = (make_key(stamp_s, 5000 + one) for one in range(3000))
    return [key for key in keys if fleet.home_of(key) == HOME][number]


def list_acting(fleet):
    """Return which seats act for HOME."""
    return [
        seat for seat, entry in fleet.entries.items() if HOME in entry.homes.acting_for
    ]


def partition_links(fleet, *pairs):
    """Cut the connection between the two seats of each pair."""
    fleet.fabric.partitions |= {frozenset(pair) for pair in pairs}


class HandoverTests(GuaranteeTestCase):
    @with_fleet
    async def test_a_planned_stop_refuses_no_key_and_forgets_none(self, fleet):
        before = make_key_now(fleet)
        self.assert_booked(await fleet.ask("gulf-2", before), replayed=False)
        await fleet.stop(HOME)
        self.assertEqual(len(list_acting(fleet)), 1)
        during = next_key(fleet, 1)
        for seat in ("gulf-2", "gulf-3", "delta-1"):
            self.assert_booked(await fleet.ask(seat, before), replayed=True)
            is_first = seat == "gulf-2"
            receipt = await fleet.ask(seat, during)
            self.assert_booked(receipt, replayed=not is_first)
        await fleet.start(HOME)
        await anyio.sleep(0.5)
        self.assertEqual(list_acting(fleet), [])
        after = next_key(fleet, 2)
        for seat in (HOME, "gulf-3", "delta-1"):
            for key in (before, during):
                self.assert_booked(await fleet.ask(seat, key), replayed=True)
        self.assert_booked(await fleet.ask("delta-1", after), replayed=False)

    @with_fleet
    async def test_each_home_of_a_rolling_restart_accepts_keys_at_once(self, fleet):
        for number, seat in enumerate(sorted(fleet.entries)):
            await fleet.stop(seat)
            await fleet.start(seat)
            key = f"{seat.partition('-')[0]}:{make_key(anyio.current_time(), number)}"
            self.assert_booked(await fleet.ask("delta-2", key), replayed=False)

    @with_fleet
    async def test_a_run_that_outlives_its_home_is_reported_to_the_standby(self, fleet):
        key = make_key_now(fleet)

        async def stop_home(exchange):
            await fleet.stop(HOME)

        for phase in ("sent", "answered"):
            with self.subTest(phase=phase):
                key = next_key(fleet, len(phase))
                fleet.at[phase] = stop_home
                self.assert_booked(await fleet.ask("gulf-2", key), replayed=False)
                await anyio.sleep(1)
                self.assert_booked(await fleet.ask("delta-1", key), replayed=True)
                await fleet.start(HOME)
                await anyio.sleep(1)
                self.assert_booked(await fleet.ask("delta-2", key), replayed=True)

    @with_fleet
    async def test_a_killed_home_has_no_standby_and_its_successor_is_new(self, fleet):
        fleet.kill(HOME)
        self.assertEqual(list_acting(fleet), [])
        receipt = await fleet.ask("gulf-2", make_key_now(fleet))
        self.assertIsInstance(receipt.error, HomeUnreachable)
        await fleet.start(HOME)
        await anyio.sleep(1)
        receipt = await fleet.ask("gulf-2", make_key_now(fleet))
        self.assertIsInstance(receipt.error, HomeIsNew)
        await anyio.sleep(10)
        receipt = await fleet.ask("gulf-2", make_key_now(fleet))
        self.assert_booked(receipt, replayed=False)

    @with_fleet
    async def test_a_successor_cut_off_from_the_standby_waits_its_term_out(self, fleet):
        await fleet.stop(HOME)
        standby = list_acting(fleet)[0]
        partition_links(fleet, (HOME, standby))
        await fleet.start(HOME)
        other = next(seat for seat in ("gulf-2", "gulf-3") if seat != standby)
        key = make_key_now(fleet)
        self.assert_booked(await fleet.ask(standby, key), replayed=False)
        await anyio.sleep(20)
        for number in range(2, 6):
            # This entry asks the successor, which has no record of the standby's runs.
            partition_links(fleet, (other, standby))
            receipt = await fleet.ask(other, key)
            self.assertIsInstance(receipt.error, HomeIsNew)
            self.assertFalse(receipt.says_not_run)
            receipt = await fleet.ask(other, next_key(fleet, number))
            self.assertIsInstance(receipt.error, HomeIsNew)
        await anyio.sleep(STANDBY_TERM_S)
        receipt = await fleet.ask(other, make_key_now(fleet))
        self.assert_booked(receipt, replayed=False)

    @with_fleet
    async def test_a_second_successor_reruns_no_key_of_the_first(self, fleet):
        """A first successor cannot reach the standby, and a second one can."""
        await fleet.stop(HOME)
        standby = list_acting(fleet)[0]
        partition_links(fleet, (HOME, standby))
        await fleet.start(HOME)
        await anyio.sleep(STANDBY_TERM_S + 20)
        key = make_key_now(fleet)
        self.assert_booked(await fleet.ask("delta-1", key), replayed=False)
        await fleet.restart(HOME)
        fleet.fabric.partitions = set()
        await anyio.sleep(5)
        receipt = await fleet.ask("delta-1", key)
        self.assertIsInstance(receipt.error, HomeIsNew)

    @with_fleet
    async def test_a_lost_answer_makes_no_second_standby(self, fleet):
        network = fleet.entries[HOME].network
        call, offered = network.call, []

        async def lose_answers(seat, message, reply_type, timeout_s):
            reply = await call(seat, message, reply_type, timeout_s)
            if isinstance(message, OfferKeys):
                offered.append(seat)
                partition_links(fleet, (HOME, seat))
                raise PeerCallLost(seat)
            return reply

        network.call = lose_answers
        await fleet.stop(HOME)
        self.assertEqual(len(set(offered)), 1)
        self.assertEqual(len(list_acting(fleet)), 1)

    @with_fleet
    async def test_a_suspended_standby_stops_acting(self, fleet):
        await fleet.stop(HOME)
        standby = list_acting(fleet)[0]
        fleet.entries[standby].homes.reset_after_suspension()
        receipt = await fleet.ask("delta-1", make_key_now(fleet))
        self.assertIsInstance(receipt.error, HomeUnreachable)

    @with_fleet
    async def test_a_standby_acts_for_its_term_only(self, fleet):
        await fleet.stop(HOME)
        await anyio.sleep(STANDBY_TERM_S)
        receipt = await fleet.ask("delta-1", make_key_now(fleet))
        self.assertIsInstance(receipt.error, HomeUnreachable)

    @with_fleet
    async def test_a_stopping_standby_hands_the_keys_over(self, fleet):
        key = make_key_now(fleet)
        self.assert_booked(await fleet.ask("delta-1", key), replayed=False)
        await fleet.stop(HOME)
        await fleet.stop(list_acting(fleet)[0])
        self.assertEqual(len(list_acting(fleet)), 1)
        self.assert_booked(await fleet.ask("delta-1", key), replayed=True)

    @with_fleet
    async def test_offers_that_nobody_may_act_on_are_refused(self, fleet):
        offers = []
        standby = list_standbys(make_mapping(fleet.config), HOME)[0]
        network = fleet.entries[HOME].network
        call = network.call

        async def record_offers(seat, message, reply_type, timeout_s):
            if isinstance(message, OfferKeys):
                offers.append(message.content)
            return await call(seat, message, reply_type, timeout_s)

        network.call = record_offers
        await fleet.stop(HOME)
        page = offers[0]
        homes = fleet.entries[standby].homes
        elsewhere = fleet.entries["delta-1"].homes
        self.assertFalse(elsewhere.add_page(page), "not a standby of this home")
        await fleet.start(HOME)
        await anyio.sleep(1)
        self.assertFalse(homes.add_page(page), "its successor has started")
        late = page.model_copy(update={"stopped_wall_s": 0.0, "incarnation": 99})
        self.assertFalse(homes.add_page(late), "its term is over")

    @with_fleet
    async def test_other_seats_in_the_region_end_the_standby(self, fleet):
        await fleet.stop(HOME)
        standby = list_acting(fleet)[0]
        homes = fleet.entries[standby].homes
        homes.adopt(make_mapping(make_clinic_config(version=2)))
        self.assertEqual(homes.acting_for, [HOME])
        homes.adopt(make_mapping(make_clinic_config(version=3, seats=4)))
        self.assertEqual(homes.acting_for, [])

    @with_fleet
    async def test_tickets_of_a_stopped_issuer_run_once(self, fleet):
        ticket_issuer = fleet.entries[HOME].ticket_issuer
        used = ticket_issuer.issue("acme", anyio.current_time())
        unused = ticket_issuer.issue("acme", anyio.current_time())
        self.assert_booked(await fleet.ask("gulf-2", used), replayed=False)
        meanwhile = ticket_issuer.issue("acme", anyio.current_time())
        await fleet.stop(HOME)
        for seat in (list_acting(fleet)[0], "delta-1", "gulf-2", "gulf-3"):
            self.assert_booked(await fleet.ask(seat, used), replayed=True)
        self.assert_booked(await fleet.ask("delta-1", meanwhile), replayed=False)
        self.assert_booked(await fleet.ask("gulf-2", meanwhile), replayed=True)
        await fleet.start(HOME)
        await anyio.sleep(1)
        for seat in ("gulf-2", HOME):
            self.assert_booked(await fleet.ask(seat, used), replayed=True)
            self.assert_booked(await fleet.ask(seat, meanwhile), replayed=True)
        self.assert_booked(await fleet.ask("delta-1", unused), replayed=False)
        self.assert_booked(await fleet.ask(HOME, unused), replayed=True)
        late = ticket_issuer.issue("acme", anyio.current_time() - TICKET_LIFE_S - 1)
        self.assertIsInstance((await fleet.ask(HOME, late)).error, TicketExpired)

    @with_fleet
    async def test_keys_outlast_any_number_of_planned_stops(self, fleet):
        key = make_key_now(fleet)
        self.assert_booked(await fleet.ask("gulf-2", key), replayed=False)
        ticket = fleet.entries[HOME].ticket_issuer.issue("acme", anyio.current_time())
        self.assert_booked(await fleet.ask("gulf-2", ticket), replayed=False)
        for stops in range(1, 80):
            await fleet.stop(HOME)
            await fleet.start(HOME)
            await anyio.sleep(0.1)
            if stops < MAX_ISSUERS:
                self.assert_booked(await fleet.ask("gulf-3", ticket), replayed=True)
        self.assert_booked(await fleet.ask("gulf-3", key), replayed=True)
        receipt = await fleet.ask("gulf-3", ticket)
        self.assertIsInstance(receipt.error, IssuerGone)
        self.assertFalse(receipt.says_not_run)

    def test_equal_mappings_have_one_digest(self):
        mapping = make_mapping(make_clinic_config())
        self.assertEqual(digest(mapping), digest(make_mapping(make_clinic_config(2))))
        other = make_mapping(make_clinic_config(seats=4))
        self.assertNotEqual(digest(mapping), digest(other))

    def test_an_unknown_seat_has_no_standbys(self):
        mapping = make_mapping(make_clinic_config())
        self.assertEqual(list_standbys(mapping, "nowhere-1"), [])
