"""Fakes and builders that tests of all packages share."""

import hashlib
import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import trio.testing

from banyanseam.config.compile import compile_config
from banyanseam.config.compiled import Config
from banyanseam.errors import BanyanseamError
from banyanseam.peers.contract import CallHandler, CastHandler
from banyanseam.peers.errors import PeerCallFailed, PeerCallLost, PeerUnreachable
from banyanseam.peers.messages import Envelope, Message, PeerIdentity, decode, encode
from banyanseam.pipe.models import Exchange

KEY = "key-of-acme"


def run_with_mock_clock(function: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run an async test on trio's mock clock, which advances when all tasks wait."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(function, *args, backend="trio", backend_options={"clock": clock})


async def wait_until(condition: Callable[[], Any], timeout_s: float = 15) -> None:
    """Return once the condition holds; raise TimeoutError if it never does."""
    with anyio.fail_after(timeout_s):
        while True:
            if condition():
                return
            await anyio.sleep(0.01)


def digest(key: str) -> str:
    """Return the digest under which a key is published."""
    return hashlib.sha256(key.encode()).hexdigest()


def make_documents(
    regions: tuple[str, ...] = ("gulf", "piedmont", "delta"),
    seats: int = 3,
    *,
    serves_clinic: tuple[str, ...] | None = None,
) -> tuple[dict[str, Any], dict[str, dict[str, Any]]]:
    """Return a base document and its overlays, which tests may change."""
    base = {
        "organisations": {
            "acme": {
                "keys": [{"sha256_hex": digest(KEY), "label": "first"}],
                "rate_tokens_per_s": 1000,
                "burst_tokens": 10_000,
            }
        },
        "routes": {
            "chat": {
                "path_prefix": "/v1/chat/completions",
                "kind": "model",
                "request_class": "quick",
            },
            "clinic": {
                "path_prefix": "/clinic/",
                "kind": "service",
                "request_class": "service",
                "service": "clinic",
            },
        },
    }
    overlays = {}
    for index, region in enumerate(regions):
        port = 10_000 + 1000 * index
        overlays[region] = {
            "seats": {
                f"{region}-{number}": {
                    "data_centre": f"{region}-dc{number % 2}",
                    "callers_address": f"127.0.0.1:{port + number}",
                    "peers_address": f"127.0.0.1:{port + 100 + number}",
                }
                for number in range(1, seats + 1)
            },
            "upstreams": {
                f"{region}-engine-1": {
                    "kind": "model",
                    "serves": ["oak"],
                    "address": f"127.0.0.1:{port + 200}",
                    "data_centre": f"{region}-dc1",
                },
            },
        }
    for region in serves_clinic or regions[-1:]:
        port = 10_300 + 1000 * regions.index(region)
        overlays[region]["upstreams"][f"{region}-clinic-1"] = {
            "kind": "service",
            "serves": ["clinic"],
            "address": f"127.0.0.1:{port}",
            "data_centre": f"{region}-dc1",
        }
    return base, overlays


def make_config(version: int = 1, **kwargs: Any) -> Config:
    """Return the compiled form of `make_documents`."""
    return compile_config(version, *make_documents(**kwargs))


def make_exchange(reply: Any = None, **fields: Any) -> Exchange:
    """Return a caller's request; the fields given override the defaults."""
    defaults = {
        "request_id": "1",
        "method": "POST",
        "path": "/",
        "raw_path": b"/",
        "query": b"",
        "headers": [],
        "body": b"",
        "received_s": 0.0,
    }
    return Exchange(reply=reply, **(defaults | fields))


class FakeFabric:
    """Connects fake networks in memory, with delay, loss and partitions."""

    def __init__(self, seed: int = 1, delay_s: float = 0.001, loss: float = 0) -> None:
        self.rng = random.Random(seed)
        self.delay_s = delay_s
        self.loss = loss
        self.networks: dict[str, FakeNetwork] = {}
        self.partitions: set[frozenset[str]] = set()
        self.messages = 0
        self.sent_bytes: dict[str, int] = {}

    def join(self, seat: str, incarnation: int = 1) -> "FakeNetwork":
        """Return the network of a new process, which replaces the seat's older one."""
        self.networks[seat] = FakeNetwork(self, PeerIdentity(seat, incarnation))
        return self.networks[seat]

    def is_partitioned(self, first: str, second: str) -> bool:
        """Return whether two seats cannot reach each other."""
        return frozenset((first, second)) in self.partitions


class FakeNetwork:
    """In-memory implementation of `banyanseam.peers.contract.Network`."""

    def __init__(self, fabric: FakeFabric, me: PeerIdentity) -> None:
        self.fabric = fabric
        self.me = me
        self.calls: dict[type[Message], CallHandler] = {}
        self.casts: dict[type[Message], CastHandler] = {}

    def handle_call(self, message_type: type[Message], handler: CallHandler) -> None:
        self.calls[message_type] = handler

    def handle_cast(self, message_type: type[Message], handler: CastHandler) -> None:
        self.casts[message_type] = handler

    async def _deliver(self, seat: str, message: Message) -> "FakeNetwork | None":
        """Return the network that received the message, or None if it was lost."""
        if seat not in self.fabric.networks or self.fabric.is_partitioned(
            self.me.seat, seat
        ):
            raise PeerUnreachable(seat)
        self.fabric.messages += 1
        data = encode(Envelope(0, False, message))
        sent_bytes = self.fabric.sent_bytes
        sent_bytes[self.me.seat] = sent_bytes.get(self.me.seat, 0) + len(data)
        decode(data)
        await anyio.sleep(self.fabric.delay_s)
        if self.fabric.rng.random() < self.fabric.loss:
            return None
        if self.fabric.is_partitioned(self.me.seat, seat):
            return None
        return self.fabric.networks.get(seat)

    async def call(
        self, seat: str, message: Message, reply_type: type[Any], timeout_s: float
    ) -> Any:
        peer = await self._deliver(seat, message)
        with anyio.move_on_after(timeout_s):
            if peer is None:
                await anyio.sleep_forever()
            try:
                reply = await peer.calls[type(message)](self.me, message)
            except BanyanseamError as error:
                raise PeerCallFailed(
                    error.code,
                    error.detail,
                    peer_not_run=error.not_run,
                    retry_after_ms=error.retry_after_ms,
                ) from error
            if await peer._deliver(self.me.seat, reply) is None:
                await anyio.sleep_forever()
            return reply
        raise PeerCallLost(seat)

    async def cast(self, seat: str, message: Message) -> None:
        peer = await self._deliver(seat, message)
        if peer is not None:
            peer.casts[type(message)](self.me, message)
