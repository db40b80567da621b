"""Guards what the server reads, and when, for requests in any form."""

import asyncio
import hashlib
import os
import random
import unittest
from contextlib import suppress

from banyanseam.pipe.errors import CallerGone
from banyanseam.server.callers import read_body
from banyanseam.server.connection import CONNECTION
from banyanseam.server.reply import send_body
from tests.server.request_forms import KNOWN_FORMS, Form, make_body, make_form
from tests.server.test_untrusted_bytes import GET, FakeTransport, Port, let_run

# Forms in CI; more by hand with the variable set.
FORMS = int(os.environ.get("REQUEST_FORMS", "300"))
# Of a second request, sent before the first is answered: nothing, all, or a part that
# the server holds.
AHEAD = (b"", GET, GET * 300, b"POST / HTTP/1.1\r\ncontent-length: 9000\r\n\r\n" + GET)


def digest(body: bytes) -> bytes:
    return hashlib.sha256(body).hexdigest().encode()


async def answer_with_digest(scope, receive, send):
    with suppress(CallerGone):
        body = await read_body(receive)
        await send_body(send, 200, b"<" + digest(body) + b">", [])


async def answer_after_pauses(scope, receive, send):
    async def receive_late():
        await let_run(3)
        return await receive()

    await answer_with_digest(scope, receive_late, send)


class WaitingApp:
    """Reads requests and answers none; records when their callers have gone."""

    def __init__(self) -> None:
        self.waiting = 0
        self.gone = 0

    async def __call__(self, scope, receive, send):
        await read_body(receive)
        ended = asyncio.Event()
        self.waiting += 1
        with scope["extensions"][CONNECTION].watch(ended.set):
            await ended.wait()
        self.gone += 1


async def deliver(
    transport: FakeTransport, form: Form, body: bytes, ahead: bytes = b""
) -> None:
    """Deliver the pieces of a request, and all that was not read at once."""
    transport.receive_bytes = form.read_bytes
    pieces = form.cut(body, ahead=ahead)
    for piece in pieces:
        if form.is_slow:
            transport.deliver(piece)
            await asyncio.sleep(0)
        else:
            transport.waiting += piece
    for _ in range(sum(map(len, pieces)) // form.read_bytes + 4):
        await let_run(4)
        transport.deliver()
    await let_run(20)


class RequestFormTests(unittest.TestCase):
    def check_forms(self, scenario) -> None:
        for seed in range(FORMS):
            rng = random.Random(seed)
            form = make_form(rng) if seed >= len(KNOWN_FORMS) else KNOWN_FORMS[seed]
            with self.subTest(seed=seed, form=form):
                asyncio.run(scenario(rng, form))

    # Requests in chunks of more than 16 KiB were not read to their end.
    def test_requests_of_any_form_are_read_to_their_end(self):
        async def scenario(rng, first):
            apps = answer_with_digest, answer_after_pauses
            port = Port(rng.choice(apps))
            transport = port.connect()
            for form in (first, make_form(rng)):
                body = make_body(form.body_bytes)
                transport.sent.clear()
                await deliver(transport, form, body)
                self.assertIn(b"<" + digest(body) + b">", transport.sent, form)
                self.assertTrue(transport.is_reading)
                pending_bytes = transport.protocol._splitter.pending_bytes
                self.assertEqual((pending_bytes, port.table.pending_bytes), (0, 0))
            self.assertEqual(port.failures, [])

        self.check_forms(scenario)

    # After a body of more than 64 KiB in one read the caller's close was not seen.
    def test_the_close_of_a_waiting_caller_is_seen_whatever_its_request_was(self):
        async def scenario(rng, form):
            port = Port(app := WaitingApp())
            transport = port.connect()
            body = make_body(form.body_bytes)
            await deliver(transport, form, body, rng.choice(AHEAD))
            self.assertEqual((app.waiting, app.gone), (1, 0))
            transport.end()
            await let_run(20)
            self.assertEqual(app.gone, 1)
            self.assertEqual((port.table.count(), port.table.pending_bytes), (0, 0))

        self.check_forms(scenario)
