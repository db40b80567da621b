import unittest

from banyanseam.config.compile import compile_config
from banyanseam.config.keys import digest_key
from banyanseam.pipe.errors import KeyWithdrawn
from banyanseam.pipe.models import Exchange
from banyanseam.pipe.withdrawal import end_withdrawn_streams
from tests.common import KEY, make_config, make_documents, run_with_mock_clock
from tests.idempotency.fleet import Sink


def make_withdrawn():
    base, overlays = make_documents()
    base["organisations"]["acme"]["keys"] = []
    return compile_config(2, base, overlays)


class WithdrawalTests(unittest.TestCase):
    async def stream(self, route, digest, withdrawn_after):
        """Return how many of four chunks were sent, and if KeyWithdrawn was raised."""
        configs = [make_config()]
        sink = Sink()
        exchange = Exchange("1", "POST", "/", b"", [], b"", 0.0, sink)
        exchange.route = configs[0].routes[route]
        exchange.key_digest = digest
        exchange.organisation = configs[0].organisations["acme"]
        sent = []

        async def answer(passed):
            await passed.reply.start(200, [])
            for part in range(4):
                if part == withdrawn_after:
                    configs.append(make_withdrawn())
                await passed.reply.send(b"part")
                sent.append(part)

        filter_ = end_withdrawn_streams(lambda: configs[-1])
        try:
            await filter_(exchange, answer)
        except KeyWithdrawn as error:
            self.assertFalse(error.not_run)
            return len(sent), True
        finally:
            self.assertIs(exchange.reply, sink)
            self.assertEqual(sink.started, True)
        return len(sent), False

    def test_stream_ends_with_its_key_and_other_answers_do_not(self):
        digest = digest_key(KEY.encode())
        table = [
            ("chat", digest, 2, (2, True)),
            ("chat", digest, None, (4, False)),
            ("chat", None, 2, (4, False)),
            ("clinic", digest, 2, (4, False)),
        ]
        for route, key_digest, after, expected in table:
            with self.subTest(route=route, after=after, open=key_digest is None):
                result = run_with_mock_clock(self.stream, route, key_digest, after)
                self.assertEqual(result, expected)
