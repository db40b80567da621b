"""Checks that a region's processes share what the store lists, and nothing older."""

import unittest

import anyio

from banyanseam.entry.const import EXPIRED_ENTRY_GRACE_S
from banyanseam.entry.messages import decode_gossip, encode_gossip
from banyanseam.entry.store_watcher import StoreWatcher
from banyanseam.entry.values import PublishedValues
from tests.common import run_with_mock_clock
from tests.entry.test_gossip import make_exchange
from tests.entry.test_store_watcher import DECODERS, MAX_NOTICE_S, FakeStore

# Longer than any entry of a live upstream needs to expire.
STANDSTILL_S = 3.5
REMOVED_AFTER_S = 1.5
STEP_S = 0.05


class Vm:
    """A process of the region: its exchange of heartbeats and its store watcher."""

    def __init__(self, region, ip):
        self.region = region
        self.ip = ip
        self.store = FakeStore()
        self.store.values = region.values
        self.exchange = make_exchange(ip)
        self.upstreams = self.exchange._upstreams
        self.values = PublishedValues(DECODERS, self.upstreams)
        self.exchange._heartbeats._values = self.values
        self.exchange.get_own_state = lambda: (True, True, 0)
        self.exchange._send = self.send
        self.watcher = StoreWatcher(
            self.store,
            self.values,
            self.upstreams,
            self.exchange.members,
            self.exchange.share_upstreams,
            "op",
            "e",
        )
        self.resumed = anyio.Event()
        self.is_cut_off = False
        self.received = []
        self.resumed.set()
        self.scope = anyio.CancelScope()

    async def send(self, ips, gossip):
        for ip in ips:
            peer = self.region.vms.get(ip)
            if peer is not None and not self.is_cut_off and not peer.is_cut_off:
                peer.received.append(encode_gossip(gossip))

    async def run(self):
        while True:
            with anyio.CancelScope() as self.scope:
                await self.watcher.run()
            await self.resumed.wait()

    async def exchange_heartbeats(self):
        while True:
            await anyio.sleep(STEP_S)
            await self.resumed.wait()
            # The first answers of the store are handled before these messages.
            await anyio.sleep(STEP_S)
            received, self.received = self.received, []
            for data in received:
                reply = self.exchange._handle_heartbeat(decode_gossip(data))
                if reply is not None:
                    await self.send([reply_ip(data)], reply)
            self.exchange._update_own_row()
            beat = self.exchange._heartbeats.compose_for_own_region()
            await self.send(self.region.vms.keys() - {self.ip}, beat)

    def suspend(self):
        self.resumed = anyio.Event()
        self.scope.cancel()

    def list_ids(self):
        return {each.upstream_id for each in self.upstreams.list_upstreams()}


class Region:
    """Three processes of a region and the store that they read."""

    def __init__(self):
        self.values = {"op/config": (1, b"1"), "e1": (1, b""), "e2": (1, b"")}
        self.vms = {}
        for number in range(1, 4):
            ip = f"10.1.0.{number}"
            self.vms[ip] = Vm(self, ip)
        self.reader, *self.others = self.vms.values()

    def drop(self, key):
        revision = max(at for at, _ in self.values.values()) + 1
        self.values[key] = (revision, None)
        for vm in self.vms.values():
            vm.store.revision = revision

    def restore(self, copy, vms):
        """Let these processes see the store come back from a copy."""
        for vm in vms:
            vm.store.restore(copy)

    async def find_listed(self, upstream_id, vms, for_s):
        """Return the processes that list an upstream within a time."""
        found = set()
        end_s = anyio.current_time() + for_s
        while anyio.current_time() < end_s:
            found |= {vm.ip for vm in vms if upstream_id in vm.list_ids()}
            await anyio.sleep(STEP_S)
        return found


def reply_ip(data):
    return decode_gossip(data).sender


