import random
import unittest

import anyio

from banyanseam.config.keys import digest_key, is_still_valid
from banyanseam.config.snapshot import Snapshot, Value, encode_content
from banyanseam.daemon.control import Control
from banyanseam.daemon.lifecycle import Stage, drain
from banyanseam.peers.entries import list_entries
from banyanseam.peers.incarnation import Incarnation
from tests.common import KEY, FakeFabric, make_documents, run_with_mock_clock
from tests.config.test_replication import FakeService, wait_for
from tests.config.test_store import make_values

SUSPENSION_TERM_S = 5.0
WITHDRAWAL_LIMIT_S = 5


def make_withdrawal():
    """Return the snapshots before and after acme's key is withdrawn."""
    base, _ = make_documents()
    base["organisations"]["acme"]["keys"] = []
    value = Value("base", 2, encode_content(base))
    before = Snapshot(1, make_values())
    return [before, Snapshot(2, {**before.values, "base": value})]


class Fleet:
    """Controls at all nine seats, each with its own configuration service."""

    def __init__(self, group, idle):
        self.group = group
        self.fabric = FakeFabric()
        self.services = {}
        self.controls = {}
        self.clock_ahead_s = {}
        for region in ("gulf", "piedmont", "delta"):
            for number in (1, 2, 3):
                seat = f"{region}-{number}"
                self.start(seat, may_serve=seat not in idle)

    def start(self, seat, number=1, may_serve=True):
        region = seat.split("-")[0]
        service = self.services[seat] = FakeService(make_withdrawal())
        self.clock_ahead_s[seat] = 0
        control = self.controls[seat] = Control(
            seat,
            region,
            Incarnation(number),
            self.fabric.join(seat, number),
            [service.client],
            [],
            SUSPENSION_TERM_S,
            lambda: anyio.current_time() + self.clock_ahead_s[seat],
            random.Random(seat),
        )
        self.group.start_soon(self.run, control, may_serve)
        return control

    async def run(self, control, may_serve):
        await control.run(self.group)
        if may_serve:
            control.begin_serving(self.group)

    def publish(self, seats):
        for seat in seats:
            self.services[seat].publish(2)

    def partition(self, seats):
        for seat in seats:
            for other in set(self.controls) - set(seats):
                self.fabric.partitions.add(frozenset((seat, other)))

    def serves_acme(self, seat):
        control = self.controls[seat]
        config, digest = control.store.config, digest_key(KEY.encode())
        return control.accepts_requests and is_still_valid(config, digest, "acme")

    def serving_acme(self):
        return {seat for seat in self.controls if self.serves_acme(seat)}


