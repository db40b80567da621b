"""Guards against clients outside the limits that exhaust a process.

The crowds and bounds were fixed before the product was changed. Nothing here depends on
the machine's speed: the process lives, its memory and descriptors stay under a bound,
and an ordinary request is answered while the crowd's connections are still open.
"""

import resource
import unittest
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import anyio

from banyanseam.entry.const import METRICS_PORT
from banyanseam.entry.values_fetcher import VALUES_PATH
from standins.callers import Caller
from standins.fleet import FleetPlan, start_fleet
from standins.platform_fleet import KEY, PlatformFleet, call, start_platform_fleet
from standins.processes import Child
from tests.faults.crowd import (
    BYTES_WITHOUT_END,
    REQUESTS_AHEAD,
    SENDERS,
    Crowd,
    Stream,
    count_descriptors,
    read_peak_bytes,
)

UPSTREAMS = {"d1": ("desk", "gulf")}
MEMORY_MB = 160
MEMORY_BYTES = MEMORY_MB * 1000 * 1000
# The platform reserves 200 of them for files; the others are for sockets.
MAX_FDS = 400
MAX_SOCKETS = MAX_FDS - 200
OPENERS = 400
ANSWER_TIMEOUT_S = 30.0
NOTHING = Stream(b"", b"")
UNFINISHED_HEAD = Stream(b"GET /read/x HTTP/1.1\r\n", b"")
# The bytes without end that the parser keeps, and empty lines.
HEADS_WITHOUT_END = [
    BYTES_WITHOUT_END[name]
    for name in ("header value", "header name", "trailer value", "empty lines")
]
# A path of each port that an ordinary client asks for.
ENTRY_PATHS = {
    "ready": "/v1/ready",
    "directory": "/v1/resolve?name=a.example&region=gulf&zone=gulf-a",
    "control": "/status",
    "peers": VALUES_PATH,
    "metrics": "/metrics",
}


class CrowdTestCase(unittest.TestCase):
    """Runs a crowd against a port and checks the process."""

    @asynccontextmanager
    async def crowd_at(
        self, address: str, child: Child, streams: Sequence[Stream], count: int
    ) -> AsyncIterator[None]:
        crowd = Crowd(address, child)
        try:
            await crowd.open(count)
            await crowd.send(streams, MEMORY_BYTES)
            self.report(crowd)
            yield
            self.assertTrue(child.is_running)
            used_bytes, sockets = self.report(crowd)
            self.assertLess(used_bytes, MEMORY_BYTES)
            self.assertLess(sockets, MAX_SOCKETS)
        finally:
            crowd.close()

    def report(self, crowd: Crowd) -> tuple[int, int]:
        """Print and return the peak memory and the number of descriptors."""
        used_bytes, sockets = (
            read_peak_bytes(crowd.child),
            count_descriptors(crowd.child),
        )
        print(
            f"{self.id().rsplit('.', 1)[1]}: {used_bytes / 1e6:.0f} MB at most, "
            f"{sockets} descriptors, {crowd.sent_bytes / 1e6:.0f} MB sent"
        )
        return used_bytes, sockets


