import unittest
from contextlib import asynccontextmanager, nullcontext
from functools import partial
from unittest.mock import patch

import anyio
from websockets.asyncio.client import connect

from banyanseam.errors import BanyanseamError
from banyanseam.peers import handshake, keepalive
from banyanseam.peers.errors import (
    PeerCallFailed,
    PeerCallLost,
    PeerProtocolMismatch,
    PeerRefused,
    PeerSuperseded,
    PeerUnreachable,
)
from banyanseam.peers.handshake import Handshake, dial_handshake
from banyanseam.peers.incarnation import Incarnation
from banyanseam.peers.messages import Message, PeerIdentity
from banyanseam.peers.network import PeerNetwork
from tests.common import wait_until

SECRET = b"a secret of the fleet"


class Ask(Message):
    kind = "test.ask"

    text: str


class Note(Message):
    kind = "test.note"

    number: int


@asynccontextmanager
async def running(seat, addresses, incarnation=1, secret=SECRET):
    superseded = anyio.Event()
    network = PeerNetwork(
        seat,
        Incarnation(incarnation),
        secret,
        addresses.get,
        lambda newest: superseded.set(),
    )
    network.superseded = superseded
    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        await listener.aclose()
        started = anyio.Event()
        addresses[seat] = f"127.0.0.1:{port}"
        tasks.start_soon(network.run, addresses[seat], started)
        await started.wait()
        yield network
        tasks.cancel_scope.cancel()


async def echo(peer, message):
    if message.text == "refuse":
        raise BanyanseamError("as asked", retry_after_ms=7)
    if message.text == "break":
        raise ZeroDivisionError
    if message.text == "hang":
        await anyio.sleep_forever()
    return Ask(text=f"{peer.seat} {message.text}")


