import unittest

import anyio

from banyanseam.entry.choosing import Chooser, choose_retry_after_ms
from banyanseam.entry.const import NO_CAPACITY_WAIT_SHARE
from banyanseam.entry.errors import NoUpstreamKnown, RegionsFull
from banyanseam.entry.messages import make_load_tag
from banyanseam.entry.reach import PeerReachability
from banyanseam.entry.unreached.records import UnreachedUpstreams
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.upstreams import UpstreamLoads
from tests.common import run_with_mock_clock
from tests.entry.common import (
    make_exchange,
    make_member,
    make_members,
    make_organisation,
    make_upstream,
)

FULL = {make_load_tag(make_upstream("e1")): (200, 1500, 0, 0)}


class WaitShareTests(unittest.TestCase):
    def test_a_stream_waits_longer_only_while_versions_split_the_upstreams(self):
        origin = make_upstream("e1", software="v1").origin
        others = [make_upstream("e2", address="10.9.0.2:80", software="v2")]
        for listing, stream_origin, is_longer in (
            ([], origin, False),
            (others, origin, True),
            (others, None, False),
        ):
            upstreams = UpstreamList()
            upstreams.adopt([make_upstream("e1", software="v1"), *listing], 1, 0.0)
            members = make_members()
            chooser = Chooser(
                members,
                upstreams,
                UpstreamLoads(upstreams, "gulf"),
                PeerReachability(),
                UnreachedUpstreams(upstreams, members),
            )
            exchange = make_exchange(0.0, origin=stream_origin)
            with self.subTest(listing):
                share = chooser.choose_wait_share(exchange, 0.0)
                self.assertEqual(share > NO_CAPACITY_WAIT_SHARE, is_longer)


class ChooserTests(unittest.TestCase):
    def find(self, *, upstreams=None, loads=None, **fields):
        """Return the placement or the error for one request, and the time it took."""

        async def run():
            now_s = anyio.current_time()
            upstream_list = UpstreamList()
            upstream_list.adopt(
                [make_upstream()] if upstreams is None else upstreams, 1, now_s
            )
            all_loads = UpstreamLoads(upstream_list, "gulf")
            all_loads.record_peer_loads(make_member("10.1.0.2"), loads or {}, now_s)
            members = make_members()
            chooser = Chooser(
                members,
                upstream_list,
                all_loads,
                PeerReachability(),
                UnreachedUpstreams(upstream_list, members),
            )
            try:
                found = await chooser.wait_for_placement(make_exchange(now_s, **fields))
            except (NoUpstreamKnown, RegionsFull) as error:
                found = error
            return found, anyio.current_time() - now_s

        return run_with_mock_clock(run)

    def test_a_free_engine_is_found_at_once(self):
        placement, took_s = self.find()
        self.assertEqual((placement.candidate.upstream_id, took_s), ("e1", 0.0))

    def test_a_request_that_cannot_start_in_time_is_refused_at_once(self):
        refusal, took_s = self.find(loads=FULL)
        self.assertIsInstance(refusal, RegionsFull)
        self.assertTrue(refusal.not_run)
        self.assertEqual(took_s, 0.0)

    def test_a_stream_that_has_begun_may_wait_as_long_as_its_deadline_allows(self):
        placement, _ = self.find(loads=FULL, last_event=7)
        self.assertEqual(placement.candidate.upstream_id, "e1")
        refused, _ = self.find(loads=FULL, last_event=7, deadline_s=0.5)
        self.assertIsInstance(refused, RegionsFull)

    def test_a_request_without_registered_upstream_is_refused_at_once(self):
        elsewhere = make_upstream(data_centre="delta-a")
        for name, upstreams in (
            ("no upstream", []),
            ("another service", [make_upstream(service="desk")]),
            ("outside of the home region", [elsewhere]),
        ):
            fields = {}
            if name == "outside of the home region":
                homes = frozenset({"gulf"})
                fields["organisation"] = make_organisation(home_regions=homes)
            refusal, took_s = self.find(upstreams=upstreams, **fields)
            with self.subTest(name):
                self.assertIsInstance(refusal, NoUpstreamKnown)
                self.assertEqual(took_s, 0.0)
                self.assertGreater(refusal.retry_after_ms, 1000)

    def test_a_request_that_another_region_may_serve_waits(self):
        """Another region has an upstream, but no heartbeat of it has arrived."""
        refusal, took_s = self.find(upstreams=[make_upstream(data_centre="delta-a")])
        self.assertIsInstance(refusal, NoUpstreamKnown)
        self.assertGreater(took_s, 0.3)

    def test_retry_delays_are_spread_and_within_the_time_left(self):
        delays_ms = {choose_retry_after_ms(400.0, 4000.0) for _ in range(200)}
        self.assertGreater(len(delays_ms), 50)
        self.assertLessEqual(max(delays_ms), 4000 / 3)
        self.assertGreaterEqual(min(delays_ms), 400)


if __name__ == "__main__":
    unittest.main()
