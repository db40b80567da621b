import unittest

from hypothesis import given
from hypothesis import strategies as st

from banyanseam.poison.const import MAX_SECTION_BYTES, MAX_SUSPECTS, SUSPECT_TTL_S
from banyanseam.poison.errors import InvalidSuspects
from banyanseam.poison.fingerprint import make_poison_fingerprint
from banyanseam.poison.reruns import Reruns
from banyanseam.poison.suspects import Suspects
from tests.common import make_config, make_exchange


def name(number):
    return number.to_bytes(8)


class SuspectsTests(unittest.TestCase):
    def test_repeated_reports_count_a_crash_once(self):
        first, second = Suspects(), Suspects()
        first.record_crash(name(1), "oak-1", 0.0)
        for now_s in (0.1, 1.0, 2.0):
            second.apply_section("gulf-1", first.section(now_s), now_s + 0.05)
        self.assertEqual(second.count(name(1), 2.0), 1)
        first.record_crash(name(1), "oak-2", 3.0)
        second.apply_section("gulf-1", first.section(3.0), 3.0)
        self.assertEqual(second.count(name(1), 3.0), 2)

    def test_a_late_report_does_not_revive_a_cleared_suspect(self):
        first, second = Suspects(), Suspects()
        first.record_crash(name(1), "oak-1", 0.0)
        section = first.section(1.0)
        second.apply_section("gulf-1", section, 1.0)
        second.clear(name(1))
        second.apply_section("gulf-1", section, 2.0)
        self.assertEqual(second.count(name(1), 2.0), 0)

    def test_a_daemon_that_starts_learns_of_crashes_that_a_lost_one_observed(self):
        lost, other, started = Suspects(), Suspects(), Suspects()
        for upstream in ("oak-1", "oak-2"):
            lost.record_crash(name(1), upstream, 0.0)
        other.apply_section("gulf-1", lost.section(0.1), 0.1)
        started.apply_section("gulf-2", other.section(60.0), 60.0)
        self.assertEqual(started.count(name(1), 60.0), 2)
        # Both forget them at the same time, however often they report them.
        for now_s in range(100, int(SUSPECT_TTL_S), 50):
            other.apply_section("gulf-3", started.section(now_s), now_s)
            started.apply_section("gulf-2", other.section(now_s), now_s)
        for suspects in (other, started):
            self.assertEqual(suspects.count(name(1), SUSPECT_TTL_S + 0.2), 0)

    def test_suspicion_ends(self):
        suspects = Suspects()
        suspects.record_crash(name(1), "oak-1", 0.0)
        self.assertEqual(suspects.count(name(1), SUSPECT_TTL_S + 1), 0)
        self.assertEqual(suspects.section(SUSPECT_TTL_S + 1), b"")
        self.assertEqual(len(suspects), 0)

    def test_memory_and_section_are_bounded_and_keep_the_condemned(self):
        suspects = Suspects()
        for upstream in ("oak-1", "oak-2"):
            suspects.record_crash(name(0), upstream, 0.0)
        for number in range(1, MAX_SUSPECTS + 100):
            suspects.record_crash(name(number), "oak-1", 1.0)
        self.assertEqual(len(suspects), MAX_SUSPECTS)
        self.assertEqual(suspects.count(name(0), 1.0), 2)
        self.assertLessEqual(len(suspects.section(1.0)), MAX_SECTION_BYTES)

    def test_a_condemned_request_explains_the_crash_of_others(self):
        suspects = Suspects()
        suspects.record_crash(name(1), "oak-1", 0.0)
        suspects.record_crash(name(2), "oak-1", 0.1)
        suspects.record_crash(name(3), "oak-3", 0.0)
        self.assertFalse(suspects.is_explained(name(2), 1.0))
        suspects.record_crash(name(1), "oak-2", 2.0)
        self.assertTrue(suspects.is_explained(name(2), 3.0))
        self.assertFalse(suspects.is_explained(name(3), 3.0))
        suspects.record_crash(name(4), "oak-1", 100.0)
        self.assertFalse(suspects.is_explained(name(4), 100.0))

    def test_an_upstream_that_crashed_under_a_request_is_its_last_choice(self):
        suspects = Suspects()
        suspects.record_crash(name(1), "oak-1", 0.0)
        upstreams = ["oak-1", "oak-2", "oak-3"]
        sort = suspects.sort_upstreams
        self.assertEqual(sort(name(1), upstreams), ["oak-2", "oak-3", "oak-1"])
        self.assertEqual(sort(name(2), upstreams), upstreams)

    @given(st.binary(max_size=2 * MAX_SECTION_BYTES))
    def test_malformed_sections_are_refused(self, section):
        suspects = Suspects()
        try:
            suspects.apply_section("gulf-1", section, 0.0)
        except InvalidSuspects:
            self.assertEqual(len(suspects), 0)


