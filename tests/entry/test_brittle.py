"""Simulate the places of many VMs at brittle upstreams on a model of these."""

import random
import unittest
from collections import deque

from banyanseam.entry.brittle import (
    BRITTLE_MEMORY_S,
    MIN_WAITING,
    BrittlePlaces,
    BrittleServices,
    Contention,
    Demand,
    count_relayed,
    count_senders,
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
        # When requests came that wait at a VM, and the VM that got them.
        self.waiting = [deque() for _ in vms]
        self.relayed = [0 for _ in vms]
        self.vms_ranked = self.rng.sample(vms, len(vms))
        # Reports on their way, one a VM, and what has arrived.
        self.reports = [([0] * upstreams, 0) for _ in vms]
        self.silent_from_s = {}
        self.refusals = [[] for _ in self.upstreams]
        self.falls = self.served = self.asked = 0
        self.down_until_s = [-1.0] * upstreams

    def run(self, seconds):
        for step in range(round(seconds / STEP_S)):
            now_s = step * STEP_S
            for vm, share in enumerate(self.shares):
                while self.rng.random() < self._chance(share):
                    self.asked += 1
                    self.waiting[vm].append((now_s, vm))
                while self.waiting[vm] and now_s - self.waiting[vm][0][0] > 0.6:
                    self._end(vm, self.waiting[vm].popleft()[1])
                for ends in self.ends[vm]:
                    for end in [end for end in ends if end[0] <= now_s]:
                        ends.remove(end)
                        self._end(vm, end[1])
                if now_s < self.silent_from_s.get(vm, 1e9) and (
                    (step + vm) % round(self.report_s / STEP_S) == 0
                ):
                    self.reports[vm] = self._report(vm, now_s)
            for vm in self.rng.sample(range(len(self.shares)), len(self.shares)):
                self._send(vm, now_s)
        return self

    def _end(self, vm, origin):
        if origin != vm:
            self.relayed[origin] -= 1

    def _list_senders(self, vm, silent):
        """Return the VMs that send, as one knows them."""
        ranked = [other for other in self.vms_ranked if other not in silent]
        return ranked[: count_senders(self.slots * len(self.upstreams))]

    def _relay(self, vm, senders, heard, contention):
        """Let a VM that doesn't send relay what it may of its waiting requests."""
        limit = count_relayed(self.slots * len(self.upstreams), contention)
        while self.waiting[vm]:
            is_full = all(
                sum(held[upstream] for held in heard) >= self.slots
                for upstream in self.upstreams
            )
            if is_full and self.relayed[vm] >= limit:
                return
            request = self.waiting[vm].popleft()
            sender = self.rng.choice(senders)
            runs = sum(map(len, self.ends[sender]))
            if len(self.waiting[sender]) < max(MIN_WAITING, runs):
                self.relayed[vm] += 1
                self.waiting[sender].append(request)

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
        return held, running + self.relayed[vm]

    def _send(self, vm, now_s):
        silent = {
            other
            for other, from_s in self.silent_from_s.items()
            if other != vm and now_s - from_s > PEER_TERM_S
        }
        senders = self._list_senders(vm, silent)
        rivals = [self.reports[other][1] for other in {*senders, *silent} - {vm}]
        contention = Contention(
            own=max(self.reports[vm][1], 1),
            others=sum(rivals),
            idle_vms=rivals.count(0),
            silent=sum(self.reports[other][1] for other in silent),
            vms=len(self.reports),
        )
        heard = [
            held
            for other, (held, _) in enumerate(self.reports)
            if other != vm and other not in silent
        ]
        if vm not in senders:
            running = [running for _, running in self.reports]
            everyone = Contention(max(running[vm], 1), sum(running) - running[vm])
            self._relay(vm, senders, heard, everyone)
            return
        for upstream in self.rng.sample(self.upstreams, len(self.upstreams)):
            places, ends = self.places[vm][upstream], self.ends[vm][upstream]
            peers = sum(held[upstream] for held in heard)
            while self.waiting[vm] and now_s >= self.down_until_s[upstream]:
                demand = Demand(self.slots, len(ends), peers, self.brittle)
                if not places.may_send(demand, contention, now_s, self.rng.random):
                    break
                _, origin = self.waiting[vm].popleft()
                running = sum(len(each[upstream]) for each in self.ends)
                if running < self.slots:
                    took_s = self.rng.expovariate(1 / self.call_s)
                    ends.append((now_s + took_s, origin))
                    places.record_requests(len(ends))
                    self.served += 1
                    continue
                self._end(vm, origin)
                vms = len(senders) + len(silent)
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
                for _, origin in self.ends[vm][upstream]:
                    self._end(vm, origin)
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

    def test_a_light_load_is_served_by_many_vms_with_few_slots(self):
        # The load of each VM, upstreams, their slots, the time of a call.
        cases = [
            (share_equally(6), 4, 4, 0.2),
            (share_equally(23), 4, 4, 0.05),
            (share_equally(23), 4, 4, 0.3),
            ([0.8, *[0.2 / 22] * 22], 4, 4, 0.3),
            (share_equally(23), 4, 16, 0.3),
            (share_equally(65), 10, 4, 0.5),
            (share_equally(114), 4, 4, 0.3),
        ]
        for shares, upstreams, slots, call_s in cases:
            served = asked = 0
            for seed in (1, 2, 3):
                per_s = 0.3 * upstreams * slots / call_s
                fleet = Fleet(seed, shares, upstreams, slots, call_s, per_s, brittle=4)
                fleet.run(LENGTH_S)
                served += fleet.served
                asked += fleet.asked
                self.assertLessEqual(fleet.falls, 2 + upstreams / 10)
            with self.subTest(vms=len(shares), slots=slots, call_s=call_s):
                self.assertGreaterEqual(served, 0.98 * asked)

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
