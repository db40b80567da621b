import unittest
from types import SimpleNamespace

from banyanseam.pipe.models import Cost, Exchange, Usage
from banyanseam.pipe.quota import charge_quota
from banyanseam.quota.errors import QuotaExceeded
from tests.common import run_with_mock_clock


class FakeClient:
    def __init__(self):
        self.charged = []
        self.settled = []
        self.is_refusing = False

    async def charge(self, organisation, cost_tokens, deadline_s):
        if self.is_refusing:
            raise QuotaExceeded(retry_after_ms=5)
        self.charged.append((organisation, cost_tokens))
        return "charge"

    async def settle(self, charge, used_tokens):
        self.settled.append(used_tokens)


def make_exchange():
    exchange = Exchange("id", "POST", "/", b"/", b"", [], b"", 0.0, None)
    exchange.organisation = SimpleNamespace(name="acme")
    exchange.cost = Cost(10, 90)
    return exchange


class QuotaFilterTests(unittest.TestCase):
    def test_settles_by_actual_usage(self):
        cases = [
            (False, Usage(), 0),
            (True, Usage(), 100),
            (True, Usage(8, 20), 28),
            (True, Usage(None, 20), 30),
        ]
        for started, usage, expected in cases:
            for failure in (None, RuntimeError()):
                with self.subTest(started=started, usage=usage, failure=failure):
                    self.check_settlement(started, usage, failure, expected)

    def check_settlement(self, started, usage, failure, expected):
        client = FakeClient()

        async def serve(exchange):
            exchange.upstream_started = started
            exchange.usage = usage
            if failure:
                raise failure

        async def run():
            try:
                await charge_quota(client)(make_exchange(), serve)
            except RuntimeError:
                self.assertIsNotNone(failure)

        run_with_mock_clock(run)
        self.assertEqual(client.charged, [("acme", 100)])
        self.assertEqual(client.settled, [expected])

    def test_an_open_route_without_organisation_passes(self):
        client = FakeClient()
        exchange = make_exchange()
        exchange.organisation = None
        passed = []

        async def serve(served):
            passed.append(served)

        run_with_mock_clock(charge_quota(client), exchange, serve)
        self.assertEqual((passed, client.charged), ([exchange], []))

    def test_a_refusal_reaches_no_later_filter(self):
        client = FakeClient()
        client.is_refusing = True

        async def serve(served):
            self.fail("served without tokens")

        with self.assertRaises(QuotaExceeded):
            run_with_mock_clock(charge_quota(client), make_exchange(), serve)
        self.assertEqual(client.settled, [])
