"""Guards against answers that look whole but are truncated or another request's.

While an answer is streamed or collected, the engine drops the connection, ends early,
mixes up ids or dies, or the link between the regions is reset or partitioned.
"""

import signal
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from standins.callers import Caller, ChatResult
from standins.fleet import Fleet, FleetPlan, start_fleet
from standins.fleet_plan import Daemon

ENGINE = "gulf-engine-1"
LONG_TOKENS = 100
PARTITION_S = 2
DEADLINE_MS = 10_000
REACH_TIMEOUT_S = 30


async def drop(fleet: Fleet) -> None:
    """Make the engine drop the connection in the middle of its answer."""
    await fleet.set_upstream_faults(ENGINE, drop_next="mid_stream")


async def truncate(fleet: Fleet) -> None:
    """Make the engine end its answer early, as if it were complete."""
    await fleet.set_upstream_faults(ENGINE, truncate=True)


async def cross(fleet: Fleet) -> None:
    """Make the engine send its next answer with another request's id."""
    await fleet.set_upstream_faults(ENGINE, crossed=True, drop_next="mid_stream")


async def die(fleet: Fleet) -> None:
    """Kill the engine."""
    fleet.upstreams[ENGINE].child.signal(signal.SIGKILL)


async def reset(fleet: Fleet) -> None:
    """Reset the connections between the caller's and the engine's region."""
    await fleet.reset("gulf", "delta")


async def cut_shortly(fleet: Fleet) -> None:
    """Partition the regions from each other for a moment."""
    await fleet.partition("gulf", "delta")
    await anyio.sleep(PARTITION_S)
    await fleet.heal("gulf", "delta")


async def cut(fleet: Fleet) -> None:
    """Partition the regions from each other for good."""
    await fleet.partition("gulf", "delta")


BreakAnswer = Callable[[Fleet], Awaitable[None]]
# The fault during an answer, the entry, and whether the answer is a stream.
BREAK_CASES: tuple[tuple[BreakAnswer, str, bool], ...] = (
    (drop, "gulf-1", True),
    (drop, "delta-1", True),
    (drop, "delta-1", False),
    (truncate, "gulf-1", True),
    (truncate, "delta-1", False),
    (cross, "delta-1", True),
    (cross, "gulf-1", False),
    (reset, "delta-1", True),
    (reset, "delta-1", False),
    (cut_shortly, "delta-1", True),
    (cut, "delta-1", True),
    (cut, "delta-1", False),
    (die, "delta-1", True),
    (die, "gulf-1", False),
)


def shorten_deadline(base: dict[str, Any], _: dict[str, Any]) -> None:
    """End an answer soon that a partition holds up."""
    base["routes"]["chat"]["deadline_ms"] = DEADLINE_MS


PLAN = FleetPlan(
    seats=1,
    engine_options={"stream_tokens_per_s": 100},
    edit_documents=shorten_deadline,
)


async def remove_engines_outside_gulf(fleet: Fleet) -> None:
    """Publish a configuration in which only gulf has a model engine."""
    for region in ("piedmont", "delta"):
        upstreams = fleet.overlays[region]["upstreams"]
        for name in list(upstreams):
            if "engine" in name:
                del upstreams[name]
    await fleet.publish()


