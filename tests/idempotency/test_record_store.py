import copy
import unittest
from collections import Counter
from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from banyanseam.errors import BanyanseamError
from banyanseam.idempotency.const import MAX_ANSWER_HEADERS, RECORD_BYTES, RETENTION_S
from banyanseam.idempotency.errors import (
    AnswerNotKept,
    KeyFreed,
    KeyReused,
    KeyTooOld,
    MemoryFull,
    OutcomeUnknown,
)
from banyanseam.idempotency.models import Answer, Claim, RunOutcome, Scope, State
from banyanseam.idempotency.record_store import RecordStore

ANSWER = Answer(201, [(b"content-type", b"text/plain")], b"booked")
DONE = RunOutcome(True, ANSWER)


def make_claim(number=1, key="k", body="b", organisation="acme", run_s=10.0, age_s=0.0):
    scope = Scope(organisation, key)
    return Claim(scope, body, number.to_bytes(4), "gulf-1", 1, run_s, age_s)


class RecordStoreTests(unittest.TestCase):
    def setUp(self):
        self.record_store = RecordStore()

    def test_an_answer_that_fits_no_message_is_not_stored(self):
        for headers, is_kept in ((MAX_ANSWER_HEADERS, True), (201, False)):
            record_store = RecordStore()
            claim = make_claim()
            record_store.claim(claim, 0.0)
            answer = Answer(201, [(b"a", b"b")] * headers, b"")
            record_store.finish(
                claim.scope, claim.claim_id, RunOutcome(True, answer), 0.0
            )
            with self.subTest(headers=headers):
                record = record_store.find(claim.scope)
                self.assertEqual(record.answer is not None, is_kept)

    def test_a_second_receipt_gets_the_same_answer(self):
        first = make_claim(1)
        self.assertTrue(self.record_store.claim(first, 0.0).granted)
        waiting = self.record_store.claim(make_claim(2), 1.0)
        self.assertEqual((waiting.state, waiting.granted), (State.RUNNING, False))
        self.record_store.finish(first.scope, first.claim_id, DONE, 2.0)
        self.assertEqual(self.record_store.claim(make_claim(3), 3.0).answer, ANSWER)

    def test_a_preview_matches_a_claim_and_changes_nothing(self):
        first = make_claim(1)
        scope, claim_id = first.scope, first.claim_id

        def get_result(call, *arguments):
            try:
                return call(*arguments)
            except BanyanseamError as error:
                return type(error)

        steps = [
            lambda: None,
            lambda: self.record_store.claim(first, 0.0),
            lambda: self.record_store.release(scope, claim_id, 1.0),
            lambda: self.record_store.claim(make_claim(2), 4.0),
            lambda: self.record_store.finish(scope, make_claim(2).claim_id, DONE, 5.0),
            lambda: self.record_store.finish(
                scope, make_claim(2).claim_id, RunOutcome(False), 5.0
            ),
        ]
        for step in steps:
            step()
            for now_s in (1.5, 4.5, 100.0):
                for body in ("b", "other"):
                    before = copy.deepcopy(self.record_store)
                    preview = get_result(self.record_store.preview, scope, body, now_s)
                    claim = make_claim(9, body=body)
                    got = get_result(before.claim, claim, now_s)
                    if not isinstance(got, type):
                        is_new = self.record_store.find(scope) is None
                        got = (
                            None if is_new else State.FREE if got.granted else got.state
                        )
                    with self.subTest(now_s=now_s, body=body):
                        self.assertEqual(preview, got)

    def test_another_body_is_refused(self):
        self.record_store.claim(make_claim(1), 0.0)
        with self.assertRaises(KeyReused):
            self.record_store.claim(make_claim(2, body="other"), 1.0)

    def test_full_memory_refuses_new_keys_and_keeps_the_old(self):
        record_store = RecordStore(limit_bytes=4 * (RECORD_BYTES + 10))
        for number in (1, 2):
            record_store.claim(make_claim(number, key=str(number)), 0.0)
        with self.assertRaises(MemoryFull) as caught:
            record_store.claim(make_claim(3, key="3"), 0.0)
        self.assertTrue(caught.exception.not_run)
        self.assertGreater(caught.exception.retry_after_ms, 0)
        self.assertFalse(record_store.claim(make_claim(4, key="1"), 0.0).granted)
        other = make_claim(5, key="5", organisation="rival")
        self.assertTrue(record_store.claim(other, 0.0).granted)

    def test_a_large_answer_leaves_a_tombstone(self):
        first = make_claim(1)
        self.record_store.claim(first, 0.0)
        large = Answer(200, [], b"x" * 100_000)
        self.record_store.finish(
            first.scope, first.claim_id, RunOutcome(True, large), 1.0
        )
        with self.assertRaises(AnswerNotKept):
            self.record_store.claim(make_claim(2), 2.0)

    def test_a_dead_runner_leaves_an_unknown_outcome(self):
        self.record_store.claim(make_claim(1), 0.0)
        self.record_store.mark_runs_unknown("gulf-1", 1, 1.0)
        with self.assertRaises(OutcomeUnknown):
            self.record_store.claim(make_claim(2), 2.0)

    def test_a_silent_runner_leaves_an_unknown_outcome_after_its_term(self):
        self.record_store.claim(make_claim(1, run_s=10.0), 0.0)
        self.assertEqual(
            self.record_store.claim(make_claim(2), 14.0).state, State.RUNNING
        )
        with self.assertRaises(OutcomeUnknown):
            self.record_store.claim(make_claim(2), 16.0)

    def test_a_long_run_is_not_forgotten_while_it_may_go_on(self):
        self.record_store.claim(make_claim(1, run_s=3 * RETENTION_S), 0.0)
        self.record_store.sweep(2 * RETENTION_S, wall_s=9 * RETENTION_S)
        waiting = self.record_store.claim(make_claim(2), 2 * RETENTION_S)
        self.assertFalse(waiting.granted)

    def test_release_returns_whether_no_other_receipt_waits(self):
        for others, alone in ((0, True), (1, False)):
            with self.subTest(others=others):
                record_store = RecordStore()
                first = make_claim(1)
                record_store.claim(first, 0.0)
                for _ in range(others):
                    record_store.claim(make_claim(2), 0.0)
                was_alone = record_store.release(first.scope, first.claim_id, 0.0)
                self.assertEqual(was_alone, alone)
                self.assertTrue(record_store.claim(make_claim(2), 3.0).granted)

    def test_receipts_from_before_a_release_do_not_run_later(self):
        first = make_claim(1)
        self.record_store.claim(first, 0.0)
        self.assertTrue(self.record_store.release(first.scope, first.claim_id, 1.0))
        for now_s, age_s in ((1.0, 0.5), (5.0, 4.5), (9.0, 8.0)):
            with self.assertRaises(KeyFreed):
                self.record_store.claim(make_claim(2, age_s=age_s), now_s)
        self.assertTrue(self.record_store.claim(make_claim(3), 9.0).granted)
        # Its claim arrived late, so its stated age was too low; the repeat shows that.
        with self.assertRaises(KeyFreed):
            self.record_store.claim(make_claim(3, age_s=8.0), 10.0)
        fourth = make_claim(4)
        self.assertTrue(self.record_store.claim(fourth, 10.0).granted)
        self.assertFalse(self.record_store.claim(make_claim(5), 10.0).granted)
        self.assertFalse(self.record_store.release(fourth.scope, fourth.claim_id, 11.0))
        with self.assertRaises(KeyFreed):
            self.record_store.claim(make_claim(2, age_s=10.5), 11.0)
        self.assertTrue(self.record_store.claim(make_claim(5, age_s=1.0), 11.0).granted)

    def test_a_clock_set_back_accepts_no_dropped_key(self):
        first = make_claim(1)
        self.record_store.claim(first, 0.0, stamp_s=1000.0)
        self.record_store.finish(first.scope, first.claim_id, DONE, 1.0)
        self.record_store.sweep(RETENTION_S + 2, wall_s=1001.0 + RETENTION_S)
        self.assertEqual(len(self.record_store), 0)
        self.record_store.sweep(RETENTION_S + 3, wall_s=900.0)
        with self.assertRaises(KeyTooOld):
            self.record_store.claim(make_claim(2), RETENTION_S + 4, stamp_s=1000.0)


