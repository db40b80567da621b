"""Checks that streams outlast a silence of their upstream, and move if it lasts."""

import unittest
from collections.abc import AsyncIterator, Callable
from functools import partial
from types import SimpleNamespace
from unittest import mock

import anyio

from banyanseam.entry.const import MAX_TOGETHER_S, ROUND_TRIP_MS
from banyanseam.entry.crash_suspects import CrashSuspects
from banyanseam.entry.errors import (
    CrashSuspected,
    SlowerThanOthers,
    StreamOriginUnknown,
)
from banyanseam.entry.moving import MovePolicy, Progress
from banyanseam.entry.origins.takeups import TakeUps
from banyanseam.entry.placing import Placement
from banyanseam.entry.retry_budget import RetryBudget
from banyanseam.errors import BanyanseamError
from tests.common import run_with_mock_clock
from tests.entry.common import make_candidate, make_exchange, make_members
from tests.entry.simulation import (
    COMMENT,
    EVENT_PAUSE_S,
    EVENTS,
    Caller,
    Simulation,
    make_stream,
    start_simulation,
)
from tests.entry.test_stream_versions import let_pass, list_authors, mix, take_up

GULF = "10.1.0.1"
SILENCES_S = (1.0, 1.5, 2.0, 2.5)
# What the upstream does that is asked to go on: it goes on, brings no next event, or
# goes on and is in trouble after its first event.
GOES_ON = ("",)
BRINGS_NOTHING = (
    *("full", "pause", "refused", "misdirected", "no answer", "silent", "lost"),
    *("slow", "error", "empty", "crossed", "unsigned", "old refusal", "rejected"),
    *("old misdirection", "refusal without id", "comment"),
)
BREAKS_LATER = ("cut", "stall", "short", "skip", "error inside")
# The same of a peer that is asked to go on.
PEER_FAULTS = ("", "refused", "lost", "answer lost")
# How long two upstreams may work on a request.
TOGETHER_S = 0.4


def keep(simulation: Simulation, *names: str) -> None:
    """Let only some of the engines be there."""
    for name in list(simulation.upstreams):
        if "pool" in name and name not in names:
            del simulation.upstreams[name]
    simulation.revision += 1
    simulation.gossip()