class PathTests(unittest.TestCase):
    def test_a_request_is_served_by_separate_processes(self):
        async def scenario():
            async with (
                start_fleet(FleetPlan(seats=1)) as fleet,
                Caller(fleet.keys["acme"]) as caller,
            ):
                gulf, delta = fleet.daemons["gulf-1"], fleet.daemons["delta-1"]
                await self.wait_for_entry(caller, gulf, delta.callers_address)
                local = await caller.chat(gulf.callers_address, max_tokens=5)
                self.assertTrue(local.is_whole, local)
                self.assertEqual(local.chunk_ids, {local.headers["x-request-id"]})
                booked = await caller.book(gulf.callers_address, "/desk/book", b"{}")
                self.assertEqual(booked.status, 201)
                await remove_engines_outside_gulf(fleet)
                await self.wait_for_remote_answer(fleet, caller)

        anyio.run(scenario)

    def test_an_answer_under_faults_is_whole_or_visibly_broken(self):
        async def scenario():
            async with (
                start_fleet(PLAN) as fleet,
                Caller(fleet.keys["acme"]) as caller,
            ):
                await self.wait_for_quota(fleet, caller)
                await remove_engines_outside_gulf(fleet)
                for case in BREAK_CASES:
                    await self.wait_for_remote_answer(fleet, caller)
                    with self.subTest(case):
                        self.check_answer(await break_answer(fleet, caller, *case))
                    await fleet.heal("gulf", "delta")
                    if not fleet.upstreams[ENGINE].child.is_running:
                        await fleet.restart_upstream(ENGINE)
                for daemon in fleet.daemons.values():
                    self.assertTrue(daemon.child.is_running)

        anyio.run(scenario)

    def check_answer(self, result: ChatResult) -> None:
        expected = [f"w{number}" for number in range(1, LONG_TOKENS + 1)]
        self.assertEqual(result.words, expected[: len(result.words)])
        self.assertLessEqual(result.chunk_ids, {result.headers.get("x-request-id")})
        if result.is_whole:
            self.assertEqual(result.words, expected)
        else:
            self.assertTrue(result.broken or result.problem, result)
            self.assertFalse(result.is_done)
            self.assertFalse(result.problem and result.problem["not_run"])

    async def wait_for_entry(
        self, caller: Caller, daemon: Daemon, address: str
    ) -> None:
        """Wait until a daemon lists another one to callers.

        A daemon may be ready before it has received the others' state.
        """
        with anyio.fail_after(REACH_TIMEOUT_S):
            while True:
                answer = await caller.request(
                    "GET", daemon.callers_address, "/v1/entries"
                )
                listed = [entry["address"] for entry in answer.value["entries"]]
                if address in listed:
                    return
                await anyio.sleep(0.05)

    async def wait_for_quota(self, fleet: Fleet, caller: Caller) -> None:
        """Wait until every home has stopped withholding its part of the quota.

        In a fresh fleet that takes about as long as the shortened deadline.
        """
        with anyio.fail_after(60):
            for daemon in fleet.daemons.values():
                while True:
                    chat = await caller.chat(daemon.callers_address)
                    if chat.is_whole:
                        break
                    await anyio.sleep(0.1)

    async def wait_for_remote_answer(self, fleet: Fleet, caller: Caller) -> None:
        address = fleet.daemons["delta-1"].callers_address
        with anyio.fail_after(30):
            while True:
                remote = await caller.chat(address, max_tokens=5)
                self.assertTrue(remote.is_whole, remote)
                self.assertEqual(remote.chunk_ids, {remote.headers["x-request-id"]})
                runs = await fleet.list_runs("gulf-engine-1")
                if remote.headers["x-request-id"] in str(runs):
                    return


async def break_answer(
    fleet: Fleet, caller: Caller, cause: BreakAnswer, entry: str, is_stream: bool
) -> ChatResult:
    """Ask for a long answer, break it while it is sent and return the result."""
    results = []
    earlier_runs = len(await fleet.list_runs(ENGINE))

    async def ask() -> None:
        # The content names the case: a request that was running when its engine died
        # is refused when resent.
        content = f"{cause.__name__} {entry} {is_stream}"
        results.append(
            await caller.chat(
                fleet.daemons[entry].callers_address,
                content,
                max_tokens=LONG_TOKENS,
                stream=is_stream,
            )
        )

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask)
        with anyio.fail_after(REACH_TIMEOUT_S):
            while True:
                runs = (await fleet.list_runs(ENGINE))[earlier_runs:]
                if runs and runs[-1]["tokens"]:
                    break
                await anyio.sleep(0.02)
        await cause(fleet)
    return results[0]
