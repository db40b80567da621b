"""Plays streams whose upstreams pause, break off and go on in any order.

A silent upstream and those that are asked to go on work beside each other for a while,
each with a state of its own; whatever comes first, the caller's must stay true.
"""

import os
import random
import re
import unittest
from collections.abc import Iterator
from dataclasses import dataclass, replace
from unittest import mock

from banyanseam.entry.exchange import Exchange
from banyanseam.entry.relay import Relay
from banyanseam.entry.stream_moves import _Successor
from tests.common import run_with_mock_clock
from tests.entry.simulation import (
    EVENTS,
    NOT_RUN,
    Caller,
    Script,
    Simulation,
    start_simulation,
)
from tests.entry.test_silent_streams import BREAKS_LATER, BRINGS_NOTHING, PEER_FAULTS
from tests.entry.test_stream_versions import list_authors, mix

ORDERS = int(os.environ.get("STREAM_ORDERS", "400"))
# Within this many orders each fault that is put back must be found.
MAX_TO_FIND = 400
GULF, BESIDE = "10.1.0.1", "10.1.0.2"
# How long two upstreams may work on a request.
TOGETHER_S = 0.4
EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)
PLACES = ("near", "relayed", "remote", "mixed")
PAUSES_S = (0.02, 0.1, 0.25, 0.35, 0.5, 1.0, 1.5, 2.5)


@dataclass(frozen=True, slots=True)
class Order:
    """What happens to one stream."""

    attempts: int
    # Where its upstreams are: in reach of its VM, over another VM of the region, or in
    # another region.
    place: str
    scripts: tuple[str | Script, ...]
    peer_faults: tuple[str, ...]
    has_versions: bool
    leaves_after: int | None


def draw_script(rng: random.Random, *, is_first: bool) -> Script:
    steps: list[str | float] = []
    if is_first:
        steps += rng.choice(([], ["comment"], ["part"], ["event"], ["event", "event"]))
        # An upstream is given up once it has been silent for twice the longest pause.
        steps.append(rng.choice((rng.uniform(0.8, 1.3), rng.uniform(0.8, 1.3), 2.5)))
    else:
        steps.append(rng.uniform(0.02, 0.45))
        if rng.random() < 0.2:
            steps += ["part", rng.choice((1.0, 2.5))]
    for _ in range(rng.choice((0, 0, 1, 2))):
        steps.append(rng.choice(("event", "event", "comment", "part")))
        steps.append(rng.choice(PAUSES_S))
    end = rng.choice(("rest", "event and part", "part", "break", "event", "gap"))
    if is_first and rng.random() < 0.3:
        end = "event and part"
    steps.append(end)
    if end == "event":
        steps.append("break")
    return tuple(steps)


def draw_order(rng: random.Random) -> Order:
    attempts = rng.choice((2, 3, 3, 4))
    faults = (*BRINGS_NOTHING, *BREAKS_LATER, *NOT_RUN)
    later = [
        rng.choice(faults)
        if rng.random() < 0.3
        else draw_script(rng, is_first=rng.random() < 0.3)
        for _ in range(attempts + 1)
    ]
    return Order(
        attempts=attempts,
        place=rng.choice(PLACES),
        scripts=(draw_script(rng, is_first=True), *later),
        peer_faults=tuple(
            rng.choice(PEER_FAULTS) if rng.random() < 0.2 else "" for _ in range(5)
        ),
        has_versions=rng.random() < 0.5,
        leaves_after=rng.randint(1, EVENTS) if rng.random() < 0.15 else None,
    )


def place(simulation: Simulation, order: Order) -> None:
    """Let the engines be where the order says."""
    for region in ("gulf", "piedmont"):
        first = simulation.upstreams[f"pool-{region}"]
        for number in (3, 4):
            name = f"pool-{number}-{region}"
            simulation.upstreams[name] = replace(
                first, upstream_id=name, address=f"10.8.{number}.{len(region)}:80"
            )
    if order.has_versions:
        mix(simulation)
    if order.place == "remote":
        for name in list(simulation.upstreams):
            if "pool" in name and "gulf" in name:
                del simulation.upstreams[name]
    pools = [each for each in simulation.upstreams if "pool" in each]
    if order.place == "relayed":
        simulation.unreached[GULF] = {each for each in pools if "gulf" in each}
    if order.place == "mixed":
        simulation.unreached[GULF] = set(pools[::2])
    simulation.revision += 1
    simulation.gossip()


def play(order: Order) -> tuple[Simulation, Caller, Exchange | None]:
    """Play an order; return the request's state at its end too."""
    ends: list[Exchange] = []

    async def run() -> Simulation:
        async with start_simulation() as simulation:
            place(simulation, order)
            simulation.ask(
                GULF,
                "/query/x",
                list(order.scripts),
                list(order.peer_faults),
                leaves_after=order.leaves_after,
                deadline_ms=8000,
            )
        return simulation

    def note(_: Relay, exchange: Exchange) -> None:
        if exchange.forwarding is None:
            ends.append(exchange)

    with (
        mock.patch("tests.entry.simulation.MAX_ATTEMPTS", order.attempts),
        mock.patch.object(Relay, "_record_answer_time", note),
    ):
        simulation = run_with_mock_clock(run)
    return simulation, simulation.callers[0], ends[0] if ends else None


