import random
import unittest
from dataclasses import replace

from banyanseam.entry.fingerprints import make_start_tag
from banyanseam.entry.local_candidates import (
    choose_cold_pause_s,
    list_local_candidates,
    may_send_cold,
)
from banyanseam.entry.messages import make_load_tag
from banyanseam.entry.models import EngineLimits, Service
from banyanseam.entry.performance.models import INITIAL_PERFORMANCE
from banyanseam.entry.placing import estimate_prefill_ms
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.upstreams import UpstreamLoads
from banyanseam.entry.usage_counts import count_request, mark_prefilled
from tests.entry.common import (
    make_candidate,
    make_catalogue,
    make_member,
    make_members,
    make_prompt,
    make_upstream,
)

# The published rate, and the maximum that may be sent within one second.
COLD_PER_S = 4.5
COLD_BOUND = COLD_PER_S * 1.5 + 3


def make_processes(count, sees_peers=lambda _: True):
    """Return members and upstreams; `sees_peers` selects the processes with peers."""
    processes = []
    ips = [f"10.1.0.{number}" for number in range(1, count + 1)]
    for index, ip in enumerate(ips):
        members = make_members(ip)
        rows = [
            make_member(other) for other in ips if other != ip and sees_peers(index)
        ]
        members.merge(rows, 0.0)
        upstreams = UpstreamList()
        upstreams.adopt([make_upstream("e1", cold_ms=60_000)], 1, 0.0)
        processes.append((members, upstreams))
    return processes


class ColdPaceTests(unittest.TestCase):
    def find_peak_per_s(self, processes):
        sent = self.find_sends(processes)
        return max(sum(at_s <= each < at_s + 1 for each in sent) for at_s in sent)

    def find_sends(self, processes, steps=300):
        rng = random.Random(7)
        pause_s = choose_cold_pause_s(COLD_PER_S)
        sent = []
        for step in range(steps):
            now_s = step * 0.005
            for members, upstreams in rng.sample(processes, len(processes)):
                listed = upstreams.find("e1")
                if may_send_cold(listed, members, pause_s, now_s):
                    listed.usage.cold_sent_s = now_s
                    sent.append(now_s)
        return sent

    def test_all_processes_together_stay_within_the_cold_rate(self):
        for count in (1, 3, 9, 22):
            with self.subTest(count=count):
                peak_per_s = self.find_peak_per_s(make_processes(count))
                self.assertLessEqual(peak_per_s, COLD_BOUND)
                self.assertGreater(peak_per_s, 1)

    # After a kill of all VMs each of those that started took itself for a sender.
    def test_the_cold_rate_holds_while_no_process_has_begun_to_serve(self):
        processes = make_processes(12, lambda _: False)
        for members, _ in processes:
            members.me = replace(members.me, is_serving=False, is_accepting=False)
        self.assertEqual(self.find_sends(processes), [])

    def test_a_leaving_process_may_send_to_a_cold_upstream(self):
        processes = make_processes(1)
        members = processes[0][0]
        members.me = replace(members.me, is_serving=False)
        self.assertGreater(len(self.find_sends(processes)), 0)

    def test_the_cold_rate_holds_while_one_process_has_no_peers(self):
        processes = make_processes(3, lambda index: index != 0)
        self.assertLessEqual(self.find_peak_per_s(processes), COLD_BOUND)


