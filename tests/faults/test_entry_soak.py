"""Guards against faults of the entry daemon that show only while events overlap."""

import unittest

import anyio

from standins.kept_caller import BROKEN, LEFT, UNANSWERED, WHOLE, Attempt
from standins.platform_upstream import complete_stream_body
from tests.faults.entry_soak import PATHS, Records, Run, find_violations, run_soak

SEED = 20261205
DURATION_S = 40.0
VMS = 6


class EntrySoakTests(unittest.TestCase):
    def test_overlapping_signals_and_changes_break_no_promise(self):
        print(f"soak seed {SEED}")
        options = {"use_uvloop": True}
        records = anyio.run(run_soak, SEED, DURATION_S, VMS, backend_options=options)
        served = {each.path for each in records.attempts if each.status == 200}
        # If all requests had failed, the checks would prove nothing.
        self.assertEqual(served, set(PATHS))
        self.assertTrue(records.exits)
        self.assertTrue(records.removed_s)
        self.assertTrue(records.restarts)
        self.assertGreater(len(records.list_gone_on()), 0)
        self.assertEqual(find_violations(records), [])


class FindViolationsTests(unittest.TestCase):
    """Checks that each fault of a stream is reported, and nothing else is."""

    def make(self, *, second_software: str = "v1", status: int = 200) -> Records:
        """Return records of a stream that was left after two events and taken up."""
        first = Attempt("first", "vm-1", "/query/x", 10.0, 10.6, 200, end=LEFT)
        first.body = complete_stream_body()[: len(b"id: 1\ndata: word 1\n\n") * 2]
        second = Attempt("second", "vm-2", "/query/x", 11.0, 11.5, status, end=WHOLE)
        second.begun_as, second.after_event = "first", 2
        records = Records([first, second])
        records.runs["first"] = [Run("e1", 10.1, "v1")]
        if status == 200:
            second.body = complete_stream_body(second_software, 2)
            records.runs["second"] = [Run("e2", 11.1, second_software)]
        return records

    def check_found(self, records: Records, *expected: str) -> None:
        """Check that the violations hold the expected words, each one."""
        found = find_violations(records)
        self.assertEqual(len(found), len(expected), found)
        for line, words in zip(found, expected, strict=True):
            self.assertIn(words, line)

    def test_a_stream_that_goes_on_at_its_version_is_counted(self):
        records = self.make()
        self.check_found(records)
        self.assertEqual(len(records.list_gone_on()), 1)

    def test_a_stream_of_two_versions_over_its_attempts_is_found(self):
        records = self.make(second_software="v2")
        self.check_found(records, "events of two versions")

    def test_a_stream_of_two_versions_in_one_answer_is_found(self):
        records = self.make()
        records.attempts[1].body = complete_stream_body("v1", 2).replace(
            b"word 6", b"word 6 by v2"
        )
        records.runs["second"].append(Run("e3", 11.2, "v2"))
        self.check_found(
            records,
            "events of two versions",
            "not its own whole answer",
            "not a part of its own",
        )

    def test_a_whole_stream_of_a_version_that_did_not_run_it_is_found(self):
        records = self.make()
        records.runs["second"] = [Run("e2", 11.1, "v2")]
        self.check_found(records, "not its own whole answer", "not a part of its own")

    def test_a_take_up_that_repeats_an_event_is_found(self):
        records = self.make()
        records.attempts[1].body = complete_stream_body("v1", 1)
        self.check_found(records, "not its own whole answer", "not a part of its own")

    def test_a_take_up_is_refused_at_once(self):
        for took_s, is_disrupted, is_found in (
            (0.3, False, False),
            (0.9, False, True),
            (0.9, True, False),
        ):
            with self.subTest(took_s=took_s, is_disrupted=is_disrupted):
                records = self.make(status=503)
                records.attempts[1].ended_s = 11.0 + took_s
                if is_disrupted:
                    records.disruptions["vm-2"].append([10.0, 10.5])
                self.check_found(records, *["take-up of first"] * is_found)
                self.assertEqual(records.list_gone_on(), [])

    def test_a_take_up_without_an_answer_is_found_unless_its_vm_stops(self):
        for is_stopping in (False, True):
            with self.subTest(is_stopping=is_stopping):
                records = self.make(status=0)
                records.attempts[1].end = UNANSWERED
                if is_stopping:
                    records.stops["vm-2"].append([10.9, 11.2])
                self.check_found(records, *["take-up of first"] * (not is_stopping))

    def test_only_a_restart_of_its_upstream_excuses_a_stream_that_breaks(self):
        for upstream, at_s, is_found in (
            ("e2", 11.2, False),
            ("e2", 11.0, True),
            ("e2", 11.6, True),
            ("e1", 11.2, True),
        ):
            with self.subTest(upstream=upstream, at_s=at_s):
                records = self.make()
                records.attempts[1].end = BROKEN
                records.restarts[upstream].append([at_s, at_s + 0.1])
                self.check_found(records, *["ran, and was broken off"] * is_found)


if __name__ == "__main__":
    unittest.main()
