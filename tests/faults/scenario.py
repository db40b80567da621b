"""The fleet and the caller traffic of the fault tests."""

import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import httpcore
from uuid6 import uuid7

from standins.callers import Caller, PlainResult
from standins.fleet import Daemon, Fleet, FleetPlan, OrganisationPlan
from tests.faults.records import Attempt, Observation, Records

REGIONS = ("gulf", "piedmont", "delta")
HOME_REGION = "gulf"
PROPAGATION_LIMIT_S = 5.0
PARTITION_GRACE_S = 10.0
LIMITED_RATE_TOKENS_PER_S = 100
LIMITED_BURST_TOKENS = 1200
MAX_BOOKING_ATTEMPTS = 4
PAUSE_S = 0.15
CALLER_TIMEOUT_S = 25.0
PURPOSES = ("chat", "lookup", "homed", "limited", "withdrawn", "booking")

Documents = dict[str, Any]


def alter_documents(base: Documents, overlays: dict[str, Documents]) -> None:
    """Bind one organisation to a region and shorten the deadline of all routes."""
    base["residency"] = {"home": {"regions": [HOME_REGION]}}
    base["organisations"]["homed"]["residency"] = "home"
    for route in base["routes"].values():
        route["deadline_ms"] = 15_000


def make_plan(seats: int) -> FleetPlan:
    """Return the fleet of the fault tests."""
    return FleetPlan(
        regions=REGIONS,
        seats=seats,
        engines=2,
        delay_ms=5,
        organisations={
            "acme": OrganisationPlan(),
            "homed": OrganisationPlan(),
            "withdrawn": OrganisationPlan(),
            "limited": OrganisationPlan(
                rate_tokens_per_s=LIMITED_RATE_TOKENS_PER_S,
                burst_tokens=LIMITED_BURST_TOKENS,
            ),
        },
        engine_options={"stream_tokens_per_s": 100, "memory_tokens": 1_000_000},
        edit_documents=alter_documents,
    )


