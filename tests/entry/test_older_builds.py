"""Checks VMs of this build beside VMs of earlier commits, while VMs are replaced.

The earlier builds run their own code. Each test plays with both of them.
"""

import random
import tempfile
import unittest
from collections.abc import Awaitable, Callable, Iterable
from contextlib import ExitStack
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest import mock

import anyio
import trio

from banyanseam.entry.messages import (
    Gossip,
    ValuesMessage,
    make_digest,
    pack_ip,
    to_member_row,
    to_upstream_row,
)
from banyanseam.entry.models import StorePosition
from banyanseam.entry.relay_log import Direction
from banyanseam.entry.unreached.const import REPORT_HEARTBEATS
from standins.builds import extract_build
from tests.common import run_with_mock_clock
from tests.entry.common import make_member, make_upstream
from tests.entry.mixed_builds import (
    MixedBuilds,
    copy_values,
    load_build,
    start_mixed_simulation,
)
from tests.entry.simulation import Simulation, acting
from tests.entry.test_stream_versions import begin_at, list_authors, mix, take_up

# Landings 13 and 14, and the fields of a heartbeat that they don't know.
UNKNOWN_FIELDS = {"f0c2682": {"unreached", "brittle"}, "79043ef": set()}
BUILDS = tuple(UNKNOWN_FIELDS)
GULF = ("10.1.0.1", "10.1.0.2", "10.1.0.3")
PIEDMONT = ("10.2.0.1", "10.2.0.2")
STREAM, UNSAFE, SAFE, HOME = "/query/x", "/book/x", "/read/x", "/kept/x"
STEP_S = 0.1
SEED = 1

Scenario = Callable[[Simulation, MixedBuilds], Awaitable[Any]]


def play(commit: str, older_ips: Iterable[str], scenario: Scenario) -> Any:
    """Play a scenario with three VMs in gulf and two in piedmont."""

    async def run() -> Any:
        async with start_mixed_simulation(commit, older_ips) as (simulation, builds):
            simulation.start_vm(GULF[2], "gulf")
            simulation.publish()
            simulation.gossip()
            result = await scenario(simulation, builds)
        if simulation.internal_failures:
            raise AssertionError(simulation.internal_failures)
        return result

    with ExitStack() as stack:
        state = random.getstate()
        stack.callback(random.setstate, state)
        random.seed(SEED)
        shuffle = random.Random(SEED)
        stack.enter_context(mock.patch.object(trio._core._run, "_r", shuffle))
        return run_with_mock_clock(run)


def deliver(
    simulation: Simulation, builds: MixedBuilds, receiver: str, gossip: Any
) -> Any:
    """Pass a heartbeat to a VM as a datagram, and return the VM's reply."""
    data = builds.encode_gossip(gossip)
    with acting(receiver):
        read = builds.decode_gossip(data)
        return simulation.entries[receiver].gossip._handle_heartbeat(read)


def beat(simulation: Simulation, sender: str) -> Any:
    """Return the next heartbeat of a VM for its region."""
    entry = simulation.entries[sender]
    entry.gossip._update_own_row()
    return entry.heartbeats.compose_for_own_region()


def restart(simulation: Simulation, builds: MixedBuilds, vm: str) -> None:
    """Replace a VM, which gets a peer's full state before it serves."""
    simulation.start_vm(vm, simulation.entries[vm].settings.region)
    simulation.publish()
    peer = next(ip for ip in simulation.entries if ip != vm)
    hello = simulation.entries[vm].gossip._compose_hello()
    deliver(simulation, builds, vm, deliver(simulation, builds, peer, hello))
    simulation.gossip()


def lose_way(simulation: Simulation, vms: Iterable[str], region: str = "gulf") -> None:
    """Let VMs reach no upstream of a region."""
    for vm in vms:
        simulation.unreached[vm] = {
            name for name in simulation.upstreams if name.endswith(region)
        }


def remove_upstreams(simulation: Simulation, region: str) -> None:
    """Deregister the upstreams of a region, which then forwards all its requests."""
    for name in [name for name in simulation.upstreams if name.endswith(region)]:
        del simulation.upstreams[name]
    simulation.gossip()


