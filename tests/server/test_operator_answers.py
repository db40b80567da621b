import unittest

import anyio

from banyanseam.observe.histograms import Histograms
from banyanseam.server.operator_answers import (
    OperationInvalid,
    answer_explain,
    answer_histograms,
)
from tests.common import make_config, run_with_mock_clock


class OperatorAnswerTests(unittest.TestCase):
    def test_histograms_by_organisation(self):
        async def check():
            histograms = Histograms(anyio.current_time())
            for name in ("acme", "birch"):
                histograms.record(name, "quick", "duration_ms", 9, anyio.current_time())
            cases = [
                (b"", [None]),
                (b'{"organisation": "*"}', ["acme", "birch"]),
                (b'{"organisation": "birch"}', ["birch"]),
                (b'{"request_class": "long"}', []),
            ]
            for body, names in cases:
                with self.subTest(body):
                    reply = await answer_histograms(histograms, body)
                    found = [one["organisation"] for one in reply["series"]]
                    self.assertEqual(found, names)

        run_with_mock_clock(check)

    def test_invalid_requests_name_the_field(self):
        async def check():
            for body in (b"{", b"[]", b'{"path": "x"}', b'{"path": "/", "pat": 1}'):
                with self.subTest(body), self.assertRaises(OperationInvalid):
                    await answer_explain(make_config(), "gulf", {}, body)

        run_with_mock_clock(check)


if __name__ == "__main__":
    unittest.main()
