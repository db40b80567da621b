import unittest

import anyio

from banyanseam.idempotency.client import HomeClient
from banyanseam.idempotency.homes import Homes
from banyanseam.idempotency.keyed_request import make_keyed_request
from banyanseam.idempotency.mapping import make_mapping
from banyanseam.idempotency.messages import KeyClaimed
from banyanseam.idempotency.models import Scope
from banyanseam.peers.errors import InvalidPeerMessage, PeerCallFailed
from banyanseam.peers.messages import PeerIdentity
from tests.common import run_with_mock_clock
from tests.idempotency.fleet import make_clinic_config, make_key


class StartingNetwork:
    """Refuses the first three calls, as a process that has just started does."""

    def __init__(self) -> None:
        self.refusals_left = 3

    async def call(self, seat, message, reply_type, timeout_s):
        if self.refusals_left:
            self.refusals_left -= 1
            code = InvalidPeerMessage.code
            raise PeerCallFailed(code, "not a call", peer_not_run=False)
        return KeyClaimed(state="granted")


class ClientTests(unittest.TestCase):
    def test_a_claim_waits_for_a_home_that_has_just_started(self):
        async def run():
            homes = Homes(PeerIdentity("elsewhere", 1))
            homes.adopt(make_mapping(make_clinic_config()))
            now_s = anyio.current_time()
            async with anyio.create_task_group() as tasks:
                client = HomeClient(
                    PeerIdentity("elsewhere", 1),
                    homes,
                    StartingNetwork(),
                    tasks.start_soon,
                )
                scope = Scope("acme", make_key(0.0))
                keyed = make_keyed_request(scope, "clinic", "f", now_s, now_s + 30)
                verdict = await client.acquire(keyed)
            self.assertTrue(verdict.granted)

        run_with_mock_clock(run)
