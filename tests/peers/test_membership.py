import random
import unittest

import anyio
from hypothesis import given
from hypothesis import strategies as st

from banyanseam.config.readers import make_is_reader
from banyanseam.peers.const import RING_FANOUT
from banyanseam.peers.errors import InvalidPeerMessage
from banyanseam.peers.heartbeat import Heartbeats
from banyanseam.peers.incarnation import Incarnation, SuspensionDetector
from banyanseam.peers.membership import Membership, SeatState
from banyanseam.peers.neighbours import choose_in_other_region, choose_in_region
from banyanseam.peers.rows import Flags, Row, hash_seat, pack_rows, unpack_rows
from banyanseam.peers.sections import Sections
from tests.common import FakeFabric, make_config, run_with_mock_clock


class SeatProcess:
    """The membership and heartbeats of one process at a seat."""

    def __init__(self, fabric, config, seat, number=1):
        region = config.seats[seat].region
        self.incarnation = Incarnation(number)
        self.incarnation.mark_final()
        self.membership = Membership(seat, region, self.incarnation)
        self.membership.set_config(config, anyio.current_time())
        self.superseded = []
        self.membership.on_superseded(self.superseded.append)
        self.sections = Sections()
        self.received_sections = {}
        self.sections.register("test", seat.encode, self.handle_section)
        network = fabric.join(seat, number)
        rng = random.Random(f"{seat} {number}")
        self.heartbeats = Heartbeats(self.membership, network, self.sections, rng)
        self.scope = anyio.CancelScope()

    def handle_section(self, peer, content):
        self.received_sections[peer] = content

    async def run(self):
        with self.scope:
            await self.heartbeats.run()


class Fleet:
    """Runs a process at each seat of a configuration."""

    def __init__(self, group, **kwargs):
        self.group = group
        self.config = make_config(**kwargs)
        self.fabric = FakeFabric()
        self.processes = {}
        for seat in self.config.seats:
            self.start(seat)

    def start(self, seat, number=1):
        self.processes[seat] = process = SeatProcess(
            self.fabric, self.config, seat, number
        )
        self.group.start_soon(process.run)
        return process

    def kill(self, seat):
        self.processes.pop(seat).scope.cancel()
        del self.fabric.networks[seat]

    def partition(self, region, *others):
        for first in self.config.seats_of(region):
            for other in others:
                for second in self.config.seats_of(other):
                    self.fabric.partitions.add(frozenset((first.name, second.name)))

    def views(self, seat):
        return {
            process.membership.state_of(seat) for process in self.processes.values()
        }

    async def wait_until(self, condition, bound_s=120):
        with anyio.fail_after(bound_s):
            for _ in iter(lambda: bool(condition()), True):
                await anyio.sleep(0.25)

    async def wait_until_alive(self):
        await self.wait_until(
            lambda: all(
                self.views(seat) == {SeatState.ALIVE} for seat in self.processes
            )
        )


