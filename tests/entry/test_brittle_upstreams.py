"""Simulate upstreams with few slots that fall over if they refuse too many."""

import random
import unittest
from collections.abc import Sequence
from dataclasses import replace
from unittest import mock

import anyio

from banyanseam.entry.brittle import BrittlePlaces, count_senders
from banyanseam.peers.rendezvous import rank
from tests.common import run_with_mock_clock
from tests.entry.common import make_upstream
from tests.entry.simulation import Room, Simulation, start_simulation

VMS = [f"10.1.0.{number}" for number in range(1, 7)]
# The first takes most callers.
SHARES = [15, 1, 1, 1, 1, 1]
DESKS = [f"desk-{number}" for number in range(4)]
WAITING = 8
CAPACITY_PER_S = 80
CALM_PER_S, OVERLOAD_PER_S = 0.4 * CAPACITY_PER_S, 3 * CAPACITY_PER_S
# The times of what happens.
BRITTLE_S, FEWER_WAIT_S, RESTART_S, LOST_S, END_S = 1, 6, 8, 10, 15
LENGTH_S = 23
STEP_S = 0.05
MANY_VMS = 14
MANY_VMS_CAPACITY_PER_S = 40
MANY_VMS_LENGTH_S = 8
# Until when all VMs know.
KNOWN_S = 5


async def run_brittle_time(
    seed: int, room: Room, overload_s: float, may_fall_s: float
) -> Simulation:
    """Overload brittle upstreams; restart a VM and lose heartbeats meanwhile."""
    rng = random.Random(seed)
    async with start_simulation() as simulation:
        simulation.is_partitioned = True
        del simulation.upstreams["desk-gulf"]
        for number, name in enumerate(DESKS):
            simulation.upstreams[name] = make_upstream(
                name, service="desk", address=f"10.9.3.{number}:80", slots=room.slots
            )
            simulation.rooms[name] = replace(room, refused_s=[])
        for vm in VMS[2:]:
            simulation.start_vm(vm, "gulf")
        simulation.publish()
        for step in range(round(LENGTH_S / STEP_S)):
            now_s = step * STEP_S
            is_brittle = BRITTLE_S <= now_s < END_S
            has_less = is_brittle and now_s >= FEWER_WAIT_S
            for each in simulation.rooms.values():
                each.brittle_per_s = room.brittle_per_s if is_brittle else None
                each.may_fall = now_s >= may_fall_s
                each.waiting = 0 if has_less else WAITING
            if step == round(RESTART_S / STEP_S):
                simulation.restart_vm(VMS[1])
            if step % 5 == 0:
                simulation.gossip(lost=LOST_S <= now_s < LOST_S + 1)
            is_overload = overload_s <= now_s < END_S
            per_s = OVERLOAD_PER_S if is_overload else CALM_PER_S
            for vm in rng.choices(VMS, SHARES, k=round(per_s * STEP_S)):
                simulation.ask(vm, "/read/x", [], [])
            await anyio.sleep(STEP_S)
    return simulation


async def run_many_vms(
    seed: int, load: float, later_load: float, ended: Sequence[int] = ()
) -> Simulation:
    """Let more VMs than slots have callers at brittle upstreams.

    Halfway the load changes, and VMs that send end, those with the ranks in `ended`.
    """
    rng = random.Random(seed)
    # The VMs draw from the module's.
    random.seed(seed)
    vms = [f"10.1.0.{number}" for number in range(1, MANY_VMS + 1)]
    async with start_simulation() as simulation:
        simulation.is_partitioned = True
        del simulation.upstreams["desk-gulf"]
        for number, name in enumerate(DESKS[:2]):
            simulation.upstreams[name] = make_upstream(
                name, service="desk", address=f"10.9.3.{number}:80", slots=4
            )
            simulation.rooms[name] = Room(4, 0.2, brittle_per_s=4)
        for vm in vms[2:]:
            simulation.start_vm(vm, "gulf")
        simulation.publish()
        senders = rank(vms, "desk")[: count_senders(8)]
        for step in range(round(MANY_VMS_LENGTH_S / STEP_S)):
            if step * STEP_S == MANY_VMS_LENGTH_S / 2:
                gone = {senders[place] for place in ended}
                simulation.cut_off |= gone
                vms = [vm for vm in vms if vm not in gone]
                load = later_load
            if step % 5 == 0:
                simulation.gossip()
            mean = load * MANY_VMS_CAPACITY_PER_S * STEP_S
            for vm in rng.choices(vms, k=int(mean + rng.random())):
                simulation.ask(vm, "/read/x", [], [])
            await anyio.sleep(STEP_S)
        await anyio.sleep(4)
    return simulation


