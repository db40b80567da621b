"""Checks VMs that reach no upstream, or not all, while callers and other VMs do.

Two regions on a paused clock, three VMs in each, of which some lose their way to
upstreams for a while.
"""

import unittest
from collections.abc import Awaitable, Callable, Iterable
from unittest import mock

import anyio

from banyanseam.entry.heartbeats import Heartbeats
from tests.common import run_with_mock_clock
from tests.entry.simulation import (
    UNREACHED_FORMS,
    Caller,
    Simulation,
    start_simulation,
)

GULF = ("10.1.0.1", "10.1.0.2", "10.1.0.3")
PIEDMONT = ("10.2.0.1", "10.2.0.2", "10.2.0.3")
UPSTREAMS = {"gulf": 3, "piedmont": 3}
# Source: the operators' bound, after which a cut must be known, and its end.
KNOWN_S = 5.0
CUT_S = 8.0
STEP_S = 0.2
HEARTBEAT_S = 0.2
# A refusal that comes later was held back.
AT_ONCE_S = 0.3
# A service with upstreams of its own that is asked beside the cut.
STREAM, UNSAFE, SAFE, HOME = "/query/x", "/book/x", "/read/x", "/kept/x"
PATHS = (STREAM, UNSAFE, SAFE)


def lose(simulation: Simulation, vms: Iterable[str], *kinds: str) -> None:
    """Let VMs lose their way to the upstreams of their region, or to some kinds."""
    for vm in vms:
        region = simulation.entries[vm].settings.region
        simulation.unreached[vm] = {
            name
            for name in simulation.upstreams
            if name.endswith(region)
            and (not kinds or name.removesuffix(f"-{region}") in kinds)
        }


def list_first(
    simulation: Simulation, vms: Iterable[str], from_s: float, until_s: float
) -> list[Caller]:
    """Return the callers that some VMs got in a time."""
    return [
        each
        for each in simulation.callers
        if each.vm in vms and from_s <= each.sent_s < until_s
    ]


def count_served(callers: list[Caller]) -> int:
    """Return how many callers got a whole answer."""
    return sum(each.status == 200 and each.is_whole for each in callers)


