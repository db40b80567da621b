import gc
import unittest
from types import SimpleNamespace

from banyanseam.pipe.cost import ChatRequest, set_cost
from tests.common import make_exchange, run_with_mock_clock


class CostTests(unittest.TestCase):
    def test_the_parsed_request_is_freed_before_the_answer(self):
        body = b'{"model": "oak", "messages": [{"role": "user", "content": "hi"}]}'
        exchange = make_exchange(body=body, route=SimpleNamespace(is_model=True))
        held = []

        async def answer(_):
            objects = gc.get_objects()
            held.extend(one for one in objects if type(one) is ChatRequest)

        run_with_mock_clock(set_cost, exchange, answer)
        self.assertEqual((exchange.model, held), ("oak", []))
