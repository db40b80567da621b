"""Checks what a process does when the store comes back from a copy."""

import unittest
from unittest import mock

import anyio

from banyanseam.entry.const import (
    COPIED_ENTRY_S,
    EVACUATIONS_REWRITTEN_S,
    EXPIRED_ENTRY_GRACE_S,
    OUTAGE_S,
)
from banyanseam.entry.messages import ValuesMessage, decode_gossip, encode_gossip
from banyanseam.entry.models import (
    Listing,
    PublishedValue,
    StorePosition,
    UpstreamState,
)
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.observe.events import STORE_RESTORED
from tests.common import run_with_mock_clock
from tests.entry.common import make_upstream
from tests.entry.test_gossip import make_exchange
from tests.entry.test_store_watcher import MAX_CATCH_UP_S, WatcherSetup, run_scenario

PEER = "10.1.0.2"
# How long the store is away.
AWAY_S = 1.0


async def restore(setup, copy, *writes):
    """Let the store be away and come back from a copy, with these values written."""
    setup.store.is_failing = True
    await anyio.sleep(AWAY_S)
    setup.store.restore(copy)
    for key, value in writes:
        setup.store.put(key, value)
    setup.store.is_failing = False


class RestoredStoreTests(unittest.TestCase):
    def test_a_return_from_a_copy_is_logged_once(self):
        async def scenario(setup):
            copy = setup.store.copy()
            setup.store.put("other")
            await anyio.sleep(1)
            with mock.patch("banyanseam.entry.values.log") as log:
                await restore(setup, copy)
                await anyio.sleep(5)
            found = [each for each in log.mock_calls if each.args[0] is STORE_RESTORED]
            expected = {
                "era": 1,
                "era_before": 0,
                "revision": 1,
                "revision_before": 2,
            }
            self.assertEqual(found, [mock.call(STORE_RESTORED, **expected)])

        run_scenario(scenario)

    def test_no_return_is_logged_by_a_process_that_starts_from_a_peer(self):
        async def run():
            own, peer = WatcherSetup().values, WatcherSetup().values
            own.apply_message(peer.to_message(), PEER, 0.0)
            with mock.patch("banyanseam.entry.values.log") as log:
                own.record_position(StorePosition(1, 9), 0.0)
            log.assert_not_called()

        run_with_mock_clock(run)

    def test_no_change_is_missed_below_a_revision_that_was_given_out_again(self):
        """A watch from such a revision gets no 410, and only what came after it."""
        for rewritten in (0, 2, 3, 5):
            with self.subTest(rewritten=rewritten):
                self.check_missed_change(rewritten)

    def check_missed_change(self, rewritten):
        async def scenario(setup):
            copy = setup.store.copy()
            for _ in range(3):
                setup.store.put("other")
            await anyio.sleep(1)
            others = [("other", b"")] * rewritten
            await restore(setup, copy, ("op/config", b"7"), *others)
            await anyio.sleep(MAX_CATCH_UP_S)
            self.assertEqual(setup.values.version, 7)

        run_scenario(scenario)

    def test_the_configuration_does_not_go_back_with_the_copy(self):
        async def scenario(setup):
            copy = setup.store.copy()
            setup.store.put("op/config", b"5")
            await anyio.sleep(1)
            versions = []
            setup.values.on_adopted(lambda each: versions.append(each.version))
            await restore(setup, copy)
            await anyio.sleep(MAX_CATCH_UP_S)
            setup.store.put("op/config", b"5")
            await anyio.sleep(1)
            setup.store.put("op/config", b"6")
            await anyio.sleep(1)
            self.assertEqual(versions, [6])

        run_scenario(scenario)

    def test_an_evacuation_after_a_return_is_in_force_though_its_revision_is_lower(
        self,
    ):
        async def scenario(setup):
            copy = setup.store.copy()
            for _ in range(9):
                setup.store.put("other")
            await anyio.sleep(1)
            await restore(setup, copy)
            await anyio.sleep(1)
            setup.store.put("out/gulf-a")
            await anyio.sleep(MAX_CATCH_UP_S)
            self.assertEqual(setup.values.evacuated, {"gulf-a"})
            setup.store.drop("out/gulf-a")
            await anyio.sleep(0.1)
            self.assertEqual(setup.values.evacuated, set())

        run_scenario(scenario)

    def test_the_list_of_upstreams_follows_the_restored_store(self):
        async def scenario(setup):
            copy = setup.store.copy()
            for _ in range(9):
                setup.store.put("other")
            setup.store.put("e3")
            await anyio.sleep(1)
            await restore(setup, copy)
            await anyio.sleep(1)
            setup.store.put("e2")
            setup.store.drop("e1")
            await anyio.sleep(MAX_CATCH_UP_S)
            self.assertEqual(setup.list_ids(), ["e2"])

        run_scenario(scenario)

    def test_an_entry_that_is_written_again_with_a_lower_revision_counts(self):
        upstreams = UpstreamList()
        upstreams.adopt([make_upstream("e1", revision=9)], 9, 0.0)
        again = make_upstream("e1", state=UpstreamState.LEAVING, revision=5)
        upstreams.adopt([again], 5, 1.0, era=1)
        self.assertEqual(upstreams.list_usable("pool", 1.0), [])
        upstreams.adopt([make_upstream("e1", revision=9)], 9, 1.0)
        self.assertEqual(upstreams.list_usable("pool", 1.0), [])

    def test_replicas_that_show_what_was_before_a_return_are_not_read(self):
        async def scenario(setup):
            copy = setup.store.copy()
            for _ in range(9):
                setup.store.put("e2")
            await anyio.sleep(1)
            setup.store.replica = setup.store.copy()
            await restore(setup, copy, ("e3", b""))
            await anyio.sleep(EXPIRED_ENTRY_GRACE_S + 1)
            self.assertEqual(setup.list_ids(), ["e1", "e3"])

        run_scenario(scenario)


