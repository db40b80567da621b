import unittest
from types import SimpleNamespace
from unittest import mock

import anyio

from banyanseam.entry.errors import UpstreamReplaced
from banyanseam.entry.relay import Relay
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.pipe.errors import ForwardFailed
from banyanseam.upstreams.errors import UpstreamUnreachable
from tests.common import run_with_mock_clock
from tests.entry.common import make_upstream
from tests.entry.test_choosing import make_exchange

FAKES = [mock.Mock()] * 6


class RetryTests(unittest.TestCase):
    def may_retry(self, error: Exception, *, has_budget: bool, sends: int = 0) -> bool:
        async def run() -> bool:
            retries = SimpleNamespace(try_spend=lambda *_: has_budget)
            relay = Relay(*[mock.Mock()] * 4, retries, *[mock.Mock()] * 8)
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


class FailureTests(unittest.TestCase):
    def test_a_failure_of_an_earlier_incarnation_does_not_count_for_the_new_one(self):
        async def fail() -> None:
            upstreams = UpstreamList()
            upstreams.adopt([make_upstream("e1")], 1, 0.0)
            before = upstreams.find("e1")
            checks = mock.Mock()
            relay = Relay(
                *[mock.Mock()] * 2, upstreams, *[mock.Mock()] * 3, checks, *FAKES
            )
            exchange = make_exchange(0.0, sends=0)
            with (
                self.assertRaises(UpstreamUnreachable),
                relay._watch_failures(exchange, before, 0.0),
            ):
                restarted = make_upstream("e1", started_ms=2, revision=2)
                upstreams.adopt([restarted], 2, 1.0)
                raise UpstreamUnreachable("e1")
            checks.start.assert_called_once_with(before)
            after = upstreams.find("e1")
            self.assertEqual(after.usage.consecutive_failures, 0)
            self.assertEqual(after.usage.suspected_until_s, 0.0)

        run_with_mock_clock(fail)


if __name__ == "__main__":
    unittest.main()
