import unittest

import anyio

from banyanseam.config.compile import compile_config
from banyanseam.orders.const import LOAD_TIME_ALLOWANCE_S
from banyanseam.orders.errors import EngineFull, OrderFailed, OrderRefused
from banyanseam.orders.leader_election import ElectionView, LeaderElection
from banyanseam.orders.models import EngineState, LoadedModel
from banyanseam.orders.orderer import Orderer
from standins.engine_orders import OrderExecutor
from tests.common import make_documents, run_with_mock_clock

SEATS = ("gulf-1", "gulf-2", "gulf-3")
ENGINES = ("gulf-engine-1", "gulf-engine-2", "gulf-engine-3")
WEIGHT_BYTES = 1000
RATE = 300
TERM_S = 10.0


def make_config(version, *, checks=True, model_version=1):
    """Return a configuration with three engines in each of three regions."""
    base, overlays = make_documents()
    base["weight_store"] = {"rate_bytes_per_s": RATE}
    for region, overlay in overlays.items():
        first = overlay["upstreams"][f"{region}-engine-1"]
        host, _, port = first["address"].rpartition(":")
        first |= {
            "checks_fencing": checks,
            "desired": {
                "models": {
                    "oak": {"version": model_version, "weight_bytes": WEIGHT_BYTES}
                }
            },
        }
        for number in (2, 3):
            address = f"{host}:{int(port) + 10 + number}"
            overlay["upstreams"][f"{region}-engine-{number}"] = first | {
                "address": address
            }
    return compile_config(version, base, overlays)


class Region:
    """Simulates the engines of a region and the seats that may give them orders."""

    def __init__(self, config, **executor_options):
        self.config = config
        self.executors = {
            name: OrderExecutor(weights={"oak": WEIGHT_BYTES}, **executor_options)
            for name in ENGINES
        }
        self.dead = set()
        self.views = {seat: list(SEATS) for seat in SEATS}
        self.configs = {seat: config for seat in SEATS}
        self.max_loading = 0
        self.orderers = {seat: self._make_orderer(seat) for seat in SEATS}

    def _make_orderer(self, seat):
        def get_view():
            return ElectionView("gulf", seat, len(SEATS), self.views[seat], TERM_S)

        return Orderer(
            "gulf",
            LeaderElection(get_view),
            self,
            lambda: self.configs[seat],
            lambda: True,
        )

    async def read_state(self, upstream):
        await anyio.sleep(0.01)
        if upstream.name in self.dead:
            raise OrderFailed(upstream.name)
        shown = self.executors[upstream.name].describe()
        models = tuple(
            LoadedModel(
                one["name"], one["version"], one["state"] == "ready", frozenset()
            )
            for one in shown["models"]
        )
        return EngineState(shown["role"], models)

    async def send_order(self, upstream, order, fencing, rate_bytes_per_s):
        await anyio.sleep(0.01)
        status, _ = self.executors[upstream.name].execute(
            {
                "fencing": fencing,
                "kind": order.kind,
                "model": order.model,
                "version": order.version,
                "max_bytes_per_s": rate_bytes_per_s,
            }
        )
        errors = {409: OrderRefused, 507: EngineFull}
        if status in errors:
            raise errors[status](upstream.name)
        loading = [
            executor
            for executor in self.executors.values()
            if self.is_loading(executor)
        ]
        self.max_loading = max(self.max_loading, len(loading))

    def is_loading(self, executor):
        return any(one["state"] == "loading" for one in executor.describe()["models"])

    def list_versions(self):
        return [
            sorted(version for _, version in executor.models)
            for executor in self.executors.values()
        ]

    def count_orders(self):
        return sum(len(executor.accepted) for executor in self.executors.values())

    @property
    def leader(self):
        return next(iter(self.orderers.values())).election.leader

    async def run(self, seconds, *seats):
        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as tasks:
                for seat in seats or SEATS:
                    tasks.start_soon(self.orderers[seat].run)


