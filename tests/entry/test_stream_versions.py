"""Checks that streams go on only at the software version that began them.

Two versions serve side by side. VMs start again, stand still or are cut off, upstreams
leave or come back under their id as another version, and callers take streams up.
"""

import re
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from unittest import mock

import anyio

from banyanseam.entry import frontend, relay
from banyanseam.entry.models import Headers, Upstream
from banyanseam.entry.peer_headers import ORIGIN
from banyanseam.entry.start_checks import StartChecks
from tests.common import run_with_mock_clock
from tests.entry.simulation import (
    EVENTS,
    Caller,
    Simulation,
    make_event,
    start_simulation,
)

GULF, GULF_TWO, PIEDMONT = "10.1.0.1", "10.1.0.2", "10.2.0.1"
VMS = (GULF, GULF_TWO, PIEDMONT, "10.2.0.2")
# Longer than a stream may be taken up after it began.
LONG_S = 25.0
# A refusal that comes later was held back.
AT_ONCE_S = 0.5
STEP_S = 0.5
AUTHOR = re.compile(rb"word \d+ of \S+(?: by (\S+))?\n")


def list_authors(*callers: Caller) -> list[str]:
    """Return the versions that wrote the events of callers, in order."""
    found = [AUTHOR.findall(caller.body) for caller in callers]
    return [(author or b"v1").decode() for authors in found for author in authors]


def replace_upstream(simulation: Simulation, name: str, software: str) -> None:
    """Let an upstream of another version take the place of one, under a new id."""
    upstream = simulation.upstreams.pop(name)
    new_name = f"{name}-{software}"
    simulation.upstreams[new_name] = replace(
        upstream,
        upstream_id=new_name,
        address=upstream.address.replace(":80", ":81"),
        started_ms=upstream.started_ms + 1,
        software=software,
    )


def mix(simulation: Simulation) -> None:
    """Let the second engine of each region be of another version."""
    for region in ("gulf", "piedmont"):
        replace_upstream(simulation, f"pool-two-{region}", "v2")
    simulation.revision += 1
    simulation.gossip()


def split_route(simulation: Simulation) -> None:
    """Let the second engine of each region be of a second service of the route."""
    simulation.revision += 1
    for region in ("gulf", "piedmont"):
        name = f"pool-two-{region}"
        simulation.upstreams[name] = replace(
            simulation.upstreams[name], service="spare", revision=simulation.revision
        )
    pool = simulation.config["services"][0]
    simulation.config["services"].append(pool | {"name": "spare"})
    simulation.config["routes"][0]["traffic_split"] = [
        {"service": service, "weight": 1} for service in ("pool", "spare")
    ]
    simulation.publish()
    simulation.gossip()


async def let_pass(
    simulation: Simulation, seconds: float, *, with_heartbeats: bool = True
) -> None:
    """Let time pass in which the VMs run and, unless told otherwise, gossip."""
    for _ in range(round(seconds / STEP_S)):
        await anyio.sleep(STEP_S)
        for entry in simulation.entries.values():
            entry.upstreams.record_running(anyio.current_time())
        if with_heartbeats:
            simulation.gossip()


async def begin(simulation: Simulation, vm: str) -> Caller:
    """Begin a stream that the caller has two events of when it breaks off."""
    number = simulation.ask(vm, "/query/x", [], [], leaves_after=2)
    await let_pass(simulation, STEP_S, with_heartbeats=False)
    return simulation.callers[number]


async def begin_at(simulation: Simulation, vm: str, software: str) -> Caller:
    """Begin streams until one is at a version."""
    while True:
        caller = await begin(simulation, vm)
        if list_authors(caller)[0] == software:
            return caller
        # A list that is not confirmed counts as outdated after some of these.
        simulation.gossip()


async def take_up(
    simulation: Simulation,
    vm: str,
    first: Caller,
    *,
    after_event: int = 2,
    leaves_after: int | None = None,
) -> Caller:
    """Take a stream up and return what came of it."""
    number = simulation.ask(
        vm,
        "/query/x",
        [],
        [],
        begun_as=first.request_id,
        after_event=after_event,
        leaves_after=leaves_after,
    )
    await let_pass(simulation, 2, with_heartbeats=False)
    return simulation.callers[number]


