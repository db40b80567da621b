import unittest

import anyio

from banyanseam.entry.const import (
    FULL_ROW_HEARTBEATS,
    FULL_ROW_S,
    GOSSIP_PERIOD_S,
    MAX_GOSSIP_PEERS,
    PEER_TERM_S,
)
from banyanseam.entry.crash_suspects import CrashSuspects
from banyanseam.entry.gossip import GossipExchange
from banyanseam.entry.heartbeats import Heartbeats
from banyanseam.entry.members import Members
from banyanseam.entry.messages import Gossip, decode_gossip, encode_gossip
from banyanseam.entry.quota import FleetQuota
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.upstreams import UpstreamLoads
from banyanseam.entry.values import Decoders, PublishedValues
from tests.common import run_with_mock_clock
from tests.entry.common import (
    REGIONS,
    make_member,
    make_organisation,
    make_settings,
    make_upstream,
)

ORGANISATION = make_organisation()


def make_exchange(ip: str = "10.1.0.1", region: str = "gulf") -> GossipExchange:
    settings = make_settings(ip, region)
    members = Members(make_member(ip, region), REGIONS)
    upstreams = UpstreamList()
    quota = FleetQuota()
    quota.configure({"acme": ORGANISATION}, anyio.current_time())
    decoders = Decoders("", lambda _: None, lambda _: None, lambda _: None)
    heartbeats = Heartbeats(
        members,
        PublishedValues(decoders, upstreams),
        upstreams,
        UpstreamLoads(upstreams, region),
        quota,
        CrashSuspects(),
    )
    return GossipExchange(settings, members, upstreams, quota, heartbeats)


def send_heartbeat(exchange: GossipExchange, *, to: str | None) -> Gossip:
    """Return a heartbeat for its own region, another one, or (None) a new process."""
    exchange._update_own_row()
    heartbeats = exchange._heartbeats
    if to is None:
        gossip = heartbeats.compose_full()
    elif to == exchange.settings.region:
        gossip = heartbeats.compose_for_own_region()
    else:
        gossip = heartbeats.compose_for_other_regions()
    return decode_gossip(encode_gossip(gossip))


def list_row_ips(gossip: Gossip) -> list[str]:
    return sorted(row[0] for row in [*gossip.members, *gossip.beats])


