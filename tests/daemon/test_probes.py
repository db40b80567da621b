import base64
import json
import signal
import unittest
from types import SimpleNamespace

import anyio
from uuid6 import uuid7

from banyanseam.config.compile import compile_config
from banyanseam.daemon.probes import make_poison_probe
from banyanseam.poison.fingerprint import make_poison_fingerprint
from banyanseam.poison.suspects import Suspects
from banyanseam.server.explain import DryRun
from banyanseam.server.operator_models import ExplainRequest
from standins.callers import Caller
from standins.fleet import FleetPlan, start_fleet
from tests.common import make_documents, make_exchange

CHAT = {"path": "/v1/chat/completions", "organisation": "acme", "model": "oak"}
# It costs more than all requests of these tests: a home that can grant this much has
# stopped withholding its part.
SETTLED_CHAT = CHAT | {"prompt_tokens": 50_000}
BODY = b'{"slot": 9}'


def book(key, body=BODY):
    fields = {"path": "/desk/book", "organisation": "acme", "idempotency_key": key}
    return fields | {"body": base64.b64encode(body).decode()}


class ProbeTests(unittest.TestCase):
    """Explain and status report the state of real processes."""

    def test_explain_and_status_report_the_state_without_changing_it(self):
        anyio.run(self.check)

    async def explain(self, seat, fields):
        body = json.dumps(fields).encode()
        address = seat.operators_address
        reply = await self.caller.request("POST", address, "/explain", body=body)
        self.assertEqual(reply.status, 200, reply.content)
        return {one["filter"]: one for one in reply.value["steps"]}

    async def wait_for(self, seat, fields, step, expected):
        with anyio.fail_after(20):
            while True:
                found = (await self.explain(seat, fields)).get(step)
                if found and expected in (found["code"], found["facts"].get("state")):
                    return found
                await anyio.sleep(0.1)

    async def wait_settled(self, *seats):
        """Wait until each seat grants its quota part and accepts new keys."""
        with anyio.fail_after(60):
            for seat in seats:
                # Either home may be asked, so ask several times.
                for _ in range(10):
                    await self.wait_passing(seat, "quota", lambda: SETTLED_CHAT)
                    await self.wait_passing(
                        seat, "idempotency", lambda: book(str(uuid7()))
                    )

    async def wait_passing(self, seat, name, make_fields):
        while True:
            step = (await self.explain(seat, make_fields()))[name]
            if step["verdict"] == "pass":
                return
            await anyio.sleep(0.1)

    async def check(self):
        plan = FleetPlan(regions=("gulf",), seats=2, uses_relay=False)
        async with start_fleet(plan) as fleet, Caller(fleet.keys["acme"]) as caller:
            self.caller = caller
            first, second = fleet.daemons.values()
            await self.wait_settled(first, second)
            self.assertTrue((await caller.chat(first.callers_address)).is_whole)
            key, unsent = str(uuid7()), str(uuid7())
            booked = await caller.book(
                first.callers_address, "/desk/book", BODY, idempotency_key=key
            )
            self.assertEqual(booked.status, 201, booked.content)
            for seat in (first, second):
                await self.check_cases(seat, key, unsent)
            await self.check_status(first)
            await self.check_failures(fleet, unsent)

    async def check_cases(self, seat, key, unsent):
        large, huge = {"prompt_tokens": 900_000}, {"prompt_tokens": 2_000_000}
        cases = [
            (CHAT, "quota", "pass", None),
            (CHAT, "poison", "pass", None),
            (CHAT, "queue", "pass", None),
            (CHAT, "choose", "pass", None),
            (CHAT | large, "quota", "wait", None),
            (CHAT | huge, "quota", "refuse", "quota.cost_exceeds_burst"),
            (book(key), "idempotency", "pass", "done"),
            (book(unsent), "idempotency", "pass", "new"),
            (book(key, b"x"), "idempotency", "refuse", "idempotency.key_reused"),
        ]
        # Run twice: a preview that claimed or charged something would show then.
        for fields, name, verdict, expected in cases + cases:
            with self.subTest(seat=seat.seat, name=name, expected=expected):
                step = (await self.explain(seat, fields))[name]
                self.assertEqual(step["verdict"], verdict, step)
                if name == "quota" and verdict != "refuse":
                    self.assertEqual(step["facts"]["waiting"], 0)
                if expected:
                    self.assertIn(expected, (step["code"], step["facts"].get("state")))

    async def check_status(self, seat):
        reply = await self.caller.request("GET", seat.operators_address, "/status")
        status = reply.value
        empty = [
            f"{part}.{name}"
            for part, rows in (
                ("config", [status["config"]]),
                ("peers", status["peers"]),
                ("upstreams", status["upstreams"]),
            )
            for row in rows
            for name, value in row.items()
            if value is None and row.get("upstream") != "gulf-service-1"
        ]
        self.assertEqual(empty, ["config.rejected"])
        self.assertEqual({one["state"] for one in status["upstreams"]}, {"ready"})

    async def check_failures(self, fleet, unsent):
        """Kill an engine, then the home of a key."""
        first = fleet.daemons["gulf-1"]
        fleet.upstreams["gulf-engine-1"].child.signal(signal.SIGKILL)
        await self.wait_for(first, CHAT, "queue", "upstreams.none_available")
        reply = await self.caller.request("GET", first.operators_address, "/status")
        states = {one["upstream"]: one["state"] for one in reply.value["upstreams"]}
        self.assertEqual(states["gulf-engine-1"], "ejected")
        step = (await self.explain(first, book(unsent)))["idempotency"]
        home = step["facts"]["home"]
        fleet.kill(home)
        (other,) = (one for one in fleet.daemons.values() if one.seat != home)
        await self.wait_for_lost_link(other)
        lost = "idempotency.home_unreachable"
        step = await self.wait_for(other, book(unsent), "idempotency", lost)
        self.assertIn(home, step["reason"])

    async def wait_for_lost_link(self, seat):
        """Wait until calls to the killed daemon fail before they are sent."""
        with anyio.fail_after(20):
            while True:
                status = await self.caller.request(
                    "GET", seat.operators_address, "/status"
                )
                if not any(peer["is_linked"] for peer in status.value["peers"]):
                    return
                await anyio.sleep(0.1)


class PoisonProbeTests(unittest.TestCase):
    def test_a_mark_is_matched_by_the_body(self):
        suspects = Suspects()
        config = compile_config(1, *make_documents())
        exchange = make_exchange(path="/clinic/", body=BODY)
        exchange.route = config.routes["clinic"]
        parts = SimpleNamespace(guard=SimpleNamespace(suspects=suspects))
        probe = make_poison_probe(parts)
        cases = [("other", BODY, "pass"), ("same", BODY, "wait")]
        cases += [("same", BODY, "refuse"), ("same", None, "unknown")]
        for number, (marked, body, verdict) in enumerate(cases):
            with self.subTest(marked=marked, body=body, verdict=verdict):
                request = ExplainRequest(
                    path="/clinic/", body=body and base64.b64encode(body)
                )

                async def run_probe(request=request, marked=marked, number=number):
                    own = make_poison_fingerprint(exchange)
                    mark = own if marked == "same" else b"another."
                    upstream = f"gulf-engine-{number}"
                    suspects.record_crash(mark, upstream, anyio.current_time())
                    return await probe(DryRun(request, config, "gulf", exchange))

                self.assertEqual(anyio.run(run_probe).verdict, verdict)


if __name__ == "__main__":
    unittest.main()
