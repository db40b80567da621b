import unittest

import anyio

from banyanseam.entry.const import PEER_TERM_S
from banyanseam.entry.crash_suspects import CrashSuspects
from banyanseam.entry.fleet import Fleet
from banyanseam.entry.members import Members
from banyanseam.entry.messages import Gossip, to_member_row
from banyanseam.entry.models import EntrySettings
from banyanseam.entry.quota import FleetQuota
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.upstreams import Loads
from banyanseam.entry.values import Decoders, Values
from tests.common import run_mocked
from tests.entry.common import BOUNDS, REGIONS, make_member, make_organisation

ORGANISATION = make_organisation()


def make_fleet(ip: str = "10.1.0.1", region: str = "gulf") -> Fleet:
    settings = EntrySettings(
        vm=ip,
        ip=ip,
        data_centre=f"{region}-a",
        region=region,
        regions=REGIONS,
        callers_address=f"{ip}:1",
        readiness_address=f"{ip}:2",
        directory_address=f"{ip}:3",
        operators_address=f"{ip}:4",
        peers_port=5,
        gossip_port=5,
        first_peers=(),
        platform_address="10.9.0.1:6",
        memory_mb=300,
        bounds=BOUNDS,
    )
    upstreams = UpstreamList()
    quota = FleetQuota()
    quota.configure({"acme": ORGANISATION}, anyio.current_time())
    decoders = Decoders("", lambda _: None, lambda _: None, lambda _: None)
    return Fleet(
        settings,
        Members(make_member(ip, region), REGIONS),
        Values(decoders, upstreams),
        upstreams,
        Loads(upstreams, region),
        quota,
        CrashSuspects(),
    )


def speak(fleet: Fleet, *, to: str | None) -> Gossip:
    fleet.members.beat(is_serving=True, is_accepting=True, running=0)
    return fleet._describe(to)


class FleetTests(unittest.TestCase):
    def test_whoever_passes_a_process_on_passes_on_what_it_spends(self):
        """One of a region cannot hear another, and a third one hears both."""

        async def run():
            first, third, other = (make_fleet(f"10.1.0.{n}") for n in (1, 3, 2))
            # From here on they no longer start from one another's levels.
            await anyio.sleep(PEER_TERM_S + 0.1)
            for cost in (0, 300, 200):
                first._quota.charge(ORGANISATION, cost, anyio.current_time())
                third._take(speak(first, to="gulf"))
                other._take(speak(third, to="gulf"))
            self.assertEqual(len(other.members.list_alive(anyio.current_time())), 2)
            return other._quota.list_levels()

        self.assertEqual(run_mocked(run), {"acme": 500})

    def test_another_region_hears_of_this_one_alone(self):
        async def run():
            mine, near, far = (
                make_fleet("10.1.0.1"),
                make_fleet("10.1.0.2"),
                make_fleet("10.2.0.1", "piedmont"),
            )
            mine._take(speak(near, to="gulf"))
            mine._take(speak(far, to="gulf"))
            told = speak(mine, to="delta")
            everything = speak(mine, to=None)
            return [row[0] for row in told.members], len(everything.members)

        told, known = run_mocked(run)
        self.assertEqual(told, ["10.1.0.1", "10.1.0.2"])
        self.assertEqual(known, 3)

    def test_two_of_a_region_speak_for_it_and_another_when_one_falls_silent(self):
        async def run():
            fleets = [make_fleet(f"10.1.0.{number}") for number in range(1, 5)]
            rows = [fleet.members.me for fleet in fleets]
            for fleet in fleets:
                fleet.members.merge(rows, anyio.current_time())
            spoken = [
                bool(fleet._list_regions_to_tell(anyio.current_time()))
                for fleet in fleets
            ]
            await anyio.sleep(PEER_TERM_S + 0.1)
            rest = [make_member(each.ip, beat=2) for each in rows[1:]]
            for fleet in fleets[1:]:
                fleet.members.merge(rest, anyio.current_time())
            later = [
                fleet._list_regions_to_tell(anyio.current_time())
                for fleet in fleets[1:]
            ]
            return spoken, later

        spoken, later = run_mocked(run)
        self.assertEqual(spoken, [True, True, False, False])
        regions = ["delta", "piedmont"]
        self.assertEqual(later, [regions, regions, []])

    def test_a_heartbeat_that_says_nothing_new_carries_nobody_else(self):
        async def run():
            mine, near = make_fleet("10.1.0.1"), make_fleet("10.1.0.2")
            mine._take(speak(near, to="gulf"))
            first = speak(mine, to="gulf")
            await anyio.sleep(1.0)
            second = speak(mine, to="gulf")
            own = to_member_row(mine.members.me)
            return len(first.members), second.members == [own]

        self.assertEqual(run_mocked(run), (2, True))


if __name__ == "__main__":
    unittest.main()