class RerunsTests(unittest.TestCase):
    def test_no_request_and_no_upstream_has_two_suspects(self):
        reruns = Reruns()
        upstreams = ["oak-1", "oak-2"]
        ask = reruns.request
        self.assertEqual(ask(name(1), "a", upstreams, 0.0, 9.0).upstream, "oak-1")
        self.assertEqual(ask(name(1), "a", upstreams, 0.0, 9.0).upstream, "oak-1")
        self.assertIsNone(ask(name(1), "b", upstreams, 0.0, 9.0))
        self.assertEqual(ask(name(2), "c", upstreams, 0.0, 9.0).upstream, "oak-2")
        self.assertIsNone(ask(name(3), "d", upstreams, 0.0, 9.0))
        self.assertIsNone(ask(name(4), "e", (), 0.0, 9.0).upstream)
        reruns.end(name(1), "a")
        self.assertEqual(ask(name(3), "d", upstreams, 0.0, 9.0).upstream, "oak-1")
        self.assertEqual(ask(name(1), "b", upstreams, 9.0, 18.0).upstream, "oak-1")

    def test_the_late_end_of_a_first_try_leaves_the_second(self):
        reruns = Reruns()
        reruns.request(name(1), "a 0", ["oak-1", "oak-2"], 0.0, 9.0)
        second = reruns.request(name(1), "a 1", ["oak-2"], 1.0, 9.0)
        self.assertEqual(second.upstream, "oak-2")
        reruns.end(name(1), "a 0")
        self.assertIsNone(reruns.request(name(1), "b 0", ["oak-1"], 2.0, 9.0))

    def test_a_run_in_progress_blocks_a_rerun(self):
        reruns = Reruns()
        reruns.record(name(1), "a", 9.0)
        self.assertIsNone(reruns.request(name(1), "b", ["oak-1"], 0.0, 9.0))
        self.assertIsNotNone(reruns.request(name(1), "a", ["oak-1"], 0.0, 9.0))


class FingerprintTests(unittest.TestCase):
    def make(self, body, organisation="acme"):
        config = make_config()
        exchange = make_exchange(body=body, route=config.routes["chat"])
        if organisation:
            exchange.organisation = config.organisations[organisation]
        return make_poison_fingerprint(exchange)

    def test_white_space_and_ids_do_not_hide_a_request(self):
        first = self.make(b'{"id":"1","model":"oak","messages":["a b"]}')
        for body in (
            b'{ "id": "2",\n "model": "oak", "messages": ["a b"] }',
            b'{"model":"oak","messages":["a b"]}',
        ):
            self.assertEqual(self.make(body), first)

    def test_reads_without_a_body_are_recognised_with_or_without_an_organisation(self):
        first, public = self.make(b""), self.make(b"", None)
        self.assertEqual(self.make(b""), first)
        self.assertEqual(self.make(b"", None), public)
        self.assertNotEqual(first, public)
        suspects = Suspects()
        for upstream in ("oak-1", "oak-2"):
            suspects.record_crash(public, upstream, 0.0)
        self.assertEqual(suspects.count(public, 1.0), 2)
        self.assertEqual(suspects.count(first, 1.0), 0)

    def test_other_bodies_and_organisations_differ(self):
        first = self.make(b'{"messages":["a"]}')
        self.assertNotEqual(self.make(b'{"messages":["b"]}'), first)
        self.assertNotEqual(self.make(b'{"messages":["a"]}', None), first)
