import unittest

from banyanseam.entry.models import SendMetadata
from banyanseam.errors import Problem
from banyanseam.pipe.errors import RequestMalformed
from banyanseam.platform.documents import digest_key
from banyanseam.platform.requests import (
    read_answer,
    read_request,
    write_headers,
    write_refusal,
)
from banyanseam.platform.wire import SYSTEM_HEADERS

HEADERS = [
    (b"host", b"A.example"),
    (b"request-id", b"r1"),
    (b"request-deadline", b"4000"),
    (b"authorization", b"Bearer secret"),
    (b"model", b"m"),
    (b"token-usage", b"1460,80"),
    (b"prompt-prefix", b"5c1e:800,91bd:410,e440:250"),
    (b"length-hint", b"12"),
    (b"connection", b"keep-alive, x-private"),
    (b"x-private", b"1"),
    (b"content-length", b"5"),
]
METADATA = SendMetadata("i-1", "acme", 1500, 12, "3")


def read(extra=(), without=()):
    kept = [header for header in HEADERS if header[0] not in without]
    return read_request("POST", "/a/x", b"/a/x?y=1", [*kept, *extra])


class RequestTests(unittest.TestCase):
    def test_a_request_is_decoded_once(self):
        head = read()
        self.assertEqual(head.host, "a.example")
        self.assertEqual(head.key_digest, digest_key(b"secret"))
        self.assertEqual(head.deadline_ms, 4000)
        self.assertEqual(head.prompt.prompt_tokens, 1460)
        self.assertEqual(head.prompt.max_output_tokens, 80)
        self.assertEqual(
            [each.tokens for each in head.prompt.segments], [800, 410, 250]
        )

    def test_system_headers_from_callers_are_dropped(self):
        # An earlier trial found that a caller's own values reached the upstream.
        forged = [(name, b"forged") for name in sorted(SYSTEM_HEADERS)]
        head = read(
            [
                header
                for header in forged
                if header[0] not in (b"authorization", b"request-deadline")
            ]
        )
        sent = write_headers(head, METADATA)
        self.assertNotIn(b"forged", [value for _, value in sent])

    def test_keys_and_hop_by_hop_headers_are_not_forwarded(self):
        sent = dict(write_headers(read(), METADATA))
        for name in (b"authorization", b"connection", b"x-private", b"content-length"):
            self.assertNotIn(name, sent)
        self.assertEqual(sent[b"tenant-id"], b"acme")
        self.assertEqual(sent[b"expect-instance"], b"i-1")
        self.assertEqual(sent[b"request-deadline"], b"1500")
        self.assertEqual(sent[b"request-priority"], b"9")
        self.assertEqual(sent[b"last-event-id"], b"3")
        self.assertEqual(sent[b"length-hint"], b"12")
        self.assertEqual(sent[b"request-id"], b"r1")

    def test_ambiguous_and_unreadable_requests_are_refused(self):
        for name, extra, without in (
            ("no id", (), (b"request-id",)),
            ("two ids", [(b"request-id", b"r2")], ()),
            ("two models", [(b"model", b"n")], ()),
            ("two deadlines", [(b"request-deadline", b"1")], ()),
            ("tokens", [(b"token-usage", b"many")], (b"token-usage",)),
        ):
            with self.subTest(name), self.assertRaises(RequestMalformed):
                read(extra, without)

    def test_other_authorization_schemes_yield_no_key(self):
        head = read([(b"authorization", b"Basic abc")], (b"authorization",))
        self.assertIsNone(head.key_digest)


class AnswerTests(unittest.TestCase):
    def test_which_answers_prove_that_nothing_ran(self):
        for status, headers, not_run in (
            (503, [(b"Not-Executed", b"1")], True),
            (429, [(b"Not-Executed", b"1")], True),
            (421, [], True),
            (503, [], False),
            (500, [(b"Not-Executed", b"1")], False),
            (200, [(b"Not-Executed", b"1")], False),
        ):
            with self.subTest(status=status, headers=headers):
                answer = read_answer(status, headers)
                self.assertEqual(answer.is_surely_not_run, not_run)

    def test_an_answer_without_length_or_chunks_ends_with_its_connection(self):
        for headers, is_framed in (
            ([(b"Content-Length", b"0")], True),
            ([(b"Transfer-Encoding", b"chunked")], True),
            ([(b"Connection", b"close")], False),
        ):
            with self.subTest(headers):
                self.assertEqual(read_answer(200, headers).is_framed, is_framed)

    def test_an_upstream_that_leaves_or_asks_for_a_pause(self):
        for status, headers, expected in (
            (200, [(b"Server-Leaving", b"1")], (True, 0.0)),
            (200, [(b"Server-Leaving", b"0")], (False, 0.0)),
            (503, [(b"Retry-After", b"2")], (False, 2.0)),
            (503, [(b"Retry-After", b" 0.25 ")], (False, 0.25)),
            (503, [(b"Retry-After", b"99999999")], (False, 99999999.0)),
            (200, [(b"Retry-After", b"2")], (False, 0.0)),
            (503, [(b"Retry-After", b"-1")], (False, 0.0)),
            (503, [(b"Retry-After", b"nan")], (False, 0.0)),
            (503, [(b"Retry-After", b"Fri, 04 Dec 2026 20:00:00 GMT")], (False, 0.0)),
        ):
            with self.subTest(status=status, headers=headers):
                answer = read_answer(status, headers)
                self.assertEqual((answer.is_leaving, answer.pause_s), expected)

    def test_an_upstream_that_says_it_is_brittle(self):
        for value, expected in (
            (b"9", 9),
            (b" 12 ", 12),
            (b"0", 0),
            (b"-1", None),
            (b"2.5", None),
            (b"many", None),
            (b"", None),
            (b"9" * 20, None),
        ):
            with self.subTest(value):
                answer = read_answer(503, [(b"Server-Brittle", value)])
                self.assertEqual(answer.brittle_per_s, expected)
        self.assertIsNone(read_answer(200, []).brittle_per_s)

    def test_hop_by_hop_headers_of_answers_are_removed(self):
        answer = read_answer(
            200,
            [
                (b"Upstream-Signature", b"s"),
                (b"Request-Id", b"r1"),
                (b"Transfer-Encoding", b"chunked"),
                (b"Connection", b"close"),
                (b"Content-Encoding", b"gzip"),
            ],
        )
        self.assertTrue(answer.is_signed)
        self.assertTrue(answer.is_encoded)
        self.assertEqual(answer.request_id, "r1")
        names = {name for name, _ in answer.headers}
        self.assertFalse(names & {b"transfer-encoding", b"connection"})

    def test_a_refusal_has_retry_after_in_seconds(self):
        problem = Problem(
            type="t",
            title="t",
            status=503,
            detail="d",
            code="c",
            not_run=True,
            request_id="r1",
            retry_after_ms=1250,
        )
        headers, _ = write_refusal(problem, 4000)
        self.assertEqual(dict(headers)[b"retry-after"], b"1.250")


if __name__ == "__main__":
    unittest.main()
