"""Checks requests forwarded between VMs with different configurations."""

import unittest
from unittest.mock import AsyncMock

import anyio

from banyanseam.daemon.lifecycle import Lifecycle
from banyanseam.entry.models import StorePosition
from banyanseam.entry.values_fetcher import VALUES_PATH
from tests.common import run_with_mock_clock
from tests.entry.simulation import Caller, Simulation, make_body, start_simulation

PIEDMONT_VMS = {"10.2.0.1", "10.2.0.2"}


def empty_piedmont(simulation: Simulation) -> None:
    """Remove the upstreams of a region, which then forwards all its requests."""
    for name in list(simulation.upstreams):
        if name.endswith("piedmont"):
            del simulation.upstreams[name]
    simulation.gossip()


def publish_route(simulation: Simulation, to: set[str]) -> None:
    """Add the route /new/ in the configuration of the VMs in `to` only."""
    routes = simulation.config["routes"]
    template = next(route for route in routes if route["name"] == "read")
    routes.append(template | {"name": "new", "path_prefix": "/new/"})
    simulation.publish(to=to)


def ask_for_new_route(values_faults: list[str]) -> tuple[Simulation, Caller]:
    """Ask a VM for a route that VMs of the region with upstreams don't know yet."""

    async def run() -> Simulation:
        async with start_simulation() as simulation:
            empty_piedmont(simulation)
            publish_route(simulation, to=PIEDMONT_VMS)
            simulation.peer_faults[VALUES_PATH] = values_faults
            simulation.ask("10.2.0.1", "/new/x", [], [])
        return simulation

    simulation = run_with_mock_clock(run)
    return simulation, simulation.callers[0]


class OlderConfigurationTests(unittest.TestCase):
    def test_an_added_route_is_served_by_a_region_that_lacks_it(self):
        _, caller = ask_for_new_route([])
        self.assertEqual(
            (caller.status, caller.body), (200, make_body(caller.request_id))
        )

    def test_an_older_configuration_refuses_no_request_as_unknown(self):
        simulation, caller = ask_for_new_route(["lost"] * 4)
        self.assertEqual((caller.status, simulation.runs), (503, {}))

    def test_a_route_that_a_newer_configuration_dropped_is_refused_at_once(self):
        async def run() -> Simulation:
            async with start_simulation() as simulation:
                empty_piedmont(simulation)
                simulation.config["routes"].pop(4)
                simulation.publish(to={"10.1.0.1", "10.1.0.2"})
                simulation.ask("10.2.0.1", "/read/x", [], ["", "refused"])
            return simulation

        simulation = run_with_mock_clock(run)
        caller = simulation.callers[0]
        self.assertEqual((caller.status, simulation.runs), (404, {}))
        self.assertEqual(simulation.peer_faults[caller.request_id], ["refused"])

    def test_a_key_that_a_newer_configuration_withdrew_runs_nothing(self):
        async def run() -> Simulation:
            async with start_simulation() as simulation:
                empty_piedmont(simulation)
                simulation.config["tenants"][0]["api_keys"] = []
                simulation.publish(to={"10.1.0.1", "10.1.0.2"})
                simulation.ask("10.2.0.1", "/read/x", [], [])
            return simulation

        simulation = run_with_mock_clock(run)
        self.assertEqual((simulation.callers[0].status, simulation.runs), (401, {}))

    def test_another_vm_of_the_region_serves_what_one_cannot_check(self):
        _, caller = ask_for_new_route(["lost"])
        self.assertEqual(caller.status, 200)


class SlowPeerTests(unittest.TestCase):
    def test_an_answer_that_a_peer_gets_late_is_waited_for(self):
        """After a silent peer there is no attempt left, so giving up gains nothing."""

        async def run() -> Simulation:
            async with start_simulation() as simulation:
                empty_piedmont(simulation)
                simulation.ask("10.2.0.1", "/read/x", ["slow"], [])
            return simulation

        simulation = run_with_mock_clock(run)
        caller = simulation.callers[0]
        self.assertEqual(
            (caller.status, caller.body), (200, make_body(caller.request_id))
        )
        self.assertEqual(len(simulation.runs[caller.request_id]), 1)


class RestartTests(unittest.TestCase):
    def test_a_restarted_vm_serves_by_the_newest_version_that_peers_report(self):
        """A key that has been withdrawn must not work again after a restart."""

        async def run() -> tuple[int, int]:
            async with start_simulation() as simulation:
                older = simulation.entries["10.1.0.1"].values.to_message()
                simulation.config["tenants"][0]["api_keys"] = []
                simulation.publish(to={"10.2.0.1"})
                simulation.start_vm("10.1.0.2", "gulf")
                entry = simulation.entries["10.1.0.2"]
                entry.lifecycle = Lifecycle()
                entry.gossip.announce = AsyncMock()
                reported = simulation.revision, StorePosition(0, 0)
                entry.values_fetcher.start_if_newer("10.2.0.1", *reported)
                entry.values.apply_message(older, "10.1.0.1", anyio.current_time())
                upstreams = simulation.upstreams.values()
                entry.values.adopt_upstreams(upstreams, 1, anyio.current_time())
                await entry._begin_serving()
                return entry.values.version, simulation.revision

        version, newest = run_with_mock_clock(run)
        self.assertEqual(version, newest)


if __name__ == "__main__":
    unittest.main()
