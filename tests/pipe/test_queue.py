import random
import unittest

import anyio

from banyanseam.errors import BanyanseamError
from banyanseam.peers.errors import PeerUnreachable
from banyanseam.pipe.models import Cost, Exchange
from banyanseam.pipe.queue import make_queue, read_prompt
from banyanseam.upstreams.choose import RemoteRegion
from banyanseam.upstreams.errors import (
    UpstreamFailed,
    UpstreamRefused,
    UpstreamUnreachable,
)
from tests.common import run_mocked
from tests.upstreams.test_room import SEATS, Gulf


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
                places = gulf.places[SEATS[0]]
                if forward is not None:
                    choose = places.choose
                    places.choose = lambda *args, may_forward: (
                        RemoteRegion("delta")
                        if may_forward
                        else choose(*args, may_forward=False)
                    )
                filter_ = make_queue(
                    gulf.rooms[SEATS[0]],
                    places,
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
                self.assertEqual(gulf.rooms[SEATS[0]]._grants, {})
                # The room is free again, at the latest when a cut run is over.
                await gulf.reserve(SEATS[1], 8_000)
            return exchange, caught

        return run_mocked(run)

    def test_room_is_given_back_however_the_request_ends(self):
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

    def test_unreachable_region_falls_back_home(self):
        served = []

        async def next_(exchange) -> None:
            served.append(exchange.upstream)

        async def forward(exchange, region) -> None:
            raise PeerUnreachable(region)

        self.run_filter(next_, forward=forward)
        self.assertEqual(served, ["gulf-engine-1"])

    def test_lost_forward_is_not_tried_again(self):
        async def next_(exchange) -> None:
            self.fail("a request that may have run was run again")

        async def forward(exchange, region) -> None:
            exchange.upstream_started = True
            raise UpstreamFailed(region)

        _, caught = self.run_filter(next_, forward=forward)
        self.assertIsInstance(caught, UpstreamFailed)

    def test_prompt_is_read_or_empty(self):
        generator = random.Random(1)
        self.assertEqual(
            read_prompt(b'{"messages":[{"content":"a"},{"content":"b"}]}'), b"a\nb"
        )
        for bad in (b"", b"[]", b'{"messages":3}', generator.randbytes(50)):
            self.assertEqual(read_prompt(bad), b"")


if __name__ == "__main__":
    unittest.main()