def find_faults(order: Order) -> Iterator[str]:
    """Yield how an order breaks what callers are promised."""
    simulation, caller, exchange = play(order)
    yield from simulation.internal_failures
    ids = [int(each) for each in EVENT_ID.findall(caller.body)]
    if caller.status == 200 and ids != list(range(1, len(ids) + 1)):
        yield f"events {ids}"
    if caller.status == 200 and caller.is_whole and len(ids) < EVENTS:
        # An upstream may end its stream too early in a form that looks whole.
        last = [each[-1:] for each in order.scripts if isinstance(each, tuple)]
        if not any(each in (("event",), ("comment",)) for each in last) and not (
            {"empty", "skip"} & set(order.scripts)
        ):
            yield f"a whole answer of {len(ids)} events"
    authors = set(list_authors(caller))
    if len(authors) > 1:
        yield f"events of {authors}"
    runs = simulation.runs.get(caller.request_id, [])
    if len(runs) > order.attempts:
        yield f"{len(runs)} runs"
    for before, after in zip(runs, runs[1:], strict=False):
        if min(before.ended_s, after.ended_s) > after.at_s + TOGETHER_S:
            yield "two runs at a time"
    if any(run.ended_s == float("inf") for run in runs):
        yield "work goes on"
    if exchange is not None:
        yield from _compare(order, caller, exchange, ids, authors)


def _compare(
    order: Order, caller: Caller, exchange: Exchange, ids: list[int], authors: set[str]
) -> Iterator[str]:
    """Compare the state of a request at its end with what its caller got."""
    if caller.status != 200:
        return
    got = ids[-1] if ids else None
    has_left = order.leaves_after is not None and not caller.is_whole
    if exchange.last_event != got and not has_left:
        yield f"last event {exchange.last_event}, the caller has {got}"
    if authors and not authors <= set(exchange.software):
        yield f"software {exchange.software}, the caller has {authors}"
    if len(set(exchange.software)) > 1:
        yield f"software {exchange.software}"
    if exchange.origin is None:
        yield "no origin"
    elif authors and {exchange.origin.software} != authors:
        yield f"origin {exchange.origin.software}, the caller has {authors}"
    began_s = exchange.reply.first_sent_s
    if began_s is not None and abs(exchange.begun_s - began_s) > 0.001:
        yield f"begun at {exchange.begun_s:.3f}, the caller's answer at {began_s:.3f}"


async def go_on_in_any_case(self, failure):
    """Do what `_Successor.go_on_alone` did: go on although it was cancelled."""
    self._scope.deadline = float("inf")
    self._is_alone.set()
    await self.ended.wait()
    return None if self._is_whole else self.error or failure


class StreamOrderTests(unittest.TestCase):
    # A stream brought an event twice: an attempt that had been cancelled put its older
    # state back.
    def test_streams_keep_their_promises_in_any_order(self):
        rng = random.Random(72)
        for number in range(ORDERS):
            order = draw_order(rng)
            with self.subTest(number=number, order=order):
                self.assertEqual(list(find_faults(order)), [])

    def test_the_generator_finds_a_cancelled_attempt_that_goes_on(self):
        rng = random.Random(1)
        with mock.patch.object(_Successor, "go_on_alone", go_on_in_any_case):
            orders = (draw_order(rng) for _ in range(MAX_TO_FIND))
            found = next((each for each in orders if list(find_faults(each))), None)
        self.assertIsNotNone(found)

    # The plain form of review 13: two attempts beside each other, then a break.
    def test_an_event_and_a_break_at_once_after_a_silence(self):
        for attempts in (2, 3, 4):
            for pause_s in (0.9, 1.0, 1.05, 1.1, 1.15, 1.2):
                first = ("event", pause_s, "event and part")
                order = Order(
                    attempts, "near", (first, (0.3, "rest"), ""), (), False, None
                )
                with self.subTest(order):
                    self.assertEqual(list(find_faults(order)), [])

    # The later of two attempts in a row put back that the answer hadn't begun.
    def test_the_third_attempt_knows_when_the_answer_began(self):
        scripts = (("part", 1.1, "break"), (0.05, "part", 2.5, "rest"), (0.1, "rest"))
        for has_versions in (False, True):
            order = Order(4, "near", scripts, (), has_versions, None)
            with self.subTest(order):
                self.assertEqual(list(find_faults(order)), [])

    # The silent upstream's answer ended with a gap, and so did the sound attempt
    # beside it, which had no attempt left to be followed by.
    def test_an_event_after_a_gap_does_not_end_the_attempt_beside_it(self):
        first = ("event", 1.1, "gap")
        for attempts in (2, 3, 4):
            order = Order(attempts, "near", (first, (0.35, "rest")), (), False, None)
            with self.subTest(order):
                _, caller, _ = play(order)
                self.assertTrue(caller.is_whole)
                self.assertEqual(list(find_faults(order)), [])


if __name__ == "__main__":
    unittest.main()
