"""Checks when it is uncertain which version under an id began a stream."""

import unittest
from collections.abc import Callable
from dataclasses import replace

import anyio

from banyanseam.entry.models import Upstream
from banyanseam.entry.origins.messages import from_origin_row, to_origin_row
from banyanseam.entry.origins.records import OriginRecord, OriginRecords
from banyanseam.entry.upstream_list import UpstreamList
from tests.common import run_with_mock_clock
from tests.entry.common import make_upstream

KEY = 7
STEP_S = 0.5
FIRST = make_upstream("e1", started_ms=1, revision=1, software="v1")
SECOND = make_upstream("e1", started_ms=2, revision=2, software="v2")
THIRD = make_upstream("e1", started_ms=3, revision=3, software="v3")
OTHER = make_upstream("e2", address="10.9.0.2:80", started_ms=1, revision=1)
OTHER_RESTARTED = make_upstream(
    "e2", address="10.9.0.2:80", started_ms=2, revision=2, software="v2"
)


class DoubtTests(unittest.TestCase):
    def find_software(
        self,
        choose_listing: Callable[[float], tuple[list[Upstream], int] | None],
        begun_s: float,
        until_s: float,
    ) -> str | None:
        """Return the software of a stream that began at the listed first incarnation.

        `choose_listing` returns the store's list and era at a time, None while it is
        out of reach.
        """

        async def run() -> str | None:
            upstreams = UpstreamList()
            records = OriginRecords(upstreams)
            now_s = began_s = anyio.current_time()
            while now_s - began_s <= until_s:
                found = choose_listing(now_s - began_s)
                if found is not None:
                    listing, era = found
                    revision = max(each.revision for each in listing)
                    upstreams.adopt(listing, revision, now_s, era=era)
                upstreams.record_running(now_s)
                if now_s - began_s == begun_s:
                    records.record(KEY, OriginRecord(FIRST.origin, now_s), now_s)
                await anyio.sleep(STEP_S)
                now_s = anyio.current_time()
            return records.find(KEY, now_s).origin.software

        return run_with_mock_clock(run)

    def test_a_stream_that_began_before_a_restart_keeps_its_version(self):
        software = self.find_software(
            lambda at_s: ([FIRST if at_s < 12 else SECOND], 0), 6.0, 14.0
        )
        self.assertEqual(software, "v1")

    def test_a_stream_that_began_around_a_restart_has_no_known_version(self):
        software = self.find_software(
            lambda at_s: ([FIRST if at_s < 12 else SECOND], 0), 11.0, 14.0
        )
        self.assertIsNone(software)

    def test_a_list_that_lacked_the_upstream_in_between_leaves_a_doubt(self):
        def choose_listing(at_s: float) -> tuple[list[Upstream], int]:
            if at_s < 12:
                return [FIRST, OTHER], 0
            return ([OTHER] if at_s < 13 else [SECOND, OTHER]), 0

        self.assertIsNone(self.find_software(choose_listing, 11.5, 15.0))

    def test_a_process_that_started_after_a_restart_has_the_doubt(self):
        software = self.find_software(lambda _: ([SECOND], 0), 1.0, 3.0)
        self.assertIsNone(software)

    def test_a_restart_while_the_store_was_away_may_be_listed_after_its_return(self):
        """The upstream writes again a moment later, so two lists lack the restart."""
        for away_s in (2.0, 4.0, 60.0):

            def choose(
                at_s: float, away_s: float = away_s
            ) -> tuple[list[Upstream], int] | None:
                if 10 <= at_s < 10 + away_s:
                    return None
                return [FIRST if at_s < 10 + away_s + 2 else SECOND], 0

            with self.subTest(away_s=away_s):
                begun_s = 10 + away_s - 1.5
                software = self.find_software(choose, begun_s, begun_s + 5)
                self.assertIsNone(software)

    def test_a_store_that_came_back_from_a_copy_lacks_a_restart(self):
        software = self.find_software(
            lambda at_s: (
                [FIRST if at_s < 12.5 else SECOND],
                0 if at_s < 10.5 else 1,
            ),
            9.5,
            14.0,
        )
        self.assertIsNone(software)

    def test_other_restarts_do_not_end_a_doubt(self):
        """Two upstreams started again while the store was away for long."""

        def choose(at_s: float) -> tuple[list[Upstream], int] | None:
            if at_s < 2:
                return [FIRST, OTHER], 0
            return None if at_s < 50 else ([SECOND, OTHER_RESTARTED], 0)

        self.assertIsNone(self.find_software(choose, 45.0, 52.0))

    def test_a_second_restart_does_not_end_a_doubt(self):
        def choose(at_s: float) -> tuple[list[Upstream], int]:
            if at_s < 10:
                return [FIRST], 0
            return [SECOND if at_s < 16 else THIRD], 0

        self.assertIsNone(self.find_software(choose, 9.0, 18.0))

    def test_a_peer_that_has_not_noticed_a_restart_shares_the_doubt(self):
        async def run() -> tuple[str | None, ...]:
            now_s = anyio.current_time()
            noticed, behind = UpstreamList(), UpstreamList()
            for upstreams in (noticed, behind):
                upstreams.adopt([FIRST], 1, now_s)
            own, peers = OriginRecords(noticed), OriginRecords(behind)
            own.record(KEY, OriginRecord(FIRST.origin, now_s), now_s)
            noticed.adopt([SECOND], 2, now_s)
            row = to_origin_row(KEY, own.find(KEY, now_s), now_s)
            peers.record(KEY, from_origin_row(row, now_s), now_s)
            found = [each.find(KEY, now_s).origin.software for each in (own, peers)]
            behind.adopt([SECOND], 2, now_s)
            return (*found, peers.find(KEY, now_s).origin.software)

        self.assertEqual(run_with_mock_clock(run), (None, None, None))

    def test_a_version_that_is_learned_late_is_in_doubt_too(self):
        async def run() -> str | None:
            now_s = anyio.current_time()
            upstreams = UpstreamList()
            upstreams.adopt([FIRST], 1, now_s)
            records = OriginRecords(upstreams)
            origin = replace(FIRST.origin, software=None)
            records.record(KEY, OriginRecord(origin, now_s), now_s)
            upstreams.adopt([SECOND], 2, now_s)
            return records.find(KEY, now_s).origin.software

        self.assertIsNone(run_with_mock_clock(run))


if __name__ == "__main__":
    unittest.main()
