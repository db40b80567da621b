"""Checks what callers and upstreams get from whole daemons under injected faults."""

import json
import unittest
from itertools import product
from typing import Any

import anyio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.common import run_with_mock_clock
from tests.entry.simulation import (
    FAULTS,
    MAX_ATTEMPTS,
    PEER_FAULTS,
    Caller,
    Simulation,
    make_body,
    make_stream,
    start_simulation,
)

VMS = ("10.1.0.1", "10.1.0.2", "10.2.0.1", "10.2.0.2")
STREAMS = {"/query/x", "/summary/x", "/kept/x"}
MAY_REPEAT = {"/query/x", "/kept/x", "/read/x"}
# Without these upstreams, a region forwards all of its requests.
PIEDMONT_UPSTREAMS = ("pool-piedmont", "pool-two-piedmont", "desk-piedmont")
PATHS = (*sorted(STREAMS), "/book/x", "/read/x")

FAULT_LISTS = st.lists(st.sampled_from(("", *FAULTS)), max_size=4)
PEER_FAULT_LISTS = st.lists(st.sampled_from(("", *PEER_FAULTS)), max_size=3)
ASK = st.tuples(
    st.just("ask"),
    st.sampled_from(VMS),
    st.sampled_from(PATHS),
    FAULT_LISTS,
    PEER_FAULT_LISTS,
)
STEPS = st.lists(
    st.one_of(
        ASK,
        ASK,
        st.tuples(st.just("wait"), st.sampled_from([0.01, 0.3, 1.0, 5.0])),
        st.tuples(st.just("cut"), st.booleans()),
        st.tuples(st.just("gossip"), st.booleans()),
        st.tuples(st.just("restart"), st.sampled_from(VMS)),
        st.tuples(st.just("gone"), st.sampled_from(PIEDMONT_UPSTREAMS)),
        st.tuples(st.just("withdraw key"), st.sets(st.sampled_from(VMS), min_size=1)),
        st.tuples(st.just("move home"), st.sampled_from(["gulf", "piedmont"])),
        st.tuples(st.just("evacuate"), st.sampled_from(["", "gulf-a"])),
    ),
    min_size=1,
    max_size=14,
)


async def apply_step(simulation: Simulation, step: tuple[Any, ...]) -> None:
    """Apply one step of a fault plan."""
    kind, *rest = step
    if kind == "ask":
        simulation.ask(*rest)
    elif kind == "wait":
        await anyio.sleep(rest[0])
    elif kind == "cut":
        simulation.is_partitioned = rest[0]
    elif kind == "gossip":
        simulation.gossip(lost=rest[0])
    elif kind == "restart":
        # Running requests continue: what they have sent is already in the network.
        simulation.start_vm(rest[0], simulation.entries[rest[0]].settings.region)
    elif kind == "gone":
        simulation.upstreams.pop(rest[0], None)
    elif kind == "withdraw key":
        simulation.config["tenants"][0]["api_keys"] = []
        simulation.publish(to=rest[0])
    elif kind == "move home":
        simulation.config["tenants"][0]["home_regions"] = [rest[0]]
        simulation.publish()
    elif kind == "evacuate":
        simulation.publish(evacuated=rest[0])


