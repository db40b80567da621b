import random
import unittest

import anyio

from banyanseam.errors import BanyanseamError
from banyanseam.peers.errors import PeerUnreachable
from banyanseam.pipe.errors import ForwardFailed, RegionUnreachable
from banyanseam.pipe.models import Cost, Exchange
from banyanseam.pipe.queue import extract_prompt, make_queue_filter
from banyanseam.upstreams.choose import RegionSummary, RemoteRegion
from banyanseam.upstreams.const import FAILURES_TO_EJECT
from banyanseam.upstreams.errors import (
    AllTried,
    UpstreamFailed,
    UpstreamRefused,
    UpstreamUnreachable,
)
from banyanseam.upstreams.models import Outcome
from tests.common import run_with_mock_clock
from tests.upstreams.test_lease_client import SEATS, Gulf


class Withdrawn(BanyanseamError):
    not_run = True


def make_exchange(gulf) -> Exchange:
    body = b'{"messages":[{"content":"hello"}]}'
    exchange = Exchange(
        request_id="r1",
        method="POST",
        path="/v1/chat/completions",
        raw_path=b"/v1/chat/completions",
        query=b"",
        headers=[],
        body=body,
        received_s=0.0,
        reply=None,
    )
    exchange.organisation = gulf.config.organisations["acme"]
    exchange.route = gulf.config.routes["chat"]
    exchange.model = "oak"
    exchange.deadline_s = anyio.current_time() + 5
    exchange.cost = Cost(4_000, 4_000)
    return exchange


