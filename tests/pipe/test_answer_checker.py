import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from banyanseam.errors import BanyanseamError
from banyanseam.pipe.answer_checker import MAX_EVENT_BYTES, AnswerChecker
from banyanseam.pipe.errors import (
    AnswerCrossed,
    AnswerGap,
    AnswerMalformed,
    AnswerTruncated,
)

DONE = b"data: [DONE]\n\n"


def event(number, request_id="r1", **more):
    data = json.dumps({"id": request_id, "n": number, **more}, separators=(",", ":"))
    return f"id: {number}\ndata: {data}\n\n".encode()


def answer(count=4):
    usage = {"prompt_tokens": 7, "completion_tokens": count, "cached_tokens": 2}
    events = [event(number) for number in range(1, count)]
    return [*events, event(count, usage=usage), DONE]


class AnswerCheckerTests(unittest.TestCase):
    @given(st.lists(st.integers(1, 400), max_size=20), st.booleans())
    def test_a_read_may_end_at_any_byte(self, cuts, has_returns):
        whole = b"".join(answer())
        if has_returns:
            whole = whole.replace(b"\n", b"\r\n")
        checker = AnswerChecker("r1")
        passed = b""
        bounds = sorted({0, len(whole), *(min(cut, len(whole)) for cut in cuts)})
        for start, end in zip(bounds, bounds[1:], strict=False):
            passed += checker.feed(whole[start:end])
        checker.finish()
        self.assertEqual(passed, whole)
        self.assertEqual(checker.usage.output_tokens, 4)
        self.assertEqual(checker.usage.cached_tokens, 2)

    def test_faults_are_reported_before_anything_faulty_passes(self):
        table = (
            ("crossed", [event(1), event(2, "r2")], AnswerCrossed),
            ("crossed by prefix", [event(1), event(2, "r1x")], AnswerCrossed),
            ("gap", [event(1), event(3)], AnswerGap),
            ("late start", [event(2)], AnswerGap),
            ("repeat", [event(1), event(1)], AnswerGap),
            ("after end", [event(1), DONE, event(2)], AnswerGap),
            ("mixed", [event(1), b'data: {"id":"r1"}\n\n'], AnswerGap),
            ("not JSON", [event(1), b"id: 2\ndata: {\n\n"], AnswerMalformed),
            ("no object", [event(1), b"id: 2\ndata: []\n\n"], AnswerMalformed),
            ("bad number", [event(1), b"id: x\ndata: {}\n\n"], AnswerMalformed),
            ("error event", [event(1), b"event: error\n\n"], AnswerTruncated),
            ("endless", [b"id: 1\ndata: " + b"x" * MAX_EVENT_BYTES], AnswerMalformed),
        )
        for name, parts, kind in table:
            checker = AnswerChecker("r1")
            with self.subTest(name):
                for part in parts[:-1]:
                    self.assertEqual(checker.feed(part), part)
                self.assertRaises(kind, checker.feed, parts[-1])

    def test_an_answer_without_its_end_is_truncated(self):
        parts = answer()
        for count in range(len(parts)):
            checker = AnswerChecker("r1")
            checker.feed(b"".join(parts[:count]))
            with self.subTest(count=count):
                self.assertRaises(AnswerTruncated, checker.finish)

    def test_another_order_of_fields_and_comments_pass(self):
        checker = AnswerChecker("r1")
        parts = [b": wait\n\n", b'id: 1\ndata: {"n": 1, "id": "r1"}\n\n', DONE]
        for part in parts:
            self.assertEqual(checker.feed(part), part)
        checker.finish()

    @given(st.integers(0, 400), st.integers(0, 3))
    def test_a_resumed_answer_is_neither_spliced_nor_repeated(self, cut, overlap):
        parts = answer()
        whole = b"".join(parts)
        checker = AnswerChecker("r1")
        passed = checker.feed(whole[:cut])
        if not checker.is_ended:
            checker.expect_resume()
            after = max(0, checker.position - overlap)
            passed += checker.feed(b"".join(parts[after:]))
        checker.finish()
        self.assertEqual(passed, whole)

    def test_a_resume_that_skips_is_a_gap(self):
        checker = AnswerChecker("r1")
        checker.feed(event(1))
        checker.expect_resume()
        self.assertRaises(AnswerGap, checker.feed, event(3))

    def test_unnumbered_answers_pass_but_cannot_resume(self):
        part = b'data: {"id":"r1","n":1}\n\n'
        checker = AnswerChecker("r1")
        self.assertEqual(checker.feed(part + DONE), part + DONE)
        checker.finish()
        checker = AnswerChecker("r1")
        checker.feed(part)
        self.assertFalse(checker.can_resume)
        checker.expect_resume()
        self.assertRaises(AnswerGap, checker.feed, part)

    @given(st.lists(st.binary(max_size=60), max_size=10))
    def test_garbage_raises_only_typed_errors(self, parts):
        checker = AnswerChecker("r1")
        try:
            for part in parts:
                checker.feed(part + b"\n\n")
            checker.finish()
        except BanyanseamError as error:
            self.assertFalse(error.not_run)