class StreamVersionTests(unittest.TestCase):
    def play(
        self, scenario: Callable[[Simulation], Awaitable[None]]
    ) -> tuple[Simulation, list[Caller]]:
        async def run() -> Simulation:
            async with start_simulation() as simulation:
                await scenario(simulation)
            return simulation

        simulation = run_with_mock_clock(run)
        self.assertEqual(simulation.internal_failures, [])
        return simulation, simulation.callers

    def check_one_version(self, *callers: Caller) -> None:
        """Check that one version wrote all that callers got of one stream."""
        self.assertEqual(len(set(list_authors(*callers))), 1)

    def check_goes_on(self, first: Caller, *later: Caller) -> None:
        """Check that the last of some callers got the rest, by the same version."""
        self.check_one_version(first, *later)
        self.assertTrue(later[-1].is_whole)
        last = make_event(EVENTS, later[-1].request_id, list_authors(first)[0])
        self.assertTrue(later[-1].body.endswith(last))

    def check_refused(self, simulation: Simulation, caller: Caller) -> None:
        """Check that a request was refused at once and has run nowhere."""
        self.assertEqual(caller.status, 503)
        self.assertLess(caller.took_s, AT_ONCE_S)
        self.assertNotIn(caller.request_id, simulation.runs)
        self.assertIn("retry-after", caller.headers)

    def check_takes_up(
        self, disturb: Callable[[Simulation], Awaitable[None]], vms: tuple[str, ...]
    ) -> None:
        """Check that streams go on at their version after a disturbance."""
        for vm in vms:
            authors = set()
            for _ in range(4):
                calls: list[Caller] = []

                async def scenario(
                    simulation: Simulation, vm: str = vm, calls: list[Caller] = calls
                ) -> None:
                    mix(simulation)
                    calls.append(await begin(simulation, GULF))
                    await disturb(simulation)
                    calls.append(await take_up(simulation, vm, calls[0]))

                with self.subTest(vm):
                    self.play(scenario)
                    self.check_goes_on(*calls)
                    authors.update(list_authors(calls[0]))

    def test_a_stream_that_breaks_does_not_go_on_at_another_version(self):
        async def scenario(simulation: Simulation) -> None:
            mix(simulation)
            for vm in VMS * 4:
                for fault in ("cut", "error inside", "stall"):
                    simulation.ask(vm, "/query/x", [fault], [])

        _, callers = self.play(scenario)
        for caller in callers:
            self.check_one_version(caller)

    def test_an_answer_begun_by_a_comment_does_not_go_on_at_another_version(self):
        """It has the headers of the upstream that sent the comment."""

        async def scenario(simulation: Simulation) -> None:
            mix(simulation)
            simulation.ask(GULF, "/query/x", ["comment"], [])

        for _ in range(8):
            simulation, (caller,) = self.play(scenario)
            runs = simulation.runs[caller.request_id]
            self.assertEqual(len({run.software for run in runs}), 1)
            self.assertTrue(caller.is_whole)

    def test_a_forwarded_stream_that_breaks_does_not_go_on_at_another_version(self):
        async def scenario(simulation: Simulation) -> None:
            mix(simulation)
            for name in list(simulation.upstreams):
                if "pool" in name and "gulf" in name:
                    del simulation.upstreams[name]
            simulation.gossip()
            for fault in ("cut", "stall"):
                simulation.ask(GULF, "/query/x", [fault], [])
                simulation.ask(GULF_TWO, "/query/x", [], ["cut"])

        resumed = 0
        for _ in range(8):
            simulation, callers = self.play(scenario)
            for caller in callers:
                self.check_one_version(caller)
                resumed += len(simulation.runs[caller.request_id]) > 1
        self.assertGreater(resumed, 8)

    def test_beside_the_release_before_a_forwarded_stream_is_not_joined(self):
        """One side names no origin: in requests, or in answers."""
        write_forwarding = relay.write_forwarding
        write_progress = frontend.write_progress

        def forward_as_before(*args: object) -> Headers:
            return [each for each in write_forwarding(*args) if each[0] != ORIGIN]

        def answer_as_before(*args: object) -> Headers:
            return [each for each in write_progress(*args) if each[0] != ORIGIN]

        async def scenario(simulation: Simulation) -> None:
            mix(simulation)
            for name in list(simulation.upstreams):
                if "pool" in name and "gulf" in name:
                    del simulation.upstreams[name]
            simulation.gossip()
            for _ in range(2):
                simulation.ask(GULF, "/query/x", ["cut"], [])
                simulation.ask(GULF_TWO, "/query/x", [], ["cut"])

        for name, replacement in (
            ("banyanseam.entry.relay.write_forwarding", forward_as_before),
            ("banyanseam.entry.frontend.write_progress", answer_as_before),
        ):
            with self.subTest(name), mock.patch(name, replacement):
                for _ in range(4):
                    _, callers = self.play(scenario)
                    for caller in callers:
                        self.check_one_version(caller)

    def test_a_stream_taken_up_at_any_vm_goes_on_at_its_version(self):
        async def nothing(_: Simulation) -> None:
            pass

        self.check_takes_up(nothing, VMS)

    def test_a_stream_goes_on_after_the_vm_that_began_it_started_anew(self):
        async def restart(simulation: Simulation) -> None:
            simulation.restart_vm(GULF)

        self.check_takes_up(restart, VMS)

    def test_a_stream_goes_on_after_all_vms_but_its_own_started_anew(self):
        """Those that were told forgot it, and others are asked than the one that knows.

        It tells them again.
        """
        others = [
            *VMS[1:],
            *(f"10.{place}.0.{n}" for place in (1, 2) for n in range(3, 9)),
        ]
        pairs: list[tuple[Caller, Caller]] = []

        async def scenario(simulation: Simulation) -> None:
            mix(simulation)
            for vm in others[3:]:
                simulation.start_vm(vm, "gulf" if vm.startswith("10.1") else "piedmont")
            simulation.publish()
            simulation.gossip()
            await let_pass(simulation, 1)
            firsts = []
            for _ in range(4):
                firsts.append(await begin(simulation, GULF))
                simulation.gossip()
            for vm in others:
                simulation.start_vm(vm, simulation.entries[vm].settings.region)
            simulation.publish()
            simulation.gossip()
            await let_pass(simulation, 1)
            for first in firsts:
                pairs.append((first, await take_up(simulation, GULF_TWO, first)))
                simulation.gossip()

        self.play(scenario)
        for first, later in pairs:
            self.check_goes_on(first, later)

    def test_a_stream_taken_up_twice_goes_on_at_its_version(self):
        for _ in range(4):
            calls: list[Caller] = []

            async def scenario(
                simulation: Simulation, calls: list[Caller] = calls
            ) -> None:
                mix(simulation)
                calls.append(await begin(simulation, GULF))
                calls.append(
                    await take_up(simulation, PIEDMONT, calls[0], leaves_after=1)
                )
                simulation.restart_vm(GULF)
                calls.append(
                    await take_up(simulation, GULF_TWO, calls[0], after_event=3)
                )

            self.play(scenario)
            self.check_goes_on(*calls)

    def test_a_stream_taken_up_after_all_vms_started_anew_is_refused_at_once(self):
        calls: list[Caller] = []

        async def scenario(simulation: Simulation) -> None:
            mix(simulation)
            calls.append(await begin(simulation, GULF))
            for vm in VMS:
                simulation.start_vm(vm, simulation.entries[vm].settings.region)
            simulation.publish()
            simulation.gossip()
            calls.append(await take_up(simulation, GULF, calls[0]))

        simulation, _ = self.play(scenario)
        self.check_refused(simulation, calls[1])

    def test_one_listed_version_does_not_show_what_began_a_stream(self):
        """All VMs start anew after the version that began the stream has left."""
        calls: list[Caller] = []

        async def scenario(simulation: Simulation) -> None:
            calls.append(await begin(simulation, GULF))
            for name in [name for name in simulation.upstreams if "pool" in name]:
                replace_upstream(simulation, name, "v2")
            simulation.revision += 1
            for vm in VMS:
                simulation.start_vm(vm, simulation.entries[vm].settings.region)
            simulation.publish()
            simulation.gossip()
            calls.append(await take_up(simulation, GULF, calls[0]))

        simulation, _ = self.play(scenario)
        self.check_refused(simulation, calls[1])

    def test_a_stream_whose_version_has_left_is_refused_at_once(self):
        calls: list[Caller] = []

        async def scenario(simulation: Simulation) -> None:
            await let_pass(simulation, LONG_S)
            calls.append(await begin(simulation, GULF))
            for name in [name for name in simulation.upstreams if "pool" in name]:
                replace_upstream(simulation, name, "v2")
            simulation.revision += 1
            simulation.gossip()
            calls.append(await take_up(simulation, GULF, calls[0]))
            calls.append(await take_up(simulation, PIEDMONT, calls[0]))

        simulation, _ = self.play(scenario)
        for caller in calls[1:]:
            self.check_refused(simulation, caller)

    def test_an_id_that_came_back_as_another_version_does_not_go_on(self):
        """The list does not show the restart yet."""
        for is_known in (False, True):
            calls: list[Caller] = []

            async def scenario(
                simulation: Simulation,
                calls: list[Caller] = calls,
                is_known: bool = is_known,
            ) -> None:
                for name in list(simulation.upstreams):
                    if "pool" in name and name != "pool-gulf":
                        del simulation.upstreams[name]
                simulation.gossip()
                calls.append(await begin(simulation, GULF))
                simulation.restart_upstream("pool-gulf")
                simulation.upstreams["pool-gulf"] = replace(
                    simulation.upstreams["pool-gulf"], software="v2"
                )
                if is_known:
                    simulation.register_restart("pool-gulf", 0)
                simulation.gossip()
                calls.append(await take_up(simulation, GULF_TWO, calls[0]))

            with self.subTest(is_known=is_known):
                simulation, _ = self.play(scenario)
                self.assertNotIn(calls[1].request_id, simulation.runs)

    def test_a_restart_right_after_the_check_does_not_join_a_stream(self):
        """The connection goes to the new version, which ran nothing before."""
        calls: list[Caller] = []
        is_running = StartChecks.is_running

        async def scenario(simulation: Simulation) -> None:
            own = simulation.upstreams["pool-gulf"]
            other = simulation.upstreams["pool-two-gulf"]
            for name in list(simulation.upstreams):
                if "pool" in name and name != "pool-gulf":
                    del simulation.upstreams[name]
            simulation.gossip()
            calls.append(await begin(simulation, GULF))
            del simulation.upstreams["pool-gulf"]
            simulation.upstreams["pool-two-gulf"] = replace(
                other, software=own.software
            )
            simulation.gossip()

            async def check_then_restart(
                checks: StartChecks, upstream: Upstream
            ) -> bool:
                found = await is_running(checks, upstream)
                if upstream.upstream_id == other.upstream_id and found:
                    simulation.restart_upstream("pool-two-gulf")
                    simulation.upstreams["pool-two-gulf"] = replace(
                        simulation.upstreams["pool-two-gulf"], software="v2"
                    )
                return found

            with mock.patch.object(StartChecks, "is_running", check_then_restart):
                calls.append(await take_up(simulation, GULF_TWO, calls[0]))

        simulation, _ = self.play(scenario)
        self.assertIn(calls[1].request_id, simulation.runs)
        self.check_one_version(*calls)
        self.assertEqual(calls[1].status, 502)

    def test_a_stream_begun_by_an_unlisted_version_is_not_joined(self):
        """Its upstream came back under its id just before, and no VM has noticed."""
        for vm in (GULF, GULF_TWO):
            calls: list[Caller] = []

            async def scenario(
                simulation: Simulation, vm: str = vm, calls: list[Caller] = calls
            ) -> None:
                del simulation.upstreams["pool-two-gulf"]
                simulation.gossip()
                simulation.restart_upstream("pool-gulf")
                simulation.upstreams["pool-gulf"] = replace(
                    simulation.upstreams["pool-gulf"], software="v2"
                )
                calls.append(await begin(simulation, GULF))
                calls.append(await take_up(simulation, vm, calls[0]))

            with self.subTest(vm):
                simulation, _ = self.play(scenario)
                self.assertEqual(list_authors(calls[0])[:1], ["v2"])
                self.check_refused(simulation, calls[1])

    def test_a_stream_begun_by_an_unlisted_version_that_left_is_not_joined(self):
        """Its upstream is gone before the list has shown that it came back."""
        calls: list[Caller] = []

        async def scenario(simulation: Simulation) -> None:
            for name in list(simulation.upstreams):
                if "pool" in name and name != "pool-gulf":
                    other = simulation.upstreams.pop(name)
            simulation.gossip()
            simulation.restart_upstream("pool-gulf")
            simulation.upstreams["pool-gulf"] = replace(
                simulation.upstreams["pool-gulf"], software="v2"
            )
            calls.append(await begin(simulation, GULF))
            del simulation.upstreams["pool-gulf"]
            del simulation.old_registrations["pool-gulf"]
            simulation.upstreams[other.upstream_id] = other
            simulation.gossip()
            calls.append(await take_up(simulation, GULF, calls[0]))

        self.play(scenario)
        self.assertEqual(list_authors(calls[0])[:1], ["v2"])
        self.check_one_version(*calls)

    def test_an_answer_begun_by_an_unlisted_version_is_not_joined(self):
        async def scenario(simulation: Simulation) -> None:
            del simulation.upstreams["pool-two-gulf"]
            simulation.gossip()
            simulation.restart_upstream("pool-gulf")
            simulation.upstreams["pool-gulf"] = replace(
                simulation.upstreams["pool-gulf"], software="v2"
            )
            simulation.ask(GULF, "/query/x", ["error inside"], [])

        _, (caller,) = self.play(scenario)
        self.assertEqual(set(list_authors(caller)), {"v2"})

    def test_a_vm_that_was_away_while_a_version_came_does_not_guess(self):
        """It stood still or was cut off, and its list shows one version only."""
        calls: list[Caller] = []

        async def scenario(simulation: Simulation) -> None:
            await let_pass(simulation, LONG_S)
            simulation.cut_off.add(GULF_TWO)
            for name in [name for name in simulation.upstreams if "pool" in name]:
                replace_upstream(simulation, name, "v2")
            simulation.revision += 1
            await let_pass(simulation, 5)
            calls.append(await begin(simulation, GULF))
            calls.append(await take_up(simulation, GULF_TWO, calls[0]))
            simulation.cut_off.clear()
            simulation.gossip()
            calls.append(await take_up(simulation, GULF_TWO, calls[0]))

        simulation, _ = self.play(scenario)
        self.check_refused(simulation, calls[1])
        self.check_goes_on(calls[0], calls[2])

    def test_a_vm_that_was_cut_off_does_not_believe_that_an_upstream_is_unchanged(self):
        """The upstream came back as another version, and began the stream here."""
        for is_back in (False, True):
            calls: list[Caller] = []

            async def scenario(
                simulation: Simulation,
                calls: list[Caller] = calls,
                is_back: bool = is_back,
            ) -> None:
                await let_pass(simulation, LONG_S)
                simulation.cut_off.add(GULF)
                simulation.restart_upstream("pool-gulf")
                simulation.upstreams["pool-gulf"] = replace(
                    simulation.upstreams["pool-gulf"], software="v2"
                )
                simulation.register_restart("pool-gulf", 0)
                calls.append(await begin_at(simulation, GULF, "v2"))
                await let_pass(simulation, 3)
                if is_back:
                    simulation.cut_off.clear()
                calls.append(await take_up(simulation, GULF, calls[0]))

            with self.subTest(is_back=is_back):
                simulation, _ = self.play(scenario)
                self.check_refused(simulation, calls[1])

    def test_a_region_that_was_cut_off_while_a_version_came_does_not_guess(self):
        """Its VMs answer each other, and their lists were confirmed just before."""
        calls: list[Caller] = []

        async def scenario(simulation: Simulation) -> None:
            await let_pass(simulation, LONG_S)
            simulation.is_partitioned = True
            simulation.without_store |= {GULF, GULF_TWO}
            for name in ("pool-piedmont", "pool-two-piedmont"):
                replace_upstream(simulation, name, "v2")
            simulation.revision += 1
            simulation.gossip()
            calls.append(await begin(simulation, PIEDMONT))
            calls.append(await take_up(simulation, GULF, calls[0]))

        simulation, _ = self.play(scenario)
        self.check_refused(simulation, calls[1])

    def test_while_one_version_serves_streams_go_on_beside_a_silent_region(self):
        """The store shows that no other version has come."""
        calls: list[Caller] = []

        async def scenario(simulation: Simulation) -> None:
            await let_pass(simulation, LONG_S)
            calls.append(await begin(simulation, GULF_TWO))
            simulation.is_partitioned = True
            simulation.start_vm(GULF_TWO, "gulf")
            simulation.publish()
            simulation.gossip()
            calls.append(await take_up(simulation, GULF, calls[0]))

        self.play(scenario)
        self.check_goes_on(*calls)

    def test_while_one_version_serves_streams_go_on_and_peers_are_told_nothing(self):
        calls: list[Caller] = []

        async def scenario(simulation: Simulation) -> None:
            await let_pass(simulation, LONG_S)
            told = []
            for entry in simulation.entries.values():
                entry.origins.receive = told.append
            calls.append(await begin(simulation, GULF))
            await let_pass(simulation, 1, with_heartbeats=False)
            self.assertEqual(told, [])
            for entry in simulation.entries.values():
                del entry.origins.receive
            simulation.restart_vm(GULF)
            calls.append(await take_up(simulation, GULF, calls[0]))

        self.play(scenario)
        self.check_goes_on(*calls)

    def test_streams_that_began_before_another_version_came_go_on(self):
        calls: list[Caller] = []

        async def scenario(simulation: Simulation) -> None:
            await let_pass(simulation, LONG_S)
            calls.append(await begin(simulation, GULF))
            mix(simulation)
            await anyio.sleep(0.5)
            simulation.restart_vm(GULF)
            calls.append(await take_up(simulation, PIEDMONT, calls[0]))

        self.play(scenario)
        self.check_goes_on(*calls)

    def test_a_stream_of_a_route_with_two_services_goes_on(self):
        """One version serves in each, and the VM that began the stream starts anew."""
        calls: list[Caller] = []

        async def scenario(simulation: Simulation) -> None:
            split_route(simulation)
            await let_pass(simulation, LONG_S)
            calls.append(await begin(simulation, GULF))
            simulation.restart_vm(GULF)
            calls.append(await take_up(simulation, GULF_TWO, calls[0]))

        self.play(scenario)
        self.check_goes_on(*calls)

    def test_a_stream_whose_only_upstream_is_down_is_not_held(self):
        """The list still shows the upstream."""
        calls: list[Caller] = []

        async def scenario(simulation: Simulation) -> None:
            for name in [name for name in simulation.upstreams if "pool" in name]:
                if name != "pool-gulf":
                    replace_upstream(simulation, name, "v2")
            simulation.revision += 1
            simulation.gossip()
            calls.append(await begin_at(simulation, GULF, "v1"))
            simulation.down.add("pool-gulf")
            calls.append(await take_up(simulation, GULF_TWO, calls[0]))

        simulation, _ = self.play(scenario)
        self.check_refused(simulation, calls[1])

    def test_a_stream_whose_only_upstream_elsewhere_is_down_is_not_held(self):
        calls: list[Caller] = []

        async def scenario(simulation: Simulation) -> None:
            for name in [name for name in simulation.upstreams if "pool" in name]:
                if name != "pool-piedmont":
                    replace_upstream(simulation, name, "v2")
            simulation.revision += 1
            simulation.gossip()
            calls.append(await begin_at(simulation, PIEDMONT, "v1"))
            simulation.down.add("pool-piedmont")
            calls.append(await take_up(simulation, GULF, calls[0]))

        simulation, _ = self.play(scenario)
        self.check_refused(simulation, calls[1])
        self.assertLessEqual(simulation.forwards[calls[1].request_id], 2)

    def test_a_refusal_names_its_reason(self):
        """The origin is known, but the route has moved to another service since."""
        calls: list[Caller] = []

        async def scenario(simulation: Simulation) -> None:
            split_route(simulation)
            mix(simulation)
            calls.append(await begin_at(simulation, GULF, "v1"))
            simulation.config["routes"][0]["traffic_split"] = [
                {"service": "spare", "weight": 1}
            ]
            simulation.publish()
            calls.append(await take_up(simulation, GULF, calls[0]))
            simulation.start_vm(GULF, "gulf")
            simulation.publish()
            simulation.gossip()
            calls.append(await take_up(simulation, GULF, Caller("-", "", GULF, 0.0)))

        simulation, _ = self.play(scenario)
        for caller, code in zip(
            calls[1:],
            (b"entry.stream_version_gone", b"entry.stream_origin_unknown"),
            strict=True,
        ):
            self.check_refused(simulation, caller)
            self.assertIn(code, caller.body)


if __name__ == "__main__":
    unittest.main()
