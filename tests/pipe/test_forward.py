import unittest

import anyio

from banyanseam.config.compile import compile_config
from banyanseam.daemon.lifecycle import Lifecycle, drain
from banyanseam.peers.errors import PeerUnreachable
from banyanseam.peers.forward_messages import ForwardEnd, ForwardOpen
from banyanseam.pipe.errors import ForwardFailed
from banyanseam.pipe.forward import Forwarder
from banyanseam.pipe.residency import apply_residency
from banyanseam.pipe.serve_forwarded import ForwardServer
from tests.common import (
    FakeFabric,
    make_config,
    make_documents,
    make_exchange,
    run_with_mock_clock,
)


class ForwardTests(unittest.TestCase):
    def forward(self, expected, *, reaches, was_started):
        async def run():
            fabric = FakeFabric()
            entry = fabric.join("gulf-1")
            forwarder = Forwarder(entry)
            if reaches:
                delta = fabric.join("delta-1")
                end = ForwardEnd(
                    stream=1, outcome="failed", not_run=True, upstream_started=False
                )
                delta.handle_cast(
                    ForwardOpen, lambda peer, _: entry.casts[ForwardEnd](delta.me, end)
                )
            exchange = make_exchange(
                route=make_config().routes["chat"], upstream_started=was_started
            )
            with self.assertRaises(expected):
                await forwarder.forward(exchange, "delta-1")
            return exchange

        return run_with_mock_clock(run)

    def test_a_forward_keeps_that_an_earlier_attempt_started(self):
        for expected, reaches in ((PeerUnreachable, False), (ForwardFailed, True)):
            for was_started in (False, True):
                with self.subTest(reaches=reaches, was_started=was_started):
                    exchange = self.forward(
                        expected, reaches=reaches, was_started=was_started
                    )
                    self.assertEqual(exchange.upstream_started, was_started)

    def test_an_older_configuration_refuses_no_forwarded_request_as_unknown(self):
        older = make_config()
        base, overlays = make_documents()
        base["routes"]["new"] = {**base["routes"]["chat"], "path_prefix": "/new/"}
        newer = compile_config(2, base, overlays)

        async def forward(adopted_after_s):
            fabric = FakeFabric()
            entry, delta = fabric.join("gulf-1"), fabric.join("delta-1")
            started_s = anyio.current_time()
            configs = [older]

            async def adopt():
                await anyio.sleep(adopted_after_s)
                configs[0] = newer
                server.resume_waiting(newer)

            async def serve(exchange):
                pass

            async with anyio.create_task_group() as tasks:
                server = ForwardServer(delta, tasks, "delta", lambda: configs[0], serve)
                tasks.start_soon(adopt)
                exchange = make_exchange(
                    path="/new/x",
                    organisation=newer.organisations["acme"],
                    deadline_s=started_s + 5,
                )
                exchange.route = newer.routes["new"]
                exchange.config_version = newer.version
                try:
                    await Forwarder(entry).forward(exchange, "delta-1")
                except ForwardFailed as error:
                    return error.code, error.not_run
            return "served"

        self.assertEqual(run_with_mock_clock(forward, 0.2), "served")
        self.assertEqual(run_with_mock_clock(forward, 60.0), ("config.not_ready", True))

    # A stop did not wait for requests of other regions, and cut them off.
    def test_a_planned_stop_waits_for_forwarded_requests(self):
        config = make_config()
        took_s = 30.0

        async def stop_while_serving():
            fabric = FakeFabric()
            entry, delta = fabric.join("gulf-1"), fabric.join("delta-1")
            lifecycle = Lifecycle()
            lifecycle.begin_serving()

            async def serve(exchange):
                await anyio.sleep(took_s)

            async def forward():
                exchange = make_exchange(
                    path="/v1/chat/completions",
                    route=config.routes["chat"],
                    organisation=config.organisations["acme"],
                    deadline_s=anyio.current_time() + 60,
                )
                await Forwarder(entry).forward(exchange, "delta-1")

            async with anyio.create_task_group() as tasks:
                ForwardServer(
                    delta,
                    tasks,
                    "delta",
                    lambda: config,
                    serve,
                    lifecycle.count_request,
                )
                tasks.start_soon(forward)
                await anyio.sleep(1.0)
                is_idle = await drain(lifecycle, 5000)
                return is_idle, anyio.current_time()

        is_idle, stopped_s = run_with_mock_clock(stop_while_serving)
        self.assertTrue(is_idle)
        self.assertGreaterEqual(stopped_s, took_s)

    def test_the_stricter_residency_of_two_versions_applies(self):
        open_config = make_config()
        base, overlays = make_documents()
        base["residency"] = {"home": {"regions": ["gulf"]}}
        # Another organisation may still use the other regions.
        base["organisations"]["other"] = {**base["organisations"]["acme"], "keys": []}
        base["organisations"]["acme"]["residency"] = "home"
        bound_config = compile_config(2, base, overlays)

        async def forward(entry_config, server_config):
            fabric = FakeFabric()
            entry, delta = fabric.join("gulf-1"), fabric.join("delta-1")
            served = []

            async def serve(exchange):
                served.append(exchange.request_id)

            async with anyio.create_task_group() as tasks:
                ForwardServer(delta, tasks, "delta", lambda: server_config, serve)
                exchange = make_exchange(
                    path="/v1/chat/completions",
                    route=entry_config.routes["chat"],
                    organisation=entry_config.organisations["acme"],
                    deadline_s=anyio.current_time() + 5,
                )
                forwarder = Forwarder(entry)
                failure = None
                try:
                    await apply_residency(
                        exchange, lambda bound: forwarder.forward(bound, "delta-1")
                    )
                except ForwardFailed as error:
                    failure = error
            return served, failure

        served, failure = run_with_mock_clock(forward, open_config, open_config)
        self.assertEqual((served, failure), (["1"], None))
        for versions in ((open_config, bound_config), (bound_config, open_config)):
            with self.subTest(versions=[config.version for config in versions]):
                served, failure = run_with_mock_clock(forward, *versions)
                self.assertEqual(served, [])
                self.assertEqual(failure.code, "residency.excluded")
                self.assertTrue(failure.not_run)