async def ask_often(
    simulation: Simulation, vms: Iterable[str], paths: Iterable[str], length_s: float
) -> list[Any]:
    """Ask VMs in all steps of a time; return the callers."""
    first = len(simulation.callers)
    for step in range(round(length_s / STEP_S)):
        if step % 2 == 0:
            simulation.gossip()
        for vm in vms:
            for path in paths:
                simulation.ask(vm, path, [], [])
        await anyio.sleep(STEP_S)
    await anyio.sleep(3.0)
    return simulation.callers[first:]


def list_failed(callers: Iterable[Any]) -> list[tuple[str, str, int]]:
    """Return the callers that got no whole answer."""
    return [
        (each.vm, each.path, each.status)
        for each in callers
        if each.status != 200 or not each.is_whole
    ]


def make_whole_gossip() -> Gossip:
    """Return a heartbeat in which each field has a value of its own."""
    ip = pack_ip("10.1.0.2")
    return Gossip(
        protocol=4,
        sender="10.1.0.2",
        direction=Direction.ROW,
        members=[to_member_row(make_member("10.1.0.2"))],
        beats=[(pack_ip("10.1.0.3"), 7, 8, 9)],
        config_version=3,
        evacuation_revision=4,
        evacuation_era=2,
        loads={11: (1, 2, 3, 4)},
        peer_loads={ip: {12: (5, 6, 7, 8)}},
        part_uses=[("e1@1", "segment", 600)],
        candidates={"pool": [("e1", 64, 1000, 1, 2, 3, 4, True)]},
        region_parts=["segment"],
        relayed={"delta": ({"pool": [("e2", 64, 1000, 1, 2, 3, 4, False)]}, ["other"])},
        speeds={"pool": [120]},
        relayed_speeds={"delta": {"pool": [80]}},
        software={"pool": (["v1"], [])},
        relayed_software={"delta": {"pool": (["v2", None], [1])}},
        samples=[(5, 1, 90)],
        spent_names=["acme"],
        spent=[(ip, 7, 8, True, [0, 300])],
        levels={"acme": 5.0},
        suspects=[(1, 2, 3, 4, [("e1@1", 5)])],
        sound_requests=[(1, 2)],
        segment_crashes=[(3, "e1@1")],
        sound_segments=[4],
        replaced=[("e1", 1)],
        starts=[("e1", 1, None, 5)],
        unreached={ip: (8, [1], [2, 3])},
        brittle={"pool": (4, 100)},
        upstreams=[to_upstream_row(make_upstream())],
        upstreams_software=(["v1"], []),
        upstreams_revision=9,
        upstreams_era=2,
        upstreams_digest=77,
        wants_upstreams=True,
        is_hello=True,
    )


class BuildTests(unittest.TestCase):
    def test_a_commit_that_the_history_lacks_is_named(self):
        with (
            tempfile.TemporaryDirectory() as folder,
            self.assertRaisesRegex(LookupError, "0000000 is not in the history"),
        ):
            extract_build("0000000", Path(folder))


class HeartbeatTests(unittest.TestCase):
    def test_a_field_that_an_older_vm_lacks_costs_it_no_other_field(self):
        whole = make_whole_gossip()
        written = whole.model_dump()
        self.assertEqual([name for name in written if not written[name]], [])
        for commit, unknown in UNKNOWN_FIELDS.items():
            with self.subTest(commit):
                builds = MixedBuilds(load_build(commit), ["10.1.0.1"])
                with acting("10.1.0.1"):
                    read = builds.decode_gossip(builds.encode_gossip(whole))
                fields = read.model_dump()
                self.assertEqual(written.keys() - fields.keys(), unknown)
                self.assertEqual(fields.keys() - written.keys(), set())
                self.assertEqual(
                    fields, {name: written[name] for name in written.keys() - unknown}
                )
                # What the older VM writes of it reads as no report, and as no word.
                back = builds.decode_gossip(builds.encode_gossip(read))
                self.assertEqual((back.unreached == {}), "unreached" in unknown)
                self.assertEqual((back.brittle == {}), "brittle" in unknown)

    def test_vms_of_two_builds_know_each_other_and_their_loads_and_charges(self):
        older_ips = {GULF[0], PIEDMONT[0]}

        async def scenario(simulation: Simulation, _: MixedBuilds) -> list[tuple]:
            await ask_often(simulation, [*GULF, *PIEDMONT], [STREAM, SAFE], 1.0)
            simulation.gossip()
            found = []
            for ip, entry in simulation.entries.items():
                now_s = anyio.current_time()
                rows = entry.members.list_rows(now_s)
                known = {row.ip: to_member_row(row)[:5] for row in rows}
                levels = round(entry.quota.list_levels()["acme"])
                found.append((ip in older_ips, sorted(known.items()), levels))
            return found

        for commit in BUILDS:
            with self.subTest(commit):
                found = play(commit, older_ips, scenario)
                rows = [each for _, each, _ in found]
                self.assertEqual(rows, [rows[0]] * 5)
                self.assertEqual(len(rows[0]), 5)
                levels = [each for _, _, each in found]
                self.assertLessEqual(max(levels) - min(levels), 0.1 * max(levels))


