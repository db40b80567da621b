import unittest
from dataclasses import replace

import anyio

from banyanseam.orders.client import EngineClient
from banyanseam.orders.const import CALL_TIMEOUT_S
from banyanseam.orders.errors import EngineFull, OrderFailed, OrderRefused
from banyanseam.orders.models import EngineState, LoadedModel, Order
from banyanseam.upstreams.client import UpstreamClient
from banyanseam.upstreams.errors import UpstreamFailed, UpstreamUnreachable
from banyanseam.upstreams.reports import make_fetch_report
from standins.engine import Engine, serve_engine
from standins.engine_orders import OrderExecutor
from tests.common import make_config, run_with_mock_clock
from tests.upstreams.test_client import OK, RawServer

LOAD = Order("load_model", model="oak", version=2, weight_bytes=100)
ENGINE = make_config().upstreams["gulf-engine-1"]


class EngineTests(unittest.TestCase):
    def run_with_engine(self, executor, body):
        async def main():
            engine = Engine(orders=executor)
            async with serve_engine(engine) as address:
                upstream = replace(ENGINE, address=address)
                await body(engine, upstream, EngineClient(UpstreamClient()))

        anyio.run(main)

    def test_orders_are_carried_out_and_seen(self):
        async def body(engine, upstream, client):
            await client.send_order(upstream, Order("set_role", role="decode"), 5, 1.0)
            await client.send_order(upstream, LOAD, 5, 1000.0)
            state = await client.read_state(upstream)
            loading = LoadedModel("oak", 2, False, frozenset())
            self.assertEqual(state, EngineState("decode", (loading,)))
            self.assertEqual(engine.orders.accepted[1]["max_bytes_per_s"], 1000)
            engine.orders.models["oak", 2].ready_s = 0
            for kind, adapters in (("load_adapter", "a"), ("unload_adapter", "")):
                order = Order(kind, model="oak", version=2, adapter="a")
                await client.send_order(upstream, order, 5, 1.0)
                state = await client.read_state(upstream)
                ready = LoadedModel("oak", 2, True, frozenset(adapters))
                self.assertEqual(state.models, (ready,))
            fetch = make_fetch_report(UpstreamClient())
            self.assertEqual((await fetch(upstream)).ready, frozenset({"oak"}))
            await client.send_order(
                upstream, Order("unload_model", None, "oak", 2), 5, 1.0
            )
            self.assertEqual((await client.read_state(upstream)).models, ())
            self.assertEqual((await fetch(upstream)).ready, frozenset())

        self.run_with_engine(OrderExecutor(weights={"oak": 100_000}), body)

    def test_old_fencing_numbers_are_refused_where_they_are_checked(self):
        for checks in (True, False):

            async def body(engine, upstream, client, checks=checks):
                await client.send_order(upstream, LOAD, 7, 1.0)
                order = Order("unload_model", model="oak", version=2)
                if checks:
                    with self.assertRaises(OrderRefused):
                        await client.send_order(upstream, order, 6, 1.0)
                else:
                    await client.send_order(upstream, order, 6, 1.0)
                self.assertEqual(len(engine.orders.models), int(checks))

            with self.subTest(checks=checks):
                self.run_with_engine(OrderExecutor(checks), body)

    def test_a_full_engine_raises_engine_full(self):
        async def body(engine, upstream, client):
            with self.assertRaises(EngineFull):
                await client.send_order(upstream, LOAD, 7, 1.0)

        executor = OrderExecutor(weights={"oak": 2}, weight_limit_bytes=1)
        self.run_with_engine(executor, body)

    def test_an_engine_without_its_model_is_asked_for_nothing(self):
        async def body(engine, upstream, client):
            report = await make_fetch_report(UpstreamClient())(upstream)
            self.assertEqual(report.ready, frozenset())

        self.run_with_engine(OrderExecutor(), body)


class FaultTests(unittest.TestCase):
    def test_invalid_answers_raise(self):
        long = b"HTTP/1.1 200 OK\r\ncontent-length: 80000\r\n\r\n" + b"x" * 80_000
        for answer, error in (
            (b"close at once", (UpstreamFailed, UpstreamUnreachable)),
            (OK + b"\r\n{}", OrderFailed),
            (OK + b"\r\nno", OrderFailed),
            (b"HTTP/1.1 500 no\r\ncontent-length: 0\r\n\r\n", OrderFailed),
            (b"HTTP/1.1 404 no\r\ncontent-length: 0\r\n\r\n", OrderFailed),
            (long, OrderFailed),
        ):

            async def body(answer=answer, error=error):
                client = EngineClient(UpstreamClient())
                async with RawServer(answer).run() as upstream:
                    with self.assertRaises(error):
                        await client.read_state(upstream)

            with self.subTest(answer=answer[:60]):
                anyio.run(body)

    def test_an_engine_without_reply_times_out(self):
        async def body():
            started_s = anyio.current_time()
            with self.assertRaises(OrderFailed):
                await EngineClient(Silent()).read_state(ENGINE)
            self.assertEqual(anyio.current_time() - started_s, CALL_TIMEOUT_S)

        class Silent:
            def open(self, *_):
                return self

            async def __aenter__(self):
                await anyio.sleep_forever()

            async def __aexit__(self, *_):
                return None

        run_with_mock_clock(body)