class FleetTests(unittest.TestCase):
    def run_fleet(self, scenario, **kwargs):
        async def main():
            async with anyio.create_task_group() as group:
                fleet = Fleet(group, **kwargs)
                await fleet.wait_until_alive()
                await scenario(fleet)
                group.cancel_scope.cancel()

        run_with_mock_clock(main)

    def test_killed_process_and_its_successor_are_detected(self):
        for kwargs, bound_s in (
            ({"seats": 3}, 10),
            ({"seats": 12, "regions": ("gulf", "delta")}, 35),
        ):
            with self.subTest(kwargs):

                async def scenario(fleet, bound_s=bound_s):
                    fleet.kill("gulf-2")
                    await fleet.wait_until(
                        lambda: (
                            not any(
                                process.membership.is_alive("gulf-2")
                                for process in fleet.processes.values()
                            )
                        ),
                        bound_s,
                    )
                    fleet.start("gulf-2", number=2)
                    await fleet.wait_until_alive()
                    for process in fleet.processes.values():
                        self.assertEqual(process.membership.incarnation_of("gulf-2"), 2)

                self.run_fleet(scenario, **kwargs)

    def test_no_seat_is_suspect_while_all_run(self):
        async def scenario(fleet):
            for _ in range(60):
                await anyio.sleep(1)
                for seat in fleet.processes:
                    self.assertEqual(fleet.views(seat), {SeatState.ALIVE})

        self.run_fleet(scenario, seats=12, regions=("gulf", "delta"))

    def test_partitioned_region_tracks_its_own_seats_and_rejoins(self):
        for others in (("delta", "piedmont"), ("delta",)):
            with self.subTest(others=others):

                async def scenario(fleet, others=others):
                    fleet.partition("gulf", *others)
                    await anyio.sleep(600)
                    isolated = fleet.processes["gulf-1"].membership
                    self.assertEqual(len(isolated.alive_seats("gulf")), 3)
                    self.assertEqual(isolated.state_of("delta-1"), SeatState.GONE)
                    is_reachable = "piedmont" not in others
                    self.assertEqual(isolated.is_alive("piedmont-1"), is_reachable)
                    fleet.fabric.partitions.clear()
                    await fleet.wait_until_alive()

                self.run_fleet(scenario)

    def test_restarted_process_soon_detects_a_large_fleet(self):
        async def scenario(fleet):
            fleet.kill("gulf-2")
            newer = fleet.start("gulf-2", number=2)
            await fleet.wait_until(
                lambda: len(newer.membership.alive_seats("delta")) == 19, 4
            )

        self.run_fleet(scenario, seats=19, regions=("gulf", "delta"))

    def test_process_reachable_by_one_peer_is_alive_in_its_whole_region(self):
        async def scenario(fleet):
            fleet.fabric.partitions.add(frozenset(("gulf-1", "gulf-2")))
            await anyio.sleep(60)
            self.assertTrue(fleet.processes["gulf-1"].membership.is_alive("gulf-2"))

        self.run_fleet(scenario)

    def test_older_process_is_superseded_and_its_sections_dropped(self):
        async def scenario(fleet):
            older = fleet.processes["gulf-2"]
            newer = fleet.start("gulf-2", number=7)
            await fleet.wait_until(lambda: older.superseded)
            self.assertEqual(older.superseded, [7])
            self.assertEqual(newer.superseded, [])
            await anyio.sleep(5)
            received = fleet.processes["gulf-1"].received_sections
            received.clear()
            await anyio.sleep(5)
            numbers = {peer.incarnation for peer in received if peer.seat == "gulf-2"}
            self.assertEqual(numbers, {7})

        self.run_fleet(scenario)

    def test_new_process_with_a_clock_behind_raises_its_incarnation(self):
        async def scenario(fleet):
            fleet.kill("gulf-2")
            newer = SeatProcess(fleet.fabric, fleet.config, "gulf-2", number=0)
            newer.incarnation = newer.membership.incarnation = Incarnation(0)
            fleet.processes["gulf-2"] = newer
            fleet.group.start_soon(newer.run)
            await fleet.wait_until(lambda: newer.incarnation.number > 1)
            newer.incarnation.mark_final()
            await fleet.wait_until_alive()
            self.assertEqual(newer.superseded, [])

        self.run_fleet(scenario)

    def test_leaving_flag_and_delays_propagate(self):
        async def scenario(fleet):
            fleet.processes["delta-1"].membership.set_flag(Flags.LEAVING, on=True)
            await fleet.wait_until(
                lambda: fleet.views("delta-1") == {SeatState.LEAVING}, 10
            )
            process = fleet.processes["gulf-1"].membership
            self.assertTrue(process.is_alive("delta-1"))
            self.assertAlmostEqual(process.measured_delay_s("delta-1"), 0.001, 4)

        self.run_fleet(scenario)

    def test_reader_that_loses_the_service_is_replaced(self):
        async def scenario(fleet):
            is_reader = {
                seat: make_is_reader(process.membership)
                for seat, process in fleet.processes.items()
                if seat.startswith("gulf")
            }
            for seat in is_reader:
                fleet.processes[seat].membership.set_flag(
                    Flags.REACHES_SERVICE, on=True
                )
            await anyio.sleep(5)
            first = {seat for seat in is_reader if is_reader[seat]()}
            self.assertEqual(len(first), 2)
            lost = min(first)
            fleet.processes[lost].membership.set_flag(Flags.REACHES_SERVICE, on=False)
            await anyio.sleep(5)
            second = {seat for seat in is_reader if is_reader[seat]()}
            self.assertEqual(second, set(is_reader) - {lost})

        self.run_fleet(scenario)


