"""Guards against input at a daemon's ports that harms other callers.

Malformed, oversize, slow and forged input is sent to the callers' and the peers' port;
it must be refused, and the daemon must go on serving the others.
"""

import hashlib
import json
import unittest

import anyio
import httpcore
from uuid6 import uuid7
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from banyanseam.peers.errors import PeerRefused
from banyanseam.peers.handshake import Handshake, dial_handshake
from banyanseam.peers.messages import PeerIdentity, decode
from banyanseam.pipe.const import VIA_NAME
from standins.callers import CHAT_PATH, Caller
from standins.fleet import Fleet, FleetPlan, OrganisationPlan, start_fleet

PROPAGATION_LIMIT_S = 5.0
CREDENTIALS = {"authorization", "proxy-authorization", "x-api-key", "cookie"}
CHAT = {"model": "oak", "messages": [{"role": "user", "content": "a"}], "max_tokens": 2}
# The key, headers and body that are sent, and the statuses of a correct refusal.
REFUSED_REQUESTS = {
    "missing key": (None, {}, json.dumps(CHAT).encode(), {401}),
    "wrong key": ("wrong", {}, json.dumps(CHAT).encode(), {401}),
    "malformed JSON": ("acme", {}, b'{"model": ', {400}),
    "no object": ("acme", {}, b"[]", {400}),
    "oversize body": ("acme", {}, b" " * (64 << 20), {413}),
}
# The bytes that are written to the socket; each must get a 4xx answer or none.
RAW_REQUESTS = {
    "garbage": b"\x00\xff\x16\x03\x01 garbage\r\n\r\n",
    "too large header": b"GET /v1/entries HTTP/1.1\r\nhost: a\r\nx: "
    + b"a" * (1 << 20)
    + b"\r\n\r\n",
    "two lengths": b"POST /desk/book HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n"
    b"content-length: 2\r\n\r\nab",
}

# The start of a request whose header or body never ends, and the refusal's code.
TRICKLED_REQUESTS = {
    "header": (b"GET /v1/entries HTTP/1.1\r\nhost: a\r\nx: ", b"header_too_slow"),
    "body": (
        b"POST /v1/entries HTTP/1.1\r\nhost: a\r\ncontent-length: 999\r\n\r\n",
        b"body_too_slow",
    ),
}
TRICKLE_PAUSE_S = 0.1
FORGED_SEAT = "gulf-9"


async def trickle(address: str, start: bytes) -> bytes:
    """Write the start, then one byte at a time, and return the answer."""
    host, port = address.rsplit(":", 1)
    answer = b""
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(start)
        try:
            with anyio.fail_after(60):
                while True:
                    await stream.send(b"a")
                    with anyio.move_on_after(TRICKLE_PAUSE_S):
                        answer += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return answer


async def send_raw(address: str, data: bytes) -> bytes:
    """Write bytes to a port and return all that it answers until it closes."""
    host, port = address.rsplit(":", 1)
    answer = b""
    async with await anyio.connect_tcp(host, int(port)) as stream:
        try:
            await stream.send(data)
            with anyio.fail_after(30):
                while True:
                    answer += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return answer


