"""What VMs learn of one another's observations by their heartbeats."""

import unittest

import anyio

from banyanseam.entry.gossip import GossipExchange
from banyanseam.entry.messages import make_upstream_tag
from banyanseam.entry.performance.observer import REFRESH_PERIOD_S
from banyanseam.entry.performance.samples import Measure
from banyanseam.entry.placing import Candidate
from tests.common import run_with_mock_clock
from tests.entry.common import make_candidate, make_upstream
from tests.entry.test_gossip import make_exchange, send_heartbeat

TAG = make_upstream_tag("e1")
SAMPLES = [(TAG, int(Measure.WORK), 25), (TAG, int(Measure.PACE), 25)]


def make_vm(ip: str, region: str = "gulf", *, is_listed: bool = True) -> GossipExchange:
    vm = make_exchange(ip, region)
    if is_listed:
        list_upstream(vm)
    return vm


def list_upstream(vm: GossipExchange) -> None:
    vm._upstreams.adopt([make_upstream("e1")], 1, anyio.current_time())


def observe(vm: GossipExchange) -> None:
    performance = vm._heartbeats._loads.performance
    performance.record_peer_samples(SAMPLES * 12, anyio.current_time())


def find_work_percent(vm: GossipExchange) -> int:
    vm._heartbeats.refresh_performance()
    return vm._heartbeats._loads.performance.find_work_percent(TAG)


class SharingTests(unittest.TestCase):
    def test_a_vm_that_starts_with_nothing_takes_the_regions_figures(self):
        """Its peers' state arrives before its list of upstreams."""

        async def run() -> int:
            peer = make_vm("10.1.0.1")
            starting = make_vm("10.1.0.2", is_listed=False)
            observe(peer)
            starting._heartbeats.apply(send_heartbeat(peer, to=None))
            starting._heartbeats.refresh_performance()
            await anyio.sleep(REFRESH_PERIOD_S)
            list_upstream(starting)
            return find_work_percent(starting)

        self.assertEqual(run_with_mock_clock(run), 25)

    def test_samples_reach_a_peer_once_and_a_lost_heartbeat_loses_only_its_own(self):
        async def run() -> tuple[int, int]:
            vm, peer = make_vm("10.1.0.1"), make_vm("10.1.0.2")
            peer._heartbeats.apply(send_heartbeat(vm, to="gulf"))
            pending = vm._heartbeats._loads.performance._pending
            for number in range(8):
                pending += SAMPLES
                gossip = send_heartbeat(vm, to="gulf")
                pending = vm._heartbeats._loads.performance._pending
                if number != 3:
                    peer._heartbeats.apply(gossip)
            await anyio.sleep(REFRESH_PERIOD_S)
            windows = peer._heartbeats._loads.performance._windows[TAG]
            return len(windows[Measure.WORK]), find_work_percent(peer)

        self.assertEqual(run_with_mock_clock(run), (7, 25))

    def test_other_regions_candidates_come_with_their_speed(self):
        async def run() -> list[Candidate]:
            vm, other = make_vm("10.1.0.1"), make_vm("10.2.0.1", "delta")
            observe(vm)
            find_work_percent(vm)
            performance = vm._heartbeats._loads.performance.find(TAG)
            candidates = [make_candidate("e1", performance=performance)]
            vm._heartbeats.list_candidates = lambda: {"pool": candidates}
            other._heartbeats.apply(send_heartbeat(vm, to="delta"))
            loads = other._heartbeats._loads
            found = loads.list_remote_candidates("gulf", "pool", anyio.current_time())
            self.assertEqual([each.performance for each in found], [performance])
            return found

        self.assertNotEqual(run_with_mock_clock(run), [])


if __name__ == "__main__":
    unittest.main()