def run_scenario(scenario):
    async def run():
        region = Region()
        async with anyio.create_task_group() as tasks:
            for vm in region.vms.values():
                tasks.start_soon(vm.run)
                tasks.start_soon(vm.exchange_heartbeats)
            await anyio.sleep(6)
            await scenario(region)
            tasks.cancel_scope.cancel()

    run_with_mock_clock(run)


class SharedListTests(unittest.TestCase):
    # Incident 0017: a reader that had been suspended brought an upstream back.
    def test_a_resumed_process_brings_no_removed_upstream_back(self):
        async def scenario(region):
            region.reader.suspend()
            await anyio.sleep(REMOVED_AFTER_S)
            region.drop("e2")
            await anyio.sleep(STANDSTILL_S - REMOVED_AFTER_S)
            self.assertEqual(await region.find_listed("e2", region.others, 0.2), set())
            region.reader.resumed.set()
            await anyio.sleep(2 * STEP_S)
            vms = region.vms.values()
            self.assertEqual(await region.find_listed("e2", vms, 4.0), set())

        run_scenario(scenario)

    # Incident 0017: the same by a process that the network had cut off.
    def test_a_process_that_was_cut_off_brings_no_removed_upstream_back(self):
        async def scenario(region):
            region.reader.is_cut_off = region.reader.store.is_failing = True
            await anyio.sleep(STANDSTILL_S + 2.0)
            region.drop("e2")
            await anyio.sleep(MAX_NOTICE_S)
            self.assertEqual(await region.find_listed("e2", region.others, 0.2), set())
            region.reader.is_cut_off = region.reader.store.is_failing = False
            self.assertEqual(await region.find_listed("e2", region.others, 4.0), set())
            self.assertEqual(region.reader.list_ids(), {"e1"})

        run_scenario(scenario)

    def test_each_process_retains_what_expired_in_an_outage_for_a_while(self):
        async def scenario(region):
            vms = region.vms.values()
            for vm in vms:
                vm.store.is_failing = True
            await anyio.sleep(5)
            region.drop("e2")
            for vm in vms:
                vm.store.is_failing = False
            await anyio.sleep(EXPIRED_ENTRY_GRACE_S / 2)
            self.assertEqual([vm.list_ids() for vm in vms], [{"e1", "e2"}] * 3)
            await anyio.sleep(EXPIRED_ENTRY_GRACE_S / 2 + MAX_NOTICE_S)
            self.assertEqual([vm.list_ids() for vm in vms], [{"e1"}] * 3)

        run_scenario(scenario)

    def test_a_process_that_still_reads_what_was_before_a_return_holds_nobody_up(self):
        async def scenario(region):
            copy = region.reader.store.copy()
            for _ in range(9):
                region.drop("e3")
            await anyio.sleep(MAX_NOTICE_S)
            region.restore(copy, region.others)
            await anyio.sleep(MAX_NOTICE_S)
            for vm in region.others:
                vm.store.put("e4")
            await anyio.sleep(MAX_NOTICE_S)
            expected = {"e1", "e2", "e4"}
            vms = region.vms.values()
            self.assertEqual([vm.list_ids() for vm in vms], [expected] * 3)
            eras = [vm.upstreams.position.era for vm in vms]
            self.assertEqual(eras, [1, 1, 1])

        run_scenario(scenario)

    def test_a_process_that_the_store_turns_away_gets_the_list_after_a_return(self):
        async def scenario(region):
            copy = region.reader.store.copy()
            region.drop("e2")
            await anyio.sleep(MAX_NOTICE_S)
            region.reader.store.is_failing = True
            region.restore(copy, region.vms.values())
            for vm in region.others:
                vm.store.put("e3")
            await anyio.sleep(MAX_NOTICE_S)
            self.assertIn("e3", region.reader.list_ids())
            usable = region.reader.upstreams.list_usable("pool", anyio.current_time())
            self.assertNotIn("e2", [each.upstream.upstream_id for each in usable])

        run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