class QueueFilterTests(unittest.TestCase):
    def run_filter(self, next_, recheck=lambda exchange: None, forward=None):
        """Return the exchange and the error after the filter ran once."""

        async def run() -> tuple[Exchange, BanyanseamError | None]:
            gulf = Gulf()
            async with gulf.run():
                destinations = gulf.destinations[SEATS[0]]
                if forward is not None:
                    choose = destinations.choose
                    destinations.choose = lambda *args, may_forward: (
                        RemoteRegion("delta")
                        if may_forward
                        else choose(*args, may_forward=False)
                    )
                filter_ = make_queue_filter(
                    gulf.lease_clients[SEATS[0]],
                    destinations,
                    "gulf",
                    lambda: gulf.config,
                    forward,
                    recheck,
                )
                exchange = make_exchange(gulf)
                caught = None
                try:
                    await filter_(exchange, next_)
                except BanyanseamError as error:
                    caught = error
                self.assertEqual(gulf.lease_clients[SEATS[0]]._grants, {})
                # The capacity is free again, at the latest after a cancelled run ends.
                await gulf.reserve(SEATS[1], 8_000)
            return exchange, caught

        return run_with_mock_clock(run)

    def test_capacity_is_released_however_the_request_ends(self):
        cases = {
            "answered": (None, False, False),
            "unreachable": (UpstreamUnreachable, False, True),
            "refused": (UpstreamRefused, False, True),
            "failed": (UpstreamFailed, True, True),
        }
        for name, (error, is_started, is_avoided) in cases.items():

            async def next_(exchange, error=error) -> None:
                self.assertEqual(exchange.grant.upstream, exchange.upstream)
                exchange.upstream_started = error is not UpstreamUnreachable
                if error is not None:
                    raise error

            with self.subTest(name):
                exchange, caught = self.run_filter(next_)
                self.assertEqual(type(caught), error or type(None))
                self.assertEqual(bool(exchange.avoided_upstreams), is_avoided)
                if error is not None:
                    self.assertEqual(exchange.upstream_started, is_started)

    def test_key_withdrawn_while_queued_is_refused(self):
        async def next_(exchange) -> None:
            self.fail("a withdrawn key was served")

        def recheck(exchange) -> None:
            raise Withdrawn

        _, caught = self.run_filter(next_, recheck)
        self.assertIsInstance(caught, Withdrawn)

    def test_an_unreachable_region_falls_back_to_the_local_region(self):
        served = []

        async def next_(exchange) -> None:
            served.append(exchange.upstream)

        async def forward(exchange, region) -> None:
            raise PeerUnreachable(region)

        self.run_filter(next_, forward=forward)
        self.assertEqual(served, ["gulf-engine-1"])

    def test_an_outdated_row_of_an_unusable_pool_attracts_no_request(self):
        """The upstream was ejected after this entry's last report on its pool."""

        async def run() -> list[str]:
            gulf, served = Gulf(), []
            async with gulf.run():
                seat = next(seat for seat in SEATS if seat != gulf.keeper)
                destinations = gulf.destinations[seat]
                summary = RegionSummary("delta", 50_000, 50_000, 0, 1000.0, -100.0)
                destinations._regions.list_summaries = lambda *_: [summary]
                (row,) = destinations.list_rows()
                self.assertEqual(row.usable, 1)
                for _ in range(FAILURES_TO_EJECT):
                    grant = await gulf.reserve(gulf.keeper, 1_000)
                    await gulf.release(gulf.keeper, grant, Outcome.FAILED)
                destinations.record_rows([row], anyio.current_time())

                async def forward(exchange, region) -> None:
                    served.append(region)

                async def next_(exchange) -> None:
                    served.append(exchange.upstream)

                filter_ = make_queue_filter(
                    gulf.lease_clients[seat],
                    destinations,
                    "gulf",
                    lambda: gulf.config,
                    forward,
                    lambda exchange: None,
                )
                await filter_(make_exchange(gulf), next_)
            return served

        self.assertEqual(run_with_mock_clock(run), ["delta"])

    def test_a_retry_without_another_upstream_fails_at_once(self):
        async def run() -> float:
            gulf = Gulf()
            async with gulf.run():
                exchange = make_exchange(gulf)
                exchange.regions = frozenset({"gulf"})
                exchange.upstream_started = True
                exchange.avoided_upstreams = {"gulf-engine-1"}
                begun_s = anyio.current_time()
                seat = SEATS[0]
                filter_ = make_queue_filter(
                    gulf.lease_clients[seat],
                    gulf.destinations[seat],
                    "gulf",
                    lambda: gulf.config,
                    None,
                    lambda exchange: None,
                )
                with self.assertRaises(AllTried):
                    await filter_(exchange, None)
                return anyio.current_time() - begun_s

        self.assertEqual(run_with_mock_clock(run), 0)

    def run_without_local_upstream(self, forward, regions=("delta", "piedmont")):
        """Return the error of a request that only other regions can serve."""

        async def run() -> BanyanseamError | None:
            gulf = Gulf()
            async with gulf.run():
                destinations = gulf.destinations[SEATS[0]]
                destinations._list_pools = lambda *_: []
                destinations._list_allowed = lambda *_: {"gulf", *regions}
                destinations._regions.list_summaries = lambda *_: [
                    RegionSummary(name, 50_000, 50_000, 10 * index, 1000.0, -100.0)
                    for index, name in enumerate(regions)
                ]
                filter_ = make_queue_filter(
                    gulf.lease_clients[SEATS[0]],
                    destinations,
                    "gulf",
                    lambda: gulf.config,
                    forward,
                    lambda exchange: None,
                )
                try:
                    await filter_(make_exchange(gulf), None)
                except BanyanseamError as error:
                    return error
            return None

        return run_with_mock_clock(run)

    def test_the_next_region_follows_one_without_upstreams(self):
        """Its summary may predate the configuration that removed its upstreams."""
        asked = []

        async def forward(exchange, region) -> None:
            asked.append(region)
            if region == "delta":
                raise ForwardFailed(
                    "upstreams.none_allowed", "oak", 421, not_run=True, retry_after_ms=1
                )

        self.assertIsNone(self.run_without_local_upstream(forward))
        self.assertEqual(asked, ["delta", "piedmont"])

    def test_a_briefly_unreachable_region_is_tried_again(self):
        """Heartbeats may be late while the region is up."""
        asked = []

        async def forward(exchange, region) -> None:
            asked.append(region)
            if len(asked) < 5:
                raise RegionUnreachable(region)

        self.assertIsNone(self.run_without_local_upstream(forward, ("delta",)))
        self.assertEqual(asked, ["delta"] * 5)

    def test_a_permanently_unreachable_region_fails_in_time(self):
        async def forward(exchange, region) -> None:
            raise RegionUnreachable(region)

        caught = self.run_without_local_upstream(forward, ("delta",))
        self.assertIsInstance(caught, RegionUnreachable)
        self.assertTrue(caught.not_run)

    def test_no_region_is_asked_after_one_that_may_have_run_it(self):
        asked = []

        async def forward(exchange, region) -> None:
            asked.append(region)
            exchange.upstream_started = True
            raise ForwardFailed(
                "upstreams.failed", "oak", 502, not_run=False, retry_after_ms=None
            )

        caught = self.run_without_local_upstream(forward)
        self.assertIsInstance(caught, ForwardFailed)
        self.assertEqual(asked, ["delta"])

    def test_lost_forward_is_not_tried_again(self):
        async def next_(exchange) -> None:
            self.fail("a request that may have run was run again")

        async def forward(exchange, region) -> None:
            exchange.upstream_started = True
            raise UpstreamFailed(region)

        _, caught = self.run_filter(next_, forward=forward)
        self.assertIsInstance(caught, UpstreamFailed)

    def test_prompt_is_read_or_empty(self):
        rng = random.Random(1)
        self.assertEqual(
            extract_prompt(b'{"messages":[{"content":"a"},{"content":"b"}]}'), b"a\nb"
        )
        for bad in (b"", b"[]", b'{"messages":3}', rng.randbytes(50)):
            self.assertEqual(extract_prompt(bad), b"")


if __name__ == "__main__":
    unittest.main()