class Traffic:
    """Callers of every purpose, which record the outcome of each request."""

    def __init__(self, fleet: Fleet, records: Records, seed: int) -> None:
        """Create a caller for each organisation."""
        self.fleet = fleet
        self.records = records
        self.rng = random.Random(seed)
        self.stopping = False
        self.leaving_seats: set[str] = set()
        self.callers = {
            name: Caller(key, CALLER_TIMEOUT_S) for name, key in fleet.keys.items()
        }
        self.body_count = 0

    async def run(self) -> None:
        """Send until `stopping` is set, and complete the requests in progress."""
        workers: dict[str, Callable[[Daemon], Awaitable[None]]] = {
            "chat": self.chat,
            "lookup": self.look_up_status,
            "homed": self.chat_homed,
            "limited": self.chat_limited,
            "withdrawn": self.chat_withdrawn,
            "booking": self.book,
        }
        async with anyio.create_task_group() as tasks:
            for worker in workers.values():
                for _ in range(2):
                    tasks.start_soon(self._repeat, worker)
            tasks.start_soon(self._poll_versions)
        for caller in self.callers.values():
            await caller.pool.aclose()

    async def _repeat(self, worker: Callable[[Daemon], Awaitable[None]]) -> None:
        while not self.stopping:
            await worker(self.pick_daemon())
            await anyio.sleep(PAUSE_S * self.rng.random())

    def pick_daemon(self) -> Daemon:
        """Return a random daemon that is not leaving, as callers would use."""
        daemons = self.fleet.daemons.values()
        usable = [daemon for daemon in daemons if daemon.seat not in self.leaving_seats]
        return self.rng.choice(usable or list(daemons))

    async def chat(self, daemon: Daemon) -> None:
        """Chat with a model, in any region."""
        await self._chat("acme", "chat", daemon)

    async def chat_homed(self, daemon: Daemon) -> None:
        """Chat as an organisation that is bound to its home region."""
        await self._chat("homed", "homed", daemon)

    async def chat_limited(self, daemon: Daemon) -> None:
        """Chat as an organisation whose demand exceeds its rate."""
        await self._chat("limited", "limited", daemon, max_tokens=20)

    async def chat_withdrawn(self, daemon: Daemon) -> None:
        """Chat with a key that is withdrawn during the run."""
        await self._chat("withdrawn", "withdrawn", daemon, max_tokens=3)

    async def look_up_status(self, daemon: Daemon) -> None:
        """Send a request to a plain service that may safely be retried."""
        attempt = self._start_attempt("lookup", daemon, self._make_body("lookup"))
        await self._send(attempt, daemon, "GET", "/desk/status", None)

    async def book(self, daemon: Daemon) -> None:
        """Book once, resending with the same key while the outcome is unknown."""
        body = self._make_body("booking")
        key = str(uuid7())
        for _ in range(MAX_BOOKING_ATTEMPTS):
            attempt = self._start_attempt("booking", daemon, body)
            await self._send(attempt, daemon, "POST", "/desk/book", key)
            if attempt.status in (201, 400, 401, 409, 422) or self.stopping:
                return
            await anyio.sleep(PAUSE_S)
            daemon = self.pick_daemon()

    def _make_body(self, purpose: str) -> str:
        self.body_count += 1
        return f"{purpose} {self.body_count} {self.rng.random()}"

    def _start_attempt(self, purpose: str, daemon: Daemon, body: str) -> Attempt:
        now_s = anyio.current_time()
        attempt = Attempt(purpose, daemon.region, daemon.seat, now_s, body)
        self.records.attempts.append(attempt)
        return attempt

    async def _chat(
        self, organisation: str, purpose: str, daemon: Daemon, max_tokens: int = 12
    ) -> None:
        attempt = self._start_attempt(purpose, daemon, self._make_body(purpose))
        result = await self.callers[organisation].chat(
            daemon.callers_address, attempt.body, max_tokens=max_tokens
        )
        attempt.ended_s = anyio.current_time()
        attempt.status = result.status
        attempt.is_whole = result.is_whole
        attempt.is_broken = bool(result.broken or result.problem)
        attempt.request_id = result.headers.get("x-request-id")
        attempt.chunk_ids = result.chunk_ids
        if result.problem:
            attempt.code = result.problem.get("code")
            attempt.not_run = bool(result.problem.get("not_run"))

    async def _send(
        self, attempt: Attempt, daemon: Daemon, method: str, path: str, key: str | None
    ) -> None:
        headers = {"idempotency-key": key} if key else {}
        try:
            result = await self.callers["acme"].request(
                method,
                daemon.callers_address,
                path,
                body=attempt.body.encode(),
                headers=headers,
            )
            self._record_reply(attempt, result)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            attempt.is_broken = True
        attempt.ended_s = anyio.current_time()

    def _record_reply(self, attempt: Attempt, result: PlainResult) -> None:
        attempt.status = result.status
        attempt.request_id = result.headers.get("x-request-id")
        attempt.is_whole = result.status < 300
        if result.status >= 400:
            problem = json.loads(result.content)
            attempt.code = problem.get("code")
            attempt.not_run = bool(problem.get("not_run"))

    async def _poll_versions(self) -> None:
        while not self.stopping:
            for daemon in list(self.fleet.daemons.values()):
                await self._poll_version(daemon)
            await anyio.sleep(0.5)

    async def _poll_version(self, daemon: Daemon) -> None:
        pid = daemon.child.pid
        with anyio.move_on_after(0.5):
            try:
                reply = await self.fleet.client.request(
                    "GET", daemon.operators_address, "/health/ready"
                )
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
            ):
                return
            if reply.status == 200 and daemon.child.pid == pid:
                version = reply.value["version"]
                observation = Observation(
                    daemon.seat, pid, anyio.current_time(), version
                )
                self.records.observations.append(observation)


async def collect_runs(fleet: Fleet, records: Records) -> None:
    """Copy the runs that every upstream recorded into the records."""
    for name in fleet.upstreams:
        runs = await fleet.list_runs(name)
        target = records.engine_runs if "engine" in name else records.service_runs
        target[name] = runs