class SilentStreamTests(unittest.TestCase):
    def ask(
        self,
        silence_s: float,
        faults: list[str],
        peer_faults: list[str],
        prepare: Callable[[Simulation], None] = lambda _: None,
        max_attempts: int = 2,
        silence: str = "stall",
    ) -> tuple[Simulation, Caller]:
        """Ask for a stream whose first upstream falls silent after an event."""

        async def run() -> Simulation:
            async with start_simulation() as simulation:
                prepare(simulation)
                faults_of_sends = [silence, *faults]
                simulation.ask(GULF, "/query/x", faults_of_sends, peer_faults)
            return simulation

        with (
            mock.patch("tests.entry.simulation.STALL_S", silence_s),
            mock.patch("tests.entry.simulation.MAX_ATTEMPTS", max_attempts),
        ):
            simulation = run_with_mock_clock(run)
        self.assertEqual(simulation.internal_failures, [])
        (caller,) = simulation.callers
        runs = simulation.runs[caller.request_id]
        self.assertLessEqual(len(runs), max_attempts)
        for before, after in zip(runs, runs[1:], strict=False):
            self.assertLess(min(before.ended_s, after.ended_s), after.at_s + TOGETHER_S)
        for entry in simulation.entries.values():
            listed = map(entry.upstreams.find, simulation.upstreams)
            self.assertFalse(any(each.usage.requests for each in listed if each))
            self.assertFalse(any(entry.frontend.relay.loads.forwarded.values()))
        return simulation, caller

    def check_whole(self, caller: Caller) -> None:
        self.assertEqual(caller.body, make_stream(caller.request_id))
        self.assertTrue(caller.is_whole)

    def test_a_stream_goes_on_after_a_silence_whatever_another_upstream_does(self):
        for silence_s in SILENCES_S:
            for other in GOES_ON + BRINGS_NOTHING:
                with self.subTest(silence_s=silence_s, other=other):
                    _, caller = self.ask(silence_s, [other], [])
                    self.check_whole(caller)

    def test_a_stream_goes_on_after_a_silence_within_its_first_event(self):
        """The caller has no part of the answer yet."""
        for other in GOES_ON + BRINGS_NOTHING:
            with self.subTest(other):
                _, caller = self.ask(2.0, [other], [], silence="stall inside")
                self.check_whole(caller)

    def test_a_stream_goes_on_after_a_silence_whatever_another_region_does(self):
        for other in GOES_ON + BRINGS_NOTHING:
            for peer_fault in PEER_FAULTS:
                with self.subTest(other=other, peer_fault=peer_fault):
                    _, caller = self.ask(
                        2.0,
                        [other],
                        [peer_fault] * 2,
                        lambda each: keep(each, "pool-gulf", "pool-piedmont"),
                    )
                    self.check_whole(caller)

    def test_a_forwarded_stream_goes_on_after_a_silence(self):
        for other in GOES_ON + BRINGS_NOTHING:
            with self.subTest(other):
                _, caller = self.ask(
                    2.0,
                    [other],
                    [],
                    lambda each: keep(each, "pool-piedmont", "pool-two-piedmont"),
                )
                self.check_whole(caller)

    def test_a_stream_goes_on_if_the_upstream_that_it_moved_to_breaks(self):
        for silence_s in SILENCES_S:
            for other in BREAKS_LATER:
                with self.subTest(silence_s=silence_s, other=other):
                    _, caller = self.ask(silence_s, [other], [], max_attempts=3)
                    self.check_whole(caller)

    def test_a_stream_goes_on_after_a_silence_if_no_other_upstream_is_there(self):
        _, caller = self.ask(2.5, [], [], lambda each: keep(each, "pool-gulf"))
        self.check_whole(caller)

    def test_a_stream_goes_on_after_a_silence_if_the_retry_budget_is_spent(self):
        with mock.patch.object(RetryBudget, "try_spend", return_value=False):
            simulation, caller = self.ask(2.5, [], [])
        self.check_whole(caller)
        self.assertEqual(len(simulation.runs[caller.request_id]), 1)

    def test_only_the_upstream_that_failed_is_suspected(self):
        simulation, caller = self.ask(2.0, ["no answer"], [])
        upstreams = simulation.entries[GULF].upstreams
        has_failed = [
            upstreams.find(run.upstream_id).usage.failed_s > 0
            for run in simulation.runs[caller.request_id]
        ]
        self.assertEqual(has_failed, [False, True])

    def test_the_upstream_that_is_second_is_closed_at_once(self):
        """Either may bring the next event first, or both at nearly the same time."""
        others = {"": EVENT_PAUSE_S, "slow": EVENT_PAUSE_S, "silent": MAX_TOGETHER_S}
        for silence_ms in range(880, 1300, 10):
            for other, lasts_s in others.items():
                with (
                    self.subTest(silence_ms=silence_ms, other=other),
                    mock.patch("tests.entry.simulation.SLOW_S", 0.1),
                ):
                    simulation, caller = self.ask(silence_ms / 1000, [other], [])
                    self.check_whole(caller)
                    first, *later = simulation.runs[caller.request_id]
                    goes_on_s = first.at_s + 2 * EVENT_PAUSE_S + silence_ms / 1000
                    for run in later:
                        ended_s = min(first.ended_s, run.ended_s)
                        expected_s = min(goes_on_s, run.at_s + lasts_s)
                        self.assertAlmostEqual(ended_s, expected_s)

    def test_an_answer_that_begins_beside_another_upstream_begins_once(self):
        """A comment begins it, at the version of the upstream that sent it."""
        for silence_ms in range(860, 1260, 20):
            for prepare in (lambda _: None, mix):
                with (
                    self.subTest(silence_ms=silence_ms, prepare=prepare),
                    mock.patch("tests.entry.simulation.SLOW_S", 0.1),
                ):
                    simulation, caller = self.ask(
                        silence_ms / 1000,
                        ["slow"],
                        [],
                        prepare,
                        silence="comment inside",
                    )
                    events = caller.body.replace(COMMENT, b"")
                    self.assertEqual(events.count(b"\n\n"), EVENTS)
                    self.assertTrue(caller.is_whole)
                    first = simulation.runs[caller.request_id][0]
                    authors = set(list_authors(caller))
                    self.assertEqual(len(authors), 1)
                    if COMMENT in caller.body:
                        self.assertEqual(authors, {first.software})

    def test_a_stream_of_another_region_moves_soon_enough_to_end_there_in_time(self):
        def return_later(simulation: Simulation) -> None:
            upstreams = dict(simulation.upstreams)
            keep(simulation, "pool-piedmont")

            async def run() -> None:
                await anyio.sleep(0.3)
                simulation.upstreams["pool-gulf"] = upstreams["pool-gulf"]
                simulation.revision += 1
                simulation.gossip()

            simulation.tasks.start_soon(run)

        for pause_s in (0.2, 0.28, 0.32, 0.347):
            with (
                self.subTest(pause_s=pause_s),
                mock.patch("tests.entry.simulation.EVENT_PAUSE_S", pause_s),
                mock.patch("tests.entry.simulation.CLOSE_S", ROUND_TRIP_MS / 2000),
            ):
                simulation, caller = self.ask(1.0, [], [], return_later)
                self.check_whole(caller)
                runs = simulation.runs[caller.request_id]
                regions = [run.region for run in runs]
                self.assertEqual(regions, ["piedmont", "gulf"])
                is_moved = runs[0].ended_s < runs[1].ended_s
                self.assertEqual(is_moved, pause_s < 0.29)

    def test_a_stream_that_moved_before_its_first_event_is_taken_up(self):
        async def run() -> list[Caller]:
            async with start_simulation() as simulation:
                mix(simulation)
                faults = ["stall inside", ""]
                simulation.ask(GULF, "/query/x", faults, [], leaves_after=2)
                await let_pass(simulation, 2)
                first = simulation.callers[0]
                return [first, await take_up(simulation, GULF, first)]

        with mock.patch("tests.entry.simulation.STALL_S", 60.0):
            first, later = run_with_mock_clock(run)
        self.assertTrue(later.is_whole)
        self.assertEqual(later.status, 200)
        self.assertEqual(len(set(list_authors(first, later))), 1)

    def test_a_stream_that_stays_silent_goes_on_elsewhere(self):
        simulation, caller = self.ask(60.0, [], [])
        self.check_whole(caller)
        self.assertEqual(len(simulation.runs[caller.request_id]), 2)

    def test_a_caller_that_leaves_ends_the_work_at_both_upstreams(self):
        async def run() -> list[float]:
            async with start_simulation() as simulation:
                caller = Caller("r1", "/query/x", GULF, anyio.current_time())
                simulation.faults["r1"] = ["stall", "silent"]
                with anyio.move_on_after(1.0):
                    await simulation._ask(simulation.entries[GULF], caller)
            return [run.ended_s - caller.sent_s for run in simulation.runs["r1"]]

        self.assertEqual(run_with_mock_clock(run), [1.0, 1.0])

    def test_a_stream_that_may_not_move_goes_on_after_a_silence(self):
        """Where it began may be uncertain, and the request suspected by then."""
        refusals = (
            (TakeUps, "confirm", StreamOriginUnknown()),
            (CrashSuspects, "find_wait_s", CrashSuspected()),
        )
        for owner, name, error in refusals:
            for silence_s in (1.0, 2.5):
                with self.subTest(name, silence_s=silence_s):
                    prepare = partial(refuse_later, owner, name, error)
                    simulation, caller = self.ask(silence_s, [], [], prepare)
                    self.check_whole(caller)
                    self.assertEqual(len(simulation.runs[caller.request_id]), 1)


