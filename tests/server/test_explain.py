import unittest

import anyio

from banyanseam.config.compile import compile_config
from banyanseam.server.explain import explain, pass_step
from banyanseam.server.operator_models import ExplainRequest, ExplainStep
from tests.common import make_documents

CHAT = "/v1/chat/completions"


async def wait(_):
    return ExplainStep(filter="quota", verdict="wait", reason="refill in 20 ms")


def passing(name):
    async def probe(_):
        return pass_step(name, "no objection")

    return probe


PASSING = {name: passing(name) for name in ("poison", "idempotency", "queue")}


class ExplainTests(unittest.TestCase):
    def setUp(self):
        base, overlays = make_documents()
        base["residency"] = {
            "home": {"regions": ["gulf"]},
            "away": {"regions": ["delta"]},
        }
        base["organisations"]["birch"] = {
            "rate_tokens_per_s": 1,
            "burst_tokens": 1,
            "residency": "home",
            "keys": [{"sha256_hex": "0" * 64, "label": "one"}],
        }
        base["organisations"]["empty"] = {"rate_tokens_per_s": 1, "burst_tokens": 1}
        base["routes"]["clinic"]["residency"] = "away"
        overlays["delta"]["upstreams"]["delta-engine-1"]["leaving"] = True
        self.config = compile_config(9, base, overlays)

    def explain(self, path, probes=None, **fields):
        request = ExplainRequest(path=path, **fields)
        return anyio.run(explain, request, self.config, "gulf", probes or {})

    def test_verdicts(self):
        cases = [
            ("/nowhere", {"organisation": "acme"}, "route", "request.no_route"),
            (CHAT, {}, "route", "key.missing"),
            (CHAT, {"organisation": "cedar"}, "authenticate", "key.unknown"),
            (CHAT, {"organisation": "empty"}, "authenticate", "key.unknown"),
            ("/clinic/", {"organisation": "birch"}, "residency", "residency.excluded"),
            (CHAT, {"organisation": "acme", "model": "elm"}, "choose", None),
        ]
        for path, fields, last, code in cases:
            with self.subTest(path=path, **fields):
                reply = self.explain(path, PASSING | {"quota": wait}, **fields)
                self.assertEqual(reply.verdict, "refuse")
                self.assertEqual(reply.steps[-1].filter, last)
                self.assertEqual(reply.steps[-1].code, code)

    def test_stateful_filters_get_the_results_of_earlier_filters(self):
        seen = []

        async def quota(dry_run):
            seen.append(dry_run.exchange)
            return await wait(dry_run)

        reply = self.explain(
            CHAT,
            PASSING | {"quota": quota},
            organisation="birch",
            model="oak",
            prompt_tokens=5,
            max_output_tokens=6,
        )
        self.assertEqual(reply.verdict, "wait")
        self.assertEqual(reply.config_version, 9)
        self.assertEqual(seen[0].cost.total_tokens, 11)
        self.assertEqual(seen[0].regions, frozenset({"gulf"}))
        self.assertEqual(reply.steps[-1].facts["candidates"], ["gulf-engine-1"])

    def test_missing_state_is_reported_as_unknown(self):
        reply = self.explain(CHAT, organisation="acme", model="oak")
        self.assertEqual(reply.verdict, "unknown")
        self.assertEqual(reply.steps[-1].facts["leaving"], ["delta-engine-1"])


if __name__ == "__main__":
    unittest.main()