class ListTests(unittest.TestCase):
    def test_a_list_that_both_builds_have_is_not_asked_for_again(self):
        """Else each heartbeat with a digest would bring the whole list."""

        async def scenario(simulation: Simulation, builds: MixedBuilds) -> list[Any]:
            replies = []
            for sender, receiver in (GULF[:2], (GULF[1], GULF[0])):
                entry = simulation.entries[sender]
                digest = entry.heartbeats.compose_upstreams(is_known=True)
                replies.append(deliver(simulation, builds, receiver, digest))
            return replies

        for commit in BUILDS:
            with self.subTest(commit):
                self.assertEqual(play(commit, GULF[:1], scenario), [None, None])

    def test_a_changed_list_is_asked_for_once_and_adopted_with_its_software(self):
        async def scenario(simulation: Simulation, builds: MixedBuilds) -> list[Any]:
            found = []
            for number, (sender, receiver) in enumerate((GULF[:2], GULF[1::-1])):
                entry, other = (simulation.entries[ip] for ip in (sender, receiver))
                name = "pool-gulf"
                simulation.revision += 1
                simulation.upstreams[name] = replace(
                    simulation.upstreams[name],
                    software=f"v{number + 2}",
                    started_ms=number + 2,
                    revision=simulation.revision,
                )
                entry.values.adopt_upstreams(
                    simulation.upstreams.values(),
                    simulation.revision,
                    anyio.current_time(),
                )
                digest = entry.heartbeats.compose_upstreams(is_known=True)
                request = deliver(simulation, builds, receiver, digest)
                whole = deliver(simulation, builds, sender, request)
                deliver(simulation, builds, receiver, whole)
                again = deliver(simulation, builds, receiver, digest)
                software = other.upstreams.find(name).upstream.software
                found.append((request.wants_upstreams, software, again))
            return found

        for commit in BUILDS:
            with self.subTest(commit):
                found = play(commit, GULF[:1], scenario)
                self.assertEqual(found, [(True, "v2", None), (True, "v3", None)])

    def test_digests_of_two_builds_are_equal_for_any_list(self):
        rng = random.Random(SEED)
        for commit in BUILDS:
            builds = MixedBuilds(load_build(commit), [])
            for count in (0, 1, 40):
                with self.subTest(commit, count=count):
                    listing = [
                        make_upstream(
                            f"e{rng.randrange(10**6)}",
                            started_ms=rng.randrange(2**41),
                            revision=rng.randrange(10**6),
                            software=rng.choice([None, "v1", "v2"]),
                        )
                        for _ in range(count)
                    ]
                    older = builds.convert_upstreams(listing)
                    make_older = builds.older["messages"].make_digest
                    self.assertEqual(make_digest(listing), make_older(older))


