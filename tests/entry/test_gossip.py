import random
import unittest
from dataclasses import replace
from functools import partial

import anyio

from banyanseam.entry.const import (
    FULL_ROW_HEARTBEATS,
    FULL_ROW_S,
    GOSSIP_PERIOD_S,
    LARGE_REGION_PEER_TERM_S,
    MAX_MESH_PEERS,
    PEER_TERM_S,
)
from banyanseam.entry.crash_suspects import CrashSuspects
from banyanseam.entry.gossip import GossipExchange
from banyanseam.entry.heartbeats import Heartbeats
from banyanseam.entry.members import Members
from banyanseam.entry.messages import Gossip, decode_gossip, encode_gossip, unpack_ip
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
# After this time, the operators count a VM as in touch with the others.
CONTACT_S = 6.0


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
    return sorted(
        [row[0] for row in gossip.members] + [unpack_ip(row[0]) for row in gossip.beats]
    )


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

    def test_a_small_region_is_a_full_mesh(self):
        async def run():
            own = make_exchange("10.1.0.1")
            for number in range(2, MAX_MESH_PEERS + 3):
                member = make_member(f"10.1.0.{number}")
                own.members.merge([member], anyio.current_time())
                is_large = own._find_neighbours() is not None
                self.assertEqual(is_large, number - 1 > MAX_MESH_PEERS)

        run_with_mock_clock(run)

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


class LargeRegionTests(unittest.TestCase):
    """Whole fleets that exchange heartbeats on a paused clock."""

    def test_no_live_process_is_ever_silent_without_faults(self):
        async def run():
            fleet = GossipFleet(65)
            await fleet.run(6.0, lambda: self.assertEqual(fleet.list_silent(), []))
            return fleet.sent_bytes_per_s()

        # Control traffic of the largest region may use 28 KB/s.
        self.assertLess(run_with_mock_clock(run), 28_000)

    def test_only_a_suspended_process_is_silent_despite_losses(self):
        async def run():
            fleet = GossipFleet(65, loss=0.05)
            await fleet.run(3.0)
            suspended = "10.0.0.7"
            fleet.suspended.add(suspended)
            silent = []
            await fleet.run(CONTACT_S, lambda: silent.append(fleet.list_silent()))
            found = {target for pairs in silent for _, target in pairs}
            self.assertEqual(found, {suspended})
            # Each of the other 64 has noticed.
            self.assertEqual(len(silent[-1]), 64)
            return sum(not pairs for pairs in silent) * GOSSIP_PERIOD_S

        detected_s = run_with_mock_clock(run)
        self.assertLess(detected_s, LARGE_REGION_PEER_TERM_S + 1.0)

    def test_loads_and_charges_reach_all_processes_of_the_region(self):
        async def run():
            fleet = GossipFleet(65)
            await fleet.run(PEER_TERM_S + 0.5)
            source = fleet.exchanges["10.0.0.7"]
            source._upstreams.find("e1").usage.requests = 5
            source._quota.charge(ORGANISATION, 300, anyio.current_time())
            await fleet.run(1.5)
            now_s = anyio.current_time()
            others = [each for each in fleet.exchanges.values() if each is not source]
            loads = {
                each._heartbeats._loads.sum_region_load("e1", now_s)[0]
                for each in others
            }
            levels = {each._quota.list_levels()["acme"] for each in others}
            return loads, levels

        self.assertEqual(run_with_mock_clock(run), ({5}, {700}))

    def test_a_killed_half_of_the_region_does_not_hide_the_other_half(self):
        async def run():
            fleet = GossipFleet(65)
            await fleet.run(3.0)
            fleet.suspended = {ip for ip in fleet.exchanges if int(ip[-1]) % 2}
            await fleet.run(CONTACT_S)
            alive = set(fleet.exchanges) - fleet.suspended
            for _ in range(8):
                await fleet.run(GOSSIP_PERIOD_S)
                silent = [pair for pair in fleet.list_silent() if pair[1] in alive]
                self.assertEqual(silent, [])

        run_with_mock_clock(run)


class GossipFleet:
    """One region of two data centres whose processes exchange real datagrams."""

    def __init__(self, count: int, loss: float = 0.0, seed: int = 7) -> None:
        self.exchanges: dict[str, GossipExchange] = {}
        self.suspended: set[str] = set()
        self._inbox: list[tuple[str, bytes]] = []
        self._sent_bytes = 0
        self._started_s = anyio.current_time()
        self._random = random.Random(seed)
        self._loss = loss
        for number in range(count):
            place = number % 2
            ip = f"10.{place}.0.{number // 2}"
            exchange = make_exchange(ip, "gulf")
            exchange._send = partial(self._send, ip)
            exchange.settings = replace(
                exchange.settings, data_centre=f"gulf-{'ab'[place]}"
            )
            exchange.members.me = replace(
                exchange.members.me, data_centre=f"gulf-{'ab'[place]}"
            )
            exchange._upstreams.adopt([make_upstream("e1")], 1, 0.0)
            exchange.get_own_state = lambda: (True, True, 0)
            self.exchanges[ip] = exchange
        rows = [each.members.me for each in self.exchanges.values()]
        for exchange in self.exchanges.values():
            exchange.members.merge(rows, anyio.current_time())

    async def _send(self, sender: str, ips, gossip: Gossip) -> None:
        data = encode_gossip(gossip)
        for ip in ips:
            self._sent_bytes += len(data)
            if sender not in self.suspended and self._random.random() >= self._loss:
                self._inbox.append((ip, data))

    async def run(self, for_s: float, check=lambda: None) -> None:
        """Exchange heartbeats for a while, and call `check` after each round."""
        async with anyio.create_task_group() as tasks:
            for exchange in self.exchanges.values():
                tasks.start_soon(self._gossip, exchange)
            end_s = anyio.current_time() + for_s
            while anyio.current_time() < end_s:
                await self._deliver(GOSSIP_PERIOD_S)
                check()
            tasks.cancel_scope.cancel()

    async def _gossip(self, exchange: GossipExchange) -> None:
        # The processes of a fleet do not tick together.
        await anyio.sleep(self._random.uniform(0, GOSSIP_PERIOD_S))
        await exchange._gossip_in_region()

    async def _deliver(self, for_s: float) -> None:
        for _ in range(10):
            await anyio.sleep(for_s / 10)
            arrived, self._inbox = self._inbox, []
            for ip, data in arrived:
                if ip not in self.suspended:
                    self.exchanges[ip]._handle_heartbeat(decode_gossip(data))

    def list_silent(self) -> list[tuple[str, str]]:
        """Return the pairs of processes of which the first misses the second."""
        now_s = anyio.current_time()
        silent = []
        for ip, exchange in self.exchanges.items():
            if ip in self.suspended:
                continue
            alive = {each.ip for each in exchange.members.list_alive(now_s)}
            silent += [(ip, other) for other in set(self.exchanges) - alive - {ip}]
        return silent

    def sent_bytes_per_s(self) -> float:
        """Return what one process has sent on average."""
        elapsed_s = anyio.current_time() - self._started_s
        return self._sent_bytes / elapsed_s / len(self.exchanges)


if __name__ == "__main__":
    unittest.main()
