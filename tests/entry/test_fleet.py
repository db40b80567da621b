import unittest

import anyio

from banyanseam.entry.const import (
    FULL_ROW_BEATS,
    FULL_ROW_S,
    GOSSIP_PERIOD_S,
    MAX_GOSSIP_PEERS,
    PEER_TERM_S,
)
from banyanseam.entry.crash_suspects import CrashSuspects
from banyanseam.entry.fleet import Fleet
from banyanseam.entry.heartbeats import Heartbeats
from banyanseam.entry.members import Members
from banyanseam.entry.messages import Gossip, decode_gossip, encode_gossip
from banyanseam.entry.quota import FleetQuota
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.upstreams import Loads
from banyanseam.entry.values import Decoders, Values
from tests.common import run_mocked
from tests.entry.common import (
    REGIONS,
    make_member,
    make_organisation,
    make_settings,
    make_upstream,
)

ORGANISATION = make_organisation()


def make_fleet(ip: str = "10.1.0.1", region: str = "gulf") -> Fleet:
    settings = make_settings(ip, region)
    members = Members(make_member(ip, region), REGIONS)
    upstreams = UpstreamList()
    quota = FleetQuota()
    quota.configure({"acme": ORGANISATION}, anyio.current_time())
    decoders = Decoders("", lambda _: None, lambda _: None, lambda _: None)
    heartbeats = Heartbeats(
        members,
        Values(decoders, upstreams),
        upstreams,
        Loads(upstreams, region),
        quota,
        CrashSuspects(),
    )
    return Fleet(settings, members, upstreams, quota, heartbeats)


def speak(fleet: Fleet, *, to: str | None) -> Gossip:
    """Return a heartbeat for this region, for another, or for who has just come."""
    fleet._beat()
    heartbeats = fleet._heartbeats
    if to is None:
        gossip = heartbeats.describe_all()
    elif to == fleet.settings.region:
        gossip = heartbeats.describe_near()
    else:
        gossip = heartbeats.describe_region()
    return decode_gossip(encode_gossip(gossip))


def list_named(gossip: Gossip) -> list[str]:
    return sorted(row[0] for row in [*gossip.members, *gossip.beats])


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
            return list_named(told), len(everything.members)

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
            return list_named(first), list_named(second)

        both = ["10.1.0.1", "10.1.0.2"]
        self.assertEqual(run_mocked(run), (both, both[:1]))

    def test_rows_are_short_once_they_are_known(self):
        async def run():
            mine, near = make_fleet("10.1.0.1"), make_fleet("10.1.0.2")
            near._take(speak(mine, to="gulf"))
            await anyio.sleep(FULL_ROW_S + 0.1)
            heard = [speak(mine, to="gulf") for _ in range(FULL_ROW_BEATS)]
            for gossip in heard:
                near._take(gossip)
            beat = near.members.find("10.1.0.1").beat
            mine.describe_me = lambda: (True, True, 0)
            changed = speak(mine, to="gulf")
            return [len(each.members) for each in heard], beat, changed.members

        sizes, beat, changed = run_mocked(run)
        self.assertEqual(sorted(sizes), [0] * (FULL_ROW_BEATS - 1) + [1])
        self.assertEqual(beat, 2 + FULL_ROW_BEATS)
        self.assertEqual([row[6] for row in changed], [True])

    def test_who_hears_a_short_row_of_a_stranger_asks_for_the_rest(self):
        async def run():
            mine, stranger = make_fleet("10.1.0.1"), make_fleet("10.1.0.2")
            speak(stranger, to="gulf")
            await anyio.sleep(FULL_ROW_S + 0.1)
            hello = mine._take(speak(stranger, to="gulf"))
            answer = stranger._take(hello)
            self.assertIsNone(mine._take(answer))
            return hello.is_hello, len(mine.members.list_alive(anyio.current_time()))

        self.assertEqual(run_mocked(run), (True, 1))

    def test_each_of_a_large_region_is_told_in_its_turn(self):
        async def run():
            mine = make_fleet("10.1.0.1")
            rows = [make_member(f"10.1.0.{number}") for number in range(2, 40)]
            mine.members.merge(rows, anyio.current_time())
            told = [mine._take_turns() for _ in range(-(-38 // MAX_GOSSIP_PEERS))]
            self.assertLessEqual(max(map(len, told)), MAX_GOSSIP_PEERS)
            return {ip for ips in told for ip in ips} == {row.ip for row in rows}

        self.assertTrue(run_mocked(run))

    def test_a_list_of_upstreams_that_is_known_travels_as_its_digest(self):
        async def run():
            reader, near = make_fleet("10.1.0.1"), make_fleet("10.1.0.2")
            reader._upstreams.adopt([make_upstream("e1")], 5, 0.0)
            near._take(speak(reader, to="gulf"))
            digest = reader._heartbeats.describe_upstreams(is_known=True)
            wish = near._take(digest)
            near._take(reader._take(wish))
            self.assertIsNotNone(near._upstreams.find("e1"))
            await anyio.sleep(1.0)
            self.assertIsNone(near._take(digest))
            return near._upstreams.fresh_s == anyio.current_time()

        self.assertTrue(run_mocked(run))

    def test_a_heartbeat_of_a_large_fleet_stays_small(self):
        """Sixty-six processes, of whom all are known and each charges some."""

        async def run():
            fleets = {
                f"10.{place}.0.{number}": make_fleet(f"10.{place}.0.{number}", region)
                for place, region in enumerate(("gulf", "piedmont", "delta"))
                for number in range(22)
            }
            mine = fleets["10.0.0.0"]
            await anyio.sleep(PEER_TERM_S + 0.1)
            for _ in range(12):
                for fleet in fleets.values():
                    fleet._quota.charge(ORGANISATION, 1, anyio.current_time())
                    region = fleet.settings.region
                    mine._take(speak(fleet, to="gulf" if region == "gulf" else "any"))
                await anyio.sleep(GOSSIP_PERIOD_S)
            await anyio.sleep(FULL_ROW_S)
            for fleet in fleets.values():
                mine._take(speak(fleet, to="gulf"))
            await anyio.sleep(4 * GOSSIP_PERIOD_S)
            return len(encode_gossip(mine._heartbeats.describe_near()))

        # Within what control may send: 28 KB/s.
        sent_per_s = MAX_GOSSIP_PEERS / GOSSIP_PERIOD_S
        self.assertLess(run_mocked(run), 28_000 / sent_per_s)


if __name__ == "__main__":
    unittest.main()