class UnreachedReportTests(unittest.TestCase):
    def test_a_report_outlives_rows_that_an_older_vm_passes_on_without_it(self):
        """The older VM drops the report, which does not say that the way is back."""
        lost, older, reader = GULF[1], GULF[0], GULF[2]

        async def scenario(simulation: Simulation, builds: MixedBuilds) -> list[bool]:
            lose_way(simulation, [lost])
            await ask_often(simulation, [lost], [SAFE], 1.0)
            found = []
            members = simulation.entries[reader].members
            deliver(simulation, builds, reader, beat(simulation, lost))
            for _ in range(REPORT_HEARTBEATS + 1):
                found.append(members.has_way(members.find(lost), "desk"))
                deliver(simulation, builds, older, beat(simulation, lost))
                deliver(simulation, builds, reader, beat(simulation, older))
            return found

        for commit in BUILDS:
            with self.subTest(commit):
                found = play(commit, [older], scenario)
                self.assertFalse(any(found[:REPORT_HEARTBEATS]))
                # An older VM that knows reports renews it.
                is_dropped = "unreached" in UNKNOWN_FIELDS[commit]
                self.assertEqual(found[-1], is_dropped)

    def test_a_vm_that_went_back_to_an_older_build_is_not_judged_by_its_report(self):
        """It reports nothing any more, and is heard of over other VMs only."""
        lost, older, reader = GULF[1], GULF[0], GULF[2]

        async def scenario(simulation: Simulation, builds: MixedBuilds) -> list[bool]:
            lose_way(simulation, [lost])
            await ask_often(simulation, [lost], [SAFE], 1.0)
            deliver(simulation, builds, reader, beat(simulation, lost))
            members = simulation.entries[reader].members
            before = members.find(lost)
            self.assertFalse(members.has_way(before, "desk"))
            simulation.unreached.clear()
            builds.older_ips.add(lost)
            await anyio.sleep(1.1)
            simulation.start_vm(lost, "gulf")
            found = []
            for _ in range(before.heartbeat_count + REPORT_HEARTBEATS + 1):
                deliver(simulation, builds, older, beat(simulation, lost))
                deliver(simulation, builds, reader, beat(simulation, older))
                member = members.find(lost)
                if member.incarnation != before.incarnation:
                    found.append(members.has_way(member, "desk"))
            return found

        for commit in BUILDS:
            with self.subTest(commit):
                found = play(commit, [older], scenario)
                self.assertGreater(len(found), REPORT_HEARTBEATS)
                self.assertEqual(found.count(False), 0)


class ForwardingTests(unittest.TestCase):
    def test_an_older_vm_takes_another_peer_if_one_has_no_way(self):
        """The older VM does not know the refusal, and its retry budget ran out."""

        async def scenario(simulation: Simulation, _: MixedBuilds) -> list[Any]:
            remove_upstreams(simulation, "piedmont")
            lose_way(simulation, GULF[:2])
            return await ask_often(
                simulation, PIEDMONT[:1], [STREAM, UNSAFE, SAFE], 4.0
            )

        for commit in BUILDS:
            with self.subTest(commit):
                callers = play(commit, PIEDMONT[:1], scenario)
                self.assertEqual(list_failed(callers), [])

    def test_an_older_vm_that_gets_a_relayed_request_sends_it_to_no_other_vm(self):
        """A second hop could leave the home region, or go round."""
        senders: list[tuple[str, str]] = []
        call_app = Simulation._call_app

        def record(self: Simulation, app: Any, outgoing: Any, ip: str, *args: Any):
            headers = dict(outgoing.headers)
            senders.append((headers.get(b"request-id", b"").decode(), ip))
            return call_app(self, app, outgoing, ip, *args)

        async def scenario(simulation: Simulation, _: MixedBuilds) -> Simulation:
            lose_way(simulation, GULF[:2])
            with mock.patch.object(Simulation, "_call_app", record):
                await ask_often(simulation, GULF, [STREAM, UNSAFE, SAFE, HOME], 1.6)
            return simulation

        for commit in BUILDS:
            # A VM without a way is of this build, the other one of the older build.
            for older_ips in (GULF[1:], (GULF[0], GULF[2])):
                with self.subTest(commit, older_ips=older_ips):
                    senders.clear()
                    simulation = play(commit, older_ips, scenario)
                    asked = {each.request_id: each.vm for each in simulation.callers}
                    hops = [each for each in senders if each[1] != "10.7.0.1"]
                    self.assertGreater(len(hops), 20)
                    for request_id, sender in hops:
                        if request_id:
                            self.assertEqual(sender, asked[request_id])
                    own = [each for each in simulation.callers if each.vm == GULF[0]]
                    self.assertGreater(len(own), 50)
                    for caller in simulation.callers:
                        for run in simulation.runs.get(caller.request_id, ()):
                            if caller.homes:
                                self.assertIn(run.region, caller.homes)

    def test_a_vm_of_either_build_gets_the_configuration_of_the_vm_that_forwards(self):
        """Else it would refuse a new route as unknown."""

        async def scenario(simulation: Simulation, builds: MixedBuilds) -> Any:
            remove_upstreams(simulation, "piedmont")
            routes = simulation.config["routes"]
            template = next(route for route in routes if route["name"] == "read")
            routes.append(template | {"name": "new", "path_prefix": "/new/"})
            simulation.config["services"][0]["health_path"] = "/health"
            simulation.publish(to=set(PIEDMONT))
            callers = [simulation.ask(vm, "/new/x", [], []) for vm in PIEDMONT]
            await anyio.sleep(2.0)
            values = {
                builds.find(ip) is builds.older: entry.values.config_value
                for ip, entry in simulation.entries.items()
                if ip in PIEDMONT
            }
            return [simulation.callers[each].status for each in callers], values

        for commit in BUILDS:
            # The receivers in gulf are of the other build than the sender.
            for older_ips in (PIEDMONT, GULF):
                with self.subTest(commit, older_ips=older_ips):
                    statuses, values = play(commit, older_ips, scenario)
                    self.assertEqual(statuses, [200, 200])
                    self.assertEqual(len(set(values.values())), 1)


