"""Checks at which version a stream goes on when peers do not agree."""

import unittest
from dataclasses import replace
from unittest import mock

import anyio

from banyanseam.entry.errors import StreamOriginUnknown
from banyanseam.entry.members import Member
from banyanseam.entry.origins.const import TAKE_UP_S
from banyanseam.entry.origins.messages import OriginReply, OriginRow
from banyanseam.entry.origins.network import OriginNetwork
from banyanseam.entry.origins.records import OriginRecords, make_stream_key
from banyanseam.entry.origins.takeups import TakeUps
from banyanseam.entry.origins.versions import SoftwareVersions
from banyanseam.entry.upstream_list import UpstreamList
from tests.common import run_with_mock_clock
from tests.entry.common import (
    make_exchange,
    make_member,
    make_members,
    make_upstream,
)

KEY = make_stream_key("acme", "request-1")
KNOWN: OriginRow = (KEY, "pool", "v1", "e1", 1, 0)
UNCERTAIN: OriginRow = (KEY, "pool", None, "", 0, 0)


class TakeUpTests(unittest.TestCase):
    def find(self, *rows: OriginRow | None) -> str | None:
        """Return the version at which a stream goes on; peers reply with the rows."""

        async def run() -> str | None:
            now_s = anyio.current_time()
            upstreams = UpstreamList()
            listing = [
                make_upstream("e1"),
                make_upstream("e2", address="10.9.0.2:80", software="v2"),
            ]
            upstreams.adopt(listing, 1, now_s)
            records, versions = OriginRecords(upstreams), SoftwareVersions(upstreams)
            network = OriginNetwork(make_members(), records, versions)
            replies = {
                f"10.1.0.{number}": OriginReply(key=KEY, found=row)
                for number, row in enumerate(rows, start=2)
            }
            network.ask = mock.AsyncMock(return_value=replies)
            head = replace(
                make_exchange(now_s).head, last_event_id="2", begun_as="request-1"
            )
            reply = mock.Mock(is_started=False)
            exchange = make_exchange(now_s, head=head, reply=reply)
            check_start = mock.AsyncMock(return_value=True)
            check_list = mock.AsyncMock(return_value=False)
            take_ups = TakeUps(
                records, versions, network, lambda: None, check_start, check_list
            )
            try:
                await take_ups.find(exchange)
            except StreamOriginUnknown:
                return None
            return exchange.origin.software

        return run_with_mock_clock(run)

    def test_the_origin_that_one_peer_knows_counts(self):
        self.assertEqual(self.find(None, KNOWN), "v1")
        self.assertEqual(self.find(KNOWN, None), "v1")

    def test_an_origin_that_a_peer_cannot_name_yet_does_not_hide_it(self):
        unresolved = (KEY, "pool", None, "e1", 1, 0)
        self.assertEqual(self.find(unresolved, KNOWN), "v1")

    def test_the_doubt_of_any_peer_counts(self):
        """The others may not have noticed a restart yet."""
        for rows in ((KNOWN, UNCERTAIN), (UNCERTAIN, KNOWN)):
            with self.subTest(rows):
                self.assertIsNone(self.find(*rows))

    def test_the_only_version_is_inferred_only_if_a_peer_answers(self):
        """Without answers, a version may serve that only other VMs have seen."""

        async def run(peers: list[Member], replies: dict[str, OriginReply]) -> bool:
            upstreams = UpstreamList()
            for _ in range(round(TAKE_UP_S) + 4):
                now_s = anyio.current_time()
                upstreams.record_running(now_s)
                upstreams.adopt([make_upstream("e1")], 1, now_s)
                await anyio.sleep(0.9)
            members = make_members()
            members.merge(peers, anyio.current_time())
            versions = SoftwareVersions(upstreams)
            network = OriginNetwork(members, OriginRecords(upstreams), versions)
            check_list = mock.AsyncMock(return_value=True)
            take_ups = TakeUps(
                mock.Mock(), versions, network, mock.Mock(), mock.Mock(), check_list
            )
            found = await take_ups._infer(KEY, ["pool"], replies)
            return found is not None

        peer = make_member("10.1.0.2")
        reply = {peer.ip: OriginReply(key=KEY, versions=[("pool", "v1")])}
        other = {peer.ip: OriginReply(key=KEY, versions=[("pool", "v2")])}
        for peers, replies, is_known in (
            ([], {}, True),
            ([peer], {}, False),
            ([peer], reply, True),
            ([peer], other, False),
        ):
            with self.subTest(replies):
                found = run_with_mock_clock(run, peers, replies)
                self.assertEqual(found, is_known)


if __name__ == "__main__":
    unittest.main()