class ControlTests(unittest.TestCase):
    def run_fleet(self, scenario, idle=()):
        async def main():
            async with anyio.create_task_group() as group:
                fleet = Fleet(group, idle)
                serving = 9 - len(idle)
                await wait_for(lambda: len(fleet.serving_acme()) == serving)
                await anyio.sleep(10)
                await scenario(fleet)
                group.cancel_scope.cancel()

        run_with_mock_clock(main)

    def test_withdrawn_key_is_refused_within_the_limit(self):
        seats = [f"{region}-{n}" for region in ("gulf", "delta") for n in (1, 2, 3)]
        table = [
            ("all see the service", [*seats, "piedmont-1"], [], set()),
            ("one region's service is stale", seats, [], set()),
            ("one seat sees the service", ["gulf-1"], [], set()),
            (
                "a region is partitioned off with its service",
                seats,
                seats,
                {"piedmont"},
            ),
            ("a region alone sees it", ["gulf-2"], seats[:3], {"piedmont", "delta"}),
        ]
        for name, fresh, partitioned, still_serving in table:
            with self.subTest(name):

                async def scenario(
                    fleet,
                    fresh=fresh,
                    partitioned=partitioned,
                    still_serving=still_serving,
                ):
                    fleet.partition(partitioned)
                    await anyio.sleep(30 if partitioned else 0)
                    fleet.publish(fresh)
                    # The only process that sees the change may poll slowly.
                    slow_poll_s = 30 if len(fresh) == 1 else 0
                    await anyio.sleep(WITHDRAWAL_LIMIT_S + slow_poll_s)
                    regions = {seat.split("-")[0] for seat in fleet.serving_acme()}
                    self.assertEqual(regions, still_serving)
                    fleet.fabric.partitions.clear()
                    await wait_for(lambda: not fleet.serving_acme(), 60)

                self.run_fleet(scenario)

    def test_replacement_process_does_not_revert_a_withdrawal(self):
        async def scenario(fleet):
            fleet.publish(["gulf-1", "gulf-2", "gulf-3"])
            await anyio.sleep(WITHDRAWAL_LIMIT_S)
            fleet.start("delta-1", number=2)
            for _ in range(400):
                self.assertEqual(fleet.serving_acme(), set())
                await anyio.sleep(0.1)
            self.assertTrue(fleet.controls["delta-1"].accepts_requests)

        self.run_fleet(scenario)

    def test_resumed_process_serves_nothing_until_it_is_current(self):
        async def scenario(fleet):
            control = fleet.controls["gulf-1"]
            fleet.partition(["gulf-1"])
            fleet.publish(set(fleet.controls) - {"gulf-1"})
            await anyio.sleep(WITHDRAWAL_LIMIT_S)
            self.assertEqual(fleet.serving_acme(), {"gulf-1"})
            fleet.clock_ahead_s["gulf-1"] = SUSPENSION_TERM_S
            control.suspension_detector.tick()
            self.assertFalse(control.accepts_requests)
            self.assertTrue(control.membership.is_leaving("gulf-1"))
            await control.wait_until_caught_up()
            self.assertFalse(control.accepts_requests)
            fleet.fabric.partitions.clear()
            await wait_for(lambda: control.accepts_requests)
            self.assertEqual(fleet.serving_acme(), set())
            self.assertFalse(control.membership.is_leaving("gulf-1"))

        self.run_fleet(scenario)

    def test_a_request_waits_for_a_resumed_process_that_reaches_its_peers(self):
        async def scenario(fleet):
            control = fleet.controls["gulf-1"]
            fleet.clock_ahead_s["gulf-1"] = SUSPENSION_TERM_S
            control.suspension_detector.tick()
            self.assertFalse(control.accepts_requests)
            await control.wait_until_caught_up()
            self.assertTrue(control.accepts_requests)

        self.run_fleet(scenario)

    def test_process_that_does_not_serve_yet_is_not_alive(self):
        async def scenario(fleet):
            for seat in set(fleet.controls) - {"gulf-1"}:
                membership = fleet.controls[seat].membership
                self.assertFalse(membership.is_alive("gulf-1"))

        self.run_fleet(scenario, idle=("gulf-1",))

    def test_replaced_process_that_still_runs_stops_serving(self):
        async def scenario(fleet):
            older = fleet.controls["gulf-1"]
            newer = fleet.start("gulf-1", number=2)
            await wait_for(lambda: not older.accepts_requests, 5)
            await wait_for(lambda: newer.accepts_requests)

        self.run_fleet(scenario)

    def test_planned_stop_leaves_every_list_before_closing_connections(self):
        async def scenario(fleet):
            leaving = fleet.controls["gulf-1"]

            def find_seats_listing_gulf_1():
                return [
                    seat
                    for seat, control in fleet.controls.items()
                    for entry in list_entries(
                        control.store.config, control.membership, "caller"
                    ).entries
                    if entry.seat == "gulf-1"
                ]

            self.assertTrue(find_seats_listing_gulf_1())
            leaving.lifecycle.request_started()
            spread_s = leaving.membership.gossip_timing.leave_propagation_s
            fleet.group.start_soon(drain, leaving.lifecycle, 5000, 600, spread_s)
            await anyio.sleep(spread_s)
            self.assertEqual(find_seats_listing_gulf_1(), [])
            self.assertTrue(leaving.accepts_requests)
            self.assertFalse(leaving.lifecycle.closes_connections)
            await anyio.sleep(6)
            self.assertTrue(leaving.lifecycle.closes_connections)
            self.assertIs(leaving.lifecycle.state, Stage.CLOSING)
            leaving.lifecycle.request_ended()
            self.assertIs(leaving.lifecycle.state, Stage.IDLE)

        self.run_fleet(scenario)