class UnreachedUpstreamTests(unittest.TestCase):
    def play(
        self,
        begin: Callable[[Simulation], None],
        *,
        form: str = "refused",
        vms: Iterable[str] = (*GULF, *PIEDMONT),
        paths: Iterable[str] = PATHS,
        length_s: float = CUT_S,
        end: Callable[[Simulation], Awaitable[None]] | None = None,
        **config: object,
    ) -> Simulation:
        """Begin a cut after a second, and ask VMs all the time."""

        async def run() -> Simulation:
            async with start_simulation() as simulation:
                for place, region in enumerate(UPSTREAMS, start=1):
                    simulation.start_vm(f"10.{place}.0.3", region)
                simulation.config["tenants"][0] |= config
                simulation.unreached_form = form
                simulation.publish()
                simulation.gossip()
                for step in range(round((1 + length_s) / STEP_S)):
                    if step * STEP_S == 1.0:
                        begin(simulation)
                    if step % round(HEARTBEAT_S / STEP_S) == 0:
                        simulation.gossip()
                    for vm in vms:
                        for path in paths:
                            simulation.ask(vm, path, [], [])
                    await anyio.sleep(STEP_S)
                if end is not None:
                    await end(simulation)
            return simulation

        simulation = run_with_mock_clock(run)
        self.assertEqual(simulation.internal_failures, [])
        for runs in simulation.runs.values():
            self.assertLessEqual(len({run.at_s for run in runs}), 2)
        return simulation

    def check_served(
        self, simulation: Simulation, vms: Iterable[str], share: float = 0.95
    ) -> None:
        """Check that the callers of VMs are served once the cut must be known."""
        began_s = simulation.callers[0].sent_s + 1.0
        callers = list_first(simulation, vms, began_s + KNOWN_S, began_s + CUT_S)
        self.assertGreater(len(callers), 20)
        self.assertGreaterEqual(count_served(callers), share * len(callers))

    def list_run_regions(self, simulation: Simulation, callers: list[Caller]) -> set:
        """Return the regions whose upstreams ran requests."""
        return {
            run.region
            for each in callers
            for run in simulation.runs.get(each.request_id, [])
        }

    def test_callers_of_vms_that_reach_no_upstream_are_served(self):
        for form in UNREACHED_FORMS:
            with self.subTest(form):
                simulation = self.play(
                    lambda simulation: lose(
                        simulation, [*GULF[:2], PIEDMONT[0], PIEDMONT[2]]
                    ),
                    form=form,
                )
                for vms in (GULF[:2], GULF[2:], PIEDMONT):
                    self.check_served(simulation, vms)

    def test_requests_go_through_a_vm_of_the_region_and_no_further(self):
        for form in UNREACHED_FORMS:
            with self.subTest(form):
                simulation = self.play(
                    lambda simulation: lose(simulation, GULF[:2]), form=form
                )
                began_s = simulation.callers[0].sent_s + 1.0
                late = list_first(simulation, GULF[:2], began_s + KNOWN_S, 1e9)
                self.assertEqual(self.list_run_regions(simulation, late), {"gulf"})
                for caller in late:
                    self.assertLessEqual(simulation.forwards[caller.request_id], 1)

    def test_no_request_that_runs_once_is_spent_on_an_unreached_upstream(self):
        simulation = self.play(
            lambda simulation: lose(simulation, GULF[:2]),
            form="reset",
            paths=[UNSAFE],
        )
        began_s = simulation.callers[0].sent_s + 1.0
        spent = [at_s for _, at_s in simulation.spent if at_s > began_s + STEP_S]
        once = [
            at_s
            for request_id, at_s in simulation.spent
            if request_id in simulation.faults and at_s > began_s + STEP_S
        ]
        self.assertEqual(once, [], spent)

    def test_a_vm_that_lost_its_way_to_one_service_serves_it_through_others(self):
        for kinds in (("desk",), ("pool", "pool-two"), ("pool-two",)):
            with self.subTest(kinds):
                simulation = self.play(
                    lambda simulation, kinds=kinds: lose(simulation, GULF[:2], *kinds),
                    form="hang",
                )
                self.check_served(simulation, GULF)
                began_s = simulation.callers[0].sent_s + 1.0
                late = list_first(simulation, GULF, began_s + KNOWN_S, 1e9)
                self.assertEqual(self.list_run_regions(simulation, late), {"gulf"})

    def test_other_regions_forward_to_vms_that_reach_upstreams(self):
        """Requests of routes whose home is gulf, asked in piedmont."""
        for form in UNREACHED_FORMS:
            with self.subTest(form):
                simulation = self.play(
                    lambda simulation: lose(simulation, GULF[:2]),
                    form=form,
                    vms=PIEDMONT,
                    paths=[HOME],
                )
                self.check_served(simulation, PIEDMONT)

    def test_a_region_without_a_way_is_served_by_others_or_refuses_at_once(self):
        for form in UNREACHED_FORMS:
            with self.subTest(form):
                simulation = self.play(
                    lambda simulation: lose(simulation, GULF),
                    form=form,
                    paths=[*PATHS, HOME],
                )
                began_s = simulation.callers[0].sent_s + 1.0
                late = list_first(simulation, GULF, began_s + KNOWN_S, 1e9)
                elsewhere = [each for each in late if each.path != HOME]
                self.assertGreaterEqual(count_served(elsewhere), 0.95 * len(elsewhere))
                for caller in late:
                    if caller.path == HOME:
                        self.assertEqual(caller.status, 503)
                        self.assertLess(caller.took_s, AT_ONCE_S)
                        self.assertIn("retry-after", caller.headers)

    def test_the_return_of_the_way_is_noticed_soon(self):
        for form in UNREACHED_FORMS:
            with self.subTest(form):

                async def restore(simulation: Simulation) -> None:
                    simulation.unreached.clear()
                    for step in range(round(KNOWN_S / STEP_S)):
                        if step % round(HEARTBEAT_S / STEP_S) == 0:
                            simulation.gossip()
                        await anyio.sleep(STEP_S)
                    for vm in GULF:
                        for path in PATHS:
                            simulation.ask(vm, path, [], [])

                simulation = self.play(
                    lambda simulation: lose(simulation, GULF[:2]),
                    form=form,
                    end=restore,
                )
                last = simulation.callers[-len(GULF) * len(PATHS) :]
                self.assertEqual(count_served(last), len(last))
                self.assertFalse(
                    any(simulation.forwards[each.request_id] for each in last)
                )

    def test_engines_that_one_vm_is_refused_by_stay_in_use_at_the_others(self):
        simulation = self.play(
            lambda simulation: lose(simulation, GULF[:2], "pool", "pool-two"),
            form="refused",
            paths=[STREAM],
        )
        began_s = simulation.callers[0].sent_s + 1.0
        late = list_first(simulation, GULF[2:], began_s + KNOWN_S, 1e9)
        self.assertEqual(count_served(late), len(late))
        self.assertEqual(self.list_run_regions(simulation, late), {"gulf"})

    def test_callers_are_directed_to_vms_without_a_way_last(self):
        named = []

        async def resolve(simulation: Simulation) -> None:
            entry = simulation.entries[GULF[0]]
            named.extend(entry._list_entries("gulf", "gulf-a")[0])
            lose(simulation, GULF)
            for _ in range(10):
                for vm in GULF:
                    simulation.ask(vm, SAFE, [], [])
                    simulation.ask(vm, STREAM, [], [])
                await anyio.sleep(HEARTBEAT_S)
                simulation.gossip()
            named.append("then")
            named.extend(entry._list_entries("gulf", "gulf-a")[0])

        self.play(lambda simulation: lose(simulation, GULF[:2]), end=resolve)
        self.assertEqual(named[:2], [f"{GULF[2]}:1", "then"])
        self.assertEqual(len(named), 2 + len(GULF))

    def test_vms_that_each_take_the_other_for_reaching_do_not_send_in_circles(self):
        """Heartbeats say nothing of it, as from the release before."""

        def say_nothing(*_: object) -> dict:
            return {}

        with mock.patch.object(Heartbeats, "_list_unreached", say_nothing):
            simulation = self.play(
                lambda simulation: lose(simulation, GULF),
                vms=GULF,
                paths=[HOME, STREAM],
            )
        began_s = simulation.callers[0].sent_s + 1.0
        late = list_first(simulation, GULF, began_s + KNOWN_S, 1e9)
        for caller in late:
            # Each VM of the region once, and one of the other region.
            self.assertLessEqual(simulation.forwards[caller.request_id], len(GULF))
            if caller.path == HOME:
                self.assertEqual(caller.status, 503)
            else:
                self.assertEqual(caller.status, 200)

    def test_a_vm_without_a_way_connects_rarely_to_find_out(self):
        counts = {}

        async def measure(simulation: Simulation) -> None:
            before = simulation.connections[GULF[0]]
            for step in range(round(CUT_S / STEP_S)):
                if step % round(HEARTBEAT_S / STEP_S) == 0:
                    simulation.gossip()
                await anyio.sleep(STEP_S)
            counts["per_s"] = (simulation.connections[GULF[0]] - before) / CUT_S

        self.play(
            lambda simulation: lose(simulation, GULF[:2]), form="refused", end=measure
        )
        self.assertLess(counts["per_s"], 10)
        self.assertGreater(counts["per_s"], 0.5)


if __name__ == "__main__":
    unittest.main()