class CopiedEvacuationTests(unittest.TestCase):
    """What the copy shows of evacuations is older than what was confirmed."""

    def test_an_evacuation_that_the_copy_lacks_stays_in_force_until_written_again(self):
        async def scenario(setup):
            copy = setup.store.copy()
            setup.store.put("out/gulf-a")
            await anyio.sleep(1)
            await restore(setup, copy)
            await self.check_in_force(setup, {"gulf-a"}, 3.0)
            setup.store.put("out/gulf-a")
            await self.check_in_force(setup, {"gulf-a"}, 5.0)
            setup.store.drop("out/gulf-a")
            await anyio.sleep(0.1)
            self.assertEqual(setup.values.evacuated, set())

        run_scenario(scenario)

    def test_an_evacuation_that_the_copy_lacks_ends_if_it_is_not_written_again(self):
        async def scenario(setup):
            copy = setup.store.copy()
            setup.store.put("out/gulf-a")
            await anyio.sleep(1)
            await restore(setup, copy)
            await anyio.sleep(EVACUATIONS_REWRITTEN_S + 1.5)
            self.assertEqual(setup.values.evacuated, set())

        run_scenario(scenario)

    def test_an_evacuation_that_was_ended_does_not_come_back_with_the_copy(self):
        for returns in (1, 2):
            with self.subTest(returns=returns):
                self.check_ended(returns)

    def check_ended(self, returns):
        async def scenario(setup):
            setup.store.put("out/gulf-a")
            await anyio.sleep(1)
            copy = setup.store.copy()
            setup.store.drop("out/gulf-a")
            await anyio.sleep(1)
            for _ in range(returns):
                await restore(setup, copy)
                await self.check_in_force(setup, set(), 2.0)
            setup.store.drop("out/gulf-a")
            await self.check_in_force(setup, set(), 5.0)

        run_scenario(scenario)

    def test_an_ended_evacuation_that_is_written_anew_is_in_force_at_once(self):
        async def scenario(setup):
            setup.store.put("out/gulf-a")
            await anyio.sleep(1)
            copy = setup.store.copy()
            setup.store.drop("out/gulf-a")
            await anyio.sleep(1)
            await restore(setup, copy)
            await anyio.sleep(2)
            setup.store.put("out/gulf-a")
            await anyio.sleep(0.1)
            self.assertEqual(setup.values.evacuated, {"gulf-a"})

        run_scenario(scenario)

    def test_a_peer_that_has_seen_the_copy_does_not_end_what_is_held(self):
        async def scenario(setup):
            setup.store.put("out/gulf-a")
            setup.store.put("out/delta-a")
            await anyio.sleep(1)
            setup.store.drop("out/delta-a")
            await anyio.sleep(1)
            other = WatcherSetup().values
            copied = {"out/delta-a": PublishedValue("out/delta-a", b"", 3)}
            other.apply_listing(Listing(copied, 3, 1), 0.0)
            message = other.to_message()
            setup.values.apply_message(message, PEER, anyio.current_time())
            self.assertEqual(setup.values.evacuated, {"gulf-a"})

        run_scenario(scenario)

    async def check_in_force(self, setup, data_centres, for_s):
        end_s = anyio.current_time() + for_s
        while anyio.current_time() < end_s:
            self.assertEqual(setup.values.evacuated, data_centres)
            await anyio.sleep(0.05)