class CandidateTests(unittest.TestCase):
    def setUp(self):
        self.members = make_members()
        self.upstreams = UpstreamList()
        self.loads = UpstreamLoads(self.upstreams, "gulf")

    def list(self, *upstreams, now_s=0.0, **fields):
        self.upstreams.adopt(upstreams, 1, 0.0)
        catalogue = make_catalogue(**fields)
        return list_local_candidates(
            catalogue, "pool", self.upstreams, self.loads, self.members, now_s
        )

    def test_upstreams_of_other_regions_are_no_local_candidates(self):
        found = self.list(
            make_upstream("e1"), make_upstream("e2", data_centre="delta-a")
        )
        self.assertEqual([each.upstream_id for each in found], ["e1"])

    def test_loads_of_all_processes_of_the_region_count(self):
        self.list(make_upstream("e1"))
        listed = self.upstreams.find("e1")
        table = {make_load_tag(make_upstream("e1")): (3, 250, 9000, 70)}
        self.loads.record_peer_loads(make_member("10.1.0.2"), table, 0.0)
        prompt = make_prompt()
        prefill_ms = estimate_prefill_ms(prompt, INITIAL_PERFORMANCE, is_cached=True)
        with count_request(listed, prompt, prefill_ms) as pending_prefill_ms:
            found = self.list(make_upstream("e1"))[0]
            self.assertEqual(found.requests, 4)
            self.assertEqual(found.queued_ms, 70.0)
            self.assertGreater(found.prefill_ms, 250 + 3720 / 37.9)
            self.assertEqual(found.held_tokens, 9000 + 3720 + 120)
            mark_prefilled(listed, pending_prefill_ms)
            found = self.list(make_upstream("e1"))[0]
            self.assertEqual((found.requests, found.prefill_ms), (4, 250.0))
        # The load of a silent process no longer counts.
        found = self.list(make_upstream("e1"), now_s=10.0)[0]
        self.assertEqual((found.requests, found.prefill_ms), (0, 0.0))

    def test_older_reports_that_arrive_later_are_ignored(self):
        self.list(make_upstream("e1"))

        def record(heartbeat_count: int, requests: int, incarnation: int = 1) -> int:
            peer = make_member(
                "10.1.0.2", incarnation=incarnation, heartbeat_count=heartbeat_count
            )
            table = {make_load_tag(make_upstream("e1")): (requests, 0, 0, 0)}
            self.loads.record_peer_loads(peer, table, 0.0)
            return self.list(make_upstream("e1"))[0].requests

        self.assertEqual(record(5, 3), 3)
        self.assertEqual(record(4, 9), 3)
        self.assertEqual(record(6, 1), 1)
        # The counts of a restarted process start anew.
        self.assertEqual(record(1, 2, incarnation=2), 2)

    def test_the_connection_limit_is_divided_over_all_vms(self):
        self.members.merge([make_member("10.1.0.2")], 0.0)
        services = {"pool": Service("pool", 4, 0, 0, EngineLimits(64, 294_902))}
        self.list(make_upstream("e1"))
        listed = self.upstreams.find("e1")
        with count_request(listed, None, 0.0):
            self.assertEqual(self.list(make_upstream("e1"), services=services), [])

    def test_loads_that_are_all_zero_are_replaced_like_others(self):
        self.list(make_upstream("e1"))
        table = {make_load_tag(make_upstream("e1")): (0, 0, 0, 0)}
        for heartbeat_count in (1, 2, 3):
            for ip in ("10.1.0.2", "10.1.0.3"):
                peer = make_member(ip, heartbeat_count=heartbeat_count)
                self.loads.record_peer_loads(peer, table, 0.0)
        self.assertEqual(self.list(make_upstream("e1"), now_s=9.0)[0].requests, 0)

    def test_a_share_below_one_connection_is_still_a_limit(self):
        rows = [make_member(f"10.1.0.{number}") for number in range(2, 30)]
        self.members.merge(rows, 0.0)
        services = {"pool": Service("pool", 4, 0, 0, EngineLimits(64, 294_902))}
        self.list(make_upstream("e1"))
        listed = self.upstreams.find("e1")
        self.assertEqual(len(self.list(make_upstream("e1"), services=services)), 1)
        with count_request(listed, None, 0.0):
            self.assertEqual(self.list(make_upstream("e1"), services=services), [])


class CachedSegmentTests(unittest.TestCase):
    def test_cached_segments_are_announced_to_peers(self):
        upstreams = UpstreamList()
        upstreams.adopt([make_upstream("e1"), make_upstream("e2")], 1, 0.0)
        loads = UpstreamLoads(upstreams, "gulf")
        loads.engine_memory_tokens = 294_902
        loads.record_own_segment(make_upstream("e1"), "h1", 13_300, 0.0)
        uses = [(make_start_tag(make_upstream("e1")), "h1", 13_300)]
        self.assertEqual(loads.list_segment_uses(0.1), uses)
        self.assertEqual(loads.list_segment_uses(9.0), [])
        self.assertEqual(loads.list_region_segments(0.1), ["h1"])
        # Engines may have evicted what was not used for long.
        self.assertEqual(loads.list_region_segments(60.0), [])
        members = make_members()
        found = {
            each.upstream_id: loads.is_cached("h1", each)
            for each in list_local_candidates(
                make_catalogue(), "pool", upstreams, loads, members, 0.0
            )
        }
        self.assertEqual(found, {"e1": True, "e2": False})

    def test_other_regions_report_their_cached_segments(self):
        loads = UpstreamLoads(UpstreamList(), "gulf")
        loads.engine_memory_tokens = 294_902
        remote = make_candidate("e1", "delta")
        self.assertFalse(loads.is_cached("h1", remote))
        loads.store_region_report("delta", {}, ["h1"], 0.0)
        self.assertTrue(loads.is_cached("h1", remote))
        loads.record_forwarded_segment("delta", "h2", 100)
        self.assertTrue(loads.is_cached("h2", remote))


class RestartTests(unittest.TestCase):
    """A peer reports what it did with an earlier incarnation, or with a later one."""

    def setUp(self):
        self.before = make_upstream("e1")
        self.after = make_upstream("e1", started_ms=2, revision=2)
        self.peer = make_member("10.1.0.2")

    def make_loads(self, upstream):
        upstreams = UpstreamList()
        upstreams.adopt([upstream], upstream.revision, 0.0)
        return UpstreamLoads(upstreams, "gulf")

    def test_loads_of_another_incarnation_are_not_counted(self):
        for known, reported in ((self.after, self.before), (self.before, self.after)):
            with self.subTest(known=known.started_ms):
                loads, peer = self.make_loads(known), self.make_loads(reported)
                with count_request(peer._upstreams.find("e1"), make_prompt(), 200.0):
                    loads.record_peer_loads(self.peer, peer.list_own_loads(0.0), 0.0)
                self.assertEqual(loads.sum_region_load("e1", 0.1), (0, 0, 0, 0))

    def test_segments_cached_by_another_incarnation_do_not_count_as_cached(self):
        for known, reported in ((self.after, self.before), (self.before, self.after)):
            with self.subTest(known=known.started_ms):
                loads, peer = self.make_loads(known), self.make_loads(reported)
                loads.engine_memory_tokens = 294_902
                peer.record_own_segment(reported, "h1", 13_300, 0.0)
                for use in peer.list_segment_uses(0.1):
                    loads.record_segment(*use, 0.1)
                self.assertFalse(loads.is_cached("h1", make_candidate("e1")))


if __name__ == "__main__":
    unittest.main()