class ValuesTests(unittest.TestCase):
    def test_values_reach_this_build_whole_over_an_older_vm(self):
        """The older VM may not understand all of a configuration."""

        async def scenario(simulation: Simulation, builds: MixedBuilds) -> Any:
            first, older, last = (simulation.entries[ip] for ip in GULF)
            simulation.config["services"][0]["health_path"] = "/health"
            simulation.publish(to={GULF[0]}, evacuated="gulf-b")
            for sender, ip in ((first, GULF[1]), (older, GULF[2])):
                message = copy_values(builds, sender, ip)
                receiver = simulation.entries[ip].values
                receiver.apply_message(message, "test", anyio.current_time())
            return first.values, last.values

        for commit in BUILDS:
            with self.subTest(commit):
                first, last = play(commit, [GULF[1]], scenario)
                self.assertEqual(last.to_message(), first.to_message())
                self.assertEqual(
                    [each.health_path for each in last.catalogue.services.values()],
                    [each.health_path for each in first.catalogue.services.values()],
                )
                self.assertEqual(last.evacuated, {"gulf-b"})
                self.assertIsInstance(last.to_message(), ValuesMessage)

    def test_a_restored_store_counts_at_vms_of_both_builds(self):
        """A list of the era before, with a later revision, must not come back."""

        async def scenario(simulation: Simulation, builds: MixedBuilds) -> list[Any]:
            found = []
            for reader, teller in (GULF[:2], GULF[1::-1]):
                era = simulation.entries[teller].values.store_position.era + 1
                now_s = anyio.current_time()
                old = simulation.entries[reader].heartbeats.compose_upstreams(
                    is_known=False
                )
                entry = simulation.entries[reader]
                entry.values.record_position(StorePosition(era, 5), now_s)
                listing = [
                    replace(each, revision=5) for each in simulation.upstreams.values()
                ]
                entry.values.adopt_upstreams(listing, 5, now_s, era=era)
                whole = entry.heartbeats.compose_upstreams(is_known=False)
                digest = entry.heartbeats.compose_upstreams(is_known=True)
                asked = deliver(simulation, builds, teller, digest)
                deliver(simulation, builds, teller, whole)
                deliver(simulation, builds, teller, old)
                position = simulation.entries[teller].upstreams.position
                again = deliver(simulation, builds, teller, digest)
                found.append(
                    (asked.wants_upstreams, tuple(position) == (era, 5), again)
                )
            return found

        for commit in BUILDS:
            with self.subTest(commit):
                found = play(commit, GULF[:1], scenario)
                self.assertEqual(found, [(True, True, None)] * 2)