class CopiedUpstreamTests(unittest.TestCase):
    """What the copy shows of upstreams is older than what was known."""

    def setUp(self):
        self.upstreams = UpstreamList()
        self.upstreams.adopt([make_upstream("e1"), make_upstream("e2")], 10, 0.0)

    def list_usable(self, now_s):
        found = self.upstreams.list_usable("pool", now_s)
        return sorted(each.upstream.upstream_id for each in found)

    def test_an_upstream_that_was_leaving_is_not_used_again(self):
        leaving = make_upstream("e1", state=UpstreamState.LEAVING, revision=11)
        for listed_before in ([leaving], []):
            with self.subTest(listed_before=listed_before):
                self.setUp()
                self.upstreams.adopt([leaving, make_upstream("e2")], 11, 1.0)
                self.upstreams.adopt([*listed_before, make_upstream("e2")], 12, 2.0)
                for now_s in (4.0, 20.0):
                    copied = [make_upstream("e1"), make_upstream("e2")]
                    self.upstreams.adopt(copied, 10, now_s, era=1)
                    self.assertEqual(self.list_usable(now_s), ["e2"])

    def test_an_upstream_that_was_gone_is_not_used_until_its_entry_has_expired(self):
        self.upstreams.adopt([make_upstream("e2")], 11, 1.0)
        copied = [make_upstream("e1"), make_upstream("e2")]
        # The entry expires three heartbeats of 1.2 s after the return.
        for now_s in (3.0, 6.9):
            self.upstreams.adopt(copied, 10, now_s, era=1)
            self.assertEqual(self.list_usable(now_s), ["e2"])
        # The store would have removed it if it were gone.
        self.upstreams.adopt(copied, 10, 3.0 + COPIED_ENTRY_S, era=1)
        self.assertEqual(self.list_usable(3.0 + COPIED_ENTRY_S), ["e1", "e2"])

    def test_an_upstream_that_has_returned_before_is_used_after_a_return(self):
        self.upstreams.adopt([make_upstream("e2")], 11, 1.0)
        copied = [make_upstream("e1"), make_upstream("e2")]
        self.upstreams.adopt(copied, 12, 1.5)
        self.upstreams.adopt(copied, 10, 3.0, era=1)
        self.assertEqual(self.list_usable(3.0), ["e1", "e2"])

    def test_an_upstream_that_the_copy_lacks_is_used_until_it_writes_again(self):
        self.upstreams.adopt([make_upstream("e2")], 8, 3.0, era=1)
        # Entries are back within two seconds.
        self.upstreams.confirm(StorePosition(1, 8), 5.0)
        self.assertEqual(self.list_usable(5.0), ["e1", "e2"])
        self.upstreams.confirm(StorePosition(1, 8), 3.0 + EXPIRED_ENTRY_GRACE_S)
        self.assertEqual(self.list_usable(6.0), ["e2"])

    def test_an_upstream_that_is_removed_after_a_return_is_not_retained(self):
        for returned_s in (0.5, OUTAGE_S + 1):
            with self.subTest(returned_s=returned_s):
                self.setUp()
                for tenth in range(round(returned_s * 10)):
                    self.upstreams.record_running(tenth / 10)
                copied = [make_upstream("e1"), make_upstream("e2")]
                self.upstreams.adopt(copied, 8, returned_s, era=1)
                removed_s = returned_s + 0.5
                self.upstreams.adopt([make_upstream("e2")], 9, removed_s, era=1)
                self.assertEqual(self.list_usable(removed_s), ["e2"])

    def test_a_restarted_upstream_does_not_go_back_to_its_older_start(self):
        again = make_upstream("e1", started_ms=2, cold_ms=3000, revision=11)
        self.upstreams.adopt([again, make_upstream("e2")], 11, 2.0)
        copied = [make_upstream("e1"), make_upstream("e2")]
        self.upstreams.adopt(copied, 10, 3.0, era=1)
        listed = self.upstreams.find("e1")
        self.assertEqual(listed.upstream.started_ms, 2)
        self.assertTrue(self.upstreams.is_cold(listed, 4.9))
        # An older start that stays listed counts, also without a new listing.
        self.upstreams.confirm(StorePosition(1, 10), 3.1 + EXPIRED_ENTRY_GRACE_S)
        self.assertEqual(self.upstreams.find("e1").upstream.started_ms, 1)

    def test_two_returns_in_a_row(self):
        self.upstreams.adopt([make_upstream("e1"), make_upstream("e3")], 11, 1.0)
        copied = [make_upstream("e1"), make_upstream("e2")]
        self.upstreams.adopt(copied, 10, 3.0, era=1)
        self.assertEqual(self.list_usable(3.0), ["e1", "e3"])
        self.upstreams.adopt(copied, 10, 5.0, era=2)
        self.assertEqual(self.list_usable(5.0), ["e1", "e3"])