class MembershipTests(unittest.TestCase):
    def setUp(self):
        self.membership = Membership("gulf-1", "gulf", Incarnation(5))
        self.membership.set_config(make_config(), 0.0)

    def receive(self, counter, now_s, incarnation=1, flags=Flags.NONE):
        row = Row(hash_seat("gulf-2"), incarnation, counter, flags)
        self.membership.merge_row(row, now_s)
        return self.membership.state_of("gulf-2")

    def test_state_by_silence(self):
        self.assertEqual(self.membership.state_of("gulf-2"), SeatState.SUSPECT)
        self.assertEqual(self.receive(1, 1.0), SeatState.ALIVE)
        table = [
            (3.9, SeatState.ALIVE),
            (4.0, SeatState.SUSPECT),
            (10.0, SeatState.GONE),
        ]
        for now_s, state in table:
            with self.subTest(now_s=now_s):
                self.membership.advance(now_s)
                self.assertEqual(self.membership.state_of("gulf-2"), state)
                # A delayed row with an old counter doesn't extend the timeout.
                self.assertEqual(self.receive(1, now_s), state)

    def test_platform_list_shortens_timeouts_and_overrides_no_heartbeat(self):
        self.receive(1, 1.0)
        self.membership.set_platform_list(live=set(), leaving=set())
        self.assertEqual(self.receive(2, 2.0), SeatState.ALIVE)
        self.membership.advance(3.6)
        self.assertEqual(self.membership.state_of("gulf-2"), SeatState.SUSPECT)
        self.membership.set_platform_list(live={"gulf-2"}, leaving={"gulf-2"})
        self.assertEqual(self.receive(3, 4.0), SeatState.LEAVING)
        # The list lags, so its entry doesn't apply to a newer process.
        self.assertEqual(self.receive(1, 4.1, incarnation=2), SeatState.ALIVE)

    def test_older_incarnation_is_ignored(self):
        self.receive(1, 1.0, incarnation=2)
        self.receive(99, 9.0, incarnation=1, flags=Flags.LEAVING)
        self.membership.advance(9.0)
        self.assertEqual(self.membership.state_of("gulf-2"), SeatState.SUSPECT)

    def test_process_that_served_is_superseded_once(self):
        superseded_by = []
        self.membership.on_superseded(superseded_by.append)
        self.membership.incarnation.mark_final()
        for number in (4, 6, 7):
            self.membership.handle_newest_incarnation(number, 1.0)
        self.assertEqual(superseded_by, [6])

    def test_seat_removed_from_the_configuration_is_gone(self):
        self.receive(1, 1.0)
        self.membership.set_config(make_config(seats=1), 1.0)
        self.assertFalse(self.membership.is_alive("gulf-2"))

    @given(st.binary(max_size=100))
    def test_any_bytes_are_decoded_or_rejected(self, data):
        try:
            rows = unpack_rows(data)
        except InvalidPeerMessage:
            return
        self.assertEqual(len(pack_rows(rows)), len(data))


class SuspensionTests(unittest.TestCase):
    def test_only_a_gap_beyond_the_term_is_a_suspension(self):
        for gap_s, suspended in ((0.2, False), (3.0, False), (3.1, True), (3600, True)):
            with self.subTest(gap_s=gap_s):
                readings = iter([10.0, 10.0 + gap_s, 10.1 + gap_s])
                detector = SuspensionDetector(3.0, lambda r=readings: next(r))
                resets = []
                detector.on_suspended(resets.append)
                self.assertEqual([detector.tick(), detector.tick()], [suspended, False])
                self.assertEqual(resets, [10.0 + gap_s] if suspended else [])


class NeighbourTests(unittest.TestCase):
    def test_update_reaches_a_large_region_in_few_hops(self):
        for size, steps in ((11, 2), (57, 5), (100, 6)):
            with self.subTest(size=size):
                seats = [f"s{number}" for number in range(size)]
                reached = {seats[0]}
                for _ in range(steps):
                    for seat in list(reached):
                        chosen = choose_in_region(seat, seats)
                        self.assertEqual(len(set(chosen)), RING_FANOUT)
                        reached |= set(chosen)
                self.assertEqual(len(reached), size)

    def test_links_between_regions_are_spread_evenly(self):
        here = [f"h{number}" for number in range(57)]
        for size, links_per_seat in ((57, 1), (19, 3), (3, 19)):
            with self.subTest(size=size):
                there = [f"t{number}" for number in range(size)]
                chosen = [
                    choose_in_other_region(seat, here, "r", there) for seat in here
                ]
                self.assertEqual(
                    {chosen.count(seat) for seat in there}, {links_per_seat}
                )


class SectionTests(unittest.TestCase):
    def test_oversize_and_unknown_sections_are_left_out(self):
        sections = Sections()
        received = []
        supplies = {"big": b"x" * 1025, "one": b"x" * 1024, "two": b"y" * 1024}
        supplies |= {"three": b"z", "none": b""}
        for name, content in supplies.items():
            sections.register(
                name, lambda c=content: c, lambda _, c: received.append(c)
            )
        self.assertEqual(set(sections.collect()), {"one", "two"})
        sections.deliver(None, {"unknown": b"x", "three": b"z"})
        self.assertEqual(received, [b"z"])
