import unittest
from types import SimpleNamespace
from unittest import mock

import anyio

from banyanseam.entry.errors import UpstreamReplaced
from banyanseam.entry.relay import Relay
from banyanseam.pipe.errors import ForwardFailed
from banyanseam.upstreams.errors import UpstreamUnreachable
from tests.common import run_with_mock_clock
from tests.entry.test_choosing import make_exchange


class RetryTests(unittest.TestCase):
    def may_retry(self, error: Exception, *, has_budget: bool, sends: int = 0) -> bool:
        async def run() -> bool:
            retries = SimpleNamespace(try_spend=lambda *_: has_budget)
            relay = Relay(*[mock.Mock()] * 4, retries, *[mock.Mock()] * 6)
            exchange = make_exchange(anyio.current_time(), sends=sends)
            exchange.reply = SimpleNamespace(is_started=False)
            return relay._may_retry_error(exchange, error, vms=9)

        return run_with_mock_clock(run)

    def test_a_request_that_a_replaced_upstream_got_is_charged_to_the_budget(self):
        """After a crash of many upstreams, each entry would send to all of them."""
        error = UpstreamReplaced("e1")
        self.assertTrue(self.may_retry(error, has_budget=True))
        self.assertFalse(self.may_retry(error, has_budget=False))

    def test_a_connection_that_failed_is_not_charged(self):
        error = UpstreamUnreachable("e1")
        self.assertTrue(self.may_retry(error, has_budget=False))

    def test_a_forward_that_may_have_run_before_is_charged(self):
        error = ForwardFailed(
            UpstreamUnreachable.code, "", 502, not_run=False, retry_after_ms=None
        )
        self.assertFalse(self.may_retry(error, has_budget=False))

    def test_a_peer_that_could_not_reach_an_upstream_is_not_charged(self):
        error = ForwardFailed(
            UpstreamUnreachable.code, "", 503, not_run=True, retry_after_ms=None
        )
        self.assertTrue(self.may_retry(error, has_budget=False))
        self.assertFalse(self.may_retry(error, has_budget=True, sends=2))


if __name__ == "__main__":
    unittest.main()
