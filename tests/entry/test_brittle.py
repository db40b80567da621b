"""Simulate the places of many VMs at brittle upstreams on a model of these."""

import random
import unittest
from collections import deque

from banyanseam.entry.brittle import (
    BRITTLE_MEMORY_S,
    BrittlePlaces,
    BrittleServices,
    Contention,
    Demand,
)
from banyanseam.entry.const import MAX_MESH_PEERS, PEER_TERM_S
from tests.entry.common import make_member, make_members

STEP_S = 0.02
REPORT_S = 0.25
# In a region whose VMs pass reports on.
LARGE_REGION_REPORT_S = 0.5
LENGTH_S = 8


class Fleet:
    """VMs that send to upstreams with few slots and no queue."""

    def __init__(self, seed, shares, upstreams, slots, call_s, per_s, brittle):
        self.rng = random.Random(seed)
        self.shares, self.slots, self.call_s = shares, slots, call_s
        self.per_s, self.brittle = per_s, brittle
        vms, self.upstreams = range(len(shares)), range(upstreams)
        self.places = [[BrittlePlaces() for _ in self.upstreams] for _ in vms]
        self.ends = [[[] for _ in self.upstreams] for _ in vms]
        is_large = len(shares) > MAX_MESH_PEERS
        self.report_s = LARGE_REGION_REPORT_S if is_large else REPORT_S
        self.waiting = [deque() for _ in vms]
        # Reports on their way, one a VM, and what has arrived.
        self.reports = [([0] * upstreams, 0) for _ in vms]
        self.silent_from_s = {}
        self.refusals = [[] for _ in self.upstreams]
        self.falls = self.served = 0
        self.down_until_s = [-1.0] * upstreams

    def run(self, seconds):
        for step in range(round(seconds / STEP_S)):
            now_s = step * STEP_S
            for vm, share in enumerate(self.shares):
                while self.rng.random() < self._chance(share):
                    self.waiting[vm].append(now_s)
                while self.waiting[vm] and now_s - self.waiting[vm][0] > 0.6:
                    self.waiting[vm].popleft()
                for ends in self.ends[vm]:
                    ends[:] = [end_s for end_s in ends if end_s > now_s]
                if now_s < self.silent_from_s.get(vm, 1e9) and (
                    (step + vm) % round(self.report_s / STEP_S) == 0
                ):
                    self.reports[vm] = self._report(vm, now_s)
            for vm in self.rng.sample(range(len(self.shares)), len(self.shares)):
                self._send(vm, now_s)
        return self

    def _chance(self, share):
        # Geometric, with the mean of the VM's requests in a step.
        mean = share * self.per_s * STEP_S
        return mean / (1 + mean)

    def _report(self, vm, now_s):
        held = [
            places.count_held(len(ends), now_s)
            for places, ends in zip(self.places[vm], self.ends[vm], strict=True)
        ]
        running = sum(map(len, self.ends[vm])) + len(self.waiting[vm])
        return held, running

    def _send(self, vm, now_s):
        silent = {
            other
            for other, from_s in self.silent_from_s.items()
            if other != vm and now_s - from_s > PEER_TERM_S
        }
        running = [running for _, running in self.reports]
        contention = Contention(
            own=max(running[vm], 1),
            others=sum(running) - running[vm],
            idle_vms=running.count(0) - (running[vm] == 0),
            silent=sum(running[other] for other in silent),
            vms=len(running),
        )
        heard = [
            held
            for other, (held, _) in enumerate(self.reports)
            if other != vm and other not in silent
        ]
        for upstream in self.rng.sample(self.upstreams, len(self.upstreams)):
            places, ends = self.places[vm][upstream], self.ends[vm][upstream]
            peers = sum(held[upstream] for held in heard)
            while self.waiting[vm] and now_s >= self.down_until_s[upstream]:
                demand = Demand(self.slots, len(ends), peers, self.brittle)
                if not places.may_send(demand, contention, now_s, self.rng.random):
                    break
                self.waiting[vm].popleft()
                running = sum(len(each[upstream]) for each in self.ends)
                if running < self.slots:
                    ends.append(now_s + self.rng.expovariate(1 / self.call_s))
                    places.record_requests(len(ends))
                    self.served += 1
                    continue
                vms = len(self.shares)
                places.record_refusal(len(ends), self.brittle, vms, now_s)
                self._refuse(upstream, now_s)

    def _refuse(self, upstream, now_s):
        recent = [at_s for at_s in self.refusals[upstream] if now_s - at_s < 1]
        self.refusals[upstream] = [*recent, now_s]
        if len(self.refusals[upstream]) > self.brittle:
            self.falls += 1
            self.refusals[upstream] = []
            self.down_until_s[upstream] = now_s + 3
            for vm, _ in enumerate(self.shares):
                self.ends[vm][upstream] = []
                self.places[vm][upstream] = BrittlePlaces()