class RecordStoreMachine(RuleBasedStateMachine):
    """Receipts of one key after another, whose messages get lost or arrive late.

    A run is counted as the upstream would count it: when the receipt with the grant
    sends the first byte.
    """

    def __init__(self):
        super().__init__()
        self.record_store = RecordStore(limit_bytes=20 * RECORD_BYTES)
        self.now_s = 0.0
        self.number = 0
        # Keys are stamped with the second in which callers start to use them.
        self.stamp_s = 0.0
        self.received_s = {}
        self.freed_s = {}
        self.asked = []
        self.granted = []
        self.started = []
        self.runs = Counter()
        self.late = []

    def pick(self, items, data):
        return items.pop(data.draw(st.integers(0, len(items) - 1)))

    def deliver(self, message):
        kind, claim = message
        try:
            if kind == "claim":
                stamp_s = float(claim.scope.key)
                age_s = self.now_s - self.received_s[claim.claim_id]
                claim = replace(claim, age_s=age_s)
                return self.record_store.claim(
                    claim, self.now_s, stamp_s=stamp_s
                ).granted
            if kind == "release":
                return self.record_store.release(
                    claim.scope, claim.claim_id, self.now_s
                )
            end = DONE if kind == "done" else RunOutcome(False)
            return self.record_store.finish(
                claim.scope, claim.claim_id, end, self.now_s
            )
        except BanyanseamError as error:
            if error.not_run:
                assert not self.runs[claim.scope.key], (
                    "a key that ran was reported as not run"
                )
            return False

    @rule(reply_lost=st.booleans())
    def receive(self, reply_lost):
        self.number += 1
        claim = make_claim(self.number, key=str(self.stamp_s))
        self.received_s[claim.claim_id] = self.now_s
        self.late.append(("claim", claim))
        if self.deliver(("claim", claim)) and not reply_lost:
            self.granted.append(claim)
        else:
            self.asked.append(claim)

    @precondition(lambda self: self.asked)
    @rule(data=st.data())
    def ask_again(self, data):
        claim = self.pick(self.asked, data)
        target = self.granted if self.deliver(("claim", claim)) else self.asked
        target.append(claim)

    @precondition(lambda self: self.granted)
    @rule(data=st.data())
    def start(self, data):
        claim = self.pick(self.granted, data)
        self.runs[claim.scope.key] += 1
        self.started.append(claim)
        freed_s = self.freed_s.get(claim.scope.key, -1.0)
        assert self.received_s[claim.claim_id] > freed_s, "it was reported as not run"

    @precondition(lambda self: self.granted)
    @rule(data=st.data(), lost=st.booleans())
    def fail_before_first_byte(self, data, lost):
        claim = self.pick(self.granted, data)
        self.late.append(("release", claim))
        if not lost and self.deliver(("release", claim)):
            assert not self.runs[claim.scope.key], (
                "a key that ran was reported as not run"
            )
            self.freed_s[claim.scope.key] = self.now_s

    @precondition(lambda self: self.started)
    @rule(data=st.data(), kind=st.sampled_from(["done", "unknown", "killed"]))
    def end(self, data, kind):
        claim = self.pick(self.started, data)
        if kind != "killed":
            self.late.append((kind, claim))
            self.deliver((kind, claim))

    @precondition(lambda self: self.late)
    @rule(data=st.data())
    def repeat_late(self, data):
        self.deliver(data.draw(st.sampled_from(self.late)))

    @rule()
    def wait_a_little(self):
        self.now_s += 2.5

    @precondition(lambda self: self.number % 8 == 7)
    @rule(
        pause_s=st.sampled_from([1.0, 3.0, 20.0, RETENTION_S]),
        back_s=st.integers(0, 90),
    )
    def lose_the_entry_and_wait(self, pause_s, back_s):
        self.record_store.mark_runs_unknown("gulf-1", 1, self.now_s)
        self.now_s += pause_s
        # A grant is invalid after its term, which is far below the retention.
        if pause_s >= 20.0:
            self.granted.clear()
            self.asked.clear()
        self.stamp_s = self.now_s
        self.record_store.sweep(self.now_s, self.now_s - back_s)

    @invariant()
    def at_most_once(self):
        assert max(self.runs.values(), default=0) <= 1, self.runs


TestRecordStoreMachine = RecordStoreMachine.TestCase
TestRecordStoreMachine.settings = settings(max_examples=200, stateful_step_count=40)
