"""Guards against a daemon that ends because a link closed while it sent a cast."""

import random
import unittest

import anyio

from banyanseam.peers.errors import PeerCallLost
from banyanseam.peers.messages import Message, PeerIdentity
from banyanseam.upstreams.context import Context
from banyanseam.upstreams.destinations import DestinationChooser
from banyanseam.upstreams.handovers import Handovers
from banyanseam.upstreams.keeper import Keeper
from banyanseam.upstreams.lease_client import LeaseClient
from banyanseam.upstreams.models import Grant, LeaseKey, Outcome
from banyanseam.upstreams.pools import list_pools
from banyanseam.upstreams.regions import RegionSummaries
from tests.common import FakeFabric, FakeNetwork, make_config, run_with_mock_clock


class ClosingNetwork(FakeNetwork):
    """Its links close while a message is being sent."""

    async def cast(self, seat: str, message: Message) -> None:
        raise PeerCallLost(seat)


def make_context() -> Context:
    me = PeerIdentity("gulf-1", 1)
    config = make_config()
    network = ClosingNetwork(FakeFabric(), me)
    return Context(me, "gulf", network, lambda: config, lambda _: ["gulf-2"])


class ClosingLinkTests(unittest.TestCase):
    def test_a_keeper_survives_a_handover_that_is_lost(self):
        async def run():
            context = make_context()
            (pool,) = list_pools(context.get_config(), "gulf")
            handovers = Handovers(context)
            handovers.prepare(pool, {"gulf-engine-1": {LeaseKey("gulf-1", 1, 1): 9}})
            async with anyio.create_task_group() as tasks:
                handovers.send(tasks)

        run_with_mock_clock(run)

    def test_a_request_survives_a_release_that_is_lost(self):
        async def run():
            context = make_context()
            (pool,) = list_pools(context.get_config(), "gulf")
            keeper = Keeper(context, None)
            chooser = DestinationChooser(context, RegionSummaries(), random.Random(1))
            leases = LeaseClient(context, keeper, chooser, random.Random(1))
            grant = Grant(1, pool, "gulf-engine-1", "gulf-2", 9, 0, 1.0)
            await leases.release(grant, Outcome.UNUSED)

        run_with_mock_clock(run)
