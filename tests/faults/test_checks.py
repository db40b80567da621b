"""Guards against a check that passes whatever happens.

For each promise, records that violate only this one must be reported, and no others.
"""

import unittest

from tests.faults.checks import CHECKS, find_violations, prompt_digest
from tests.faults.records import Attempt, Fault, Observation, Records


def make_attempt(purpose, sent_s=100.0, **fields):
    defaults = {"ended_s": sent_s + 1, "status": 200, "is_whole": True}
    seat = fields.pop("seat", "gulf-1")
    region = fields.pop("region", "gulf")
    body = fields.pop("body", f"{purpose} body")
    return Attempt(purpose, region, seat, sent_s, body, **(defaults | fields))


def make_run(body, started=100.0, request_id="1", tokens=1, headers=("host",)):
    return {
        "request_id": request_id,
        "prompt_sha256": prompt_digest(body),
        "seen_headers": list(headers),
        "started": started,
        "tokens": tokens,
    }


def make_service_runs(*counts):
    by_body = {prompt_digest("booking body"): count for count in counts}
    return {"gulf-service-1": {"by_body": by_body, "records": []}}


def make_cases():
    homed, limited = make_attempt("homed"), make_attempt("limited")
    engine = "delta-engine-1"
    return {
        "residency": Records([homed], engine_runs={engine: [make_run(homed.body)]}),
        "loops": Records([make_attempt("chat", code="request.loop")]),
        "cut_off_region": Records(
            [make_attempt("chat", status=503, is_whole=False)],
            faults=[Fault("cut", "gulf", 50.0, 200.0)],
        ),
        "keys": Records(
            [make_attempt("withdrawn")],
            engine_runs={engine: [make_run("x", headers=("authorization",))]},
            key_withdrawn_s=10.0,
        ),
        "quota": Records(
            [limited], engine_runs={engine: [make_run(limited.body, tokens=1300)]}
        ),
        "whole_answers": Records([make_attempt("chat", is_whole=False)]),
        "not_run": Records(
            [make_attempt("booking", status=503, not_run=True)],
            service_runs=make_service_runs(1),
        ),
        "at_most_once": Records(
            [make_attempt("booking", status=201)], service_runs=make_service_runs(2)
        ),
        "leaving": Records(
            leaving_since_s={engine: 10.0}, engine_runs={engine: [make_run("x", 100.0)]}
        ),
        "planned_stops": Records(exit_codes={"gulf-1": 1}),
        "versions": Records(
            observations=[
                Observation("gulf-1", 1, 1.0, 5),
                Observation("gulf-1", 1, 2.0, 4),
            ]
        ),
    }


class CheckTests(unittest.TestCase):
    def test_each_check_finds_what_breaks_its_promise(self):
        cases = make_cases()
        self.assertEqual(set(cases), set(CHECKS))
        for name, records in cases.items():
            with self.subTest(name):
                self.assertEqual(set(find_violations(records)), {name})