class FirstByteTests(unittest.TestCase):
    """A request whose upstream takes 2 of its 3 s to begin."""

    def ask(
        self,
        path: str,
        faults: list[str],
        change: Callable[[Simulation], None] = lambda _: None,
    ) -> Caller:
        async def run() -> Simulation:
            async with start_simulation() as simulation:
                simulation.ask(GULF, path, faults, [])
                await anyio.sleep(0.3)
                change(simulation)
            return simulation

        simulation = run_with_mock_clock(run)
        self.assertEqual(simulation.internal_failures, [])
        return simulation.callers[0]

    def test_a_request_that_may_not_be_sent_again_is_not_given_up(self):
        for path in ("/query/x", "/read/x"):
            with (
                self.subTest(path),
                mock.patch.object(RetryBudget, "try_spend", return_value=False),
                mock.patch.object(RetryBudget, "has_retry", return_value=False),
            ):
                self.assertEqual(self.ask(path, ["slow"]).status, 200)

    def test_a_request_is_not_given_up_if_no_upstream_would_take_it(self):
        caller = self.ask("/query/x", ["slow"], keep)
        self.assertEqual(caller.status, 200)

    def test_a_request_goes_on_at_another_upstream(self):
        caller = self.ask("/query/x", ["silent"])
        self.assertEqual(caller.status, 200)
        self.assertLess(caller.took_s, 1.6)