class EntryTests(CrowdTestCase):
    def check(self, role: str, streams: Sequence[Stream], count: int = SENDERS) -> None:
        async def scenario():
            async with start_platform_fleet(
                {"gulf": 1}, UPSTREAMS, memory_mb=MEMORY_MB, max_fds=MAX_FDS
            ) as fleet:
                vm = fleet.vms["gulf-1"]
                port = (fleet.ports | {"metrics": METRICS_PORT})[role]
                address = f"{vm.ip}:{port}"
                async with self.crowd_at(address, vm.child, streams, count):
                    # A crowd with the organisation's key spends its quota.
                    spends = any(KEY.encode() in each.repeated for each in streams)
                    await self.ask(fleet, is_public=spends)
                    if role in ENTRY_PATHS:
                        path = ENTRY_PATHS[role]
                        answer = await call(
                            address, "GET", path, timeout_s=ANSWER_TIMEOUT_S
                        )
                        self.assertEqual((answer.status, answer.broken), (200, None))

        anyio.run(scenario)

    async def ask(self, fleet: PlatformFleet, *, is_public: bool) -> None:
        headers: dict[str, str | None] = {"request-deadline": "30000"}
        if is_public:
            headers["authorization"] = None
        answer = await fleet.ask(
            "gulf-1",
            "/open/x" if is_public else "/read/x",
            method="GET",
            headers=headers,
            timeout_s=ANSWER_TIMEOUT_S,
        )
        self.assertEqual((answer.status, answer.broken), (200, None), answer.body)

    def test_a_header_value_without_end(self):
        self.check("front", [BYTES_WITHOUT_END["header value"]])

    def test_a_header_name_without_end(self):
        self.check("front", [BYTES_WITHOUT_END["header name"]])

    def test_a_target_without_end(self):
        self.check("front", [BYTES_WITHOUT_END["target"]])

    def test_headers_without_end(self):
        self.check("front", [BYTES_WITHOUT_END["headers"]])

    def test_a_trailer_value_without_end(self):
        self.check("front", [BYTES_WITHOUT_END["trailer value"]])

    def test_trailers_without_end(self):
        self.check("front", [BYTES_WITHOUT_END["trailers"]])

    def test_a_chunk_extension_without_end(self):
        self.check("front", [BYTES_WITHOUT_END["chunk extension"]])

    def test_chunks_without_end(self):
        self.check("front", [BYTES_WITHOUT_END["chunks"]])

    def test_a_body_without_end(self):
        self.check("front", [BYTES_WITHOUT_END["body"]])

    def test_empty_lines_without_end(self):
        self.check("front", [BYTES_WITHOUT_END["empty lines"]])

    def test_requests_ahead_without_a_key(self):
        self.check("front", [REQUESTS_AHEAD["without a key"]])

    def test_requests_ahead_with_a_key(self):
        self.check("front", [REQUESTS_AHEAD["with a key"]])

    def test_requests_ahead_with_bodies(self):
        self.check("front", [REQUESTS_AHEAD["with bodies"]])

    def test_requests_ahead_without_a_host(self):
        self.check("front", [REQUESTS_AHEAD["without a host"]])

    def test_a_mixed_crowd(self):
        self.check("front", [*BYTES_WITHOUT_END.values(), *REQUESTS_AHEAD.values()])

    def test_connections_that_only_open(self):
        self.check("front", [NOTHING], OPENERS)

    def test_heads_that_never_go_on(self):
        self.check("front", [UNFINISHED_HEAD], OPENERS)

    def test_bytes_without_end_at_the_readiness_port(self):
        self.check("ready", HEADS_WITHOUT_END)

    def test_requests_ahead_at_the_readiness_port(self):
        self.check("ready", [self.ahead_at("ready")])

    def test_bytes_without_end_at_the_directory(self):
        self.check("directory", HEADS_WITHOUT_END)

    def test_requests_ahead_at_the_directory(self):
        self.check("directory", [self.ahead_at("directory")])

    def test_bytes_without_end_at_the_operators_port(self):
        self.check("control", HEADS_WITHOUT_END)

    def test_requests_ahead_at_the_operators_port(self):
        self.check("control", [self.ahead_at("control")])

    def test_bytes_without_end_at_the_metrics_port(self):
        self.check("metrics", HEADS_WITHOUT_END)

    def test_requests_ahead_at_the_metrics_port(self):
        self.check("metrics", [self.ahead_at("metrics")])

    def test_bytes_without_end_at_the_peers_port(self):
        self.check("peers", HEADS_WITHOUT_END)

    def test_requests_ahead_at_the_peers_port(self):
        self.check("peers", [self.ahead_at("peers")])

    def ahead_at(self, role: str) -> Stream:
        return Stream(
            b"", f"GET {ENTRY_PATHS[role]} HTTP/1.1\r\nhost: a\r\n\r\n".encode()
        )


class DaemonTests(CrowdTestCase):
    """The same for the daemon with published seats."""

    def check(
        self,
        port: str,
        streams: Sequence[Stream],
        count: int = SENDERS,
        descriptors: int | None = None,
    ) -> None:
        async def scenario():
            plan = FleetPlan(regions=("gulf",), seats=1, uses_relay=False)
            async with (
                start_fleet(plan) as fleet,
                Caller(fleet.keys["acme"], ANSWER_TIMEOUT_S) as caller,
            ):
                daemon = fleet.daemons["gulf-1"]
                if descriptors is not None:
                    limits = (descriptors, descriptors)
                    resource.prlimit(daemon.child.pid, resource.RLIMIT_NOFILE, limits)
                address = getattr(daemon, f"{port}_address")
                async with self.crowd_at(address, daemon.child, streams, count):
                    answer = await caller.chat(daemon.callers_address)
                    self.assertTrue(answer.is_whole, answer)
                    reply = await caller.request(
                        "GET", daemon.operators_address, "/health/ready"
                    )
                    self.assertEqual(reply.status, 200)

        anyio.run(scenario)

    def test_bytes_without_end_at_the_callers_port(self):
        self.check("callers", HEADS_WITHOUT_END)

    def test_requests_ahead_at_the_callers_port(self):
        self.check("callers", list(REQUESTS_AHEAD.values()))

    def test_connections_that_only_open(self):
        # The descriptors that the process may have, since its settings name none.
        self.check("callers", [NOTHING], OPENERS, descriptors=MAX_SOCKETS)

    def test_bytes_without_end_at_the_operators_port(self):
        self.check("operators", HEADS_WITHOUT_END)

    def test_requests_ahead_at_the_operators_port(self):
        health = b"GET /health/ready HTTP/1.1\r\nhost: a\r\n\r\n"
        self.check("operators", [Stream(b"", health)])

    def test_bytes_without_end_at_the_peers_port(self):
        self.check("peers", HEADS_WITHOUT_END)

    def test_requests_ahead_at_the_peers_port(self):
        self.check("peers", list(REQUESTS_AHEAD.values()))


if __name__ == "__main__":
    unittest.main()
