import unittest

import anyio

from banyanseam.idempotency.errors import NotHome
from banyanseam.idempotency.home_locator import HomeLocator
from banyanseam.idempotency.homes import Homes
from banyanseam.idempotency.mapping import make_mapping
from banyanseam.peers.errors import PeerUnreachable
from banyanseam.peers.messages import PeerIdentity
from tests.common import make_config

ME = PeerIdentity("gulf-1", 1)


class HomeLocatorTests(unittest.TestCase):
    def reach(self, failures: dict[str, type[Exception]], first: str | None) -> str:
        """Return the seat that is reached for the home at gulf-2."""

        async def act(home) -> str:
            return home.seat

        async def ask(seat: str) -> str:
            if seat in failures:
                raise failures[seat](seat)
            return seat

        async def run() -> str:
            homes = Homes(ME)
            homes.adopt(make_mapping(make_config()))
            locator = HomeLocator(ME, homes, network=None)
            if first is not None:
                locator._last_seats["gulf-2"] = first
            return await locator.reach("gulf-2", act, ask)

        return anyio.run(run)

    def test_an_unreachable_home_is_reported_rather_than_idle_standbys(self):
        """The answers of standbys that don't act must not hide the lost link."""
        failures = {"gulf-2": PeerUnreachable, "gulf-3": NotHome}
        for first in (None, "gulf-1", "gulf-2", "gulf-3"):
            with self.subTest(first=first), self.assertRaises(PeerUnreachable):
                self.reach(failures, first)

    def test_a_home_for_which_no_process_acts_is_reported(self):
        failures = {"gulf-2": NotHome, "gulf-3": NotHome}
        with self.assertRaises(NotHome):
            self.reach(failures, None)

    def test_a_standby_that_acts_is_reached(self):
        self.assertEqual(self.reach({"gulf-2": PeerUnreachable}, None), "gulf-3")


if __name__ == "__main__":
    unittest.main()