class PortTests(unittest.TestCase):
    def test_bad_input_is_refused_and_the_daemon_serves_on(self):
        async def scenario():
            plan = FleetPlan(
                seats=1,
                organisations={"acme": OrganisationPlan(), "other": OrganisationPlan()},
            )
            async with start_fleet(plan) as fleet, Caller(fleet.keys["acme"]) as caller:
                address = fleet.daemons["gulf-1"].callers_address
                for name, (key, headers, body, statuses) in REFUSED_REQUESTS.items():
                    with self.subTest(name):
                        async with Caller(fleet.keys.get(key, key)) as sender:
                            status = await post(sender, address, body, headers)
                            self.assertIn(status, statuses)
                with self.subTest("forged via"):
                    via = {"via": f"1.1 {VIA_NAME}"}
                    answer = await caller.chat(address, headers=via)
                    self.assertEqual(answer.status, 508, answer)
                for name, data in RAW_REQUESTS.items():
                    with self.subTest(name):
                        answer = await send_raw(address, data)
                        self.assertIn(answer[9:10], (b"4", b""), answer[:200])
                with self.subTest("dot segments"):
                    data = (
                        f"POST /desk/../v1/../control HTTP/1.1\r\nhost: a\r\n"
                        f"authorization: Bearer {fleet.keys['acme']}\r\n"
                        f"content-length: 0\r\nconnection: close\r\n\r\n"
                    )
                    answer = await send_raw(address, data.encode())
                    self.assertTrue(answer.startswith(b"HTTP/1.1 4"), answer[:200])
                await self.check_keys_of_others(fleet, caller, address)
                await self.check_withdrawal(fleet, address)
                answer = await caller.chat(address)
                self.assertTrue(answer.is_whole, answer)
                self.assertTrue(fleet.daemons["gulf-1"].child.is_running)
                await self.check_credentials(fleet)

        anyio.run(scenario)

    def test_slow_callers_and_forged_peers_harm_nobody_else(self):
        async def scenario():
            async with (
                start_fleet(FleetPlan(seats=1)) as fleet,
                Caller(fleet.keys["acme"]) as caller,
            ):
                daemon = fleet.daemons["gulf-1"]
                self.assertTrue((await caller.chat(daemon.callers_address)).is_whole)
                answers: dict[str, bytes] = {}
                chats = []

                async def trickle_request(name: str, start: bytes) -> None:
                    answers[name] = await trickle(daemon.callers_address, start)

                async with anyio.create_task_group() as tasks:
                    for name, (start, _) in TRICKLED_REQUESTS.items():
                        tasks.start_soon(trickle_request, name, start)
                    await self.check_forged_peers(fleet)
                    while len(answers) < len(TRICKLED_REQUESTS):
                        chats.append(await caller.chat(daemon.callers_address))
                for name, (_, code) in TRICKLED_REQUESTS.items():
                    with self.subTest("trickled", part=name):
                        self.assertTrue(answers[name].startswith(b"HTTP/1.1 408"))
                        self.assertIn(code, answers[name])
                self.assertEqual([chat for chat in chats if not chat.is_whole], [])
                self.assertTrue(daemon.child.is_running)

        # Uses uvloop, as daemons do: asyncio's own loop does not mark a closed
        # transport as lost once its buffer is flushed, and a second close fails.
        anyio.run(scenario, backend_options={"use_uvloop": True})

    async def check_forged_peers(self, fleet: Fleet) -> None:
        """Check that a peer that cannot prove to be of the fleet gets no link."""
        daemon = fleet.daemons["gulf-1"]
        settings = json.loads(daemon.settings_path.read_text())
        secret = settings["fleet_secret"].encode()
        sent: list[bytes] = []

        async def dial(key: bytes, seat: str) -> PeerIdentity:
            async with connect(f"ws://{daemon.peers_address}", proxy=None) as link:

                async def send(data: bytes) -> None:
                    sent.append(data)
                    await link.send(data)

                handshake = Handshake(PeerIdentity(seat, 1), key, lambda _: None)
                return await dial_handshake(handshake, "gulf-1", send, link.recv)

        with self.subTest("wrong secret"), self.assertRaises(PeerRefused):
            await dial(b"another secret of the same kind", FORGED_SEAT)
        with self.subTest("right secret"):
            self.assertEqual((await dial(secret, FORGED_SEAT)).seat, "gulf-1")
        for name, data, reason in (
            ("replayed handshake", sent[-1], "the proof does not hold"),
            ("too large", b"a" * (5 << 20), None),
            ("silent", None, None),
        ):
            async with connect(f"ws://{daemon.peers_address}", proxy=None) as link:
                with self.subTest(name), anyio.fail_after(20):
                    await link.recv()
                    if data is not None:
                        await link.send(data)
                    if reason is not None:
                        refusal = decode(await link.recv()).message
                        self.assertEqual(refusal.detail, reason)
                    with self.assertRaises(ConnectionClosed):
                        await link.recv()
        with self.subTest("seat not published"):
            async with Caller() as caller:
                reply = await caller.request(
                    "GET", daemon.callers_address, "/v1/entries"
                )
            self.assertNotIn(FORGED_SEAT, reply.content.decode())

    async def check_keys_of_others(
        self, fleet: Fleet, caller: Caller, address: str
    ) -> None:
        """Check that the answer of a key is never sent to another organisation."""
        # The same key has a home for each organisation, and a home that has just
        # started refuses keys that may have been used before its start.
        async with Caller(fleet.keys["other"]) as other:
            with anyio.fail_after(30):
                while True:
                    key = str(uuid7())
                    answers = [
                        await sender.book(
                            address, "/desk/book", key.encode(), idempotency_key=key
                        )
                        for sender in (caller, other)
                    ]
                    if all(answer.status == 201 for answer in answers):
                        break
                    codes = {answer.code for answer in answers}
                    self.assertLessEqual(codes, {None, "idempotency.home_is_new"})
                    await anyio.sleep(0.5)
        runs = 0
        for name in fleet.upstreams:
            if "service" in name:
                by_body = (await fleet.list_runs(name))["by_body"]
                runs += by_body.get(hashlib.sha256(key.encode()).hexdigest(), 0)
        self.assertEqual(runs, 2)

    async def check_withdrawal(self, fleet: Fleet, address: str) -> None:
        """Check that a withdrawn key is refused within the bound promised to users."""
        async with Caller(fleet.keys["other"]) as other:
            self.assertTrue((await other.chat(address)).is_whole)
            fleet.base["organisations"]["other"]["keys"] = []
            await fleet.publish()
            withdrawn_s = anyio.current_time()
            while True:
                sent_s = anyio.current_time()
                status = (await other.chat(address, max_tokens=1)).status
                if status == 401:
                    break
                self.assertLess(sent_s - withdrawn_s, PROPAGATION_LIMIT_S)
                await anyio.sleep(0.05)

    async def check_credentials(self, fleet: Fleet) -> None:
        """Check that the upstreams received no credentials in headers."""
        for name in fleet.upstreams:
            runs = await fleet.list_runs(name)
            records = runs if "engine" in name else runs["records"]
            for run in records:
                self.assertFalse(CREDENTIALS & set(run["seen_headers"]), (name, run))


async def post(
    caller: Caller, address: str, body: bytes, headers: dict[str, str]
) -> int | None:
    """Return the status, or None if the daemon closed the connection without one."""
    try:
        reply = await caller.request(
            "POST", address, CHAT_PATH, body=body, headers=headers
        )
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return None
    return reply.status