class GossipTests(unittest.TestCase):
    def test_a_relayed_row_comes_with_the_spending_of_its_process(self):
        """Two processes can't reach each other, but a third one reaches both."""

        async def run():
            first, third, other = (make_exchange(f"10.1.0.{n}") for n in (1, 3, 2))
            # After the first peer term, levels of peers are no longer adopted.
            await anyio.sleep(PEER_TERM_S + 0.1)
            for cost in (0, 300, 200):
                first._quota.charge(ORGANISATION, cost, anyio.current_time())
                third._handle_heartbeat(send_heartbeat(first, to="gulf"))
                other._handle_heartbeat(send_heartbeat(third, to="gulf"))
            self.assertEqual(len(other.members.list_alive(anyio.current_time())), 2)
            return other._quota.list_levels()

        self.assertEqual(run_with_mock_clock(run), {"acme": 500})

    def test_heartbeats_to_another_region_list_the_own_region_only(self):
        async def run():
            own, near, far = (
                make_exchange("10.1.0.1"),
                make_exchange("10.1.0.2"),
                make_exchange("10.2.0.1", "piedmont"),
            )
            own._handle_heartbeat(send_heartbeat(near, to="gulf"))
            own._handle_heartbeat(send_heartbeat(far, to="gulf"))
            to_delta = send_heartbeat(own, to="delta")
            full = send_heartbeat(own, to=None)
            return list_row_ips(to_delta), len(full.members)

        to_delta, full_count = run_with_mock_clock(run)
        self.assertEqual(to_delta, ["10.1.0.1", "10.1.0.2"])
        self.assertEqual(full_count, 3)

    def test_two_processes_report_for_a_region_and_a_silent_one_is_replaced(self):
        async def run():
            exchanges = [make_exchange(f"10.1.0.{number}") for number in range(1, 5)]
            rows = [exchange.members.me for exchange in exchanges]
            for exchange in exchanges:
                exchange.members.merge(rows, anyio.current_time())
            reports_at_first = [
                bool(exchange._list_regions_to_report_to(anyio.current_time()))
                for exchange in exchanges
            ]
            await anyio.sleep(PEER_TERM_S + 0.1)
            remaining = [make_member(each.ip, heartbeat_count=2) for each in rows[1:]]
            for exchange in exchanges[1:]:
                exchange.members.merge(remaining, anyio.current_time())
            later = [
                exchange._list_regions_to_report_to(anyio.current_time())
                for exchange in exchanges[1:]
            ]
            return reports_at_first, later

        reports_at_first, later = run_with_mock_clock(run)
        self.assertEqual(reports_at_first, [True, True, False, False])
        regions = ["delta", "piedmont"]
        self.assertEqual(later, [regions, regions, []])

    def test_a_heartbeat_without_updates_carries_the_own_row_only(self):
        async def run():
            own, near = make_exchange("10.1.0.1"), make_exchange("10.1.0.2")
            own._handle_heartbeat(send_heartbeat(near, to="gulf"))
            first = send_heartbeat(own, to="gulf")
            await anyio.sleep(1.0)
            second = send_heartbeat(own, to="gulf")
            return list_row_ips(first), list_row_ips(second)

        both = ["10.1.0.1", "10.1.0.2"]
        self.assertEqual(run_with_mock_clock(run), (both, both[:1]))

    def test_rows_are_short_once_peers_have_the_full_one(self):
        async def run():
            own, near = make_exchange("10.1.0.1"), make_exchange("10.1.0.2")
            near._handle_heartbeat(send_heartbeat(own, to="gulf"))
            await anyio.sleep(FULL_ROW_S + 0.1)
            received = [
                send_heartbeat(own, to="gulf") for _ in range(FULL_ROW_HEARTBEATS)
            ]
            for gossip in received:
                near._handle_heartbeat(gossip)
            heartbeat_count = near.members.find("10.1.0.1").heartbeat_count
            own.get_own_state = lambda: (True, True, 0)
            changed = send_heartbeat(own, to="gulf")
            return (
                [len(each.members) for each in received],
                heartbeat_count,
                changed.members,
            )

        sizes, heartbeat_count, changed = run_with_mock_clock(run)
        self.assertEqual(sorted(sizes), [0] * (FULL_ROW_HEARTBEATS - 1) + [1])
        self.assertEqual(heartbeat_count, 2 + FULL_ROW_HEARTBEATS)
        self.assertEqual([row[6] for row in changed], [True])

    def test_a_short_row_of_an_unknown_process_is_answered_with_a_hello(self):
        async def run():
            own, unknown = make_exchange("10.1.0.1"), make_exchange("10.1.0.2")
            send_heartbeat(unknown, to="gulf")
            await anyio.sleep(FULL_ROW_S + 0.1)
            hello = own._handle_heartbeat(send_heartbeat(unknown, to="gulf"))
            answer = unknown._handle_heartbeat(hello)
            self.assertIsNone(own._handle_heartbeat(answer))
            return hello.is_hello, len(own.members.list_alive(anyio.current_time()))

        self.assertEqual(run_with_mock_clock(run), (True, 1))

    def test_heartbeats_rotate_over_all_peers_of_a_large_region(self):
        async def run():
            own = make_exchange("10.1.0.1")
            rows = [make_member(f"10.1.0.{number}") for number in range(2, 40)]
            own.members.merge(rows, anyio.current_time())
            chosen = [
                own._choose_region_peers() for _ in range(-(-38 // MAX_GOSSIP_PEERS))
            ]
            self.assertLessEqual(max(map(len, chosen)), MAX_GOSSIP_PEERS)
            return {ip for ips in chosen for ip in ips} == {row.ip for row in rows}

        self.assertTrue(run_with_mock_clock(run))

    def test_an_unchanged_list_of_upstreams_is_sent_as_its_digest(self):
        async def run():
            reader, near = make_exchange("10.1.0.1"), make_exchange("10.1.0.2")
            reader._upstreams.adopt([make_upstream("e1")], 5, 0.0)
            near._handle_heartbeat(send_heartbeat(reader, to="gulf"))
            digest = reader._heartbeats.compose_upstreams(is_known=True)
            request = near._handle_heartbeat(digest)
            near._handle_heartbeat(reader._handle_heartbeat(request))
            self.assertIsNotNone(near._upstreams.find("e1"))
            await anyio.sleep(1.0)
            self.assertIsNone(near._handle_heartbeat(digest))
            return near._upstreams.confirmed_s == anyio.current_time()

        self.assertTrue(run_with_mock_clock(run))

    def test_a_heartbeat_of_a_large_fleet_stays_small(self):
        """All of 66 processes have full rows of each other and keep charging."""

        async def run():
            exchanges = {
                f"10.{place}.0.{number}": make_exchange(
                    f"10.{place}.0.{number}", region
                )
                for place, region in enumerate(("gulf", "piedmont", "delta"))
                for number in range(22)
            }
            own = exchanges["10.0.0.0"]
            await anyio.sleep(PEER_TERM_S + 0.1)
            for _ in range(12):
                for exchange in exchanges.values():
                    exchange._quota.charge(ORGANISATION, 1, anyio.current_time())
                    region = exchange.settings.region
                    own._handle_heartbeat(
                        send_heartbeat(
                            exchange, to="gulf" if region == "gulf" else "any"
                        )
                    )
                await anyio.sleep(GOSSIP_PERIOD_S)
            await anyio.sleep(FULL_ROW_S)
            for exchange in exchanges.values():
                own._handle_heartbeat(send_heartbeat(exchange, to="gulf"))
            await anyio.sleep(4 * GOSSIP_PERIOD_S)
            return len(encode_gossip(own._heartbeats.compose_for_own_region()))

        # Control traffic may use 28 KB/s.
        sent_per_s = MAX_GOSSIP_PEERS / GOSSIP_PERIOD_S
        self.assertLess(run_with_mock_clock(run), 28_000 / sent_per_s)


if __name__ == "__main__":
    unittest.main()
