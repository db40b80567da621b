import unittest

from banyanseam.peers.errors import PeerUnreachable
from banyanseam.peers.forward_messages import ForwardEnd, ForwardOpen
from banyanseam.pipe.errors import ForwardFailed
from banyanseam.pipe.forward import Forwarder
from tests.common import FakeFabric, make_config, make_exchange, run_mocked


class ForwardTests(unittest.TestCase):
    def forward(self, expected, *, reaches, was_started):
        async def run():
            fabric = FakeFabric()
            entry = fabric.join("gulf-1")
            forwarder = Forwarder(entry)
            if reaches:
                delta = fabric.join("delta-1")
                end = ForwardEnd(
                    stream=1, outcome="failed", not_run=True, upstream_started=False
                )
                delta.handle_cast(
                    ForwardOpen, lambda peer, _: entry.casts[ForwardEnd](delta.me, end)
                )
            exchange = make_exchange(
                route=make_config().routes["chat"], upstream_started=was_started
            )
            with self.assertRaises(expected):
                await forwarder.forward(exchange, "delta-1")
            return exchange

        return run_mocked(run)

    def test_a_forward_never_unsays_that_an_earlier_try_started(self):
        for expected, reaches in ((PeerUnreachable, False), (ForwardFailed, True)):
            for was_started in (False, True):
                with self.subTest(reaches=reaches, was_started=was_started):
                    exchange = self.forward(
                        expected, reaches=reaches, was_started=was_started
                    )
                    self.assertEqual(exchange.upstream_started, was_started)