def share_equally(vms):
    return [1 / vms] * vms


class BrittlePlacesTests(unittest.TestCase):
    def test_many_vms_under_an_overload_let_no_upstream_fall_over(self):
        # The load of each VM, upstreams, their slots, the time of a call.
        cases = [
            ([1.0], 2, 4, 0.05),
            (share_equally(3), 4, 4, 0.05),
            ([0.8, *[0.2 / 11] * 11], 4, 4, 0.05),
            ([0.8, *[0.2 / 11] * 11], 4, 4, 1.0),
            (share_equally(12), 6, 16, 0.3),
            (share_equally(23), 4, 16, 0.3),
            (share_equally(65), 10, 4, 0.5),
        ]
        for shares, upstreams, slots, call_s in cases:
            for seed in (1, 2):
                per_s = 2.5 * upstreams * slots / call_s
                fleet = Fleet(seed, shares, upstreams, slots, call_s, per_s, brittle=4)
                fleet.run(LENGTH_S)
                with self.subTest(vms=len(shares), slots=slots, seed=seed):
                    self.assertLessEqual(fleet.falls, 2 + upstreams / 10)
                    self.assertGreater(fleet.served, 0.5 * per_s / 2.5 * LENGTH_S)

    def test_vms_whose_reports_are_lost_stay_within_their_parts(self):
        fleet = Fleet(1, share_equally(6), 4, 8, 0.3, 260.0, brittle=4)
        fleet.silent_from_s = dict.fromkeys(range(6), 3.0)
        fleet.run(LENGTH_S)
        self.assertEqual(fleet.falls, 0)

    def test_a_lone_vm_uses_all_slots_and_a_refusal_stops_it(self):
        places = BrittlePlaces()

        def may_send(requests, now_s):
            demand = Demand(8, requests, 0, 4)
            return places.may_send(demand, Contention(), now_s, lambda: 0.0)

        self.assertTrue(may_send(7, 0.0))
        self.assertFalse(may_send(8, 0.0))
        places.record_refusal(5, 4, 1, 0.1)
        self.assertFalse(may_send(5, 0.1))
        self.assertFalse(may_send(5, 0.4))
        self.assertTrue(may_send(4, 0.4))
        self.assertTrue(may_send(5, 0.8))

    def test_silent_vms_count_with_their_last_load(self):
        members = make_members()
        peer = make_member("10.1.0.2", running=3)
        members.merge([peer], 0.0)
        for now_s, silent in ((0.5, 0), (3.0, 3), (9.0, 0)):
            contention = BrittleServices().compare(members, now_s)
            self.assertEqual(contention.silent, silent)


class BrittleServicesTests(unittest.TestCase):
    def test_a_word_of_one_upstream_holds_for_all_until_the_service_is_calm(self):
        services, told, untold = BrittleServices(), BrittlePlaces(), BrittlePlaces()
        self.assertIsNone(services.find("desk", untold, 0.0))
        services.record_word("desk", 9, 0.0)
        services.record_word("desk", 7, 0.5)
        told.record_word(9, 0.0)
        self.assertEqual(services.find("desk", untold, 1.0), 7)
        self.assertEqual(services.list_words(1.0), {"desk": (7, 500)})
        self.assertIsNone(services.find("pool", None, 1.0))
        self.assertIsNone(services.find("desk", untold, 0.6 + BRITTLE_MEMORY_S))
        self.assertEqual(services.find("desk", told, 60.0), 9)
        services.record_calm("desk", 60.0)
        self.assertIsNone(services.find("desk", told, 60.0))

    def test_a_calm_answer_counts_at_once_for_its_upstream(self):
        services, calm = BrittleServices(), BrittlePlaces()
        services.record_word("desk", 9, 0.0)
        calm.record_word(None, 0.5)
        services.record_calm("desk", 0.5)
        self.assertIsNone(services.find("desk", calm, 0.6))
        self.assertEqual(services.find("desk", None, 0.6), 9)
        services.record_calm("desk", 1.5)
        self.assertIsNone(services.find("desk", None, 1.6))
        self.assertEqual(services.list_words(1.6), {})


if __name__ == "__main__":
    unittest.main()