class TakeUpTests(unittest.TestCase):
    def test_a_stream_of_one_build_goes_on_at_a_vm_of_the_other(self):
        """Two versions serve; only the reports and replies of peers tell which."""

        async def scenario(simulation: Simulation, _: MixedBuilds) -> list[tuple]:
            mix(simulation)
            found = []
            for first_vm, later_vm in (GULF[:2], GULF[1::-1], (PIEDMONT[0], GULF[1])):
                for software in ("v1", "v2"):
                    first = await begin_at(simulation, first_vm, software)
                    simulation.gossip()
                    later = await take_up(simulation, later_vm, first)
                    simulation.gossip()
                    authors = set(list_authors(first, later))
                    found.append((later.status, authors == {software}))
            return found

        for commit in BUILDS:
            with self.subTest(commit):
                found = play(commit, [GULF[0], PIEDMONT[0]], scenario)
                self.assertEqual(found, [(200, True)] * 6)

    def test_a_stream_goes_on_if_an_older_peer_that_has_no_way_calls_it_gone(self):
        """The older VM reports no lost way, so it is asked for the stream first."""

        async def scenario(simulation: Simulation, _: MixedBuilds) -> list[int]:
            mix(simulation)
            del simulation.upstreams["pool-two-piedmont-v2"]
            simulation.revision += 1
            simulation.gossip()
            begun = [await begin_at(simulation, GULF[0], "v2") for _ in range(6)]
            simulation.gossip()
            engines = {name for name in simulation.upstreams if "-gulf" in name}
            simulation.unreached = dict.fromkeys(GULF[:2], engines)
            await ask_often(simulation, GULF[:2], [STREAM, SAFE], 0.5)
            simulation.gossip()
            found = []
            for first in begun:
                later = await take_up(simulation, GULF[0], first)
                simulation.gossip()
                found.append(later.status)
            return found

        for commit in BUILDS:
            with self.subTest(commit):
                self.assertEqual(play(commit, GULF[1:2], scenario), [200] * 6)

    def test_a_stream_goes_on_after_the_vm_that_began_it_is_replaced(self):
        """Its VM is gone, so the reports that it sent in time must be enough."""

        async def scenario(simulation: Simulation, builds: MixedBuilds) -> list[tuple]:
            mix(simulation)
            found = []
            # Up from the older build, and back down to it.
            for vm in GULF[:2]:
                first = await begin_at(simulation, vm, "v2")
                builds.older_ips ^= {vm}
                restart(simulation, builds, vm)
                later = await take_up(simulation, vm, first)
                simulation.gossip()
                found.append((later.status, set(list_authors(first, later))))
            return found

        for commit in BUILDS:
            with self.subTest(commit):
                found = play(commit, GULF[:1], scenario)
                self.assertEqual(found, [(200, {"v2"})] * 2)


class LeavingTests(unittest.TestCase):
    def test_vms_of_either_build_know_a_leaving_vm_of_the_other(self):
        """Callers get it as the last of its region only, and peers forward nothing."""

        async def scenario(simulation: Simulation, builds: MixedBuilds) -> list[Any]:
            found = []
            for leaving, reader in ((GULF[1], PIEDMONT[0]), (GULF[0], PIEDMONT[1])):
                simulation.entries[leaving].lifecycle.begin_drain()
                simulation.gossip()
                entry = simulation.entries[reader]
                now_s = anyio.current_time()
                choose = builds.find(reader)["directory"].choose_entries
                accepting = entry.members.list_accepting(now_s)
                chosen = {each.ip for each in choose(accepting, "gulf", "gulf-a")}
                alone = [each for each in accepting if each.ip == leaving]
                last = [each.ip for each in choose(alone, "gulf", "gulf-a")]
                serving = entry.members.list_serving(now_s, "gulf")
                is_serving = any(each.ip == leaving for each in serving)
                found.append((leaving in chosen, last, is_serving))
            return found

        for commit in BUILDS:
            with self.subTest(commit):
                found = play(commit, [GULF[0], PIEDMONT[0]], scenario)
                expected = [(False, [vm], False) for vm in (GULF[1], GULF[0])]
                self.assertEqual(found, expected)

    def test_a_refusal_of_a_leaving_vm_costs_the_other_build_no_retry(self):
        """Its peers may forward to it for a moment after it has closed."""

        async def scenario(simulation: Simulation, _: MixedBuilds) -> list[Any]:
            remove_upstreams(simulation, "piedmont")
            for vm in GULF[:2]:
                lifecycle = simulation.entries[vm].lifecycle
                lifecycle.begin_drain()
                lifecycle.begin_closing()
            first = len(simulation.callers)
            for _ in range(40):
                for path in (STREAM, UNSAFE, SAFE):
                    simulation.ask(PIEDMONT[0], path, [], [])
                await anyio.sleep(STEP_S / 4)
            await anyio.sleep(3.0)
            return simulation.callers[first:]

        for commit in BUILDS:
            for older_ips in (PIEDMONT[:1], GULF):
                with self.subTest(commit, older_ips=older_ips):
                    callers = play(commit, older_ips, scenario)
                    self.assertEqual(list_failed(callers), [])


if __name__ == "__main__":
    unittest.main()