class SimulationTests(unittest.TestCase):
    def run_steps(self, steps: list[tuple[Any, ...]]) -> Simulation:
        async def run() -> Simulation:
            async with start_simulation() as simulation:
                for step in steps:
                    await apply_step(simulation, step)
            return simulation

        return run_with_mock_clock(run)

    def check(self, simulation: Simulation) -> None:
        self.assertEqual(simulation.internal_failures, [])
        for caller in simulation.callers:
            self.check_runs(simulation, caller)
            self.check_answer(simulation, caller)

    def check_runs(self, simulation: Simulation, caller: Caller) -> None:
        runs = simulation.runs.get(caller.request_id, [])
        if caller.path not in MAY_REPEAT:
            self.assertLessEqual(len(runs), 1, "ran more than once")
        self.assertLessEqual(len(runs), MAX_ATTEMPTS)
        if caller.is_key_withdrawn:
            self.assertEqual(
                runs, [], "ran with a key that the VM knew to be withdrawn"
            )
        for run in runs:
            self.assertEqual(run.headers.get("tenant-id"), "acme")
            self.assertNotIn("authorization", run.headers)
            self.assertFalse([name for name in run.headers if "banyanseam" in name])
            if caller.path == "/kept/x":
                self.assertEqual(run.region, "gulf", "ran outside of its home regions")
            if caller.homes:
                self.assertIn(
                    run.region, caller.homes, "ran outside of its home regions"
                )
            left_ms = 4000 - (run.at_s - caller.sent_s) * 1000
            self.assertLessEqual(float(run.headers["request-deadline"]), left_ms)

    def check_answer(self, simulation: Simulation, caller: Caller) -> None:
        runs = simulation.runs.get(caller.request_id, [])
        if caller.status in (408, 421, 429, 503):
            self.assertEqual(runs, [], "ran although it was refused")
            self.assertTrue(caller.is_whole)
        if caller.status >= 400 and "upstream-signature" not in caller.headers:
            problem = json.loads(caller.body)
            if problem.get("not_run"):
                self.assertEqual(runs, [], "ran although it was reported as not run")
        if caller.status == 200 and caller.path in STREAMS:
            expected = make_stream(caller.request_id)
            self.assertTrue(expected.startswith(caller.body), caller.body)
            if caller.is_whole:
                self.assertEqual(caller.body, expected)
        elif caller.status == 200:
            self.assertTrue(caller.is_whole)
            self.assertEqual(caller.body, make_body(caller.request_id))
        if caller.status == 200:
            self.assertIn("upstream-signature", caller.headers)
        self.assertNotEqual(caller.status, 0, "no answer at all")

    @settings(
        max_examples=100,
        deadline=None,
        suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
    )
    @given(STEPS)
    def test_no_plan_of_faults_breaks_a_guarantee(self, steps):
        self.check(self.run_steps(steps))

    def test_without_faults_each_path_is_served_on_each_vm(self):
        steps = [("ask", vm, path, [], []) for vm in VMS for path in PATHS]
        simulation = self.run_steps(steps)
        self.check(simulation)
        for caller in simulation.callers:
            with self.subTest(caller.path, vm=caller.vm):
                self.assertEqual((caller.status, caller.is_whole), (200, True))

    def test_each_single_fault_on_each_path(self):
        steps = [
            ("ask", vm, path, [fault], [])
            for vm in VMS[1:3]
            for path in PATHS
            for fault in FAULTS
        ]
        # A new simulation per step: a fault makes its upstream suspect for a while.
        for step in steps:
            with self.subTest(step):
                self.check(self.run_steps([step]))

    def test_each_pair_of_faults_in_sequence(self):
        for path, first, second in product(("/query/x", "/book/x"), FAULTS, FAULTS):
            with self.subTest(path, first=first, second=second):
                self.check(
                    self.run_steps([("ask", "10.1.0.1", path, [first, second], [])])
                )

    def test_each_fault_of_forwarding_and_of_the_forwarded_run(self):
        gone = [("gone", name) for name in PIEDMONT_UPSTREAMS]
        for path, peer_fault, fault, following in product(
            ("/query/x", "/book/x"),
            ("", *PEER_FAULTS),
            ("", *FAULTS),
            ("cut", "error"),
        ):
            faults = [fault, following, following]
            ask = ("ask", "10.2.0.1", path, faults, [peer_fault])
            with self.subTest(path, faults=faults, peer_fault=peer_fault):
                self.check(self.run_steps([*gone, ("gossip", False), ask]))


if __name__ == "__main__":
    unittest.main()
