import unittest

from banyanseam.upstreams.const import FAILURES_TO_EJECT
from banyanseam.upstreams.models import LoadReport
from banyanseam.upstreams.terms import SMALL_REGION
from banyanseam.upstreams.tracked_upstream import TrackedUpstream
from tests.common import make_config


class StateTests(unittest.TestCase):
    def test_only_usable_upstreams_are_reported_ready(self):
        upstream = make_config().upstreams["gulf-engine-1"]
        cases = [
            ("ready", {"ready": None}, 0),
            ("ready", {"ready": frozenset({"oak", "elm"})}, 0),
            ("unloaded", {"ready": frozenset({"elm"})}, 0),
            ("leaving", {"leaving": True}, 0),
            ("ejected", {}, FAILURES_TO_EJECT),
        ]
        for wanted, fields, failures in cases:
            with self.subTest(wanted=wanted, **fields):
                tracked = TrackedUpstream(upstream, SMALL_REGION, 0.0)
                idle_report = {"held_tokens": 0, "queued_tokens": 0, "running": 0}
                idle_report |= {"leaving": False, "as_of_s": 0.0}
                tracked.observe(LoadReport(**(idle_report | fields)), 0.0)
                for _ in range(failures):
                    tracked.health.record_failure(0.0)
                state = tracked.describe_state(frozenset(), 0.1, is_vm_leaving=False)
                self.assertEqual(state.state, wanted)
                self.assertEqual(state.state == "ready", tracked.is_usable(0.1))


if __name__ == "__main__":
    unittest.main()
