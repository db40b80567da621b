"""Checks which replies of peers count when a VM asks where a stream began."""

import unittest
from collections.abc import Awaitable, Callable

import anyio

from banyanseam.entry.models import StreamOrigin
from banyanseam.entry.origins.const import ASK_TIMEOUT_S, MAX_REPORTED_ROWS
from banyanseam.entry.origins.messages import (
    OriginMessage,
    OriginQuestion,
    OriginReply,
    OriginRow,
    decode_origins,
    encode_origins,
)
from banyanseam.entry.origins.network import OriginNetwork
from banyanseam.entry.origins.records import OriginRecord, OriginRecords
from banyanseam.entry.origins.versions import SoftwareVersions
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.peers.errors import InvalidPeerMessage
from tests.common import run_with_mock_clock
from tests.entry.common import make_member, make_members

KEY = 7
PEERS = ("10.1.0.2", "10.1.0.3")
STRANGER = "10.8.0.1"
ROW: OriginRow = (KEY, "pool", "v1", "e1", 1, 0)


def encode_reply(found: OriginRow | None = None) -> bytes:
    """Return the datagram of a reply."""
    return encode_origins(OriginMessage(reply=OriginReply(key=KEY, found=found)))


class AskTests(unittest.TestCase):
    def ask(
        self, answer: Callable[[OriginNetwork, str], Awaitable[None]]
    ) -> tuple[list[str], float]:
        """Return who has replied, and how long that took; peers do as `answer` says."""

        async def run() -> tuple[list[str], float]:
            members = make_members("10.1.0.1")
            began_s = anyio.current_time()
            members.merge([make_member(ip) for ip in PEERS], began_s)
            upstreams = UpstreamList()
            network = OriginNetwork(
                members, OriginRecords(upstreams), SoftwareVersions(upstreams)
            )
            async with anyio.create_task_group() as tasks:

                async def send(ip: str, _: bytes) -> None:
                    tasks.start_soon(answer, network, ip)

                network.send = send
                replies = await network.ask(KEY, ["pool"])
                took_s = anyio.current_time() - began_s
                tasks.cancel_scope.cancel()
            return sorted(replies), took_s

        return run_with_mock_clock(run)

    def test_the_first_known_origin_ends_the_question(self):
        async def answer(network: OriginNetwork, ip: str) -> None:
            if ip == PEERS[1]:
                await network.receive(encode_reply(ROW), ip)

        replies, took_s = self.ask(answer)
        self.assertEqual(replies, [PEERS[1]])
        self.assertLess(took_s, ASK_TIMEOUT_S / 2)

    def test_the_question_ends_when_all_have_replied(self):
        async def answer(network: OriginNetwork, ip: str) -> None:
            await network.receive(encode_reply(), ip)

        replies, took_s = self.ask(answer)
        self.assertEqual(replies, list(PEERS))
        self.assertLess(took_s, ASK_TIMEOUT_S / 2)

    def test_a_silent_peer_is_not_awaited_for_long(self):
        async def answer(network: OriginNetwork, ip: str) -> None:
            if ip == PEERS[0]:
                await network.receive(encode_reply(), ip)

        replies, took_s = self.ask(answer)
        self.assertEqual(replies, [PEERS[0]])
        self.assertAlmostEqual(took_s, ASK_TIMEOUT_S, delta=0.05)

    def test_a_reply_of_a_process_that_was_not_asked_does_not_count(self):
        async def answer(network: OriginNetwork, ip: str) -> None:
            await network.receive(encode_reply(ROW), STRANGER)
            await network.receive(encode_reply(), ip)

        replies, _ = self.ask(answer)
        self.assertEqual(replies, list(PEERS))


class TellTests(unittest.TestCase):
    def test_a_stream_that_peers_would_drop_does_not_stop_the_others(self):
        """Peers drop names that are too long; telling goes on."""

        async def run() -> list[bytes]:
            members = make_members("10.1.0.1")
            now_s = anyio.current_time()
            members.merge([make_member(PEERS[0])], now_s)
            upstreams = UpstreamList()
            records = OriginRecords(upstreams)
            network = OriginNetwork(members, records, SoftwareVersions(upstreams))
            sent = []

            async def send(_: str, data: bytes) -> None:
                sent.append(data)

            network.send = send
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(network.run)
                for key, service in enumerate(("s" * 1000, "pool")):
                    origin = StreamOrigin(service, "v1", "e1", 1)
                    record = OriginRecord(origin, anyio.current_time())
                    records.record(key, record, anyio.current_time())
                    network.add(key, record, [service])
                    await anyio.sleep(1.0)
                replies = await network.ask(KEY, ["s" * 1000])
                question = OriginMessage(question=OriginQuestion(key=0, services=[]))
                await network.receive(encode_origins(question), PEERS[0])
                tasks.cancel_scope.cancel()
            self.assertEqual(replies, {})
            return sent

        *_, last_told, _, _ = run_with_mock_clock(run)
        self.assertEqual(decode_origins(last_told).begun[0][1], "pool")


class MessageSizeTests(unittest.TestCase):
    def test_more_rows_than_any_peer_sends_are_dropped(self):
        for count in (MAX_REPORTED_ROWS, MAX_REPORTED_ROWS + 1):
            data = encode_origins(OriginMessage.model_construct(begun=[ROW] * count))
            with self.subTest(count=count):
                if count == MAX_REPORTED_ROWS:
                    self.assertEqual(len(decode_origins(data).begun), count)
                    continue
                with self.assertRaises(InvalidPeerMessage):
                    decode_origins(data)


if __name__ == "__main__":
    unittest.main()