class OrdererTests(unittest.TestCase):
    def test_engines_are_changed_one_at_a_time_within_the_rate(self):
        async def body():
            region = Region(make_config(1))
            # A region has a third of the rate, so a load takes ten seconds.
            await region.run(8)
            self.assertEqual(region.count_orders(), 1)
            await region.run(60)
            self.assertEqual(region.list_versions(), [[1], [1], [1]])
            self.assertEqual(region.max_loading, 1)
            for seat in SEATS:
                region.configs[seat] = make_config(2, model_version=2)
            await region.run(60)
            self.assertEqual(region.list_versions(), [[2], [2], [2]])
            self.assertEqual(region.max_loading, 1)
            orders = region.count_orders()
            await region.run(600)
            self.assertEqual(region.count_orders(), orders)

        run_with_mock_clock(body)

    def test_a_new_leader_continues_with_one_load_at_a_time(self):
        async def body():
            region = Region(make_config(1))
            await region.run(5)
            first = region.leader
            for seat in SEATS:
                region.views[seat] = [one for one in SEATS if one != first]
            others = [seat for seat in SEATS if seat != first]
            await region.run(60, *others)
            self.assertEqual(region.list_versions(), [[1], [1], [1]])
            self.assertEqual(region.max_loading, 1)
            self.assertEqual(region.count_orders(), 3)

        run_with_mock_clock(body)

    def test_a_seat_on_an_old_configuration_undoes_nothing(self):
        """Both sides of a partition assume that they lead."""
        for checks in (True, False):
            with self.subTest(checks_fencing=checks):
                run_with_mock_clock(self.split, checks)

    async def split(self, checks):
        region = Region(make_config(1, checks=checks), checks_fencing=checks)
        await region.run(120)
        self.assertEqual(region.list_versions(), [[1], [1], [1]])
        first = region.leader
        others = [seat for seat in SEATS if seat != first]
        for seat in others:
            region.views[seat] = others
            region.configs[seat] = make_config(2, checks=checks, model_version=2)
        # The seat that gave orders is partitioned alone and keeps the old version.
        region.views[first] = [first]
        await region.run(200)
        self.assertEqual(region.list_versions(), [[2], [2], [2]])
        region.executors["gulf-engine-1"].models.clear()
        await region.run(200)
        self.assertEqual(region.list_versions(), [[2], [2], [2]])
        versions = [
            order["version"]
            for executor in region.executors.values()
            for order in executor.accepted
        ]
        # After the orders of the seats on version 2, version 1 was not loaded again.
        self.assertEqual(versions.count(1), 6, "three loads and three unloads")

    def test_engines_without_fencing_wait_out_the_term_of_an_earlier_leader(self):
        async def body():
            region = Region(make_config(1, checks=False), checks_fencing=False)
            await region.run(TERM_S - 1)
            self.assertEqual(region.count_orders(), 0)
            progress = {
                one.progress
                for one in region.orderers[region.leader].progress_by_engine.values()
            }
            self.assertEqual(progress, {"held back"})
            await region.run(3)
            self.assertEqual(region.count_orders(), 1)
            region.orderers[region.leader].election.reset_after_suspension()
            await region.run(TERM_S - 1)
            self.assertEqual(region.count_orders(), 1)
            await region.run(60)
            self.assertEqual(region.list_versions(), [[1], [1], [1]])
            # Seats that see half of the region's seats or fewer give no orders.
            for seat in SEATS:
                region.views[seat] = [seat]
                region.configs[seat] = make_config(2, checks=False, model_version=2)
            await region.run(120)
            self.assertEqual(region.list_versions(), [[1], [1], [1]])

        run_with_mock_clock(body)

    def test_a_full_engine_drops_the_old_weights_first(self):
        async def body():
            region = Region(make_config(1), weight_limit_bytes=WEIGHT_BYTES)
            await region.run(60)
            for seat in SEATS:
                region.configs[seat] = make_config(2, model_version=2)
            await region.run(60)
            self.assertEqual(region.list_versions(), [[2], [2], [2]])

        run_with_mock_clock(body)

    def test_a_dead_or_hanging_engine_does_not_stop_the_others(self):
        async def body():
            region = Region(make_config(1))
            region.dead.add("gulf-engine-1")
            stuck = region.executors["gulf-engine-2"]
            stuck.weights["oak"] = 10**9
            await region.run(LOAD_TIME_ALLOWANCE_S + 40)
            self.assertEqual(region.list_versions(), [[], [1], [1]])
            engines = region.orderers[region.leader].progress_by_engine
            self.assertEqual(engines["gulf-engine-1"].failure, OrderFailed.code)
            self.assertEqual(engines["gulf-engine-2"].progress, "failed")
            region.dead.clear()
            await region.run(30)
            self.assertEqual(region.list_versions(), [[1], [1], [1]])

        run_with_mock_clock(body)

    def test_an_engine_that_restarted_empty_is_loaded_again(self):
        async def body():
            region = Region(make_config(1))
            await region.run(60)
            region.executors["gulf-engine-3"].models.clear()
            await region.run(60)
            self.assertEqual(region.list_versions(), [[1], [1], [1]])

        run_with_mock_clock(body)