class NetworkTests(unittest.TestCase):
    def run_async(self, function):
        async def bounded():
            with anyio.fail_after(30):
                await function()

        anyio.run(bounded)

    def test_calls_and_casts(self):
        async def scenario():
            addresses = {}
            async with running("a", addresses) as a, running("b", addresses) as b:
                b.handle_call(Ask, echo)
                received = []
                done = anyio.Event()

                def record(peer, message):
                    received.append(message.number)
                    if len(received) == 100:
                        done.set()

                a.handle_cast(Note, record)
                reply = await a.call("b", Ask(text="hi"), Ask, 5)
                self.assertEqual(reply.text, "a hi")
                for number in range(100):
                    await b.cast("a", Note(number=number))
                await done.wait()
                self.assertEqual(received, list(range(100)))
                # One link serves both directions.
                self.assertEqual(len(a._links["b"]), 1)
                with self.assertRaises(PeerCallFailed) as failed:
                    await a.call("b", Ask(text="refuse"), Ask, 5)
                self.assertEqual(failed.exception.retry_after_ms, 7)
                self.assertFalse(failed.exception.peer_not_run)
                with self.assertRaises(PeerCallLost):
                    await a.call("b", Ask(text="hang"), Ask, 0.2)

        self.run_async(scenario)

    def test_only_idle_links_are_pinged_and_unresponsive_peers_dropped(self):
        async def scenario():
            addresses = {}
            pings = []
            ping = keepalive.IdleKeepalive.ping

            async def count(connection):
                pings.append(connection)
                return await ping(connection)

            async def never_answer(connection):
                return connection.loop.create_future()

            patch_ping = partial(patch.object, keepalive.IdleKeepalive, "ping")
            async with running("a", addresses) as a, running("b", addresses) as b:
                b.handle_call(Ask, echo)
                lost = anyio.Event()
                a.on_link_lost(lambda _: lost.set())
                with patch_ping(count):
                    for _ in range(40):
                        await a.call("b", Ask(text="hi"), Ask, 5)
                        await anyio.sleep(0.02)
                    self.assertEqual(pings, [])
                    await wait_until(lambda: len(pings) > 2)
                    self.assertFalse(lost.is_set())
                with patch_ping(never_answer):
                    await lost.wait()

        with (
            patch.object(keepalive, "PING_INTERVAL_S", 0.8),
            patch.object(keepalive, "PING_TIMEOUT_S", 0.8),
        ):
            self.run_async(scenario)

    def test_peer_is_unreachable_when_no_process_listens(self):
        async def scenario():
            addresses = {"gone": "127.0.0.1:1"}
            async with running("a", addresses) as a:
                for seat in ("gone", "unknown", "a"):
                    with self.subTest(seat=seat), self.assertRaises(PeerUnreachable):
                        await a.cast(seat, Note(number=1))

        self.run_async(scenario)

    def test_failing_handler_does_not_close_the_link(self):
        async def scenario():
            addresses = {}
            async with running("a", addresses) as a, running("b", addresses) as b:
                b.handle_call(Ask, echo)

                def refuse(peer, message):
                    raise BanyanseamError("not ready for it")

                b.handle_cast(Note, refuse)
                await a.cast("b", Note(number=1))
                with self.assertRaises(PeerCallFailed):
                    await a.call("b", Ask(text="break"), Ask, 5)
                reply = await a.call("b", Ask(text="hi"), Ask, 5)
                self.assertEqual(reply.text, "a hi")
                self.assertEqual(len(a._links["b"]), 1)

        self.run_async(scenario)

    def test_calls_by_address_and_by_seat_share_a_link(self):
        async def scenario():
            addresses = {}
            async with running("a", addresses) as a, running("b", addresses) as b:
                b.handle_call(Ask, echo)
                for _ in range(2):
                    reply = await a.call(addresses["b"], Ask(text="hi"), Ask, 5)
                    self.assertEqual(reply.text, "a hi")
                await a.call("b", Ask(text="hi"), Ask, 5)
                self.assertEqual(len(a._links["b"]), 1)

        self.run_async(scenario)

    def test_a_lost_peer_fails_its_calls(self):
        async def scenario():
            addresses = {}
            lost = []
            async with running("a", addresses) as a:
                a.on_link_lost(lost.append)
                failures = []

                async def ask():
                    try:
                        await a.call("b", Ask(text="hang"), Ask, 20)
                    except PeerCallLost as error:
                        failures.append(error)

                called = anyio.Event()

                async def hang(peer, message):
                    called.set()
                    await anyio.sleep_forever()

                async with (
                    anyio.create_task_group() as tasks,
                    running("b", addresses) as b,
                ):
                    b.handle_call(Ask, hang)
                    tasks.start_soon(ask)
                    await called.wait()
                self.assertEqual(len(failures), 1)
                self.assertEqual(lost, [PeerIdentity("b", 1)])

        self.run_async(scenario)

    def test_older_process_of_a_seat_is_refused(self):
        async def scenario():
            addresses = {}
            async with running("b", addresses) as b:
                b.handle_call(Ask, echo)
                async with running("a", addresses, incarnation=2) as newer:
                    await newer.call("b", Ask(text="hi"), Ask, 5)
                async with running("a", addresses, incarnation=1) as older:
                    with self.assertRaises(PeerSuperseded):
                        await older.call("b", Ask(text="hi"), Ask, 5)
                    self.assertTrue(older.superseded.is_set())

        self.run_async(scenario)

    def test_refused_handshakes(self):
        def forge(hello, **changes):
            return lambda: patch.object(
                handshake, "Hello", lambda **fields: hello(**{**fields, **changes})
            )

        hello = handshake.Hello
        cases = {
            "wrong secret": (b"another", nullcontext, PeerRefused),
            "other seat": (SECRET, forge(hello, seat="c"), PeerRefused),
            "dialler of another version": (
                SECRET,
                forge(hello, version=99),
                PeerProtocolMismatch,
            ),
            "listener of another version": (
                SECRET,
                lambda: patch.object(handshake, "PROTOCOL_VERSION", 99),
                PeerProtocolMismatch,
            ),
        }

        async def scenario():
            addresses = {}
            async with running("b", addresses):
                for name, (secret, altered, expected) in cases.items():
                    dialler = Handshake(PeerIdentity("a", 1), secret, lambda peer: None)
                    async with connect(f"ws://{addresses['b']}", proxy=None) as link:
                        with (
                            self.subTest(name),
                            self.assertRaises(expected) as caught,
                            altered(),
                        ):
                            await dial_handshake(dialler, "b", link.send, link.recv)
                        self.assertIs(type(caught.exception), expected)

        self.run_async(scenario)

    def test_malformed_messages_close_the_link_and_nothing_else(self):
        async def scenario():
            addresses = {}
            async with running("b", addresses) as b, running("a", addresses) as a:
                b.handle_call(Ask, echo)
                for data in (b"", b"\xff\xff", b"\x80", b"\xa1\x61a\x01"):
                    async with connect(f"ws://{addresses['b']}", proxy=None) as link:
                        await link.recv()
                        await link.send(data)
                        with self.subTest(data=data):
                            await link.wait_closed()
                self.assertEqual((await a.call("b", Ask(text="x"), Ask, 5)).text, "a x")

        self.run_async(scenario)