async def tell_peers() -> list[int | None]:
    """Return what a VM that has sent nothing knows before and after a heartbeat."""
    async with start_simulation() as simulation:
        simulation.rooms["desk-gulf"] = Room(4, 0.2, brittle_per_s=6)
        simulation.ask(VMS[0], "/read/x", [], [])
        await anyio.sleep(1)
        services = simulation.entries[VMS[1]].loads.brittle
        known = [services.find("desk", None, anyio.current_time())]
        simulation.gossip()
        known.append(services.find("desk", None, anyio.current_time()))
    return known


def list_served(simulation: Simulation, since_s: float, until_s: float) -> list[bool]:
    """Return for each caller of a time whether it was served."""
    began_s = simulation.callers[0].sent_s
    return [
        caller.status == 200
        for caller in simulation.callers
        if since_s <= caller.sent_s - began_s < until_s
    ]


class BrittleUpstreamTests(unittest.TestCase):
    def test_brittle_upstreams_survive_an_overload_and_serve_all_the_time(self):
        # They become brittle before the overload, or in the middle of it.
        for seed, room, overload_s, may_fall_s in (
            (1, Room(4, 0.2, brittle_per_s=6), 3, BRITTLE_S),
            (2, Room(16, 0.8, brittle_per_s=4), 0, BRITTLE_S + KNOWN_S),
        ):
            simulation = run_with_mock_clock(
                run_brittle_time, seed, room, overload_s, may_fall_s
            )
            with self.subTest(seed=seed, room=room):
                self.assertLessEqual(len(simulation.falls), 2 + len(DESKS) / 10)
                served = sum(list_served(simulation, FEWER_WAIT_S, END_S))
                possible = CAPACITY_PER_S * (END_S - FEWER_WAIT_S)
                self.assertGreater(served, 0.6 * possible)
                self.assertTrue(all(list_served(simulation, END_S + KNOWN_S, LENGTH_S)))
                self.assertEqual(simulation.internal_failures, [])

    def test_more_vms_than_slots_refuse_no_light_load(self):
        self._check_light_load((1, 2, 3), ())

    def test_the_end_of_a_sender_costs_no_light_load(self):
        self._check_light_load((4, 5), (0,))

    def _check_light_load(self, seeds: Sequence[int], ended: Sequence[int]) -> None:
        served = []
        for seed in seeds:
            simulation = run_with_mock_clock(run_many_vms, seed, 0.3, 0.3, ended)
            served += [each.status == 200 for each in simulation.callers]
            self.assertEqual(simulation.falls, [])
            self.assertEqual(simulation.internal_failures, [])
        self.assertGreaterEqual(sum(served), 0.98 * len(served))

    def test_more_vms_than_slots_let_no_upstream_fall_over(self):
        # All of them get an overload in the same moment, also while senders end.
        for seed, ended in ((1, ()), (2, ()), (3, (0,)), (4, (0, 1))):
            simulation = run_with_mock_clock(run_many_vms, seed, 0.3, 2.5, ended)
            with self.subTest(seed=seed, ended=ended):
                self.assertLessEqual(len(simulation.falls), 2 + 2 / 10)
                self.assertEqual(simulation.internal_failures, [])

    def test_a_vm_that_has_sent_nothing_is_told_by_its_peers(self):
        known = run_with_mock_clock(tell_peers)
        self.assertEqual(known, [None, 6])

    def test_nothing_is_decided_while_no_upstream_is_brittle(self):
        async def ask() -> Simulation:
            async with start_simulation() as simulation:
                for vm in (VMS[0], VMS[1]) * 10:
                    simulation.ask(vm, "/read/x", [], [])
                    simulation.gossip()
            return simulation

        with mock.patch.object(BrittlePlaces, "may_send", side_effect=AssertionError):
            simulation = run_with_mock_clock(ask)
        self.assertTrue(all(each.status == 200 for each in simulation.callers))


if __name__ == "__main__":
    unittest.main()