class PeerTests(unittest.TestCase):
    """What a VM that has seen the return and one that has not tell each other."""

    def test_an_evacuation_of_a_later_era_is_adopted_from_a_peer(self):
        async def scenario(setup):
            for _ in range(99):
                setup.store.put("other")
            await anyio.sleep(1)
            self.adopt(setup, ["gulf-a"], 1, 50)
            self.assertEqual(setup.values.evacuated, {"gulf-a"})
            self.adopt(setup, [], 0, 99)
            self.adopt(setup, [], 1, 49)
            self.assertEqual(setup.values.evacuated, {"gulf-a"})

        run_scenario(scenario)

    def test_an_evacuation_of_an_earlier_era_is_not_adopted_from_a_peer(self):
        """Nor one of a VM of the release before, which names no era."""
        for era in (0, None):
            with self.subTest(era=era):
                self.check_earlier_era(era)

    def check_earlier_era(self, era):
        async def scenario(setup):
            copy = setup.store.copy()
            setup.store.put("other")
            await anyio.sleep(1)
            await restore(setup, copy)
            await anyio.sleep(MAX_CATCH_UP_S)
            self.adopt(setup, ["gulf-a"], era, 99)
            self.assertEqual(setup.values.evacuated, set())

        run_scenario(scenario)

    def test_an_evacuation_is_adopted_from_the_release_before_until_a_return(self):
        async def scenario(setup):
            self.adopt(setup, ["gulf-a"], None, 99)
            self.assertEqual(setup.values.evacuated, {"gulf-a"})

        run_scenario(scenario)

    def test_a_heartbeat_tells_that_evacuations_are_of_a_later_era(self):
        async def run():
            sender, other = make_exchange("10.1.0.1"), make_exchange("10.1.0.2")
            known = sender._heartbeats._values
            for expected in ((0, 0), (1, 5)):
                other._heartbeats.on_peer_versions = reported = mock.Mock()
                hello = encode_gossip(sender._heartbeats.compose_full())
                other._heartbeats.apply(decode_gossip(hello))
                reported.assert_called_once_with("10.1.0.1", 0, expected)
                known.evacuations.adopt({"gulf-a": 5}, StorePosition(1, 5), 0.0)

        run_with_mock_clock(run)

    def test_a_list_of_a_later_era_is_adopted_from_a_peer_and_none_of_an_earlier(self):
        async def run():
            reader, other = make_exchange("10.1.0.1"), make_exchange("10.1.0.2")
            other._heartbeats.apply(reader._heartbeats.compose_full())
            other._heartbeats._values.record_position(StorePosition(0, 9), 0.0)
            # Registrations that look alike, of two eras.
            other._upstreams.adopt([make_upstream("e1", revision=5)], 9, 0.0)
            registered = make_upstream("e1", revision=5)
            reader._upstreams.adopt([registered], 6, 0.0, era=1)
            digest = self.transfer(reader, is_known=True)
            self.assertTrue(other._heartbeats.apply_upstreams(digest))
            other._heartbeats.apply_upstreams(self.transfer(reader))
            self.assertEqual(other._upstreams.position, (1, 6))
            for era in (0, None):
                stale = self.transfer(reader)
                stale.upstreams_era, stale.upstreams_revision = era, 9
                other._heartbeats.apply_upstreams(stale)
                self.assertEqual(other._upstreams.position, (1, 6))

        run_with_mock_clock(run)

    def transfer(self, exchange, *, is_known=False):
        gossip = exchange._heartbeats.compose_upstreams(is_known=is_known)
        return decode_gossip(encode_gossip(gossip))

    def adopt(self, setup, evacuated, era, revision):
        message = ValuesMessage(
            config=b"1",
            evacuated=evacuated,
            evacuation_revision=revision,
            evacuation_era=era,
        )
        setup.values.apply_message(message, PEER, anyio.current_time())


if __name__ == "__main__":
    unittest.main()
