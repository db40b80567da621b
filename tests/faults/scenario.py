"""The fleet and the traffic of the fault tests."""

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
SPREAD_S = 5.0
CUT_OFF_GRACE_S = 10.0
LIMITED_RATE_TOKENS_PER_S = 100
LIMITED_BURST_TOKENS = 1200
RESENDS = 4
PAUSE_S = 0.15
CALLER_TIMEOUT_S = 25.0
PURPOSES = ("chat", "lookup", "homed", "limited", "withdrawn", "booking")

Documents = dict[str, Any]


def alter_documents(base: Documents, overlays: dict[str, Documents]) -> None:
    """Bind one organisation to a region and give each region two engines."""
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
    """Callers of every purpose, which follow the entries that daemons name."""

    def __init__(self, fleet: Fleet, records: Records, seed: int) -> None:
        """Make a caller for each organisation."""
        self.fleet = fleet
        self.records = records
        self.rng = random.Random(seed)
        self.stopping = False
        self.avoided: set[str] = set()
        self.callers = {
            name: Caller(key, CALLER_TIMEOUT_S) for name, key in fleet.keys.items()
        }
        self.count = 0

    async def run(self) -> None:
        """Send until told to stop; each worker ends with its last request."""
        workers: dict[str, Callable[[Daemon], Awaitable[None]]] = {
            "chat": self.chat,
            "lookup": self.look_up,
            "homed": self.chat_homed,
            "limited": self.chat_limited,
            "withdrawn": self.chat_withdrawn,
            "booking": self.book,
        }
        async with anyio.create_task_group() as tasks:
            for worker in workers.values():
                for _ in range(2):
                    tasks.start_soon(self._repeat, worker)
            tasks.start_soon(self._observe)
        for caller in self.callers.values():
            await caller.pool.aclose()

    async def _repeat(self, worker: Callable[[Daemon], Awaitable[None]]) -> None:
        while not self.stopping:
            await worker(self.pick_daemon())
            await anyio.sleep(PAUSE_S * self.rng.random())

    def pick_daemon(self) -> Daemon:
        """Return a daemon that callers would use: none that is leaving."""
        daemons = self.fleet.daemons.values()
        usable = [one for one in daemons if one.seat not in self.avoided]
        return self.rng.choice(usable or list(daemons))

    async def chat(self, daemon: Daemon) -> None:
        """Ask a model, unbound."""
        await self._chat("acme", "chat", daemon)

    async def chat_homed(self, daemon: Daemon) -> None:
        """Ask a model with a history that must stay in its region."""
        await self._chat("homed", "homed", daemon)

    async def chat_limited(self, daemon: Daemon) -> None:
        """Ask for more than the organisation's rate."""
        await self._chat("limited", "limited", daemon, max_tokens=20)

    async def chat_withdrawn(self, daemon: Daemon) -> None:
        """Ask with a key that is withdrawn at some moment."""
        await self._chat("withdrawn", "withdrawn", daemon, max_tokens=3)

    async def look_up(self, daemon: Daemon) -> None:
        """Ask a plain service for something that may be repeated."""
        attempt = self._begin("lookup", daemon, self._make_body("lookup"))
        await self._send(attempt, daemon, "GET", "/desk/status", None)

    async def book(self, daemon: Daemon) -> None:
        """Book once, sending again while the outcome is not known."""
        body = self._make_body("booking")
        key = str(uuid7())
        for _ in range(RESENDS):
            attempt = self._begin("booking", daemon, body)
            await self._send(attempt, daemon, "POST", "/desk/book", key)
            if attempt.status in (201, 400, 401, 409, 422) or self.stopping:
                return
            await anyio.sleep(PAUSE_S)
            daemon = self.pick_daemon()

    def _make_body(self, purpose: str) -> str:
        self.count += 1
        return f"{purpose} {self.count} {self.rng.random()}"

    def _begin(self, purpose: str, daemon: Daemon, body: str) -> Attempt:
        now_s = anyio.current_time()
        attempt = Attempt(purpose, daemon.region, daemon.seat, now_s, body)
        self.records.attempts.append(attempt)
        return attempt

    async def _chat(
        self, organisation: str, purpose: str, daemon: Daemon, max_tokens: int = 12
    ) -> None:
        attempt = self._begin(purpose, daemon, self._make_body(purpose))
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
            self._record(attempt, result)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            attempt.is_broken = True
        attempt.ended_s = anyio.current_time()

    def _record(self, attempt: Attempt, result: PlainResult) -> None:
        attempt.status = result.status
        attempt.request_id = result.headers.get("x-request-id")
        attempt.is_whole = result.status < 300
        if result.status >= 400:
            problem = json.loads(result.content)
            attempt.code = problem.get("code")
            attempt.not_run = bool(problem.get("not_run"))

    async def _observe(self) -> None:
        while not self.stopping:
            for daemon in list(self.fleet.daemons.values()):
                await self._observe_one(daemon)
            await anyio.sleep(0.5)

    async def _observe_one(self, daemon: Daemon) -> None:
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
                seen = Observation(daemon.seat, pid, anyio.current_time(), version)
                self.records.observations.append(seen)


async def collect_runs(fleet: Fleet, records: Records) -> None:
    """Take over what every upstream recorded."""
    for name in fleet.upstreams:
        runs = await fleet.list_runs(name)
        target = records.engine_runs if "engine" in name else records.service_runs
        target[name] = runs
