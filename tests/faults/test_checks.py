"""Each check of the soak must report the one record that breaks its promise."""

import unittest

from tests.faults.checks import CHECKS, judge, prompt_digest
from tests.faults.records import Attempt, Fault, Observation, Records


def attempt(purpose, sent_s=100.0, **fields):
    known = {"ended_s": sent_s + 1, "status": 200, "is_whole": True}
    seat = fields.pop("seat", "gulf-1")
    region = fields.pop("region", "gulf")
    body = fields.pop("body", f"{purpose} body")
    return Attempt(purpose, region, seat, sent_s, body, **(known | fields))


def run(body, started=100.0, request_id="1", tokens=1, headers=("host",)):
    return {
        "request_id": request_id,
        "prompt_sha256": prompt_digest(body),
        "seen_headers": list(headers),
        "started": started,
        "tokens": tokens,
    }


def booked(*counts):
    by_body = {prompt_digest("booking body"): count for count in counts}
    return {"gulf-service-1": {"by_body": by_body, "records": []}}


def make_cases():
    homed, limited = attempt("homed"), attempt("limited")
    engine = "delta-engine-1"
    return {
        "residency": Records([homed], engine_runs={engine: [run(homed.body)]}),
        "loops": Records([attempt("chat", code="request.loop")]),
        "cut_off_region": Records(
            [attempt("chat", status=503, is_whole=False)],
            faults=[Fault("cut", "gulf", 50.0, 200.0)],
        ),
        "keys": Records(
            [attempt("withdrawn")],
            engine_runs={engine: [run("x", headers=("authorization",))]},
            withdrawn_s=10.0,
        ),
        "quota": Records(
            [limited], engine_runs={engine: [run(limited.body, tokens=1300)]}
        ),
        "whole_answers": Records([attempt("chat", is_whole=False)]),
        "not_run": Records(
            [attempt("booking", status=503, not_run=True)], service_runs=booked(1)
        ),
        "at_most_once": Records(
            [attempt("booking", status=201)], service_runs=booked(2)
        ),
        "leaving": Records(
            left_s={engine: 10.0}, engine_runs={engine: [run("x", 100.0)]}
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
                self.assertEqual(set(judge(records)), {name})