def refuse_later(
    owner: type, name: str, error: BanyanseamError, simulation: Simulation
) -> None:
    """Let a method fail for a while, once the request has been sent."""

    async def run() -> None:
        await anyio.sleep(0.01)
        with mock.patch.object(owner, name, side_effect=error):
            await anyio.sleep(3.5)

    simulation.tasks.start_soon(run)


class ChangeTests(unittest.TestCase):
    def test_no_change_ends_a_stream_that_is_silent(self):
        def withdraw_key(simulation: Simulation) -> None:
            simulation.config["tenants"][0]["api_keys"] = []
            simulation.publish()

        def drop_routes(simulation: Simulation) -> None:
            simulation.config["routes"] = simulation.config["routes"][1:]
            simulation.publish()

        def move_home(simulation: Simulation) -> None:
            simulation.config["tenants"][0]["home_regions"] = ["piedmont"]
            simulation.publish()

        def evacuate(simulation: Simulation) -> None:
            simulation.publish(evacuated="gulf-a")

        def partition(simulation: Simulation) -> None:
            simulation.is_partitioned = True

        changes = {
            "publish": Simulation.publish,
            "withdraw a key": withdraw_key,
            "drop a route": drop_routes,
            "move a home": move_home,
            "evacuate": evacuate,
            "drop all engines": keep,
            "partition": partition,
        }
        regions = {"gulf": (), "piedmont": ("pool-piedmont", "pool-two-piedmont")}
        for name, change in changes.items():
            for region, kept in regions.items():
                for other in ("", "full", "silent"):
                    with self.subTest(name, region=region, other=other):
                        self.check(change, kept, other)

    def check(
        self, change: Callable[[Simulation], None], kept: tuple[str, ...], other: str
    ) -> None:
        async def run() -> Simulation:
            async with start_simulation() as simulation:
                if kept:
                    keep(simulation, *kept)
                simulation.ask(GULF, "/query/x", ["stall", other], [])
                await anyio.sleep(0.3)
                for _ in range(8):
                    change(simulation)
                    await anyio.sleep(0.2)
            return simulation

        with mock.patch("tests.entry.simulation.STALL_S", 2.0):
            simulation = run_with_mock_clock(run)
        self.assertEqual(simulation.internal_failures, [])
        (caller,) = simulation.callers
        self.assertEqual(caller.body, make_stream(caller.request_id))
        self.assertTrue(caller.is_whole)


class ProgressTests(unittest.TestCase):
    def test_a_chunk_that_arrives_with_the_stop_is_not_relayed(self):
        """The other upstream brings the same event."""

        async def run() -> None:
            progress = Progress(anyio.current_time())

            async def body() -> AsyncIterator[bytes]:
                progress.stop()
                yield b"part"

            with self.assertRaises(SlowerThanOthers):
                await progress.read(body())

        run_with_mock_clock(run)

    def test_a_stream_whose_caller_reads_slowly_is_not_moved(self):
        async def run() -> None:
            exchange = make_exchange(anyio.current_time())
            exchange.reply = SimpleNamespace(is_started=True)
            policy = MovePolicy(
                make_members(),
                mock.Mock(),
                SimpleNamespace(try_spend=lambda *_: True),
                lambda *_: [make_candidate("e2")],
            )
            tried = Placement(make_candidate("e1"), 0.0, is_cached=False)
            progress = Progress(anyio.current_time())

            async def body() -> AsyncIterator[bytes]:
                yield b"part"

            await progress.read(body())
            with anyio.move_on_after(5) as scope:
                await policy.stop_stalled_stream(exchange, tried, progress)
            self.assertTrue(scope.cancelled_caught)
            self.assertFalse(progress.try_stop())

        run_with_mock_clock(run)


if __name__ == "__main__":
    unittest.main()
