"""Checks at which version a stream goes on when peers do not agree."""

import unittest
from unittest import mock

import anyio

from banyanseam.entry.errors import StreamOriginUnknown
from banyanseam.entry.exchange import Exchange
from banyanseam.entry.models import RequestHead
from banyanseam.entry.origins.messages import OriginReply, OriginRow
from banyanseam.entry.origins.network import OriginNetwork
from banyanseam.entry.origins.records import OriginRecords, make_stream_key
from banyanseam.entry.origins.takeups import TakeUps
from banyanseam.entry.origins.versions import SoftwareVersions
from banyanseam.entry.upstream_list import UpstreamList
from tests.common import run_with_mock_clock
from tests.entry.common import (
    make_catalogue,
    make_members,
    make_organisation,
    make_route,
    make_upstream,
)

KEY = make_stream_key("acme", "request-1")
KNOWN: OriginRow = (KEY, "pool", "v1", "e1", 1, 0)
DOUBTFUL: OriginRow = (KEY, "pool", None, "", 0, 0)


def make_exchange() -> Exchange:
    """Return a request that takes up a stream of the organisation's."""
    now_s = anyio.current_time()
    head = RequestHead(
        "request-2",
        "POST",
        "a.example",
        "/query/x",
        b"/query/x",
        None,
        4000,
        None,
        "2",
        "request-1",
    )
    return Exchange(
        head=head,
        body=b"",
        received_s=now_s,
        deadline_s=now_s + 4.0,
        catalogue=make_catalogue(),
        route=make_route(),
        organisation=make_organisation(),
        service="pool",
        reply=mock.Mock(is_started=False),
    )


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
            exchange = make_exchange()
            take_ups = TakeUps(records, versions, network, lambda: None)
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
        for rows in ((KNOWN, DOUBTFUL), (DOUBTFUL, KNOWN)):
            with self.subTest(rows):
                self.assertIsNone(self.find(*rows))


if __name__ == "__main__":
    unittest.main()
