"""Checks the statuses that callers get for requests that were refused or failed."""

import unittest

from banyanseam.config.errors import NotReady
from banyanseam.entry.errors import (
    AnswerUnproven,
    ConnectionBroken,
    RegionsFull,
    UpstreamReplaced,
)
from banyanseam.entry.refusals import make_problem
from banyanseam.errors import BanyanseamError
from banyanseam.pipe.errors import (
    BodyTooSlow,
    DeadlineExceeded,
    ForwardFailed,
    RouteUnknown,
)
from banyanseam.quota.errors import QuotaExceeded
from banyanseam.upstreams.errors import (
    NoUpstreamAllowed,
    UpstreamFailed,
    UpstreamRefused,
    UpstreamTimedOut,
    UpstreamUnreachable,
)
from tests.common import run_with_mock_clock
from tests.entry.simulation import Caller, Simulation, start_simulation


def make_forward_failed(status: int, *, not_run: bool) -> ForwardFailed:
    return ForwardFailed(
        "upstreams.unreachable", "", status, not_run=not_run, retry_after_ms=None
    )


# Error, whether the request may have run, status, whether it says that it has not run.
CASES = (
    (UpstreamUnreachable("e1"), False, 503, True),
    (UpstreamUnreachable("e1"), True, 502, False),
    (DeadlineExceeded(), False, 503, True),
    (DeadlineExceeded(), True, 504, False),
    # From a peer of the release before, and from one of this release.
    (make_forward_failed(502, not_run=True), False, 503, True),
    (make_forward_failed(503, not_run=True), False, 503, True),
    (make_forward_failed(502, not_run=False), True, 502, False),
    (make_forward_failed(503, not_run=True), True, 502, False),
    (make_forward_failed(404, not_run=True), False, 404, True),
    (UpstreamRefused("e1", retry_after_ms=300), False, 503, True),
    (UpstreamRefused("e1", retry_after_ms=300), True, 502, False),
    (UpstreamReplaced("e1"), False, 503, True),
    (NoUpstreamAllowed(), False, 503, True),
    (NoUpstreamAllowed(), True, 502, False),
    (RegionsFull(retry_after_ms=400), False, 503, True),
    (RegionsFull(retry_after_ms=400), True, 502, False),
    (NotReady(retry_after_ms=150), False, 503, True),
    (QuotaExceeded("acme", retry_after_ms=150), False, 429, True),
    (BodyTooSlow(), False, 408, True),
    (RouteUnknown(), False, 404, True),
    (UpstreamFailed("e1"), True, 502, False),
    (ConnectionBroken("e1"), True, 502, False),
    (UpstreamTimedOut("e1"), True, 504, False),
    (AnswerUnproven("e1"), True, 502, False),
    (BanyanseamError(), False, 500, False),
)


class ProblemTests(unittest.TestCase):
    def test_a_status_promises_that_a_request_has_not_run_only_if_that_is_certain(self):
        for error, may_have_run, status, is_not_run in CASES:
            with self.subTest(error.code, status=error.status, ran=may_have_run):
                problem = make_problem(error, "r1", 3000.0, may_have_run=may_have_run)
                self.assertEqual(
                    (problem.status, problem.not_run), (status, is_not_run)
                )
                if status == 503:
                    self.assertGreater(problem.retry_after_ms, 0)

    def test_a_named_time_to_return_is_kept(self):
        problem = make_problem(
            RegionsFull(retry_after_ms=1234), "r1", 9000.0, may_have_run=False
        )
        self.assertEqual(problem.retry_after_ms, 1234)


class UnreachableTests(unittest.TestCase):
    """A booking may run once only, so its caller asks again only after a promise."""

    def ask(
        self, faults: list[str], peer_faults: list[str]
    ) -> tuple[Simulation, Caller]:
        async def run() -> Simulation:
            async with start_simulation() as simulation:
                for name in ("desk-piedmont",) if peer_faults else ():
                    del simulation.upstreams[name]
                simulation.gossip()
                simulation.ask("10.2.0.1", "/book/x", faults, peer_faults)
            return simulation

        simulation = run_with_mock_clock(run)
        return simulation, simulation.callers[0]

    def test_a_booking_that_reached_no_upstream_or_peer_is_refused_as_not_run(self):
        for faults, peer_faults in (
            (["refused"] * 9, []),
            ([], ["refused"] * 9),
            (["refused"] * 9, ["", "refused", "refused"]),
        ):
            with self.subTest(faults=faults, peer_faults=peer_faults):
                simulation, caller = self.ask(faults, peer_faults)
                self.assertEqual((caller.status, simulation.runs), (503, {}))
                self.assertGreater(float(caller.headers["retry-after"]), 0)

    def test_a_booking_that_may_have_reached_an_upstream_is_not_reported_as_not_run(
        self,
    ):
        for faults, peer_faults in ((["lost"], []), ([], ["lost"]), (["lost"], [""])):
            with self.subTest(faults=faults, peer_faults=peer_faults):
                _, caller = self.ask(faults, peer_faults)
                self.assertIn(caller.status, (502, 504))


if __name__ == "__main__":
    unittest.main()
